"""A bounded HTTP server on circuits whose replies may come later."""

import abc
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from socket import socket
from urllib.parse import parse_qs

from circuits import BaseComponent, Event, Timer, handler
from circuits.web.headers import Headers

from jackdawspur.adapters._reply_bytes import encode_reply
from jackdawspur.adapters._requests import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    HttpRequest,
    RequestError,
    RequestReader,
)
from jackdawspur.adapters._web_sockets import ServerOwner, ServerSockets
from jackdawspur.callers import HttpResponse, answer_response, refusal_response
from jackdawspur.model import Answer, FailureCode, JobState

__all__ = ["Call", "WebServer", "WebService"]

MAX_CONNECTIONS = 1024
# Connections beyond the bound that are told so before they are closed.
MAX_REFUSED_CONNECTIONS = 64
REQUEST_TIME_LIMIT_S = 10.0
LINGER_S = 2.0
SWEEP_INTERVAL_S = 1.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Call:
    """Carry one HTTP request; `call_id` names it in the reply."""

    call_id: int
    method: str
    path: str
    query: str
    headers: Headers
    body: bytes

    def query_flag(self, name: str) -> bool:
        """Tell whether the query sets a flag to true."""
        return parse_qs(self.query).get(name, [""])[-1] == "true"

    @property
    def bearer_token(self) -> str | None:
        """Return the bearer token, if one was sent."""
        scheme, _, token = self.headers.get("Authorization", "").partition(" ")
        return token.strip() if scheme.lower() == "bearer" and token else None


class WebService(abc.ABC):
    """Handle calls; replies go back through `WebServer.reply`."""

    @abc.abstractmethod
    def handle_call(self, call: Call) -> None:
        """Handle one call."""

    @abc.abstractmethod
    def caller_disconnected(self, call_id: int) -> None:
        """Note that the caller of an open call went away."""


class sweep(Event):
    """Look for connections that send too slowly."""


class proceed(Event):
    """Handle the next of the requests that a connection sent at once."""


@dataclass(eq=False, slots=True)
class _Connection:
    """Hold one connection; `since` is when its unfinished request began."""

    sock: socket
    since: float
    reader: RequestReader
    call: int | None = None
    request: HttpRequest | None = None
    ended: bool = False
    lingering: bool = False

    @property
    def idle(self) -> bool:
        """Tell whether nothing of a request is here."""
        return self.call is None and not self.reader.partial


