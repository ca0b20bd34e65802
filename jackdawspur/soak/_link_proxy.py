"""A proxy before a host's link that can keep back what single hosts send."""

import re
import socket

from jackdawspur.soak._proxy import Proxy

__all__ = ["LinkProxy"]

# The first bytes of each side of a link, which name nobody.
GREETING = b"\x00SP\x00"
# The name of one of the soak's hosts in MessagePack, in a heartbeat or an offer.
SENDER = re.compile(rb"(?:\xa4name|\xa6sender)\xa2(h\d)")


class LinkProxy(Proxy):
    """Pass on what hosts send to one host, but for those of them that are cut off."""

    def __init__(self, port: int, target: int) -> None:
        self._cut: frozenset[str] = frozenset()
        self._senders: dict[socket.socket, str] = {}
        # What was read but is not passed on yet.
        self._kept: dict[socket.socket, bytes] = {}
        super().__init__(port, target)

    @property
    def blocked_senders(self) -> frozenset[str]:
        """Return the hosts whose messages are kept back; these stay connected."""
        return self._cut

    @blocked_senders.setter
    def blocked_senders(self, names: frozenset[str]) -> None:
        self._cut = names

    def _before_wait(self) -> None:
        """Read again from hosts that are not cut off any more."""
        for source in [one for one in self._kept if not self._keeps_back(one)]:
            data = self._kept.pop(source, b"")
            if source not in self._pairs:
                # What was sent before has shown that its pair broke off.
                continue
            if source not in self._selector.get_map():
                self._watch(source)
            if data:
                self._send(source, data)

    def _pass(self, source: socket.socket) -> None:
        cut = self._keeps_back(source)
        if cut and source in self._senders:
            # Nothing is read: the kernel keeps it, as on a link whose packets get lost.
            self._selector.unregister(source)
            self._kept.setdefault(source, b"")
            return
        fresh = self._read(source)
        # What a host that ended meanwhile had sent is lost with it.
        data = self._kept.pop(source, b"") + fresh if fresh else b""
        named = SENDER.search(data)
        if named and source not in self._senders:
            self._senders[source] = named[1].decode()
        if data and not data.startswith(GREETING) and self._keeps_back(source):
            self._kept[source] = data
            return
        self._send(source, data)

    def _keeps_back(self, source: socket.socket) -> bool:
        """Tell whether bytes wait; of unknown senders they do during any cut."""
        sender = self._senders.get(source)
        return bool(self._cut) if sender is None else sender in self._cut

    def _drop(self, one: socket.socket) -> None:
        other = self._pairs[one]
        super()._drop(one)
        for end in (one, other):
            self._senders.pop(end, None)
            self._kept.pop(end, None)
