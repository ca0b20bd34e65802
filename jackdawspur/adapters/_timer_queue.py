"""Timers that call back on the thread of the event loop."""

import heapq
import itertools
import time
from collections.abc import Callable

from circuits import BaseComponent, handler

__all__ = ["TimerHandle", "TimerQueue"]


class TimerHandle:
    """A pending callback that can be cancelled."""

    __slots__ = ("_callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback: Callable[[], None] | None = callback

    @property
    def pending(self) -> bool:
        """Return whether the callback has neither run nor been cancelled."""
        return self._callback is not None

    def cancel(self) -> None:
        """Cancel the callback."""
        self._callback = None

    def run(self) -> None:
        """Run the callback, at most once."""
        callback, self._callback = self._callback, None
        if callback is not None:
            callback()


class TimerQueue(BaseComponent):
    """A heap of all timers of an event loop.

    The Timer of circuits is a component, and each new component makes the loop
    rebuild its handler table; one Timer per request would cost more than the request.
    """

    channel = "deadlines"

    def init(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Initialize an empty queue; circuits passes the constructor's arguments."""
        self._clock = clock
        self._heap: list[tuple[float, int, TimerHandle]] = []
        self._sequence = itertools.count()

    @property
    def now(self) -> float:
        """Return the time in seconds."""
        return self._clock()

    def call_later(self, seconds: float, callback: Callable[[], None]) -> TimerHandle:
        """Schedule a callback to run once, `seconds` from now."""
        handle = TimerHandle(callback)
        entry = (self._clock() + seconds, next(self._sequence), handle)
        heapq.heappush(self._heap, entry)
        return handle

    @handler("generate_events")
    def _on_generate_events(self, event) -> None:
        now = self._clock()
        heap = self._heap
        while heap and (heap[0][0] <= now or not heap[0][2].pending):
            handle = heapq.heappop(heap)[2]
            if handle.pending:
                # Events fired by the callback are only queued, so the poller must not
                # wait now: they would stay queued until the next byte arrives.
                event.reduce_time_left(0)
            handle.run()
        if heap:
            event.reduce_time_left(max(0.0, heap[0][0] - now))
