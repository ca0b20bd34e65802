"""Names kept until a time each."""

import heapq
import math

__all__ = ["ExpiringSet"]


class ExpiringSet:
    """Keep each name until its time is over."""

    def __init__(self) -> None:
        self._expires_at: dict[str, float] = {}
        self._expirations: list[tuple[float, str]] = []

    def __contains__(self, name: str) -> bool:
        return name in self._expires_at

    def add(self, name: str, until: float) -> None:
        """Keep a name until a time, or longer where that was said before."""
        if until > self._expires_at.get(name, -math.inf):
            self._expires_at[name] = until
            heapq.heappush(self._expirations, (until, name))

    def discard(self, name: str) -> None:
        """Forget a name."""
        self._expires_at.pop(name, None)

    def forget_old(self, now: float) -> None:
        """Forget the names whose time is over."""
        while self._expirations and self._expirations[0][0] <= now:
            until, name = heapq.heappop(self._expirations)
            if self._expires_at.get(name) == until:
                del self._expires_at[name]
