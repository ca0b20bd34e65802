"""Calls of an HTTP server and their handler."""

import abc
from dataclasses import dataclass
from urllib.parse import parse_qs

from circuits.web.headers import Headers

from jackdawspur.adapters._requests import HttpRequest

__all__ = ["Call", "WebService", "make_call"]


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP request; `call_id` identifies it in the reply.

    `received_at` is when its last byte was read, by the clock of the server.
    """

    call_id: int
    method: str
    path: str
    query: str
    headers: Headers
    body: bytes
    received_at: float

    def query_flag(self, name: str) -> bool:
        """Return whether the query sets the flag to true."""
        return parse_qs(self.query).get(name, [""])[-1] == "true"

    @property
    def bearer_token(self) -> str | None:
        """Return the bearer token, or None if none was sent."""
        scheme, _, token = self.headers.get("Authorization", "").partition(" ")
        return token.strip() if scheme.lower() == "bearer" and token else None


def make_call(call_id: int, request: HttpRequest) -> Call:
    """Return the call of a request."""
    return Call(
        call_id,
        request.method,
        request.path,
        request.query,
        request.headers,
        request.body,
        request.received_at,
    )


class WebService(abc.ABC):
    """Handler of calls; it replies through `WebServer.reply`."""

    @abc.abstractmethod
    def handle_call(self, call: Call) -> None:
        """Handle one call."""

    @abc.abstractmethod
    def caller_disconnected(self, call_id: int) -> None:
        """Handle the disconnect of the caller of an open call."""

    def held_bytes(self, call: Call) -> int:
        """Return how many bytes of an open call are held until its reply."""
        return len(call.body)
