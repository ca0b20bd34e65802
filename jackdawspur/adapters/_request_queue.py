"""Order in which complete requests are handled, in slices of processor time."""

import math
import time
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

from circuits import BaseComponent, Event, Timer, handler

__all__ = ["LARGE_BYTES", "RequestQueue", "RequestScheduler"]

# Requests are handled for `SLICE_S` in each window. The rest waits for a later pass of
# the loop, so that timers and messages of other hosts aren't delayed by a crowd.
SLICE_S = 0.01
WINDOW_S = 0.02
# Larger requests may take much longer to decode than they take to arrive.
LARGE_BYTES = 16_384
# Large requests use at most one part in this many of the processor time.
LARGE_TIME_FACTOR = 4.0

Item = TypeVar("Item")


class RequestQueue(Generic[Item]):
    """Defer the requests that would take too much time in this pass of the loop.

    Small requests go first, so large ones delay them by one large request at most.
    """

    def __init__(
        self,
        handle: Callable[[Item], None],
        clock: Callable[[], float] = time.perf_counter,
    ) -> None:
        self._handle = handle
        self._clock = clock
        self._small: deque[Item] = deque()
        self._large: deque[Item] = deque()
        self._window_started = 0.0
        self._used_s = 0.0
        self._large_due = 0.0

    def __len__(self) -> int:
        return len(self._small) + len(self._large)

    @property
    def wait_s(self) -> float | None:
        """Return when the next request can be handled, None if no request waits."""
        if self._small:
            return 0.0
        return max(0.0, self._large_due - self._clock()) if self._large else None

    def put(self, item: Item, size: int) -> None:
        """Handle a request now if there is time for it, otherwise in a later pass."""
        now = self._clock()
        if now - self._window_started > WINDOW_S:
            self._start_window(now)
        is_large = size > LARGE_BYTES
        must_wait = is_large and (self._large or now < self._large_due)
        if self._used_s < SLICE_S and not self._small and not must_wait:
            self._run(item, is_large)
        else:
            (self._large if is_large else self._small).append(item)

    def run_slice(self) -> None:
        """Handle requests for one slice, and one large request that is due."""
        self._start_window(self._clock())
        while self._small and self._used_s < SLICE_S:
            self._run(self._small.popleft(), False)
        if self._large and self._clock() >= self._large_due:
            self._run(self._large.popleft(), True)

    def _start_window(self, now: float) -> None:
        self._window_started = now
        self._used_s = 0.0

    def _run(self, item: Item, is_large: bool) -> None:
        started = self._clock()
        self._handle(item)
        ended = self._clock()
        self._used_s += ended - started
        if is_large:
            self._large_due = ended + (LARGE_TIME_FACTOR - 1) * (ended - started)


class run_queue(Event):
    """Handle requests that wait for processor time."""


class RequestScheduler(BaseComponent):
    """Handles the requests of a queue between the other events of the loop."""

    def __init__(self, channel: str, handle: Callable[[Item], None]) -> None:
        super().__init__(channel=f"{channel}-requests")
        self._requests = RequestQueue(handle)
        self._due = math.inf

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return len(self._requests)

    def put(self, item: Item, size: int) -> None:
        """Handle a request now or in a later pass of the loop."""
        self._requests.put(item, size)
        self._schedule()

    def _schedule(self) -> None:
        wait_s = self._requests.wait_s
        if wait_s is None:
            return
        due = time.monotonic() + wait_s
        if due >= self._due:
            return
        self._due = due
        if wait_s > 0.0:
            Timer(wait_s, run_queue(), self.channel).register(self)
        else:
            self.fire(run_queue())

    @handler("run_queue")
    def _on_run_queue(self) -> None:
        self._due = math.inf
        self._requests.run_slice()
        self._schedule()
