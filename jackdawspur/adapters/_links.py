"""Links between entry hosts over pynng, polled by the circuits loop."""

import logging
from collections.abc import Callable
from time import monotonic

from circuits import BaseComponent
from circuits.core.pollers import BasePoller

from jackdawspur.adapters._queues import Inbox, Outbox
from jackdawspur.links import Envelope, LinkError, StaleFilter, decode, encode
from jackdawspur.messages import Heartbeat, Message, Pulse, RecordsPassed, RecordsWanted
from jackdawspur.model import EntryHost, HostId

__all__ = ["Links"]

SEND_QUEUE = 256
MAX_MESSAGE_BYTES = 8_388_608
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000
# These concern any run of the host; all others are for the one run they name.
FOR_ANY_RUN = (Heartbeat, Pulse, RecordsWanted, RecordsPassed)

log = logging.getLogger(__name__)


class Links(BaseComponent):
    """Send messages to entry hosts and receive theirs, in bounded queues."""

    channel = "links"

    def __init__(
        self,
        own: HostId,
        bind: str,
        poller: BasePoller,
        deliver: Callable[[HostId, Message], None],
        bytes_sent: Callable[[int], None],
    ) -> None:
        super().__init__()
        self._own = own
        self._deliver = deliver
        self._bytes_sent = bytes_sent
        self._stale = StaleFilter()
        self._addresses: dict[str, str] = {}
        self._out: dict[str, Outbox] = {}
        self._in = Inbox(bind, poller, MAX_MESSAGE_BYTES, self._receive)
        self._in.register(self)
        self.dropped_messages = 0

    def set_peers(self, hosts: tuple[EntryHost, ...]) -> None:
        """Dial the entry hosts of the configuration and leave those no longer in it."""
        wanted = {
            _name(host.zone, host.name): host.link
            for host in hosts
            if (host.zone, host.name) != (self._own.zone, self._own.name)
        }
        for name in [n for n, a in self._addresses.items() if wanted.get(n) != a]:
            self._out.pop(name).close()
            del self._addresses[name]
        for name, address in wanted.items():
            if name not in self._out:
                self._dial(name, address)

    def _dial(self, name: str, address: str) -> None:
        self._out[name] = Outbox(
            address, SEND_QUEUE, RECONNECT_MIN_MS, RECONNECT_MAX_MS
        )
        self._addresses[name] = address

    def send(self, to: HostId, message: Message) -> bool:
        """Queue a message; False when the peer is unknown or its queue is full."""
        outbox = self._out.get(_name(to.zone, to.name))
        if outbox is None:
            self.dropped_messages += 1
            return False
        data = encode(Envelope(self._own, to, monotonic(), message))
        if not outbox.send(data):
            self.dropped_messages += 1
            return False
        self._bytes_sent(len(data))
        return True

    def _receive(self, data: bytes) -> None:
        try:
            envelope = decode(data)
        except LinkError as error:
            log.warning("message dropped", extra={"reason": str(error)})
            return
        if not self._is_for_me(envelope):
            return
        if self._stale.is_stale(envelope.sender, envelope.sent_at, monotonic()):
            log.info("stale message dropped", extra={"sender": str(envelope.sender)})
            return
        self._deliver(envelope.sender, envelope.message)

    def _is_for_me(self, envelope: Envelope) -> bool:
        """Refuse messages meant for an earlier run of this host.

        A job delegated to the run that died may have run there; its owner gave it up.
        """
        if isinstance(envelope.message, FOR_ANY_RUN):
            return envelope.to.same_host(self._own)
        return envelope.to == self._own

    def close(self) -> None:
        """Close all sockets."""
        self._in.close()
        for outbox in self._out.values():
            outbox.close()
        self._out.clear()


def _name(zone: str, name: str) -> str:
    return f"{zone}.{name}"
