"""A bounded HTTP server on circuits with asynchronous replies."""

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
# Connections beyond MAX_CONNECTIONS that are refused with a reply before the close;
# any further one is closed without a reply.
MAX_REFUSED_CONNECTIONS = 64
REQUEST_TIME_LIMIT_S = 10.0
# Time to wait for the peer's close after the sending side was shut down.
LINGER_S = 2.0
SWEEP_INTERVAL_S = 1.0
# Interval of probes of callers whose connection isn't read while their call is open.
PROBE_INTERVAL_S = 0.1
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP request; `call_id` identifies it in the reply."""

    call_id: int
    method: str
    path: str
    query: str
    headers: Headers
    body: bytes

    def query_flag(self, name: str) -> bool:
        """Return whether the query sets the flag to true."""
        return parse_qs(self.query).get(name, [""])[-1] == "true"

    @property
    def bearer_token(self) -> str | None:
        """Return the bearer token, or None if none was sent."""
        scheme, _, token = self.headers.get("Authorization", "").partition(" ")
        return token.strip() if scheme.lower() == "bearer" and token else None


class WebService(abc.ABC):
    """Handler of calls; it replies through `WebServer.reply`."""

    @abc.abstractmethod
    def handle_call(self, call: Call) -> None:
        """Handle one call."""

    @abc.abstractmethod
    def caller_disconnected(self, call_id: int) -> None:
        """Handle the disconnect of the caller of an open call."""


class sweep(Event):
    """Close connections that send too slowly."""


class probe(Event):
    """Probe the callers whose connection isn't read."""


class proceed(Event):
    """Handle the next pipelined request of a connection."""


@dataclass(eq=False, slots=True)
class _Connection:
    """State of one connection.

    `since` is the time when it was accepted, when its unfinished request started or
    when its last reply was sent, whichever is latest. `half_closed` means that the
    peer has shut down its sending side, `lingering` that this side has and only waits
    for the peer's close. `paused` means that it isn't read.
    """

    sock: socket
    since: float
    reader: RequestReader
    call_id: int | None = None
    request: HttpRequest | None = None
    half_closed: bool = False
    lingering: bool = False
    paused: bool = False

    @property
    def idle(self) -> bool:
        """Return whether no request is open or partly received."""
        return self.call_id is None and not self.reader.partial


