"""Detection of pauses in which a host neither ran nor read messages."""

__all__ = ["MAX_PAUSE_S", "PauseDetector"]

# Others elect a new leader when they have received nothing for this long.
MAX_PAUSE_S = 0.4


class PauseDetector:
    """Detects pauses from the intervals between updates of a host that runs."""

    def __init__(self) -> None:
        self._updated_at: float | None = None

    def pause_s(self, now: float) -> float:
        """Return the time since the last update, 0 if it is at most `MAX_PAUSE_S`."""
        interval_s = 0.0 if self._updated_at is None else now - self._updated_at
        return interval_s if interval_s > MAX_PAUSE_S else 0.0

    def update(self, now: float) -> float:
        """Record that this host runs, and return the length of the pause before."""
        pause_s, self._updated_at = self.pause_s(now), now
        return pause_s
