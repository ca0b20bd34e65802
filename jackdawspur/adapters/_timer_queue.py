"""Call back at a time, on the loop's own thread."""

import heapq
import itertools
import time
from collections.abc import Callable

from circuits import BaseComponent, handler

__all__ = ["TimerHandle", "TimerQueue"]


class TimerHandle:
    """Hold one callback until its time, or until it is cancelled."""

    __slots__ = ("_callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback: Callable[[], None] | None = callback

    @property
    def pending(self) -> bool:
        """Tell whether the callback is still to come."""
        return self._callback is not None

    def cancel(self) -> None:
        """Drop the callback."""
        self._callback = None

    def expire(self) -> None:
        """Call back, at most once."""
        callback, self._callback = self._callback, None
        if callback is not None:
            callback()


class TimerQueue(BaseComponent):
    """Keep the deadlines of a whole loop.

    circuits' own Timer is a component: each one makes the loop forget and rebuild
    its table of handlers, so one a request would cost more than the request.
    """

    channel = "deadlines"

    def init(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start empty; circuits calls this with the constructor's arguments."""
        self._clock = clock
        self._heap: list[tuple[float, int, TimerHandle]] = []
        self._order = itertools.count()

    @property
    def now(self) -> float:
        """Return the time in seconds."""
        return self._clock()

    def call_later(self, seconds: float, callback: Callable[[], None]) -> TimerHandle:
        """Call back once, `seconds` from now."""
        deadline = TimerHandle(callback)
        entry = (self._clock() + seconds, next(self._order), deadline)
        heapq.heappush(self._heap, entry)
        return deadline

    @handler("generate_events")
    def _on_generate_events(self, event) -> None:
        now = self._clock()
        heap = self._heap
        while heap and (heap[0][0] <= now or not heap[0][2].pending):
            deadline = heapq.heappop(heap)[2]
            if deadline.pending:
                # Events that the callback fires are only queued. Were the poller
                # to wait now, they would sit there until the next byte arrives.
                event.reduce_time_left(0)
            deadline.expire()
        if heap:
            event.reduce_time_left(max(0.0, heap[0][0] - now))
