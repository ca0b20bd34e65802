"""A bounded HTTP server on circuits with asynchronous replies."""

import logging
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial
from socket import socket

from circuits import BaseComponent, Timer, handler

from jackdawspur.adapters._process_budget import (
    BudgetedServer,
    ProcessBudget,
    Releasable,
)
from jackdawspur.adapters._reply_bytes import encode_reply
from jackdawspur.adapters._request_queue import LARGE_BYTES, RequestScheduler
from jackdawspur.adapters._requests import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    HttpRequest,
    RequestError,
    RequestReader,
)
from jackdawspur.adapters._web_connections import WebConnection, WebConnections
from jackdawspur.adapters._web_events import probe, proceed, sweep
from jackdawspur.adapters._web_service import WebService, make_call
from jackdawspur.adapters._web_sockets import ServerOwner, ServerSockets
from jackdawspur.callers import HttpResponse, answer_response, refusal_response
from jackdawspur.model import Answer, FailureCode, JobState

__all__ = ["WebServer"]

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
# Bytes that may follow a request before the connection is no longer read.
MAX_PIPELINED_BYTES = 65_536
# Time after which a client may retry that had to give way to others.
RETRY_AFTER_S = 1
# Connections are closed when the client has read nothing of its replies for this time.
UNSENT_TIME_LIMIT_S = 10.0
MAX_LOGGED_CHARACTERS = 200
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

log = logging.getLogger(__name__)


