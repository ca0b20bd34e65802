"""A persistent HTTP connection that carries one request at a time."""

from contextlib import suppress
from errno import EINPROGRESS
from socket import SHUT_RDWR, SO_ERROR, SOL_SOCKET, socket
from typing import Protocol

from jackdawspur.adapters._client_sockets import ClientSockets, SocketOwner
from jackdawspur.adapters._reply_reader import (
    ClientResponse,
    ReplyDecodeError,
    ReplyReader,
)
from jackdawspur.adapters._timer_queue import TimerHandle, TimerQueue

__all__ = ["ConnectionOwner", "HttpConnection"]

READ_BYTES = 65536


class ConnectionOwner(Protocol):
    """Receiver of the events of a connection."""

    def connection_ready(self, connection: "HttpConnection") -> None:
        """Handle an established connection."""

    def connection_failed(self, connection: "HttpConnection") -> None:
        """Handle a failed connection attempt."""

    def connection_lost(self, connection: "HttpConnection") -> None:
        """Handle the close of an established connection."""

    def reply_received(
        self, connection: "HttpConnection", reply: ClientResponse
    ) -> None:
        """Handle the reply to the request in flight."""


class HttpConnection(SocketOwner):
    """Sends one request at a time and reads its reply."""

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
        self._connect_timeout_s = connect_timeout_s
        self._connect_timer: TimerHandle | None = None
        self._sock: socket | None = None
        self._unsent = b""
        self._in_flight = False
        self._any_byte_sent = False
        self._connecting = False
        self._connected = False
        self._reader = ReplyReader()

    @property
    def connected(self) -> bool:
        """Return whether the connection is established."""
        return self._connected

    @property
    def idle(self) -> bool:
        """Return whether a request can be sent now."""
        return self._connected and not self._in_flight

    @property
    def connecting(self) -> bool:
        """Return whether a connection attempt is in progress."""
        return self._connecting

    @property
    def any_byte_sent(self) -> bool:
        """Return whether a byte of the request in flight may have been sent."""
        return self._any_byte_sent

    def open(self) -> None:
        """Start to connect; the owner is notified of the result after this returns."""
        self._connecting = True
        self._sock = self._sockets.create_socket(self)
        timeout_s = self._connect_timeout_s
        if self._sock.connect_ex(self._address) in (0, EINPROGRESS):
            self._sockets.watch_writes(self._sock)
        else:
            timeout_s = 0.0
        self._connect_timer = self._timer_queue.call_later(timeout_s, self._fail)

    def send(self, request: bytes) -> None:
        """Send a request; the owner is notified of a reply or a lost connection."""
        self._in_flight = True
        self._any_byte_sent = False
        self._reader = ReplyReader()
        self._write(request)

    def abandon(self) -> None:
        """Close at once, so that a late reply can't be matched to another request."""
        self._close()

    def on_writable(self) -> None:
        """Complete a connection attempt, or send the rest of a partly sent request."""
        if self._connecting:
            self._on_connected()
        elif self._unsent:
            self._write(self._unsent)
        else:
            self._sockets.ignore_writes(self._sock)

    def on_hang_up(self) -> None:
        """Close the connection, or fail the connection attempt."""
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
            # The kernel accepted no byte now, so `_any_byte_sent` is unchanged.
            self._close()
            return
        self._any_byte_sent = self._any_byte_sent or count > 0
        self._unsent = data[count:]
        if self._unsent:
            self._sockets.watch_writes(self._sock)

    def on_readable(self) -> None:
        """Read a part of a reply, or detect that the peer closed the connection."""
        if not self._connected:
            return
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data or not self._in_flight:
            # The peer closed the connection, or sent data without a request.
            self._close()
            return
        self._on_data(data)

    def _on_data(self, data: bytes) -> None:
        try:
            reply = self._reader.feed(data)
        except ReplyDecodeError:
            self._close()
            return
        if reply is not None:
            # A connection about to be closed stays busy, so that nothing is sent on it.
            reusable = self._reader.keep_alive
            self._in_flight = not reusable
            self._owner.reply_received(self, reply)
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
            # If the peer closed first, there is nothing to shut down.
            self._sock.shutdown(SHUT_RDWR)
        self._sockets.close(self._sock)
        self._owner.connection_lost(self)

    def _stop_connecting(self) -> None:
        if self._connecting:
            self._connecting = False
            self._connect_timer.cancel()
            self._sockets.close(self._sock)

    def _fail(self) -> None:
        self._stop_connecting()
        self._owner.connection_failed(self)

    def _on_connected(self) -> None:
        if self._sock.getsockopt(SOL_SOCKET, SO_ERROR):
            self._fail()
            return
        self._connecting = False
        self._connected = True
        self._connect_timer.cancel()
        self._sockets.ignore_writes(self._sock)
        self._sockets.watch_reads(self._sock)
        self._owner.connection_ready(self)
