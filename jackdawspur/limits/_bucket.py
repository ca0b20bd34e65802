"""A token bucket on a time that is passed in."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Fill by `rate` tokens a second up to `burst`; starts full."""

    __slots__ = ("_burst", "_filled_at", "_rate", "_tokens")

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at = 0.0

    def has(self, tokens: float, now: float) -> bool:
        """Tell whether so many tokens are there."""
        self.earn(0.0, now)
        return self._tokens >= tokens

    def take(self, tokens: float, now: float) -> None:
        """Remove tokens; ask `has` first."""
        self.earn(0.0, now)
        self._tokens -= tokens

    def earn(self, tokens: float, now: float) -> None:
        """Add tokens on top of those that time brought."""
        # A time that went back, as after a replay, brings nothing.
        passed = max(0.0, now - self._filled_at)
        self._filled_at = max(self._filled_at, now)
        filled = self._tokens + passed * self._rate + tokens
        self._tokens = min(self._burst, filled)
