"""Serve a stand-in over HTTP with circuits.web, with replies that may come late."""

from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import parse_qs

import msgspec
from circuits import BaseComponent, Manager, handler
from circuits.core.pollers import EPoll
from circuits.net.events import close
from circuits.web import BaseServer
from circuits.web.events import response

from jackdawspur.adapters import Deadlines
from jackdawspur.exceptions import JackdawspurError

__all__ = [
    "BadQuery",
    "ErrorBody",
    "Exchange",
    "HttpService",
    "StandinError",
    "not_found",
    "serve_until_stopped",
    "split_address",
]

JSON_TYPE = "application/json"


class StandinError(JackdawspurError):
    """Base of errors in the stand-ins."""


class BadQuery(StandinError):
    """Raise when a query parameter is missing or not a number."""


class Exchange:
    """Hold one request until its reply is sent or dropped."""

    __slots__ = ("_query", "_res", "_service", "body", "method", "path")

    def __init__(self, service: "HttpService", req, res) -> None:
        self.method = req.method
        self.path = req.path
        self.body = req.body.getvalue()
        self._query = parse_qs(req.qs)
        self._service = service
        self._res = res

    @property
    def sock(self):
        """Return the connection's socket; circuits names connections by it."""
        return self._res.request.sock

    def text(self, name: str) -> str:
        """Return a query parameter; raise `BadQuery`."""
        values = self._query.get(name)
        if not values:
            raise BadQuery(f"missing query parameter: {name}")
        return values[0]

    def number(self, name: str) -> float:
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
        if self.sock.fileno() < 0:
            return
        self._res.status = int(status)
        self._res.headers["Content-Type"] = JSON_TYPE
        self._res.body = msgspec.json.encode(body)
        self._service.fire(response(self._res))

    def guard(self, answer: "Answer") -> None:
        """Let `answer` answer, and turn a bad request into its reply."""
        try:
            answer(self)
        except (msgspec.MsgspecError, StandinError) as error:
            self.reply(ErrorBody(str(error)), HTTPStatus.BAD_REQUEST)

    def drop(self) -> None:
        """Close the connection without a reply."""
        self._service.fire(close(self.sock))


Answer = Callable[[Exchange], None]


class ErrorBody(msgspec.Struct, frozen=True):
    """Say what was wrong with a request."""

    error: str


class HttpService(BaseComponent):
    """Listen on one address and hand each request to `serve`."""

    def __init__(self, address: tuple[str, int], channel: str) -> None:
        super().__init__(channel=channel)
        self._server = _QuietServer(address, channel=channel, display_banner=False)
        self._server.register(self)

    @property
    def address(self) -> tuple[str, int]:
        """Return where it listens; the system chose the port if it was 0."""
        return self._server.host, self._server.port

    def serve(self, exchange: Exchange) -> None:
        """Answer a request, now or later."""
        raise NotImplementedError

    def gone(self, sock) -> None:
        """Take note that a connection closed."""

    @handler("request")
    def _on_request(self, req, res) -> bool:
        Exchange(self, req, res).guard(self.serve)
        # True tells circuits.web that the reply comes by an event of its own.
        return True

    @handler("disconnect")
    def _on_disconnect(self, sock) -> None:
        self.gone(sock)


class _QuietServer(BaseServer):
    @handler("ready", override=True)
    def _on_ready(self, server, bind) -> None:
        """Print nothing: the terminal belongs to whoever runs the stand-in."""

    @handler("signal", override=True)
    def _on_signal(self, *_) -> None:
        """Stop at once, where circuits.web would linger for three seconds."""
        self.root.stop()


def not_found(exchange: Exchange) -> None:
    """Answer that there is nothing at this path."""
    exchange.reply(ErrorBody(f"nothing at {exchange.path}"), HTTPStatus.NOT_FOUND)


def split_address(text: str) -> tuple[str, int]:
    """Return host and port of ``IP:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def serve_until_stopped(make: Callable[[Manager, Deadlines], object]) -> None:
    """Run a loop with what `make` registers at it.

    circuits' default poller is select, which fails beyond 1,024 connections.
    """
    root = Manager()
    EPoll().register(root)
    make(root, Deadlines().register(root))
    root.run()
