"""A proxy before a host's link that can block the messages of single senders."""

import re
import socket

from jackdawspur.soak._proxy import Proxy

__all__ = ["LinkProxy"]

# The first bytes that each side of a link sends; they contain no host name.
GREETING = b"\x00SP\x00"
# Matches the name of a soak host in MessagePack, in a heartbeat or a job offer.
SENDER_PATTERN = re.compile(rb"(?:\xa4name|\xa6sender)\xa2(h\d)")


class LinkProxy(Proxy):
    """Forward messages to one host, except those of blocked senders."""

    def __init__(self, port: int, target: int) -> None:
        self._blocked: frozenset[str] = frozenset()
        self._senders: dict[socket.socket, str] = {}
        # Bytes that were read but not forwarded yet.
        self._unsent: dict[socket.socket, bytes] = {}
        super().__init__(port, target)

    @property
    def blocked_senders(self) -> frozenset[str]:
        """Return the hosts whose messages are held back; they stay connected."""
        return self._blocked

    @blocked_senders.setter
    def blocked_senders(self, names: frozenset[str]) -> None:
        self._blocked = names

    def _before_select(self) -> None:
        """Resume reading from senders that are no longer blocked."""
        for source in [sock for sock in self._unsent if not self._is_blocked(sock)]:
            data = self._unsent.pop(source, b"")
            if source not in self._pairs:
                # A failed send earlier in this loop has closed the connection.
                continue
            if source not in self._selector.get_map():
                self._register(source)
            if data:
                self._send(source, data)

    def _forward(self, source: socket.socket) -> None:
        blocked = self._is_blocked(source)
        if blocked and source in self._senders:
            # Leave the bytes in the kernel's buffer, as on a link that loses packets.
            self._selector.unregister(source)
            self._unsent.setdefault(source, b"")
            return
        received = self._read(source)
        # The unsent bytes of a sender that has exited are lost with it.
        data = self._unsent.pop(source, b"") + received if received else b""
        match = SENDER_PATTERN.search(data)
        if match and source not in self._senders:
            self._senders[source] = match[1].decode()
        if data and not data.startswith(GREETING) and self._is_blocked(source):
            self._unsent[source] = data
            return
        self._send(source, data)

    def _is_blocked(self, source: socket.socket) -> bool:
        """Return whether to hold back the bytes of a connection.

        An unidentified sender is held back while any sender is blocked.
        """
        sender = self._senders.get(source)
        return bool(self._blocked) if sender is None else sender in self._blocked

    def _close_pair(self, sock: socket.socket) -> None:
        other = self._pairs[sock]
        super()._close_pair(sock)
        for end in (sock, other):
            self._senders.pop(end, None)
            self._unsent.pop(end, None)
