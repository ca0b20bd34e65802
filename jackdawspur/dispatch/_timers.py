"""Queue of timed actions."""

import heapq
from collections.abc import Callable

__all__ = ["Action", "Timers"]

# Called with the time at which it runs, in seconds.
Action = Callable[[float], None]


class Timers:
    """Run actions in order of time; those of equal time in the order added."""

    def __init__(self) -> None:
        self._waiting: list[tuple[float, int, Action]] = []
        self._added = 0

    def add(self, at: float, action: Action) -> None:
        """Add an action to run at a time."""
        self._added += 1
        heapq.heappush(self._waiting, (at, self._added, action))

    def next_due(self) -> float | None:
        """Return the time of the next action, or None."""
        return self._waiting[0][0] if self._waiting else None

    def run_due(self, now: float) -> None:
        """Run the actions that are due."""
        while self._waiting and self._waiting[0][0] <= now:
            heapq.heappop(self._waiting)[-1](now)
