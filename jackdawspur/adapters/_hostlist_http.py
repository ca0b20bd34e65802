"""Client of the platform's host list over HTTP/JSON."""

from collections.abc import Callable

import msgspec
from result import Result

from jackdawspur.adapters._http_client import HttpClient
from jackdawspur.adapters._json_reply import MS_PER_S, reply_handler, success_body
from jackdawspur.adapters._reply_reader import ClientResponse
from jackdawspur.external import HostList, ListedHost, PlatformError
from jackdawspur.wire import HostsBody

__all__ = ["HttpHostList"]

DEFAULT_TIMEOUT_MS = 2000.0


class HttpHostList(HostList):
    """Fetches the whole list within `timeout_ms`."""

    def __init__(
        self, client: HttpClient, timeout_ms: float = DEFAULT_TIMEOUT_MS
    ) -> None:
        self._client = client
        self._timeout_s = timeout_ms / MS_PER_S
        self._last_body = b""
        self._last_hosts: tuple[ListedHost, ...] = ()

    def fetch(
        self, done: Callable[[Result[tuple[ListedHost, ...], PlatformError]], None]
    ) -> None:
        """Report the hosts that the platform lists as live or leaving."""
        receive = reply_handler("the host list", self._read_hosts, done)
        self._client.request("GET", "/v1/hosts", b"", self._timeout_s, receive)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _read_hosts(self, reply: ClientResponse) -> tuple[ListedHost, ...]:
        """Return the hosts; the same object as long as the list is unchanged.

        The list has thousands of hosts, is read every second and hardly ever changes.
        """
        body = success_body(reply)
        if body != self._last_body:
            self._last_hosts = _decode(body)
            self._last_body = body
        return self._last_hosts


def _decode(body: bytes) -> tuple[ListedHost, ...]:
    decoded = msgspec.json.decode(body, type=HostsBody)
    return tuple(
        ListedHost(host.zone, host.name, host.role, host.leaving)
        for host in decoded.hosts
    )
