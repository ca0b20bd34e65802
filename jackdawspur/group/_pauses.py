"""Detection of pauses in which a host neither ran nor read messages."""

import math

__all__ = ["CATCH_UP_S", "CATCH_UP_UPDATES", "MAX_PAUSE_S", "PauseDetector"]

# Others elect a new leader when they have received nothing for this long.
MAX_PAUSE_S = 0.4
# Within this time after a pause a host reads what arrived meanwhile, and recognizes the
# connections that callers have closed: a reset answers a probe, which are 0.1 s apart.
CATCH_UP_S = 0.3
# A busy host needs more time for that: a pass of its loop makes at most one update.
CATCH_UP_UPDATES = 4


class PauseDetector:
    """Detects pauses from the intervals between updates of a host that runs."""

    def __init__(self) -> None:
        self._updated_at: float | None = None
        self._paused_at = self._resumed_at = -math.inf
        self._updates = CATCH_UP_UPDATES

    def pause_s(self, now: float) -> float:
        """Return the time since the last update, 0 if it is at most `MAX_PAUSE_S`."""
        interval_s = 0.0 if self._updated_at is None else now - self._updated_at
        return interval_s if interval_s > MAX_PAUSE_S else 0.0

    def update(self, now: float) -> float:
        """Record that this host runs, and return the length of the pause before."""
        pause_s = self.pause_s(now)
        if pause_s:
            self._paused_at, self._resumed_at = self._current_pause_start(), now
            self._updates = 0
        self._updates += 1
        self._updated_at = now
        return pause_s

    def is_catching_up(self, now: float) -> bool:
        """Return whether messages that arrived during a pause may still be unread."""
        if self.pause_s(now) or now - self._resumed_at < CATCH_UP_S:
            return True
        return self._updates < CATCH_UP_UPDATES

    def earliest_arrival(self, read_at: float) -> float:
        """Return a lower bound of the arrival time of what was read at `read_at`.

        A message that lay unread during a pause is as old as the pause. Its sender may
        have given up, and may have sent it to another host.
        """
        if self.pause_s(read_at):
            return self._current_pause_start()
        if self._paused_at < read_at < self._resumed_at + CATCH_UP_S:
            return self._paused_at
        return read_at

    def _current_pause_start(self) -> float:
        """Return when the pause that ends now started.

        A pause that started before all messages of an earlier one were read extends
        that one.
        """
        if self._updated_at - self._resumed_at < CATCH_UP_S:
            return self._paused_at
        return self._updated_at
