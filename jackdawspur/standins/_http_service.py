"""Serve a stand-in over HTTP with circuits.web, with replies that may come late."""

from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import parse_qs

import msgspec
from circuits import BaseComponent, Manager, handler
from circuits.core.pollers import EPoll

from jackdawspur.adapters import Call, TimerQueue, WebServer, WebService
from jackdawspur.callers import HttpResponse
from jackdawspur.exceptions import JackdawspurError

__all__ = [
    "BadQuery",
    "ErrorBody",
    "Exchange",
    "HttpService",
    "StandinError",
    "not_found",
    "serve_until_stopped",
]

# A batch of starts carries the payloads of many tasks.
MAX_BODY_BYTES = 64 * 1024 * 1024


class StandinError(JackdawspurError):
    """Base of errors in the stand-ins."""


class BadQuery(StandinError):
    """Raise when a query parameter is missing or not a number."""


class Exchange:
    """Hold one request until its reply is sent or dropped."""

    __slots__ = ("_query", "_service", "body", "call", "method", "path")

    def __init__(self, service: "HttpService", call: Call) -> None:
        self.call = call.call_id
        self.method = call.method
        self.path = call.path
        self.body = call.body
        self._query = parse_qs(call.query)
        self._service = service

    def text(self, name: str) -> str:
        """Return a query parameter; raise `BadQuery`."""
        values = self._query.get(name)
        if not values:
            raise BadQuery(f"missing query parameter: {name}")
        return values[0]

    def call_id(self, name: str) -> float:
        """Return a query parameter as a number; raise `BadQuery`."""
        try:
            return float(self.text(name))
        except ValueError as error:
            raise BadQuery(f"not a number: {name}") from error

    def whole(self, name: str) -> int:
        """Return a query parameter as a whole number; raise `BadQuery`."""
        try:
            return int(self.text(name))
        except ValueError as error:
            raise BadQuery(f"not a whole number: {name}") from error

    def reply(self, body, status: int = HTTPStatus.OK) -> None:
        """Send a reply, encoded as JSON, if the connection still stands."""
        encoded = HttpResponse(int(status), msgspec.json.encode(body))
        self._service.web.reply(self.call, encoded)

    def reply_bytes(self, data: bytes) -> None:
        """Send a reply of raw bytes, if the connection still stands."""
        encoded = HttpResponse(
            int(HTTPStatus.OK), data, content_type="application/octet-stream"
        )
        self._service.web.reply(self.call, encoded)

    def guard(self, answer: "Answer") -> None:
        """Let `answer` answer, and turn a bad request into its reply."""
        try:
            answer(self)
        except (msgspec.MsgspecError, StandinError) as error:
            self.reply(ErrorBody(str(error)), HTTPStatus.BAD_REQUEST)

    def drop(self) -> None:
        """Close the connection without a reply."""
        self._service.web.abort_call(self.call)


Answer = Callable[[Exchange], None]


class ErrorBody(msgspec.Struct, frozen=True):
    """Say what was wrong with a request."""

    error: str


class HttpService(BaseComponent, WebService):
    """Listen on one address and hand each request to `serve`."""

    def __init__(self, address: tuple[str, int], channel: str) -> None:
        super().__init__(channel=channel)
        host, port = address
        self.web = WebServer(
            f"{host}:{port}", self, channel, max_body_bytes=MAX_BODY_BYTES
        ).register(self)
        self._host = host

    @property
    def address(self) -> tuple[str, int]:
        """Return where it listens; the system chose the port if it was 0."""
        return self._host, self.web.port

    def serve(self, exchange: Exchange) -> None:
        """Answer a request, now or later."""
        raise NotImplementedError

    def gone(self, call_id: int) -> None:
        """Take note that the caller of an open exchange left."""

    def handle_call(self, call: Call) -> None:
        """Hand a call on as an exchange."""
        Exchange(self, call).guard(self.serve)

    def caller_disconnected(self, call_id: int) -> None:
        """Pass on that the caller of an open call left."""
        self.gone(call_id)

    @handler("signal", channel="*")
    def _on_signal(self, *_signal) -> None:
        """Stop at once: what is in flight is the other side's to notice."""
        self.root.stop()


def not_found(exchange: Exchange) -> None:
    """Answer that there is nothing at this path."""
    exchange.reply(ErrorBody(f"nothing at {exchange.path}"), HTTPStatus.NOT_FOUND)


def serve_until_stopped(make: Callable[[Manager, TimerQueue], object]) -> None:
    """Run a loop with what `make` registers at it.

    circuits' default poller is select, which fails beyond 1,024 connections.
    """
    root = Manager()
    EPoll().register(root)
    make(root, TimerQueue().register(root))
    root.run()
