"""Bounded message queues between processes, over pynng."""

from collections.abc import Callable

import pynng
from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller

__all__ = ["Inbox", "Outbox"]

RECEIVE_QUEUE = 1024
# Bounded, so that callers' requests are handled between two reads.
MAX_MESSAGES_PER_READ = 200


class Outbox:
    """Queue of messages to one address that reconnects whenever the link breaks."""

    def __init__(
        self,
        address: str,
        queue_length: int,
        reconnect_min_ms: int,
        reconnect_max_ms: int,
    ) -> None:
        self._push = pynng.Push0(
            send_buffer_size=queue_length,
            reconnect_time_min=reconnect_min_ms,
            reconnect_time_max=reconnect_max_ms,
        )
        self._push.dial(f"tcp://{address}", block=False)

    def send(self, data: bytes) -> bool:
        """Queue a message; return False if the queue is full."""
        try:
            self._push.send(data, block=False)
        except pynng.TryAgain:
            return False
        return True

    def close(self) -> None:
        """Close the connection; queued messages are lost."""
        self._push.close()


class Inbox(BaseComponent):
    """Receives messages from all connected peers, polled by the circuits loop."""

    channel = "inbox"

    def __init__(
        self,
        bind: str,
        poller: BasePoller,
        max_bytes: int,
        on_message: Callable[[bytes], None],
    ) -> None:
        super().__init__()
        self._poller = poller
        self._on_message = on_message
        self._pull = pynng.Pull0(
            recv_buffer_size=RECEIVE_QUEUE, recv_max_size=max_bytes
        )
        self._pull.listen(f"tcp://{bind}")
        self._poller.addReader(self, self._pull.recv_fd)

    @handler("_read")
    def _on_readable(self, _descriptor: int) -> None:
        """Pass on the messages that have arrived."""
        for _ in range(MAX_MESSAGES_PER_READ):
            try:
                data = self._pull.recv(block=False)
            except pynng.TryAgain:
                return
            self._on_message(data)

    def close(self) -> None:
        """Stop receiving."""
        self._poller.discard(self._pull.recv_fd)
        self._pull.close()
