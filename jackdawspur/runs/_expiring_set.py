"""A set of names that expire."""

import heapq
import math

__all__ = ["ExpiringSet"]


class ExpiringSet:
    """Set of names, each with its own expiry time."""

    def __init__(self) -> None:
        self._expires_at: dict[str, float] = {}
        self._expirations: list[tuple[float, str]] = []

    def __contains__(self, name: str) -> bool:
        return name in self._expires_at

    def add(self, name: str, until: float) -> None:
        """Add a name until a time; an earlier time than before changes nothing."""
        if until > self._expires_at.get(name, -math.inf):
            self._expires_at[name] = until
            heapq.heappush(self._expirations, (until, name))

    def discard(self, name: str) -> None:
        """Remove a name."""
        self._expires_at.pop(name, None)

    def forget_old(self, now: float) -> None:
        """Remove the names that have expired."""
        while self._expirations and self._expirations[0][0] <= now:
            until, name = heapq.heappop(self._expirations)
            if self._expires_at.get(name) == until:
                del self._expires_at[name]
