"""A bounded pool of persistent HTTP connections to one address."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from circuits import BaseComponent
from result import Err, Ok, Result

from jackdawspur.adapters._client_sockets import ClientSockets
from jackdawspur.adapters._http_connection import HttpConnection
from jackdawspur.adapters._reply_reader import ClientResponse
from jackdawspur.adapters._timer_queue import TimerHandle, TimerQueue
from jackdawspur.external import OutcomeUnknown, PlatformError, Unavailable

__all__ = ["HttpClient", "HttpClientLimits", "ResponseCallback"]

Headers = tuple[tuple[str, str], ...]
ResponseCallback = Callable[[Result[ClientResponse, PlatformError]], None]


@dataclass(frozen=True, slots=True)
class HttpClientLimits:
    """Limits of a client."""

    max_connections: int = 8
    max_pending_requests: int = 1024
    connect_timeout_s: float = 1.0


@dataclass(eq=False, slots=True)
class _PendingRequest:
    data: bytes
    done: ResponseCallback
    timer: TimerHandle | None = field(default=None)


class HttpClient(BaseComponent):
    """Sends requests to one address, each at most once.

    A request ends with its reply, with `Unavailable` if no byte of it was sent, or
    with `OutcomeUnknown`. After its end it is neither sent nor matched to a reply.
    """

    channel = "http-client"

    def init(
        self,
        address: tuple[str, int],
        timer_queue: TimerQueue,
        limits: HttpClientLimits | None = None,
    ) -> None:
        """Initialize without connections; circuits passes the arguments."""
        self._address = address
        self._timer_queue = timer_queue
        self._limits = limits or HttpClientLimits()
        self._connections: list[HttpConnection] = []
        self._waiting: deque[_PendingRequest] = deque()
        self._in_flight: dict[HttpConnection, _PendingRequest] = {}
        self._peer = f"{address[0]}:{address[1]}"
        self._closed = False

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a connection."""
        return len(self._waiting)

    @property
    def in_flight(self) -> int:
        """Return the number of requests sent without a reply so far."""
        return len(self._in_flight)

    def request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        done: ResponseCallback,
        headers: Headers = (),
    ) -> None:
        """Send a request; `done` is called once, and only after this method returns.

        It gets the response, `Unavailable` or `OutcomeUnknown`.
        """
        pending = _PendingRequest(self._encode(method, path, body, headers), done)
        if self._closed or len(self._waiting) >= self._limits.max_pending_requests:
            refusal = Unavailable(f"client of {self._peer} is closed or its queue full")
            self._timer_queue.call_later(0.0, lambda: done(Err(refusal)))
            return
        pending.timer = self._timer_queue.call_later(
            timeout_s, lambda: self._on_timeout(pending)
        )
        self._waiting.append(pending)
        self._send_waiting()

    def connect_all(self) -> None:
        """Open all connections up to the limit in advance."""
        while len(self._connections) < self._limits.max_connections:
            self._add_connection()

    def close(self) -> None:
        """Close all connections; waiting and in-flight requests end with an error."""
        self._closed = True
        self._fail_waiting()
        for connection in self._connections:
            connection.abandon()

    def connection_ready(self, connection: HttpConnection) -> None:
        """Send waiting requests on a new connection."""
        self._send_waiting()

    def connection_failed(self, connection: HttpConnection) -> None:
        """Fail the waiting requests unless another connection can still send them."""
        if not any(conn.connected or conn.connecting for conn in self._connections):
            self._fail_waiting()

    def connection_lost(self, connection: HttpConnection) -> None:
        """End the request in flight, or queue it again if no byte of it was sent.

        If the peer closed a persistent connection, this is noticed when a send fails.
        The kernel then accepted no byte, so sending again can't duplicate the request.
        """
        pending = self._in_flight.pop(connection, None)
        if pending is not None and connection.any_byte_sent:
            self._end(
                pending,
                Err(
                    OutcomeUnknown(
                        f"{self._peer} closed the connection during a request"
                    )
                ),
            )
        elif pending is not None:
            self._waiting.appendleft(pending)
        self._send_waiting()

    def reply_received(self, connection: HttpConnection, reply: ClientResponse) -> None:
        """Pass the reply to the one request in flight on the connection."""
        pending = self._in_flight.pop(connection)
        self._send_waiting()
        self._end(pending, Ok(reply))

    def _encode(self, method: str, path: str, body: bytes, headers: Headers) -> bytes:
        extra = "".join(f"{name}: {value}\r\n" for name, value in headers)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self._peer}\r\n{extra}"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def _send_waiting(self) -> None:
        for connection in self._connections:
            if not self._waiting:
                return
            if connection.idle:
                self._send(connection)
        self._open_connections()

    def _send(self, connection: HttpConnection) -> None:
        pending = self._waiting.popleft()
        self._in_flight[connection] = pending
        connection.send(pending.data)

    def _open_connections(self) -> None:
        opening = sum(conn.connecting for conn in self._connections)
        for connection in self._connections:
            if opening >= len(self._waiting):
                return
            if not connection.connected and not connection.connecting:
                connection.open()
                opening += 1
        while (
            opening < len(self._waiting)
            and len(self._connections) < self._limits.max_connections
        ):
            self._add_connection()
            opening += 1

    def _add_connection(self) -> None:
        connection = HttpConnection(
            self._address,
            self,
            ClientSockets.of(self),
            self._timer_queue,
            self._limits.connect_timeout_s,
        )
        self._connections.append(connection)
        connection.open()

    def _on_timeout(self, pending: _PendingRequest) -> None:
        if pending in self._waiting:
            self._waiting.remove(pending)
            self._end(
                pending, Err(Unavailable(f"no free connection to {self._peer} in time"))
            )
            return
        for connection, in_flight_request in self._in_flight.items():
            if in_flight_request is pending:
                del self._in_flight[connection]
                any_byte_sent = connection.any_byte_sent
                connection.abandon()
                self._end(pending, Err(_timeout_error(self._peer, any_byte_sent)))
                return

    def _fail_waiting(self) -> None:
        pending_requests, self._waiting = self._waiting, deque()
        for pending in pending_requests:
            self._end(pending, Err(Unavailable(f"can't connect to {self._peer}")))

    def _end(
        self, pending: _PendingRequest, outcome: Result[ClientResponse, PlatformError]
    ) -> None:
        pending.timer.cancel()
        pending.done(outcome)


def _timeout_error(host: str, any_byte_sent: bool) -> PlatformError:
    if any_byte_sent:
        return OutcomeUnknown(f"{host} sent no reply in time")
    return Unavailable(f"{host} accepted no byte in time")
