"""Message links between entry hosts over pynng, polled by the circuits loop."""

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
# Messages that any incarnation of a host accepts; other messages are accepted only by
# the incarnation to which they are addressed.
ANY_INCARNATION_MESSAGES = (Heartbeat, Pulse, RecordsWanted, RecordsPassed)

log = logging.getLogger(__name__)


class Links(BaseComponent):
    """Sends messages to entry hosts and receives theirs, in bounded queues."""

    channel = "links"

    def __init__(
        self,
        local_id: HostId,
        bind: str,
        poller: BasePoller,
        deliver: Callable[[HostId, Message], None],
        on_bytes_sent: Callable[[int], None],
    ) -> None:
        super().__init__()
        self._local_id = local_id
        self._deliver = deliver
        self._on_bytes_sent = on_bytes_sent
        self._stale_filter = StaleFilter()
        self._addresses: dict[str, str] = {}
        self._outboxes: dict[str, Outbox] = {}
        self._inbox = Inbox(bind, poller, MAX_MESSAGE_BYTES, self._receive)
        self._inbox.register(self)
        self.dropped_messages = 0

    def set_peers(self, hosts: tuple[EntryHost, ...]) -> None:
        """Dial the entry hosts of the configuration and disconnect from any others."""
        configured = {
            _peer_name(host.zone, host.name): host.link
            for host in hosts
            if (host.zone, host.name) != (self._local_id.zone, self._local_id.name)
        }
        for name in [n for n, a in self._addresses.items() if configured.get(n) != a]:
            self._outboxes.pop(name).close()
            del self._addresses[name]
        for name, address in configured.items():
            if name not in self._outboxes:
                self._dial(name, address)

    def _dial(self, name: str, address: str) -> None:
        self._outboxes[name] = Outbox(
            address, SEND_QUEUE, RECONNECT_MIN_MS, RECONNECT_MAX_MS
        )
        self._addresses[name] = address

    def send(self, to: HostId, message: Message) -> bool:
        """Queue a message; return False if the peer is unknown or its queue is full."""
        outbox = self._outboxes.get(_peer_name(to.zone, to.name))
        if outbox is None:
            self.dropped_messages += 1
            return False
        data = encode(Envelope(self._local_id, to, monotonic(), message))
        if not outbox.send(data):
            self.dropped_messages += 1
            return False
        self._on_bytes_sent(len(data))
        return True

    def _receive(self, data: bytes) -> None:
        try:
            envelope = decode(data)
        except LinkError as error:
            log.warning("message dropped", extra={"reason": str(error)})
            return
        if not self._is_addressed_here(envelope):
            return
        if self._stale_filter.is_stale(envelope.sender, envelope.sent_at, monotonic()):
            log.info("stale message dropped", extra={"sender": str(envelope.sender)})
            return
        self._deliver(envelope.sender, envelope.message)

    def _is_addressed_here(self, envelope: Envelope) -> bool:
        """Return whether a message is for this incarnation of this host.

        A job delegated to an earlier incarnation may have run there, and its owner
        gave it up when that incarnation died.
        """
        if isinstance(envelope.message, ANY_INCARNATION_MESSAGES):
            return envelope.to.same_host(self._local_id)
        return envelope.to == self._local_id

    def close(self) -> None:
        """Close all sockets."""
        self._inbox.close()
        for outbox in self._outboxes.values():
            outbox.close()
        self._outboxes.clear()


def _peer_name(zone: str, name: str) -> str:
    return f"{zone}.{name}"
