"""Bounds on open calls and waiting tasks, and the retry delay of refused callers."""

from dataclasses import dataclass

from jackdawspur.model import FailureCode

__all__ = ["CallBounds", "CallLimits", "LimitReached"]

MIN_RETRY_MS = 50.0
MAX_RETRY_MS = 10_000.0
# Weight of the newest interval in the moving average of the drain rate, and the
# interval's length in seconds.
DRAIN_SMOOTHING = 0.3
DRAIN_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class CallBounds:
    """Bounds on the waiting work of this host, and lower ones per customer."""

    waiting_tasks: int = 20_000
    waiting_tasks_customer: int = 5_000
    calls: int = 4_000
    calls_customer: int = 1_000


@dataclass(frozen=True, slots=True)
class LimitReached:
    """The refusal of a call, no task of which was or will be started."""

    message: str
    retry_after_ms: float
    code: FailureCode = FailureCode.OVERLOADED


class CallLimits:
    """Counts open calls and waiting tasks against their bounds.

    Every operation takes constant time, so a burst of cancellations by one customer
    doesn't slow down the others.
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
        """Return why a call with `tasks` tasks must be refused, or None."""
        bounds = self._bounds
        customer_tasks = self._tasks.get(customer, 0) + tasks
        host_tasks = self._waiting_tasks + tasks
        if self._calls.get(customer, 0) >= bounds.calls_customer:
            return self._refuse("the customer has too many open calls", 1, now)
        if self._open_calls >= bounds.calls:
            return self._refuse("this host has too many open calls", 1, now)
        if customer_tasks > bounds.waiting_tasks_customer:
            excess = customer_tasks - bounds.waiting_tasks_customer
            return self._refuse("the customer has too many tasks waiting", excess, now)
        if host_tasks > bounds.waiting_tasks:
            excess = host_tasks - bounds.waiting_tasks
            return self._refuse("this host has too many tasks waiting", excess, now)
        return None

    def opened(self, customer: str) -> None:
        """Count a call that was received."""
        self._open_calls += 1
        self._calls[customer] = self._calls.get(customer, 0) + 1

    def answered(self, customer: str) -> None:
        """Remove a call that was answered or closed from the count."""
        self._open_calls -= 1
        _subtract(self._calls, customer, 1)

    def queued(self, customer: str, tasks: int) -> None:
        """Count tasks that were admitted and wait to start."""
        self._waiting_tasks += tasks
        self._tasks[customer] = self._tasks.get(customer, 0) + tasks

    def started(self, customer: str, tasks: int, now: float) -> None:
        """Remove tasks that started from the count."""
        self._update_drain_rate(now)
        self._drained += tasks
        self.dropped(customer, tasks)

    def dropped(self, customer: str, tasks: int) -> None:
        """Remove tasks that won't start, as after a cancellation, from the count."""
        self._waiting_tasks -= tasks
        _subtract(self._tasks, customer, tasks)

    def retry_after_ms(self, tasks: int, now: float) -> float:
        """Return the milliseconds until `tasks` tasks start at the current rate."""
        self._update_drain_rate(now)
        if self._drain_rate <= 0:
            return MAX_RETRY_MS if self._waiting_tasks else MIN_RETRY_MS
        wait = tasks / self._drain_rate * 1000.0
        return min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait))

    def _refuse(self, reason: str, tasks: int, now: float) -> LimitReached:
        message = f"{reason}; nothing ran; retry later"
        return LimitReached(message, self.retry_after_ms(tasks, now))

    def _update_drain_rate(self, now: float) -> None:
        elapsed_s = now - self._interval_start
        if elapsed_s < DRAIN_INTERVAL_S:
            return
        rate = self._drained / elapsed_s
        # The weight grows with the length of the interval: after a long gap the old
        # rate is obsolete.
        weight = 1.0 - (1.0 - DRAIN_SMOOTHING) ** (elapsed_s / DRAIN_INTERVAL_S)
        self._drain_rate += weight * (rate - self._drain_rate)
        self._drained = 0
        self._interval_start = now


def _subtract(counts: dict[str, int], customer: str, amount: int) -> None:
    remaining = counts.get(customer, 0) - amount
    if remaining > 0:
        counts[customer] = remaining
    else:
        counts.pop(customer, None)