class WebServer(BaseComponent, ServerOwner):
    """HTTP server on one address that bounds body sizes, connections and time."""

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
        self._next_call_id = 1
        self._draining = False
        self._calls: dict[int, _Connection] = {}
        self._connections: dict[socket, _Connection] = {}
        self._probe_timer: Timer | None = None
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
        """Return the number of established connections."""
        return len(self._connections)

    def reply(self, call_id: int, reply: HttpResponse) -> None:
        """Send the reply to a call; ignore a call whose caller has disconnected."""
        connection = self._calls.pop(call_id, None)
        if connection is None:
            return
        request, connection.request = connection.request, None
        connection.call_id = None
        if self._draining:
            request = replace(request, keep_alive=False)
        connection.since = self._clock()
        self._sockets.send(connection.sock, encode_reply(reply, request))
        if not request.keep_alive:
            self._finish_connection(connection)
        elif connection.reader.buffered:
            if not connection.half_closed:
                self._resume_reading(connection)
            self.fire(proceed(connection))
        elif connection.half_closed:
            self._sockets.close_when_sent(connection.sock)

    def set_draining(self, draining: bool) -> None:
        """Set whether each connection is closed after its next reply.

        Idle connections stay open until `close_idle_connections` is called.
        """
        self._draining = draining

    def close_idle_connections(self) -> None:
        """Close the connections without an open or partly received request."""
        for connection in [c for c in self._connections.values() if c.idle]:
            self._sockets.close_when_sent(connection.sock)

    def abort_call(self, call_id: int) -> None:
        """Close the connection of a call without a reply."""
        connection = self._calls.pop(call_id, None)
        if connection is not None:
            self._sockets.close_when_sent(connection.sock)

    def on_accepted(self, sock: socket) -> None:
        """Accept a connection; beyond the bound, close an idle one in its place.

        Otherwise idle connections that are never used would lock out all callers.
        """
        connection = _Connection(sock, self._clock(), self._new_reader())
        self._connections[sock] = connection
        count = len(self._connections)
        if count <= MAX_CONNECTIONS:
            return
        replaced = next((c for c in self._connections.values() if c.idle), connection)
        if replaced is not connection:
            self._sockets.close_when_sent(replaced.sock)
        elif count <= MAX_CONNECTIONS + MAX_REFUSED_CONNECTIONS:
            text = f"more than {MAX_CONNECTIONS} connections"
            self._refuse(connection, refusal_response(FailureCode.OVERLOADED, text))
        else:
            self._sockets.close_when_sent(sock)

    def on_received(self, sock: socket, data: bytes) -> None:
        """Process bytes from a caller."""
        connection = self._connections[sock]
        if not data:
            self._on_end_of_data(connection)
        elif not connection.lingering:
            if connection.idle:
                connection.since = self._clock()
            connection.reader.feed(data)
            self._advance(connection)

    def on_closed(self, sock: socket) -> None:
        """Remove a closed connection and report its open call to the service."""
        connection = self._connections.pop(sock)
        if self._calls.pop(connection.call_id, None) is not None:
            self._service.caller_disconnected(connection.call_id)

    def _new_reader(self) -> RequestReader:
        return RequestReader(self._max_body_bytes)

    def _on_end_of_data(self, connection: _Connection) -> None:
        """Reply to a caller that shut down its sending side, then close.

        The caller may still read: its open call is answered, and an incomplete
        request is refused with an error reply rather than by a plain close.
        """
        connection.half_closed = True
        if connection.lingering or connection.idle:
            self._sockets.close_when_sent(connection.sock)
            return
        # A half-closed socket stays readable, so polling it would spin the loop.
        self._pause_reading(connection)
        self._advance(connection)

    def _pause_reading(self, connection: _Connection) -> None:
        """Stop reading from a caller, and probe it instead.

        A caller that has closed its connection looks like one that is half-closed and
        waits for its answer. The system of the former answers a probe with a reset.
        """
        connection.paused = True
        self._sockets.pause_reading(connection.sock)
        self._probe(connection)
        if self._probe_timer is None:
            timer = Timer(PROBE_INTERVAL_S, probe(), self.channel, persist=True)
            self._probe_timer = timer.register(self)

    def _resume_reading(self, connection: _Connection) -> None:
        connection.paused = False
        self._sockets.resume_reading(connection.sock)

    def _probe(self, connection: _Connection) -> None:
        """Send an interim response, which fails if an earlier one was reset.

        Clients ignore it. Some of them ignore no other interim response than 100.
        """
        if connection.request is not None and connection.request.accepts_interim:
            self._sockets.send(connection.sock, CONTINUE)

    @handler("probe")
    def _on_probe(self) -> None:
        """Probe all callers that aren't read, and stop when there are none."""
        paused = [c for c in self._connections.values() if c.paused]
        for connection in paused:
            self._probe(connection)
        if not paused and self._probe_timer is not None:
            self._probe_timer.unregister()
            self._probe_timer = None

    @handler("proceed")
    def _advance(self, connection: _Connection) -> None:
        """Handle one request if it is complete and no other is open."""
        if connection.lingering or connection.sock not in self._connections:
            return
        if connection.call_id is not None:
            if connection.reader.buffered > self._max_body_bytes + MAX_HEAD_BYTES:
                self._pause_reading(connection)
            return
        try:
            request = connection.reader.next_request()
        except RequestError as error:
            self._refuse(connection, refusal_response(error.code, str(error)))
            return
        if request is not None:
            self._handle_request(connection, request)
        elif connection.half_closed:
            text = "the connection ended before the request was complete"
            self._refuse(connection, refusal_response(FailureCode.INVALID, text))
        elif connection.reader.needs_continue():
            self._sockets.send(connection.sock, CONTINUE)

    def _handle_request(self, connection: _Connection, request: HttpRequest) -> None:
        call_id = self._next_call_id
        self._next_call_id += 1
        connection.call_id = call_id
        connection.request = request
        self._calls[call_id] = connection
        call = Call(
            call_id,
            request.method,
            request.path,
            request.query,
            request.headers,
            request.body,
        )
        try:
            self._service.handle_call(call)
        except Exception:
            # circuits drops exceptions silently, and the caller would get no reply.
            log.exception("call failed", extra={"path": call.path})
            text = "an internal error; whether the job ran is unknown"
            code = FailureCode.OUTCOME_UNKNOWN
            failed = Answer(JobState.FAILED, code=code, message=text)
            self.reply(call_id, answer_response(failed))

    def _refuse(self, connection: _Connection, reply: HttpResponse) -> None:
        """Reply to a request that was not fully read, and close."""
        self._sockets.send(connection.sock, encode_reply(reply, None))
        self._finish_connection(connection)

    def _finish_connection(self, connection: _Connection) -> None:
        if connection.half_closed:
            self._sockets.close_when_sent(connection.sock)
            return
        connection.lingering = True
        connection.reader = self._new_reader()
        connection.since = self._clock()
        self._resume_reading(connection)
        self._sockets.shut_down_sending(connection.sock)

    @handler("exception", channel="*")
    def _on_exception(self, _type, _error, trace, handler=None, fevent=None) -> None:
        """Log an exception of a handler; circuits drops it silently."""
        log.error("handler failed", extra={"event": repr(fevent), "trace": trace})

    @handler("sweep")
    def _on_sweep(self) -> None:
        """Close connections whose request is not complete within the time limit."""
        now = self._clock()
        for connection in list(self._connections.values()):
            age = now - connection.since
            if connection.lingering and age > LINGER_S:
                self._sockets.close_when_sent(connection.sock)
            elif connection.call_id is not None or connection.idle:
                continue
            elif age > REQUEST_TIME_LIMIT_S:
                text = f"the request took over {REQUEST_TIME_LIMIT_S:.0f} s to arrive"
                self._refuse(connection, refusal_response(FailureCode.INVALID, text))
