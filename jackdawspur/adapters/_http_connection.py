"""One kept-alive HTTP connection that carries one request at a time."""

from dataclasses import dataclass
from errno import EINPROGRESS
from socket import SO_ERROR, SOL_SOCKET
from typing import Protocol

from circuits import handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp
from circuits.net.sockets import TCPClient
from circuits.web.parsers import HttpParser

from jackdawspur.adapters._deadlines import Deadline, Deadlines

__all__ = ["ConnectionOwner", "HttpConnection", "HttpReply"]

MAX_REPLY_BYTES = 8 * 1024 * 1024
READ_BYTES = 65536
RESPONSES_ONLY = 1
END_OF_HEAD = b"\r\n\r\n"
MAX_HEAD_BYTES = 65536
FOREIGN = -1


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Carry one complete reply."""

    status: int
    body: bytes


class ConnectionOwner(Protocol):
    """Hear of what happens to a connection."""

    def connection_ready(self, connection: "HttpConnection") -> None:
        """Take note that the connection stands."""

    def connection_failed(self, connection: "HttpConnection") -> None:
        """Take note that the connection never came to stand."""

    def connection_lost(self, connection: "HttpConnection") -> None:
        """Take note that a connection that stood is closed."""

    def replied(self, connection: "HttpConnection", reply: HttpReply) -> None:
        """Take the reply to the request in flight."""


class HttpConnection(TCPClient):
    """Send one request at a time and read its reply.

    Three faults of circuits' TCPClient are guarded against here. Its connect looks
    ten times a second whether it stands and sees a refusal only at the time limit,
    so `open` waits for the poller instead. A send that would block loses its data,
    so `_write` puts it back. An event of the old socket can reach the new one, so
    the handlers check the state first.
    """

    _made = 0

    def __init__(
        self,
        address: tuple[str, int],
        owner: ConnectionOwner,
        deadlines: Deadlines,
        connect_s: float,
    ) -> None:
        HttpConnection._made += 1
        channel = f"http-connection-{HttpConnection._made}"
        super().__init__(channel=channel, bufsize=READ_BYTES)
        self._address = address
        self._owner = owner
        self._deadlines = deadlines
        self._connect_s = connect_s
        self._connect_limit: Deadline | None = None
        self._in_flight = False
        self._left = False
        self._connecting = False
        self._parser = HttpParser(RESPONSES_ONLY)
        self._received = 0
        self._head: bytes | None = b""

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
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller)
        self._sock.close()
        self._sock = self._create_socket()
        limit_s = self._connect_s
        if self._sock.connect_ex(self._address) in (0, EINPROGRESS):
            self._poller.addWriter(self, self._sock)
        else:
            limit_s = 0.0
        self._connect_limit = self._deadlines.call_after(limit_s, self._fail)

    def send(self, request: bytes) -> None:
        """Send a request; the owner hears of the reply or of the loss."""
        self._in_flight = True
        self._left = False
        self._received = 0
        self._head = b""
        self._parser = HttpParser(RESPONSES_ONLY)
        self._write(request)
        if self._buffer and not self._poller.isWriting(self._sock):
            self._poller.addWriter(self, self._sock)

    def abandon(self) -> None:
        """Close at once, so that a late reply can reach no other request."""
        self._close()

    def _write(self, data: bytes) -> None:
        try:
            count = self._sock.send(data)
        except BlockingIOError:
            self._buffer.appendleft(data)
            return
        except OSError:
            # The kernel took no byte of this call, so `_left` stands as it was.
            self._close()
            return
        self._left = self._left or count > 0
        if count < len(data):
            self._buffer.appendleft(data[count:])

    def _read(self) -> None:
        if not self._connected:
            return
        try:
            data = self._sock.recv(self._bufsize)
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
        self._received += len(data)
        reply = self._parse(data)
        if reply is not None:
            # A connection that is to be closed stays busy, so nothing is sent on it.
            reusable = self._parser.should_keep_alive()
            self._in_flight = not reusable
            self._owner.replied(self, reply)
            if not reusable:
                self._close()
        elif self._parser.errno is not None or self._received > MAX_REPLY_BYTES:
            self._close()

    def _parse(self, data: bytes) -> HttpReply | None:
        # The parser never ends a first line whose CR and LF come in two reads: the
        # reply would look lost. So it is fed only once the head is complete.
        if self._head is not None:
            self._head += data
            if END_OF_HEAD not in self._head:
                if len(self._head) > MAX_HEAD_BYTES:
                    self._parser.errno = FOREIGN
                return None
            data, self._head = self._head, None
        return _parse(self._parser, data)

    def _close(self) -> None:
        self._stop_connecting()
        stood = self._connected
        super()._close()
        self._in_flight = False
        if stood:
            self._owner.connection_lost(self)

    def _stop_connecting(self) -> None:
        if self._connecting:
            self._connecting = False
            self._connect_limit.cancel()
            self._poller.discard(self._sock)
            self._sock.close()

    def _fail(self) -> None:
        self._stop_connecting()
        self._owner.connection_failed(self)

    @handler("_write", priority=2)
    def _on_writable(self, event, sock) -> None:
        if sock is not self._sock:
            event.stop()
        elif self._connecting:
            event.stop()
            self._stand(sock)

    def _stand(self, sock) -> None:
        if sock.getsockopt(SOL_SOCKET, SO_ERROR):
            self._fail()
            return
        self._connecting = False
        self._connected = True
        self._connect_limit.cancel()
        self._poller.removeWriter(sock)
        self._poller.addReader(self, sock)
        self._owner.connection_ready(self)

    @handler("_disconnect", priority=2)
    def _on_hang_up(self, event, sock) -> None:
        if sock is not self._sock:
            event.stop()
        elif self._connecting:
            event.stop()
            self._fail()


def _parse(parser: HttpParser, data: bytes) -> HttpReply | None:
    """Feed the parser; return a complete reply or None, with `errno` on nonsense."""
    try:
        parser.execute(data, len(data))
    except Exception:
        # On foreign bytes the parser raises whatever its regular expressions,
        # decoders and sums run into; any of them means that this isn't HTTP.
        parser.errno = FOREIGN
        return None
    if parser.errno is not None or not parser.is_message_complete():
        return None
    body = parser.recv_body()
    if parser.get_headers().get("Content-Length", str(len(body))) != str(len(body)):
        # More came than was declared, and the parser took all of it for the body.
        parser.errno = FOREIGN
        return None
    return HttpReply(parser.get_status_code(), body)
