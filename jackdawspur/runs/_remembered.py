"""Names kept until a time each."""

import heapq
import math

__all__ = ["Remembered"]


class Remembered:
    """Keep each name until its time is over."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}
        self._ends: list[tuple[float, str]] = []

    def __contains__(self, name: str) -> bool:
        return name in self._until

    def add(self, name: str, until: float) -> None:
        """Keep a name until a time, or longer where that was said before."""
        if until > self._until.get(name, -math.inf):
            self._until[name] = until
            heapq.heappush(self._ends, (until, name))

    def discard(self, name: str) -> None:
        """Forget a name."""
        self._until.pop(name, None)

    def forget_old(self, now: float) -> None:
        """Forget the names whose time is over."""
        while self._ends and self._ends[0][0] <= now:
            until, name = heapq.heappop(self._ends)
            if self._until.get(name) == until:
                del self._until[name]
