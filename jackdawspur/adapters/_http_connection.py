"""One kept-alive HTTP connection that carries one request at a time."""

from contextlib import suppress
from errno import EINPROGRESS
from socket import SHUT_RDWR, SO_ERROR, SOL_SOCKET, socket
from typing import Protocol

from jackdawspur.adapters._client_sockets import ClientSockets, SocketOwner
from jackdawspur.adapters._reply_reader import (
    ClientResponse,
    ReplyReader,
    UnreadableReply,
)
from jackdawspur.adapters._timer_queue import TimerHandle, TimerQueue

__all__ = ["ConnectionOwner", "HttpConnection"]

READ_BYTES = 65536


class ConnectionOwner(Protocol):
    """Hear of what happens to a connection."""

    def connection_ready(self, connection: "HttpConnection") -> None:
        """Take note that the connection stands."""

    def connection_failed(self, connection: "HttpConnection") -> None:
        """Take note that the connection never came to stand."""

    def connection_lost(self, connection: "HttpConnection") -> None:
        """Take note that a connection that stood is closed."""

    def replied(self, connection: "HttpConnection", reply: ClientResponse) -> None:
        """Take the reply to the request in flight."""


class HttpConnection(SocketOwner):
    """Send one request at a time and read its reply."""

    def __init__(
        self,
        address: tuple[str, int],
        owner: ConnectionOwner,
        sockets: ClientSockets,
        timer_queue: TimerQueue,
        connect_timeout_s: float,
    ) -> None:
        self._address = address
        self._owner = owner
        self._sockets = sockets
        self._timer_queue = timer_queue
        self._connect_s = connect_timeout_s
        self._connect_limit: TimerHandle | None = None
        self._sock: socket | None = None
        self._unsent = b""
        self._in_flight = False
        self._left = False
        self._connecting = False
        self._connected = False
        self._reader = ReplyReader()

    @property
    def connected(self) -> bool:
        """Tell whether the connection stands."""
        return self._connected

    @property
    def idle(self) -> bool:
        """Tell whether a request can be sent now."""
        return self._connected and not self._in_flight

    @property
    def connecting(self) -> bool:
        """Tell whether a connect is under way."""
        return self._connecting

    @property
    def left(self) -> bool:
        """Tell whether a byte of the request in flight may have left this host."""
        return self._left

    def open(self) -> None:
        """Begin to connect; the owner hears how it ends, never before this returns."""
        self._connecting = True
        self._sock = self._sockets.make(self)
        limit_s = self._connect_s
        if self._sock.connect_ex(self._address) in (0, EINPROGRESS):
            self._sockets.watch_writes(self._sock)
        else:
            limit_s = 0.0
        self._connect_limit = self._timer_queue.call_later(limit_s, self._fail)

    def send(self, request: bytes) -> None:
        """Send a request; the owner hears of the reply or of the loss."""
        self._in_flight = True
        self._left = False
        self._reader = ReplyReader()
        self._write(request)

    def abandon(self) -> None:
        """Close at once, so that a late reply can reach no other request."""
        self._close()

    def on_writable(self) -> None:
        """Go on with a request of which the kernel took only a part."""
        if self._connecting:
            self._stand()
        elif self._unsent:
            self._write(self._unsent)
        else:
            self._sockets.ignore_writes(self._sock)

    def on_hang_up(self) -> None:
        """Close, or take note that the connect failed."""
        if self._connecting:
            self._fail()
        else:
            self._close()

    def _write(self, data: bytes) -> None:
        try:
            count = self._sock.send(data)
        except BlockingIOError:
            count = 0
        except OSError:
            # The kernel took no byte of this call, so `_left` stands as it was.
            self._close()
            return
        self._left = self._left or count > 0
        self._unsent = data[count:]
        if self._unsent:
            self._sockets.watch_writes(self._sock)

    def on_readable(self) -> None:
        """Read a part of a reply, or the peer's close."""
        if not self._connected:
            return
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data or not self._in_flight:
            # The peer closed, or it speaks without being asked.
            self._close()
            return
        self._take(data)

    def _take(self, data: bytes) -> None:
        try:
            reply = self._reader.feed(data)
        except UnreadableReply:
            self._close()
            return
        if reply is not None:
            # A connection that is to be closed stays busy, so nothing is sent on it.
            reusable = self._reader.keeps_alive
            self._in_flight = not reusable
            self._owner.replied(self, reply)
            if not reusable:
                self._close()

    def _close(self) -> None:
        self._stop_connecting()
        self._in_flight = False
        if not self._connected:
            return
        self._connected = False
        self._unsent = b""
        with suppress(OSError):
            # The peer may have closed first, and then there is nothing to shut down.
            self._sock.shutdown(SHUT_RDWR)
        self._sockets.close(self._sock)
        self._owner.connection_lost(self)

    def _stop_connecting(self) -> None:
        if self._connecting:
            self._connecting = False
            self._connect_limit.cancel()
            self._sockets.close(self._sock)

    def _fail(self) -> None:
        self._stop_connecting()
        self._owner.connection_failed(self)

    def _stand(self) -> None:
        if self._sock.getsockopt(SOL_SOCKET, SO_ERROR):
            self._fail()
            return
        self._connecting = False
        self._connected = True
        self._connect_limit.cancel()
        self._sockets.ignore_writes(self._sock)
        self._sockets.watch_reads(self._sock)
        self._owner.connection_ready(self)
