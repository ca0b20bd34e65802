"""One kept-alive HTTP connection that carries one request at a time."""

from contextlib import suppress
from dataclasses import dataclass
from typing import Protocol

from circuits import handler
from circuits.net.events import connect
from circuits.net.sockets import TCPClient
from circuits.web.parsers import HttpParser

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

    Three faults of circuits' TCPClient are guarded against here. A reconnect that
    succeeds at once is reported as unreachable, so each connect gets a new socket.
    A send that would block loses its data, so `_write` puts it back. An event of
    the old socket can reach the new one, so `_read` checks the state first.
    """

    _made = 0

    def __init__(
        self, address: tuple[str, int], owner: ConnectionOwner, connect_s: float
    ) -> None:
        HttpConnection._made += 1
        channel = f"http-connection-{HttpConnection._made}"
        super().__init__(channel=channel, bufsize=READ_BYTES, connect_timeout=connect_s)
        self._address = address
        self._owner = owner
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
        """Begin to connect."""
        self._connecting = True
        with suppress(OSError):
            self._sock.close()
        self._sock = self._create_socket()
        self.fire(connect(*self._address), self)

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
            reusable = self._parser.should_keep_alive()
            self._in_flight = False
            if not reusable:
                self._close()
            self._owner.replied(self, reply)
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
        stood = self._connected
        super()._close()
        self._in_flight = False
        if stood:
            self._owner.connection_lost(self)

    @handler("connected")
    def _on_connected(self, host: str, port: int) -> None:
        self._connecting = False
        self._owner.connection_ready(self)

    @handler("unreachable")
    def _on_unreachable(self, host: str, port: int, reason=None) -> None:
        self._connecting = False
        self._owner.connection_failed(self)


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
