"""Server sockets of circuits that pass bytes to their owner directly."""

import abc
import math
from collections.abc import Callable
from errno import EAGAIN, ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPERM
from socket import MSG_PEEK, SHUT_WR, SO_RCVBUF, SO_SNDBUF, SOL_SOCKET, socket

from circuits import handler
from circuits.net.sockets import TCPServer

__all__ = ["ServerOwner", "ServerSockets"]

READ_BYTES = 65_536
# Buffers of the kernel for each connection, whose memory also counts for the machine.
# It would otherwise enlarge them to several megabytes.
KERNEL_BUFFER_BYTES = 32_768
# Connections that are accepted in one pass of the loop.
MAX_ACCEPTS = 128
# No connection waits, the client has left, or the system lacks a resource for it.
ACCEPT_ERRORS = (EAGAIN, ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPERM)


class ServerOwner(abc.ABC):
    """Receiver of connection events as direct calls, without events of circuits."""

    @abc.abstractmethod
    def on_accepted(self, sock: socket) -> None:
        """Handle a new connection."""

    @abc.abstractmethod
    def on_received(self, sock: socket, data: bytes) -> None:
        """Process bytes; empty bytes mean that the peer has stopped sending."""

    @abc.abstractmethod
    def on_sent(self, sock: socket) -> None:
        """Handle that all bytes for a peer were sent."""

    @abc.abstractmethod
    def on_closed(self, sock: socket) -> None:
        """Handle the close of a connection."""


class ServerSockets(TCPServer):
    """Serves connections without events between the poller and the owner.

    Each event of circuits waits for an iteration of the loop, behind everything else
    that the iteration handles: read, request, response and two writes took five
    iterations per request.
    """

    def __init__(
        self,
        bind: str,
        owner: ServerOwner,
        channel: str,
        clock: Callable[[], float],
    ) -> None:
        super().__init__(bind, channel=channel, bufsize=READ_BYTES)
        self._owner = owner
        self._clock = clock
        # Since when connections may have waited to be accepted, infinity if none do.
        self.backlog_since = math.inf
        # Connections inherit them from the listening socket.
        self._sock.setsockopt(SOL_SOCKET, SO_RCVBUF, KERNEL_BUFFER_BYTES)
        self._sock.setsockopt(SOL_SOCKET, SO_SNDBUF, KERNEL_BUFFER_BYTES)

    def send(self, sock: socket, data: bytes) -> None:
        """Send what the kernel accepts now and the rest once the socket is writable."""
        if self._buffers.get(sock):
            self._buffers[sock].append(data)
            return
        self._write(sock, data)
        if self._buffers.get(sock) and not self._poller.isWriting(sock):
            self._poller.addWriter(self, sock)

    def shut_down_sending(self, sock: socket) -> None:
        """Shut down the sending side; the peer may continue to send.

        Closing with unread bytes resets the connection, and a caller that is still
        sending would lose the refusal with its reason. If bytes are still unsent, the
        connection is closed once they are sent.
        """
        if self._buffers.get(sock):
            self.close(sock)
            return
        try:
            sock.shutdown(SHUT_WR)
        except OSError:
            self._close(sock)

    def close_when_sent(self, sock: socket) -> None:
        """Close the connection once all bytes are sent."""
        self.close(sock)

    def abort(self, sock: socket) -> None:
        """Close the connection at once; bytes that are not sent yet are lost."""
        self._close(sock)

    def unsent_bytes(self, sock: socket) -> int:
        """Return the number of bytes that the kernel has not accepted yet."""
        buffer = self._buffers.get(sock)
        return sum(map(len, buffer)) if buffer else 0

    def unread_since(self, sock: socket, since: float) -> float:
        """Return `since` if received bytes wait to be read, else infinity."""
        if since == math.inf:
            return since
        try:
            return since if sock.recv(1, MSG_PEEK) else math.inf
        except OSError:
            return math.inf

    def pause_reading(self, sock: socket) -> None:
        """Stop reading, so that the kernel applies back pressure to the peer."""
        self._poller.removeReader(sock)

    def resume_reading(self, sock: socket) -> None:
        """Resume reading."""
        if not self._poller.isReading(sock):
            self._poller.addReader(self, sock)

    def _accept(self) -> None:
        """Accept the connections that wait, up to a bound.

        circuits accepts one in each pass of the loop, so a caller would wait for as
        many passes as there are connections before it, each with the reads of a crowd.
        """
        for _ in range(MAX_ACCEPTS):
            try:
                sock, _address = self._sock.accept()
            except OSError as error:
                if error.errno not in ACCEPT_ERRORS:
                    raise
                if error.errno == EAGAIN:
                    self.backlog_since = math.inf
                    return
                break
            self._on_accept_done(sock)
        self.backlog_since = min(self.backlog_since, self._clock())

    def _on_accept_done(self, sock: socket, _fire_connect_event: bool = True) -> None:
        super()._on_accept_done(sock, False)
        self._owner.on_accepted(sock)

    def _read(self, sock: socket) -> None:
        if sock not in self._clients:
            return
        try:
            data = sock.recv(self._bufsize)
        except BlockingIOError:
            return
        except OSError:
            self._close(sock)
            return
        self._owner.on_received(sock, data)

    def _write(self, sock: socket, data: bytes) -> None:
        super()._write(sock, data)
        if sock in self._clients and not self._buffers.get(sock):
            self._owner.on_sent(sock)

    def _close(self, sock: socket) -> None:
        was_connected = sock in self._clients
        if sock in self._closeq:
            self._closeq.remove(sock)
        super()._close(sock)
        if was_connected:
            self._owner.on_closed(sock)

    @handler("disconnect")
    def _on_disconnected(self, sock: socket) -> None:
        """Remove a buffer that circuits created again for a closed socket.

        A queued `_write` event of a socket that was just closed creates a new, empty
        buffer for it, which would leak one socket object per such connection.
        """
        self._buffers.pop(sock, None)
