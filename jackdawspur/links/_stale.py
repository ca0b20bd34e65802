"""Dropping messages that waited in a queue while a link was cut."""

from jackdawspur.model import HostId

__all__ = ["MAX_AGE_S", "StaleFilter"]

MAX_AGE_S = 2.0
OFFSET_DRIFT_S_PER_S = 0.001


class StaleFilter:
    """Tell fresh messages from ones that a healed link delivers late.

    A cut link keeps a few messages in its queue and hands them over when it heals. A
    delegated job or a slot grant among them belongs to the past: its owner gave up on
    it. The clocks of two hosts differ by some offset; the smallest seen so far is the
    one of the fastest message, and what lies far above it was held up on the way.
    """

    def __init__(self) -> None:
        self._offset: dict[HostId, float] = {}
        self._seen_at: dict[HostId, float] = {}

    def is_stale(self, sender: HostId, sent_at: float, now: float) -> bool:
        """Tell whether a message was held up for longer than `MAX_AGE_S`."""
        offset = now - sent_at
        least = self._least(sender, now)
        if least is None or offset < least:
            self._offset[sender] = offset
            self._seen_at[sender] = now
            return False
        return offset - least > MAX_AGE_S

    def forget(self, sender: HostId) -> None:
        """Drop what is kept of a host that is gone."""
        self._offset.pop(sender, None)
        self._seen_at.pop(sender, None)

    def _least(self, sender: HostId, now: float) -> float | None:
        """Return the smallest offset, allowing for clocks that drift apart."""
        least = self._offset.get(sender)
        if least is None:
            return None
        return least + (now - self._seen_at[sender]) * OFFSET_DRIFT_S_PER_S
