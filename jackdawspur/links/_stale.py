"""Detection of messages that were queued while a link was partitioned."""

from jackdawspur.model import HostId

__all__ = ["MAX_AGE_S", "StaleFilter"]

MAX_AGE_S = 2.0
# Assumed drift between the clocks of two hosts, in seconds per second.
OFFSET_DRIFT_S_PER_S = 0.001


class StaleFilter:
    """Detects messages that a link delivers late, after a network partition.

    During a partition a few messages stay in the link's queue and are delivered when it
    ends. A delegated job or a slot grant among them is obsolete, as its owner has given
    up on it. The clocks of two hosts differ by an offset. The smallest difference of
    receive and send time observed so far belongs to the fastest message; a message with
    a much larger one was delayed on its way.
    """

    def __init__(self) -> None:
        self._offset: dict[HostId, float] = {}
        self._recorded_at: dict[HostId, float] = {}

    def is_stale(self, sender: HostId, sent_at: float, now: float) -> bool:
        """Return whether a message was delayed for longer than `MAX_AGE_S`."""
        offset = now - sent_at
        min_offset = self._min_offset(sender, now)
        if min_offset is None or offset < min_offset:
            self._offset[sender] = offset
            self._recorded_at[sender] = now
            return False
        return offset - min_offset > MAX_AGE_S

    def forget(self, sender: HostId) -> None:
        """Drop the state of a host that is gone."""
        self._offset.pop(sender, None)
        self._recorded_at.pop(sender, None)

    def _min_offset(self, sender: HostId, now: float) -> float | None:
        """Return the smallest offset, corrected for the drift between the clocks."""
        min_offset = self._offset.get(sender)
        if min_offset is None:
            return None
        return min_offset + (now - self._recorded_at[sender]) * OFFSET_DRIFT_S_PER_S
