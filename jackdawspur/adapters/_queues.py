"""Bounded queues of bytes between processes, over pynng."""

from collections.abc import Callable

import pynng
from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller

__all__ = ["Inbox", "Outbox"]

RECEIVE_QUEUE = 1024
# So many are taken a pass, so that callers get a turn.
MESSAGES_A_PASS = 200


class Outbox:
    """Queue bytes for one address, and connect again whenever that breaks."""

    def __init__(
        self, address: str, queue: int, reconnect_min_ms: int, reconnect_max_ms: int
    ) -> None:
        self._push = pynng.Push0(
            send_buffer_size=queue,
            reconnect_time_min=reconnect_min_ms,
            reconnect_time_max=reconnect_max_ms,
        )
        self._push.dial(f"tcp://{address}", block=False)

    def send(self, data: bytes) -> bool:
        """Queue bytes; False when the queue is full."""
        try:
            self._push.send(data, block=False)
        except pynng.TryAgain:
            return False
        return True

    def close(self) -> None:
        """Close the connection; what is queued is lost."""
        self._push.close()


class Inbox(BaseComponent):
    """Receive bytes from whoever connects, polled by the circuits loop."""

    channel = "inbox"

    def __init__(
        self,
        bind: str,
        poller: BasePoller,
        most_bytes: int,
        take: Callable[[bytes], None],
    ) -> None:
        super().__init__()
        self._poller = poller
        self._take = take
        self._pull = pynng.Pull0(
            recv_buffer_size=RECEIVE_QUEUE, recv_max_size=most_bytes
        )
        self._pull.listen(f"tcp://{bind}")
        self._poller.addReader(self, self._pull.recv_fd)

    @handler("_read")
    def _on_readable(self, _descriptor: int) -> None:
        """Take what has arrived."""
        for _ in range(MESSAGES_A_PASS):
            try:
                data = self._pull.recv(block=False)
            except pynng.TryAgain:
                return
            self._take(data)

    def close(self) -> None:
        """Stop receiving."""
        self._poller.discard(self._pull.recv_fd)
        self._pull.close()
