"""Bound what waits here, and tell refused callers when to come back."""

from dataclasses import dataclass

from jackdawspur.model import FailureCode

__all__ = ["CallBounds", "CallLimits", "LimitReached"]

MIN_RETRY_MS = 50.0
MAX_RETRY_MS = 10_000.0
# Weight of the newest interval in the drain rate, and its length in seconds.
DRAIN_STEP = 0.3
DRAIN_INTERVAL = 0.25


@dataclass(frozen=True, slots=True)
class CallBounds:
    """Bound waiting work; one customer may hold only a part of the whole."""

    waiting_tasks: int = 20_000
    waiting_tasks_customer: int = 5_000
    calls: int = 4_000
    calls_customer: int = 1_000


@dataclass(frozen=True, slots=True)
class LimitReached:
    """Refuse a call; nothing of it was or will be started."""

    message: str
    retry_after_ms: float
    code: FailureCode = FailureCode.OVERLOADED


class CallLimits:
    """Count open calls and waiting tasks against their bounds.

    Every step costs the same at any load, so a wave of cancellations of one customer
    takes no time from the others.
    """

    def __init__(self, bounds: CallBounds | None = None) -> None:
        self._bounds = bounds or CallBounds()
        self._calls: dict[str, int] = {}
        self._tasks: dict[str, int] = {}
        self._open_calls = 0
        self._waiting_tasks = 0
        self._drained = 0
        self._drain_rate = 0.0
        self._interval_start = 0.0

    @property
    def open_calls(self) -> int:
        """Return the number of calls not yet answered."""
        return self._open_calls

    @property
    def waiting_tasks(self) -> int:
        """Return the number of tasks admitted and not yet started."""
        return self._waiting_tasks

    def check(self, customer: str, tasks: int, now: float) -> LimitReached | None:
        """Return why a call with so many tasks can't come in, or None."""
        bounds = self._bounds
        own_tasks = self._tasks.get(customer, 0) + tasks
        all_tasks = self._waiting_tasks + tasks
        if self._calls.get(customer, 0) >= bounds.calls_customer:
            return self._refuse("the customer has too many open calls", 1, now)
        if self._open_calls >= bounds.calls:
            return self._refuse("this host has too many open calls", 1, now)
        if own_tasks > bounds.waiting_tasks_customer:
            over = own_tasks - bounds.waiting_tasks_customer
            return self._refuse("the customer has too many tasks waiting", over, now)
        if all_tasks > bounds.waiting_tasks:
            over = all_tasks - bounds.waiting_tasks
            return self._refuse("this host has too many tasks waiting", over, now)
        return None

    def opened(self, customer: str) -> None:
        """Count a call that came in."""
        self._open_calls += 1
        self._calls[customer] = self._calls.get(customer, 0) + 1

    def answered(self, customer: str) -> None:
        """Count a call off that was answered or closed."""
        self._open_calls -= 1
        _less(self._calls, customer, 1)

    def queued(self, customer: str, tasks: int) -> None:
        """Count tasks that wait."""
        self._waiting_tasks += tasks
        self._tasks[customer] = self._tasks.get(customer, 0) + tasks

    def started(self, customer: str, tasks: int, now: float) -> None:
        """Count tasks off that started."""
        self._fold(now)
        self._drained += tasks
        self.dropped(customer, tasks)

    def dropped(self, customer: str, tasks: int) -> None:
        """Count tasks off that will not start, as after a cancellation."""
        self._waiting_tasks -= tasks
        _less(self._tasks, customer, tasks)

    def retry_after_ms(self, tasks: int, now: float) -> float:
        """Return how long so many tasks take to start at the present rate."""
        self._fold(now)
        if self._drain_rate <= 0:
            return MAX_RETRY_MS if self._waiting_tasks else MIN_RETRY_MS
        wait = tasks / self._drain_rate * 1000.0
        return min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait))

    def _refuse(self, reason: str, tasks: int, now: float) -> LimitReached:
        message = f"{reason}; nothing ran; retry later"
        return LimitReached(message, self.retry_after_ms(tasks, now))

    def _fold(self, now: float) -> None:
        passed = now - self._interval_start
        if passed < DRAIN_INTERVAL:
            return
        rate = self._drained / passed
        # After a long gap the old rate says nothing.
        step = 1.0 - (1.0 - DRAIN_STEP) ** (passed / DRAIN_INTERVAL)
        self._drain_rate += step * (rate - self._drain_rate)
        self._drained = 0
        self._interval_start = now


def _less(counts: dict[str, int], customer: str, by: int) -> None:
    left = counts.get(customer, 0) - by
    if left > 0:
        counts[customer] = left
    else:
        counts.pop(customer, None)
