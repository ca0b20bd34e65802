"""Transport of messages between hosts over pynng, polled by the circuits loop."""

import logging
from collections.abc import Callable

from circuits import BaseComponent
from circuits.core.pollers import BasePoller

from jackdawspur.adapters import Inbox, Outbox
from jackdawspur.group import (
    GroupMessage,
    GroupMessageDecodeError,
    GroupMessageEncodeError,
    HostAddress,
    decode_message,
    encode_message,
)

__all__ = ["Mesh"]

SEND_QUEUE_LENGTH = 128
MAX_MESSAGE_BYTES = 4_194_304
RECONNECT_MIN_MS = 20
RECONNECT_MAX_MS = 300
# Maximum number of dials in one pass of the loop. Each takes one or two milliseconds of
# processor time. A leader that dialled a hundred hosts in one pass would block while
# its followers wait for its heartbeats.
DIALS_PER_PASS = 8

log = logging.getLogger(__name__)


class Mesh(BaseComponent):
    """Sends messages to hosts and receives theirs, with bounded queues."""

    channel = "mesh"

    def __init__(
        self, bind: str, poller: BasePoller, deliver: Callable[[GroupMessage], None]
    ) -> None:
        super().__init__()
        self._deliver = deliver
        self._outboxes: dict[str, tuple[HostAddress, Outbox]] = {}
        Inbox(bind, poller, MAX_MESSAGE_BYTES, self._receive).register(self)
        self.dropped_messages = 0
        self.bytes_sent = 0

    def set_peers(self, hosts: tuple[HostAddress, ...]) -> list[str]:
        """Dial up to `DIALS_PER_PASS` new hosts, in order, and return their names.

        Connections to earlier incarnations and to other hosts are closed.
        """
        wanted = {host.name: host for host in hosts}
        for name, (host, _outbox) in list(self._outboxes.items()):
            if wanted.get(name) != host:
                self._close(name)
        missing = [host for name, host in wanted.items() if name not in self._outboxes]
        for host in missing[:DIALS_PER_PASS]:
            self._dial(host)
        return [host.name for host in missing[:DIALS_PER_PASS]]

    def redial(self, name: str) -> None:
        """Reconnect to a host.

        A connection can stop delivering messages permanently without a reset, while new
        ones work; messages queued on it would never be sent.
        """
        known = self._outboxes.get(name)
        if known is not None:
            self._close(name)
            self._dial(known[0])

    def send(self, name: str, message: GroupMessage) -> bool:
        """Queue a message; return False if it is dropped."""
        known = self._outboxes.get(name)
        if known is None:
            self.dropped_messages += 1
            return False
        try:
            data = encode_message(message)
        except GroupMessageEncodeError as error:
            # Raised here, it would keep all that the caller does next from being done.
            log.error("message not sent", extra={"to": name, "reason": str(error)})
            self.dropped_messages += 1
            return False
        if not known[1].send(data):
            self.dropped_messages += 1
            return False
        self.bytes_sent += len(data)
        return True

    def _dial(self, host: HostAddress) -> None:
        outbox = Outbox(
            host.link, SEND_QUEUE_LENGTH, RECONNECT_MIN_MS, RECONNECT_MAX_MS
        )
        self._outboxes[host.name] = (host, outbox)

    def _close(self, name: str) -> None:
        self._outboxes.pop(name)[1].close()

    def _receive(self, data: bytes) -> None:
        try:
            self._deliver(decode_message(data))
        except GroupMessageDecodeError as error:
            log.warning("message dropped", extra={"reason": str(error)})
