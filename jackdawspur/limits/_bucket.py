"""A token bucket whose caller passes in the current time."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """A bucket that gains `rate` tokens a second up to `burst`, and starts full."""

    __slots__ = ("_burst", "_refilled_at", "_rate", "_tokens")

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = 0.0

    def has(self, tokens: float, now: float) -> bool:
        """Return whether the bucket holds at least `tokens`."""
        self.add_tokens(0.0, now)
        return self._tokens >= tokens

    def take(self, tokens: float, now: float) -> None:
        """Remove tokens; call `has` first."""
        self.add_tokens(0.0, now)
        self._tokens -= tokens

    def add_tokens(self, tokens: float, now: float) -> None:
        """Add tokens in addition to those gained over time."""
        # Time that goes backwards, as after a replay, adds no tokens.
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = max(self._refilled_at, now)
        refilled = self._tokens + elapsed_s * self._rate + tokens
        self._tokens = min(self._burst, refilled)
