"""Upstreams that obey a leading host which can't be heard."""

__all__ = ["Contest"]

# Upstreams that obey an unknown fence again within this time show another host that
# leads; the smaller side then waits, first and at most for these times.
CONTEST_MEMORY_S = 20.0
FIRST_YIELD_S = 3.0
MOST_YIELD_S = 24.0


class Contest:
    """Keep when upstreams obeyed an unknown fence, and how long to leave the lead."""

    def __init__(self, now: float) -> None:
        self._contested_at = now - CONTEST_MEMORY_S
        self._yields = 0
        self._yield_until = now

    @property
    def backing_off(self) -> bool:
        """Tell whether the lead is left to a host that can't be heard."""
        return self._yields > 0

    def waits(self, now: float) -> bool:
        """Tell whether the own host may not lead yet."""
        return now < self._yield_until

    def recent(self, now: float) -> bool:
        """Tell whether upstreams were contested lately."""
        return now - self._contested_at < CONTEST_MEMORY_S

    def note(self, now: float) -> bool:
        """Note that upstreams are contested; tell whether they were so lately."""
        again = self.recent(now)
        self._contested_at = now
        return again

    def leave(self, now: float) -> None:
        """Leave the lead to the other side, longer each time."""
        self._yields += 1
        pause_s = min(MOST_YIELD_S, FIRST_YIELD_S * 2 ** (self._yields - 1))
        self._yield_until = now + pause_s

    def heard_anew(self, now: float) -> None:
        """Forget to wait: a host that was not heard is."""
        self._yields = 0
        self._yield_until = now
