"""A virtual clock and the order of what happens on it."""

import heapq
import itertools
from collections.abc import Callable

__all__ = ["VirtualLoop"]


class VirtualLoop:
    """Run callbacks in order of virtual time, ties in order of scheduling."""

    def __init__(self) -> None:
        self._now = 0.0
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Run an action at a time, or at once when that has passed."""
        entry = (max(when, self._now), next(self._order), action)
        heapq.heappush(self._heap, entry)

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in seconds."""
        self.at(self._now + delay, action)

    def every(self, period: float, action: Callable[[], None]) -> None:
        """Run an action now and then once a period, in seconds."""

        def again() -> None:
            action()
            self.after(period, again)

        again()

    def run(self, until: float) -> None:
        """Run all that is due before a time, and set the clock to it."""
        while self._heap and self._heap[0][0] < until:
            self._now, _, action = heapq.heappop(self._heap)
            action()
        self._now = until
