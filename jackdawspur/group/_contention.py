"""Contention for upstreams with a leader that this host can't reach."""

__all__ = ["LeadershipContention", "is_smaller_side"]

# If upstreams obey an unknown fence twice within this time, another host leads, and the
# smaller side of the network partition backs off.
CONTENTION_WINDOW_S = 20.0
INITIAL_BACKOFF_S = 3.0
MAX_BACKOFF_S = 24.0


class LeadershipContention:
    """Tracks when upstreams obeyed an unknown fence, and the election backoff."""

    def __init__(self, now: float) -> None:
        self._last_contention_at = now - CONTENTION_WINDOW_S
        self._backoffs = 0
        self._backoff_until = now

    @property
    def backing_off(self) -> bool:
        """Return whether this host has backed off and was not reset since."""
        return self._backoffs > 0

    def must_wait(self, now: float) -> bool:
        """Return whether the pause after the last backoff is not over."""
        return now < self._backoff_until

    def is_recent(self, now: float) -> bool:
        """Return whether there was contention within `CONTENTION_WINDOW_S`."""
        return now - self._last_contention_at < CONTENTION_WINDOW_S

    def record(self, now: float) -> bool:
        """Record contention; return whether the previous one was recent."""
        was_recent = self.is_recent(now)
        self._last_contention_at = now
        return was_recent

    def back_off(self, now: float) -> None:
        """Leave the leadership to the other side.

        Each pause is twice as long as the last one, up to `MAX_BACKOFF_S`.
        """
        self._backoffs += 1
        pause_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (self._backoffs - 1))
        self._backoff_until = now + pause_s

    def reset(self, now: float) -> None:
        """End the backoff, because messages of an unresponsive host arrive again."""
        self._backoffs = 0
        self._backoff_until = now


def is_smaller_side(live: set[str], known: set[str]) -> bool:
    """Return whether the live hosts are the smaller side of a network partition."""
    if 2 * len(live) == len(known):
        return min(known) not in live
    return 2 * len(live) < len(known)
