"""Event loop with a virtual clock."""

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

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Run an action at a virtual time, or immediately if that has passed."""
        entry = (max(when, self._now), next(self._order), callback)
        heapq.heappush(self._heap, entry)

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Run an action after a delay in seconds."""
        self.at(self._now + delay, callback)

    def every(self, period: float, callback: Callable[[], None]) -> None:
        """Run an action now, and then every `period` seconds."""

        def run_and_reschedule() -> None:
            callback()
            self.after(period, run_and_reschedule)

        run_and_reschedule()

    def run(self, until: float) -> None:
        """Run all actions due before a time, then set the clock to that time."""
        while self._heap and self._heap[0][0] < until:
            self._now, _, callback = heapq.heappop(self._heap)
            callback()
        self._now = until
