"""Contention for upstreams with a leader that this host can't hear."""

__all__ = ["LeadershipContention"]

# If upstreams obey an unknown fence twice within this time, another host leads.
# The smaller side then backs off.
CONTENTION_MEMORY_S = 20.0
INITIAL_BACKOFF_S = 3.0
MAX_BACKOFF_S = 24.0


class LeadershipContention:
    """Tracks when upstreams obeyed an unknown fence, and the election backoff."""

    def __init__(self, now: float) -> None:
        self._last_contention_at = now - CONTENTION_MEMORY_S
        self._backoffs = 0
        self._backoff_until = now

    @property
    def backing_off(self) -> bool:
        """Return whether this host leaves the leadership to one that it can't hear."""
        return self._backoffs > 0

    def must_wait(self, now: float) -> bool:
        """Return whether this host must not lead yet."""
        return now < self._backoff_until

    def is_recent(self, now: float) -> bool:
        """Return whether there was contention within `CONTENTION_MEMORY_S`."""
        return now - self._last_contention_at < CONTENTION_MEMORY_S

    def record(self, now: float) -> bool:
        """Record contention; return whether there was some shortly before."""
        was_recent = self.is_recent(now)
        self._last_contention_at = now
        return was_recent

    def back_off(self, now: float) -> None:
        """Leave the leadership to the other side, for twice as long each time."""
        self._backoffs += 1
        pause_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (self._backoffs - 1))
        self._backoff_until = now + pause_s

    def reset(self, now: float) -> None:
        """End the backoff, because a host that could not be heard is heard again."""
        self._backoffs = 0
        self._backoff_until = now
