"""HTTP service of the stand-in host list."""

from http import HTTPMethod, HTTPStatus

import msgspec
from circuits import Manager

from jackdawspur.adapters import TimerQueue, split_address
from jackdawspur.standins._hostlist import (
    HostListFaults,
    HostListSettings,
    LaggingList,
)
from jackdawspur.standins._http_service import (
    ErrorBody,
    Exchange,
    HttpService,
    not_found,
    serve_until_stopped,
)
from jackdawspur.wire import HostBody, HostsBody

__all__ = ["HostListService", "make_hostlist", "run_hostlist"]

FAULTS = "/faults"
HOSTS = "/v1/hosts"
HOST = "/v1/host"


class HostListService(HttpService):
    """Serves one list over HTTP: GET returns it with a lag, POST replaces it."""

    def __init__(self, settings: HostListSettings, timer_queue: TimerQueue) -> None:
        super().__init__(split_address(settings.address), channel="hostlist")
        self._list = LaggingList(settings, timer_queue.now)
        self._timer_queue = timer_queue
        self._replies_to_drop = 0

    def serve(self, exchange: Exchange) -> None:
        """Answer a request."""
        if exchange.path == FAULTS:
            self._set_faults(exchange)
        elif exchange.path == HOSTS and exchange.method == HTTPMethod.GET:
            self._reply_with_list(exchange)
        elif exchange.path == HOSTS:
            hosts = msgspec.json.decode(exchange.body, type=HostsBody)
            self._list.replace(hosts, self._timer_queue.now)
            exchange.reply(hosts)
        elif exchange.path == HOST:
            self._update_host(exchange)
        else:
            not_found(exchange)

    def _update_host(self, exchange: Exchange) -> None:
        host = msgspec.json.decode(exchange.body, type=HostBody)
        if exchange.method == HTTPMethod.DELETE:
            self._list.remove(host, self._timer_queue.now)
        else:
            self._list.put(host, self._timer_queue.now)
        exchange.reply(host)

    def _reply_with_list(self, exchange: Exchange) -> None:
        if self._list.faults.outage:
            body = ErrorBody("the host list is down")
            exchange.reply(body, HTTPStatus.SERVICE_UNAVAILABLE)
        elif self._replies_to_drop > 0:
            self._replies_to_drop -= 1
            exchange.drop()
        else:
            exchange.reply(self._list.visible(self._timer_queue.now))

    def _set_faults(self, exchange: Exchange) -> None:
        faults = msgspec.json.decode(exchange.body, type=HostListFaults)
        self._list.set_faults(faults)
        self._replies_to_drop = faults.lose_replies
        exchange.reply(faults)


def make_hostlist(
    settings: HostListSettings, root: Manager, timer_queue: TimerQueue
) -> HostListService:
    """Register a host list with an event loop."""
    return HostListService(settings, timer_queue).register(root)


def run_hostlist(settings: HostListSettings) -> None:
    """Serve the host list until the process is stopped."""
    serve_until_stopped(
        lambda root, timer_queue: make_hostlist(settings, root, timer_queue)
    )
