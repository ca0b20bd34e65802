"""Base of the HTTP services of stand-ins, with asynchronous replies."""

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
    """Base class of errors in the stand-ins."""


class BadQuery(StandinError):
    """Raised when a query parameter is missing or not a number."""


class Exchange:
    """A request until its reply is sent or dropped."""

    __slots__ = ("_query", "_service", "body", "call_id", "method", "path")

    def __init__(self, service: "HttpService", call: Call) -> None:
        self.call_id = call.call_id
        self.method = call.method
        self.path = call.path
        self.body = call.body
        self._query = parse_qs(call.query)
        self._service = service

    def query_text(self, name: str) -> str:
        """Return a query parameter; raise `BadQuery` if it is missing."""
        values = self._query.get(name)
        if not values:
            raise BadQuery(f"missing query parameter: {name}")
        return values[0]

    def query_number(self, name: str) -> float:
        """Return a query parameter as a number; raise `BadQuery` if it isn't one."""
        try:
            return float(self.query_text(name))
        except ValueError as error:
            raise BadQuery(f"not a number: {name}") from error

    def query_integer(self, name: str) -> int:
        """Return a query parameter as an integer; raise `BadQuery` if it isn't one."""
        try:
            return int(self.query_text(name))
        except ValueError as error:
            raise BadQuery(f"not an integer: {name}") from error

    def reply(self, body, status: int = HTTPStatus.OK) -> None:
        """Send a reply, encoded as JSON, if the connection is still open."""
        encoded = HttpResponse(int(status), msgspec.json.encode(body))
        self._service.web.reply(self.call_id, encoded)

    def reply_bytes(self, data: bytes) -> None:
        """Send a reply of raw bytes if the connection is still open."""
        encoded = HttpResponse(
            int(HTTPStatus.OK), data, content_type="application/octet-stream"
        )
        self._service.web.reply(self.call_id, encoded)

    def guard(self, answer: "Answer") -> None:
        """Call `answer` with this exchange; reply 400 to an invalid request."""
        try:
            answer(self)
        except (msgspec.MsgspecError, StandinError) as error:
            self.reply(ErrorBody(str(error)), HTTPStatus.BAD_REQUEST)

    def drop(self) -> None:
        """Close the connection without a reply."""
        self._service.web.abort_call(self.call_id)


Answer = Callable[[Exchange], None]


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error reply."""

    error: str


class HttpService(BaseComponent, WebService):
    """Server on one address that passes each request to `serve`."""

    def __init__(self, address: tuple[str, int], channel: str) -> None:
        super().__init__(channel=channel)
        host, port = address
        self.web = WebServer(
            f"{host}:{port}", self, channel, max_body_bytes=MAX_BODY_BYTES
        ).register(self)
        self._host = host

    @property
    def address(self) -> tuple[str, int]:
        """Return host and port; the system chooses the port if it was given as 0."""
        return self._host, self.web.port

    def serve(self, exchange: Exchange) -> None:
        """Answer a request, now or later."""
        raise NotImplementedError

    def on_caller_disconnected(self, call_id: int) -> None:
        """Handle the disconnect of the caller of an open exchange."""

    def handle_call(self, call: Call) -> None:
        """Wrap a call in an exchange and serve it."""
        Exchange(self, call).guard(self.serve)

    def caller_disconnected(self, call_id: int) -> None:
        """Pass on the disconnect of the caller of an open call."""
        self.on_caller_disconnected(call_id)

    @handler("signal", channel="*")
    def _on_signal(self, *_signal) -> None:
        """Stop at once; peers must notice that requests in flight get no reply."""
        self.root.stop()


def not_found(exchange: Exchange) -> None:
    """Reply that the path does not exist."""
    exchange.reply(ErrorBody(f"nothing at {exchange.path}"), HTTPStatus.NOT_FOUND)


def serve_until_stopped(
    register_components: Callable[[Manager, TimerQueue], object],
) -> None:
    """Run an event loop with the components that `register_components` registers.

    It uses epoll: the default poller of circuits is select, which fails beyond 1,024
    connections.
    """
    root = Manager()
    EPoll().register(root)
    register_components(root, TimerQueue().register(root))
    root.run()