class WebServer(BaseComponent, ServerOwner):
    """Serve HTTP on one address, with bounded bodies, connections and time."""

    def __init__(
        self,
        bind: str,
        service: WebService,
        channel: str = "web",
        clock: Callable[[], float] = time.monotonic,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        super().__init__(channel=channel)
        self._max_body_bytes = max_body_bytes
        self._service = service
        self._clock = clock
        self._next_call = 1
        self._draining = False
        self._calls: dict[int, _Connection] = {}
        self._connections: dict[socket, _Connection] = {}
        self._sockets = ServerSockets(bind, self, channel).register(self)
        Timer(SWEEP_INTERVAL_S, sweep(), channel, persist=True).register(self)

    @property
    def port(self) -> int:
        """Return the port the server listens on."""
        return self._sockets.port

    @property
    def open_calls(self) -> int:
        """Return the number of calls without a reply."""
        return len(self._calls)

    @property
    def connections(self) -> int:
        """Return the number of connections that stand."""
        return len(self._connections)

    def reply(self, call_id: int, reply: HttpResponse) -> None:
        """Send the reply of a call; a call whose caller left is ignored."""
        connection = self._calls.pop(call_id, None)
        if connection is None:
            return
        request, connection.request = connection.request, None
        connection.call = None
        if self._draining:
            request = replace(request, keep_alive=False)
        connection.since = self._clock()
        self._sockets.send(connection.sock, encode_reply(reply, request))
        if not request.keep_alive:
            self._finish(connection)
        elif connection.reader.buffered:
            if not connection.ended:
                self._sockets.resume(connection.sock)
            self.fire(proceed(connection))
        elif connection.ended:
            self._sockets.end(connection.sock)

    def drain(self) -> None:
        """Close each connection with its next reply, and idle ones when asked to."""
        self._draining = True

    def close_idle_connections(self) -> None:
        """Close the connections on which nothing of a request has come."""
        for connection in [c for c in self._connections.values() if c.idle]:
            self._sockets.end(connection.sock)

    def abort_call(self, call_id: int) -> None:
        """Close the connection of a call without a reply."""
        connection = self._calls.pop(call_id, None)
        if connection is not None:
            self._sockets.end(connection.sock)

    def accepted(self, sock: socket) -> None:
        """Take a connection; beyond the bound an idle one makes room for it.

        Idle connections that are never used would otherwise lock all callers out.
        """
        connection = _Connection(sock, self._clock(), self._reader())
        self._connections[sock] = connection
        count = len(self._connections)
        if count <= MAX_CONNECTIONS:
            return
        idle = next((c for c in self._connections.values() if c.idle), connection)
        if idle is not connection:
            self._sockets.end(idle.sock)
        elif count <= MAX_CONNECTIONS + MAX_REFUSED_CONNECTIONS:
            text = f"more than {MAX_CONNECTIONS} connections"
            self._refuse(connection, refusal_response(FailureCode.OVERLOADED, text))
        else:
            self._sockets.end(sock)

    def received(self, sock: socket, data: bytes) -> None:
        """Take what a caller sent."""
        connection = self._connections[sock]
        if not data:
            self._end_of_data(connection)
        elif not connection.lingering:
            if connection.idle:
                connection.since = self._clock()
            connection.reader.feed(data)
            self._advance(connection)

    def gone(self, sock: socket) -> None:
        """Forget a connection, and tell the service of its open call."""
        connection = self._connections.pop(sock)
        if self._calls.pop(connection.call, None) is not None:
            self._service.caller_disconnected(connection.call)

    def _reader(self) -> RequestReader:
        return RequestReader(self._max_body_bytes)

    def _end_of_data(self, connection: _Connection) -> None:
        """Answer a caller that shut its sending side, then close.

        It may still read: its open call is answered, and a request that it cut off
        is refused in words instead of by a close.
        """
        connection.ended = True
        if connection.lingering or connection.idle:
            self._sockets.end(connection.sock)
            return
        # An ended connection stays readable, and the loop would spin on it.
        self._sockets.pause(connection.sock)
        self._advance(connection)

    @handler("proceed")
    def _advance(self, connection: _Connection) -> None:
        """Handle one request, if a whole one is here and none is open."""
        if connection.lingering or connection.sock not in self._connections:
            return
        if connection.call is not None:
            if connection.reader.buffered > self._max_body_bytes + MAX_HEAD_BYTES:
                self._sockets.pause(connection.sock)
            return
        try:
            request = connection.reader.take()
        except RequestError as error:
            self._refuse(connection, refusal_response(error.code, str(error)))
            return
        if request is not None:
            self._call(connection, request)
        elif connection.ended:
            text = "the request ended before it was whole"
            self._refuse(connection, refusal_response(FailureCode.INVALID, text))
        elif connection.reader.wants_continue():
            self._sockets.send(connection.sock, CONTINUE)

    def _call(self, connection: _Connection, request: HttpRequest) -> None:
        number = self._next_call
        self._next_call += 1
        connection.call = number
        connection.request = request
        self._calls[number] = connection
        call = Call(
            number,
            request.method,
            request.path,
            request.query,
            request.headers,
            request.body,
        )
        try:
            self._service.handle_call(call)
        except Exception:
            # circuits drops exceptions in silence, and the caller would wait.
            log.exception("call failed", extra={"path": call.path})
            text = "an internal error; whether the job ran is unknown"
            code = FailureCode.OUTCOME_UNKNOWN
            failed = Answer(JobState.FAILED, code=code, message=text)
            self.reply(number, answer_response(failed))

    def _refuse(self, connection: _Connection, reply: HttpResponse) -> None:
        """Answer what was not read to its end, and close."""
        self._sockets.send(connection.sock, encode_reply(reply, None))
        self._finish(connection)

    def _finish(self, connection: _Connection) -> None:
        if connection.ended:
            self._sockets.end(connection.sock)
            return
        connection.lingering = True
        connection.reader = self._reader()
        connection.since = self._clock()
        self._sockets.resume(connection.sock)
        self._sockets.finish(connection.sock)

    @handler("exception", channel="*")
    def _on_exception(self, _type, _error, trace, handler=None, fevent=None) -> None:
        """Log what a handler raised; circuits drops it in silence."""
        log.error("handler failed", extra={"event": repr(fevent), "trace": trace})

    @handler("sweep")
    def _on_sweep(self) -> None:
        """End connections whose request does not arrive whole in time."""
        now = self._clock()
        for connection in list(self._connections.values()):
            age = now - connection.since
            if connection.lingering and age > LINGER_S:
                self._sockets.end(connection.sock)
            elif connection.call is not None or connection.idle:
                continue
            elif age > REQUEST_TIME_LIMIT_S:
                text = f"the request took over {REQUEST_TIME_LIMIT_S:.0f} s to arrive"
                self._refuse(connection, refusal_response(FailureCode.INVALID, text))