class WebServer(BaseComponent, ServerOwner, BudgetedServer):
    """HTTP server on one address that bounds body sizes, connections and time."""

    def __init__(
        self,
        bind: str,
        service: WebService,
        channel: str = "web",
        clock: Callable[[], float] = time.monotonic,
        max_body_bytes: int = MAX_BODY_BYTES,
        budget: ProcessBudget | None = None,
    ) -> None:
        super().__init__(channel=channel)
        self._max_body_bytes = max_body_bytes
        self._max_head_bytes = MAX_HEAD_BYTES
        self._budget = budget or ProcessBudget()
        self._budget.register(self)
        self._scheduler = RequestScheduler(channel, self._handle_next).register(self)
        self._service = service
        self._clock = clock
        self._next_call_id = 1
        self._draining = False
        self._calls: dict[int, WebConnection] = {}
        self._connections = WebConnections(self._budget)
        self._probe_timer: Timer | None = None
        self._sockets = ServerSockets(bind, self, channel, clock).register(self)
        Timer(SWEEP_INTERVAL_S, sweep(), channel, persist=True).register(self)

    @property
    def port(self) -> int:
        """Return the port the server listens on."""
        return self._sockets.port

    @property
    def open_calls(self) -> int:
        """Return the number of calls without a reply, also those that wait."""
        return len(self._calls) + self._scheduler.waiting

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
        connection.body_bytes = 0
        self._sockets.send(connection.sock, encode_reply(reply, request))
        if not request.keep_alive:
            self._finish_connection(connection)
        elif connection.reader.buffered:
            self._resume_requests(connection)
        elif connection.half_closed:
            self._sockets.close_when_sent(connection.sock)
        self._account(connection)

    def set_request_limits(self, max_head_bytes: int, max_body_bytes: int) -> None:
        """Set the largest requests that new connections may send."""
        self._max_head_bytes = min(MAX_HEAD_BYTES, max_head_bytes)
        self._max_body_bytes = min(MAX_BODY_BYTES, max_body_bytes)

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
        """Accept a connection; beyond the bound, close another in its place.

        Otherwise connections that are never used would lock out all callers.
        """
        connection = WebConnection(sock, self._clock(), self._new_reader())
        backlog_since = self._sockets.backlog_since
        connection.unread_since = self._sockets.unread_since(sock, backlog_since)
        self._connections[sock] = connection
        count = len(self._connections)
        if count > MAX_CONNECTIONS + MAX_REFUSED_CONNECTIONS:
            self._sockets.close_when_sent(sock)
        elif count > MAX_CONNECTIONS and not self.release_connection(connection):
            self._refuse_overloaded(connection, f"more than {count - 1} connections")
        elif not self._budget.admit_connection(connection):
            self._refuse_overloaded(connection, "no free connections")

    def on_received(self, sock: socket, data: bytes) -> None:
        """Process bytes from a caller."""
        connection = self._connections[sock]
        if not data:
            self._on_end_of_data(connection)
        elif not connection.lingering:
            now = self._clock()
            if connection.idle:
                connection.since = now
            connection.feed(data, now)
            self._account(connection)
            self._budget.reclaim()
            self._advance(connection)

    def on_sent(self, sock: socket) -> None:
        """Handle the next request of a caller that has read its replies."""
        connection = self._connections.get(sock)
        if connection is not None and connection.unsent:
            self._account(connection)
            if connection.call_id is None and connection.reader.buffered:
                self._resume_requests(connection)

    def on_closed(self, sock: socket) -> None:
        """Remove a closed connection and report its open call to the service."""
        connection = self._connections.remove(sock)
        if self._calls.pop(connection.call_id, None) is not None:
            self._service.caller_disconnected(connection.call_id)

    def releasable(self) -> Iterable[Releasable]:
        """Return the connections that can be refused or closed."""
        for connection in self._connections.values():
            if size := connection.releasable:
                release = partial(self._release, connection)
                yield Releasable(size, connection.since, release)

    def _release(self, connection: WebConnection) -> None:
        """Refuse an unfinished request, or close the connection."""
        if connection.call_id is not None:
            # The answer of the open call ends the connection, so that the client knows
            # that nothing after it was handled.
            connection.request = replace(connection.request, keep_alive=False)
            connection.reader = self._new_reader()
            self._account(connection)
            self._pause_reading(connection)
        elif connection.unsent:
            self._sockets.abort(connection.sock)
        else:
            self._refuse_overloaded(connection, "the host has no memory for it")

    def release_connection(self, newest: object) -> bool:
        """Close another connection without an open call; return False without one."""
        connection = self._connections.least_active(newest)
        if connection is None:
            return False
        self._sockets.abort(connection.sock)
        return True

    def _account(self, connection: WebConnection) -> None:
        unsent = self._sockets.unsent_bytes(connection.sock)
        self._connections.account(connection, unsent)

    def _resume_requests(self, connection: WebConnection) -> None:
        """Handle the requests that follow one that was answered."""
        if not connection.half_closed:
            self._resume_reading(connection)
        self.fire(proceed(connection))

    def _new_reader(self) -> RequestReader:
        return RequestReader(self._max_body_bytes, self._max_head_bytes)

    def _on_end_of_data(self, connection: WebConnection) -> None:
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

    def _pause_reading(self, connection: WebConnection) -> None:
        """Stop reading from a caller, and probe it instead.

        A caller that has closed its connection looks like one that is half-closed and
        waits for its answer. The system of the former answers a probe with a reset.
        """
        connection.paused = True
        connection.unread_since = min(connection.unread_since, self._clock())
        self._sockets.pause_reading(connection.sock)
        self._probe(connection)
        if self._probe_timer is None:
            timer = Timer(PROBE_INTERVAL_S, probe(), self.channel, persist=True)
            self._probe_timer = timer.register(self)

    def _resume_reading(self, connection: WebConnection) -> None:
        connection.paused = False
        self._sockets.resume_reading(connection.sock)
        since = connection.unread_since
        connection.unread_since = self._sockets.unread_since(connection.sock, since)

    def _probe(self, connection: WebConnection) -> None:
        """Send an interim response, which fails if an earlier one was reset.

        Clients ignore it. Some of them ignore no other interim response than 100.
        """
        if connection.unsent:
            # An earlier probe hasn't been read yet.
            return
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
    def _advance(self, connection: WebConnection) -> None:
        """Handle one request if it is complete and no other is open."""
        if connection.sock not in self._connections or connection.queued:
            return
        if connection.call_id is not None or connection.unsent:
            if connection.reader.buffered > MAX_PIPELINED_BYTES:
                self._pause_reading(connection)
        elif not connection.lingering:
            connection.queued = True
            self._scheduler.put(connection, connection.reader.buffered)

    def _handle_next(self, connection: WebConnection) -> None:
        """Handle the next request of a connection, or read on if it isn't complete."""
        connection.queued = False
        if connection.lingering or connection.sock not in self._connections:
            return
        try:
            request = connection.reader.next_request()
        except RequestError as error:
            self._refuse(connection, refusal_response(error.code, str(error)))
            return
        if request is not None:
            self._handle_if_free(connection, request)
        elif connection.half_closed:
            text = "the connection ended before the request was complete"
            self._refuse(connection, refusal_response(FailureCode.INVALID, text))
        elif connection.reader.needs_continue():
            self._sockets.send(connection.sock, CONTINUE)

    def _handle_if_free(self, connection: WebConnection, request: HttpRequest) -> None:
        """Handle a request; refuse a large one unless memory for others is left."""
        size = len(request.body)
        if size > LARGE_BYTES and not self._budget.make_free(2 * size):
            self._refuse_overloaded(connection, "the host has no memory for it")
        else:
            self._handle_request(connection, request)

    def _handle_request(self, connection: WebConnection, request: HttpRequest) -> None:
        call_id = self._next_call_id
        self._next_call_id += 1
        connection.call_id = call_id
        # The service decodes the body, and the reply needs only the rest.
        connection.request = replace(request, body=b"") if request.body else request
        self._calls[call_id] = connection
        call = make_call(call_id, request)
        try:
            self._service.handle_call(call)
        except Exception:
            # circuits drops exceptions silently, and the caller would get no reply.
            log.exception(
                "call failed", extra={"path": call.path[:MAX_LOGGED_CHARACTERS]}
            )
            text = "an internal error; whether the job ran is unknown"
            code = FailureCode.OUTCOME_UNKNOWN
            failed = Answer(JobState.FAILED, code=code, message=text)
            self.reply(call_id, answer_response(failed))
        if connection.call_id is not None:
            connection.body_bytes = self._service.held_bytes(call)
        self._account(connection)

    def _refuse_overloaded(self, connection: WebConnection, text: str) -> None:
        """Refuse a request for which there is no memory or no connection."""
        log.info("connection refused", extra={"reason": text, "held": connection.held})
        reply = refusal_response(FailureCode.OVERLOADED, text)
        self._refuse(connection, replace(reply, retry_after_s=RETRY_AFTER_S))

    def _refuse(self, connection: WebConnection, reply: HttpResponse) -> None:
        """Reply to a request that was not fully read, and close."""
        self._sockets.send(connection.sock, encode_reply(reply, None))
        self._finish_connection(connection)

    def _finish_connection(self, connection: WebConnection) -> None:
        if connection.half_closed:
            self._sockets.close_when_sent(connection.sock)
            return
        connection.lingering = True
        connection.reader = self._new_reader()
        connection.since = self._clock()
        self._account(connection)
        self._resume_reading(connection)
        self._sockets.shut_down_sending(connection.sock)

    @handler("exception", channel="*")
    def _on_exception(self, _type, _error, trace, handler=None, fevent=None) -> None:
        """Log an exception of a handler; circuits drops it silently."""
        log.error(
            "handler failed",
            extra={"event": repr(fevent)[:MAX_LOGGED_CHARACTERS], "trace": trace},
        )

    @handler("sweep")
    def _on_sweep(self) -> None:
        """Close connections that make no progress within their time limits."""
        now = self._clock()
        for connection in list(self._connections.values()):
            unsent = connection.unsent
            self._account(connection)
            if connection.unsent < unsent:
                connection.since = now
            self._close_overdue(connection, now - connection.since)

    def _close_overdue(self, connection: WebConnection, age: float) -> None:
        if connection.call_id is not None or connection.queued:
            return
        if connection.unsent or connection.lingering:
            if age > (UNSENT_TIME_LIMIT_S if connection.unsent else LINGER_S):
                self._sockets.abort(connection.sock)
        elif not connection.idle and age > REQUEST_TIME_LIMIT_S:
            text = f"the request took over {REQUEST_TIME_LIMIT_S:.0f} s to arrive"
            self._refuse(connection, refusal_response(FailureCode.INVALID, text))
