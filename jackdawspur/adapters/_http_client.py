"""A bounded pool of kept-alive HTTP connections to one address."""

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

__all__ = ["HttpClient", "HttpClientLimits", "Replied"]

Headers = tuple[tuple[str, str], ...]
Replied = Callable[[Result[ClientResponse, PlatformError]], None]


@dataclass(frozen=True, slots=True)
class HttpClientLimits:
    """Bound a client: connections, waiting requests, seconds to connect."""

    max_connections: int = 8
    max_pending_requests: int = 1024
    connect_timeout_s: float = 1.0


@dataclass(eq=False, slots=True)
class _Call:
    data: bytes
    done: Replied
    deadline: TimerHandle | None = field(default=None)


class HttpClient(BaseComponent):
    """Send requests to one address, each at most once.

    A request ends in its reply, in `Unavailable` when no byte of it left this
    host, or in `OutcomeUnknown`. After that nothing of it is sent or matched.
    """

    channel = "http-client"

    def init(
        self,
        address: tuple[str, int],
        timer_queue: TimerQueue,
        limits: HttpClientLimits | None = None,
    ) -> None:
        """Connect to nothing yet; circuits passes the constructor's arguments."""
        self._address = address
        self._timer_queue = timer_queue
        self._limits = limits or HttpClientLimits()
        self._connections: list[HttpConnection] = []
        self._waiting: deque[_Call] = deque()
        self._in_flight: dict[HttpConnection, _Call] = {}
        self._host = f"{address[0]}:{address[1]}"
        self._closed = False

    @property
    def waiting(self) -> int:
        """Return the number of requests not yet sent."""
        return len(self._waiting)

    @property
    def in_flight(self) -> int:
        """Return the number of requests sent and not yet answered."""
        return len(self._in_flight)

    def request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        done: Replied,
        headers: Headers = (),
    ) -> None:
        """Send one request; `done` is called once, never before this returns.

        Errors: `Unavailable`, `OutcomeUnknown`.
        """
        call = _Call(self._encode(method, path, body, headers), done)
        if self._closed or len(self._waiting) >= self._limits.max_pending_requests:
            refusal = Unavailable(f"no room to ask {self._host}")
            self._timer_queue.call_later(0.0, lambda: done(Err(refusal)))
            return
        call.deadline = self._timer_queue.call_later(
            timeout_s, lambda: self._late(call)
        )
        self._waiting.append(call)
        self._pump()

    def connect_all(self) -> None:
        """Connect in advance with all connections of the limit."""
        while len(self._connections) < self._limits.max_connections:
            self._add_connection()

    def close(self) -> None:
        """Drop all connections; what waits or is in flight ends in an error."""
        self._closed = True
        self._fail_waiting()
        for connection in self._connections:
            connection.abandon()

    def connection_ready(self, connection: HttpConnection) -> None:
        """Use a connection that came to stand."""
        self._pump()

    def connection_failed(self, connection: HttpConnection) -> None:
        """Fail what waits, unless another connection can still take it."""
        if not any(each.connected or each.connecting for each in self._connections):
            self._fail_waiting()

    def connection_lost(self, connection: HttpConnection) -> None:
        """End the request in flight, or queue it again when nothing of it left.

        A kept-alive connection that the peer closed is found out by the failed
        send: the kernel then took no byte, so a second send can't be a double.
        """
        call = self._in_flight.pop(connection, None)
        if call is not None and connection.left:
            self._end(call, Err(OutcomeUnknown(f"{self._host} closed in mid-request")))
        elif call is not None:
            self._waiting.appendleft(call)
        self._pump()

    def replied(self, connection: HttpConnection, reply: ClientResponse) -> None:
        """Hand the reply to the one request in flight on the connection."""
        call = self._in_flight.pop(connection)
        self._pump()
        self._end(call, Ok(reply))

    def _encode(self, method: str, path: str, body: bytes, headers: Headers) -> bytes:
        extra = "".join(f"{name}: {value}\r\n" for name, value in headers)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self._host}\r\n{extra}"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def _pump(self) -> None:
        for connection in self._connections:
            if not self._waiting:
                return
            if connection.idle:
                self._send(connection)
        self._open_more()

    def _send(self, connection: HttpConnection) -> None:
        call = self._waiting.popleft()
        self._in_flight[connection] = call
        connection.send(call.data)

    def _open_more(self) -> None:
        opening = sum(each.connecting for each in self._connections)
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

    def _late(self, call: _Call) -> None:
        if call in self._waiting:
            self._waiting.remove(call)
            self._end(call, Err(Unavailable(f"{self._host} took no request in time")))
            return
        for connection, other in self._in_flight.items():
            if other is call:
                del self._in_flight[connection]
                left = connection.left
                connection.abandon()
                self._end(call, Err(_timeout(self._host, left)))
                return

    def _fail_waiting(self) -> None:
        calls, self._waiting = self._waiting, deque()
        for call in calls:
            self._end(call, Err(Unavailable(f"can't connect to {self._host}")))

    def _end(self, call: _Call, outcome: Result[ClientResponse, PlatformError]) -> None:
        call.deadline.cancel()
        call.done(outcome)


def _timeout(host: str, left: bool) -> PlatformError:
    if left:
        return OutcomeUnknown(f"{host} gave no reply in time")
    return Unavailable(f"{host} took no byte in time")
