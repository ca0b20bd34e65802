"""Actions that wait for their time."""

import heapq
from collections.abc import Callable

__all__ = ["Action", "Timers"]

# Called with the time at which it runs, in seconds.
Action = Callable[[float], None]


class Timers:
    """Run actions in the order of their times, and of their adding at one time."""

    def __init__(self) -> None:
        self._waiting: list[tuple[float, int, Action]] = []
        self._added = 0

    def add(self, at: float, action: Action) -> None:
        """Run an action once the time has come."""
        self._added += 1
        heapq.heappush(self._waiting, (at, self._added, action))

    def next_due(self) -> float | None:
        """Return when the next action is due, if one waits."""
        return self._waiting[0][0] if self._waiting else None

    def run_due(self, now: float) -> None:
        """Run the actions whose time has come."""
        while self._waiting and self._waiting[0][0] <= now:
            heapq.heappop(self._waiting)[-1](now)
