"""The server sockets of circuits, with bytes handed on at once and nothing kept."""

import abc
from socket import SHUT_WR, socket

from circuits import handler
from circuits.net.sockets import TCPServer

__all__ = ["ServerOwner", "ServerSockets"]

READ_BYTES = 65_536


class ServerOwner(abc.ABC):
    """Hear of what happens on connections, at once and not by events."""

    @abc.abstractmethod
    def accepted(self, sock: socket) -> None:
        """Take a new connection."""

    @abc.abstractmethod
    def received(self, sock: socket, data: bytes) -> None:
        """Take bytes; none mean that the peer sends no more."""

    @abc.abstractmethod
    def gone(self, sock: socket) -> None:
        """Take note that a connection is closed."""


class ServerSockets(TCPServer):
    """Serve connections without events between the poller and the owner.

    Each event of circuits costs a pass of the loop, behind all that the pass handles
    for others: read, request, response and two writes were five passes a request.
    """

    def __init__(self, bind: str, owner: ServerOwner, channel: str) -> None:
        super().__init__(bind, channel=channel, bufsize=READ_BYTES)
        self._owner = owner

    def send(self, sock: socket, data: bytes) -> None:
        """Send now what the kernel takes, and the rest when it can."""
        if self._buffers.get(sock):
            self._buffers[sock].append(data)
            return
        self._write(sock, data)
        if self._buffers.get(sock) and not self._poller.isWriting(sock):
            self._poller.addWriter(self, sock)

    def finish(self, sock: socket) -> None:
        """Send no more, or close once all is sent; the peer may go on sending.

        Closing with unread bytes resets the connection, and a caller that is still
        sending would lose the refusal that tells it why.
        """
        if self._buffers.get(sock):
            self.close(sock)
            return
        try:
            sock.shutdown(SHUT_WR)
        except OSError:
            self._close(sock)

    def end(self, sock: socket) -> None:
        """Close, once all is sent."""
        self.close(sock)

    def pause(self, sock: socket) -> None:
        """Leave further bytes to the kernel, which makes the peer wait."""
        self._poller.removeReader(sock)

    def resume(self, sock: socket) -> None:
        """Read again."""
        if not self._poller.isReading(sock):
            self._poller.addReader(self, sock)

    def _on_accept_done(self, sock: socket, _fire_connect_event: bool = True) -> None:
        super()._on_accept_done(sock, False)
        self._owner.accepted(sock)

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
        self._owner.received(sock, data)

    def _close(self, sock: socket) -> None:
        stood = sock in self._clients
        if sock in self._closeq:
            self._closeq.remove(sock)
        super()._close(sock)
        if stood:
            self._owner.gone(sock)

    @handler("disconnect")
    def _on_gone(self, sock: socket) -> None:
        """Forget what circuits' handlers of the same pass wrote down again.

        A queued `_write` of a socket just closed makes a new, empty buffer for it:
        one socket object would be kept for each connection that ended so.
        """
        self._buffers.pop(sock, None)
