"""Stand-in upstream without sockets; callers pass the current time."""

from collections import Counter, OrderedDict, deque

from jackdawspur.external import RefusalReason
from jackdawspur.model import TaskState
from jackdawspur.standins._worker_task import RunningTask, TaskBehaviour
from jackdawspur.standins._worker_types import (
    WorkerCounters,
    WorkerFaults,
    WorkerSettings,
)
from jackdawspur.wire import (
    OutcomeBody,
    StartBody,
    StartsReply,
    StartsRequest,
    StatusReply,
    UsageReply,
    VerdictBody,
)

__all__ = ["Worker"]

MS_PER_S = 1000.0
# The first cursor of an incarnation exceeds all cursors of earlier ones, as long as an
# incarnation has fewer than this number of results per millisecond of its life.
CURSORS_PER_INCARNATION = 1000


class Worker:
    """Runs tasks in slots and keeps each result until its holder acknowledges it."""

    def __init__(self, settings: WorkerSettings, incarnation: int, seed: int) -> None:
        self._settings = settings
        self._behaviour = TaskBehaviour(settings.default_run_ms, seed)
        self._incarnation = incarnation
        self._cursor = incarnation * CURSORS_PER_INCARNATION
        self._started = 0
        self._faults = WorkerFaults()
        self._running: dict[str, RunningTask] = {}
        self._ended: OrderedDict[str, OutcomeBody] = OrderedDict()
        self._evicted: OrderedDict[str, None] = OrderedDict()
        self._sealed: OrderedDict[str, None] = OrderedDict()
        self._results: dict[str, deque[tuple[int, OutcomeBody]]] = {}
        self._start_counts: OrderedDict[str, int] = OrderedDict()
        self._refusals: Counter[str] = Counter()
        self._started_twice = 0
        self._usage_history: deque[tuple[float, int, bool]] = deque()

    @property
    def faults(self) -> WorkerFaults:
        """Return the faults set last."""
        return self._faults

    @property
    def incarnation(self) -> int:
        """Return the incarnation of this worker."""
        return self._incarnation

    @property
    def busy(self) -> int:
        """Return the number of running tasks."""
        return len(self._running)

    @property
    def next_change(self) -> float | None:
        """Return when the next running task ends or its lease expires, if any runs."""
        if not self._running:
            return None
        return min(
            min(task.ends_at, task.lease_expires_at) for task in self._running.values()
        )

    def set_faults(self, faults: WorkerFaults, now: float) -> None:
        """Replace the current faults; `die` is executed once."""
        self.advance(now)
        self._faults = faults
        self._behaviour.faults = faults
        if faults.die:
            self._die()
        self._record_usage(now)

    def advance(self, now: float) -> None:
        """End the tasks that are due.

        A task whose lease expires before its end is stopped, even if both times passed
        while the worker was frozen.
        """
        due = [
            (min(task.ends_at, task.lease_expires_at), task.order, name)
            for name, task in self._running.items()
            if min(task.ends_at, task.lease_expires_at) <= now
        ]
        for ended_at, _, name in sorted(due):
            task = self._running.pop(name)
            if task.lease_expires_at < task.ends_at:
                self._end(task.holder, _stopped(task, "its lease expired"))
            else:
                self._end(task.holder, task.outcome)
            self._record_usage(ended_at)

    def start(self, request: StartsRequest, now: float) -> StartsReply:
        """Start the tasks that fit, and refuse the others."""
        self.advance(now)
        verdicts = tuple(
            VerdictBody(start.task, self._start(request.holder, start, now))
            for start in request.starts
        )
        self._record_usage(now)
        return StartsReply(self._incarnation, verdicts)

    def results(self, holder: str, after: int, now: float) -> StatusReply:
        """Return the results after a cursor; those up to it are dropped."""
        self.advance(now)
        results = self._results.get(holder)
        if results is None:
            return StatusReply(self._incarnation, (), self._cursor)
        while results and results[0][0] <= after:
            results.popleft()
        if not results:
            return StatusReply(self._incarnation, (), self._cursor)
        limit = self._settings.results_per_reply
        page = [results[index] for index in range(min(limit, len(results)))]
        outcomes = tuple(outcome for _, outcome in page)
        return StatusReply(self._incarnation, outcomes, page[-1][0])

    def status(self, tasks: tuple[str, ...], seal: bool, now: float) -> StatusReply:
        """Return the state of tasks; `seal` keeps unstarted ones from ever starting."""
        self.advance(now)
        outcomes = tuple(self._status(task, seal) for task in tasks)
        return StatusReply(self._incarnation, outcomes)

    def stop(self, tasks: tuple[str, ...], now: float) -> StatusReply:
        """Stop running tasks and keep unstarted ones from ever starting."""
        self.advance(now)
        for name in tasks:
            task = self._running.pop(name, None)
            if task is not None:
                self._end(task.holder, _stopped(task, "it was stopped"))
        self._record_usage(now)
        return self.status(tasks, True, now)

    def usage(self, now: float) -> UsageReply:
        """Return the load with the lag of the settings."""
        self.advance(now)
        self._record_usage(now)
        history = self._usage_history
        while (
            len(history) > 1
            and history[1][0] <= now - self._settings.usage_lag_ms / MS_PER_S
        ):
            history.popleft()
        _, busy, leaving = history[0]
        return UsageReply(self._incarnation, self._settings.slots, busy, leaving)

    def counters(self) -> WorkerCounters:
        """Return the counters since the process started."""
        return WorkerCounters(
            starts=self._started,
            started_twice=self._started_twice,
            refusals=dict(self._refusals),
            busy=self.busy,
        )

    def _start(self, holder: str, start: StartBody, now: float) -> RefusalReason | None:
        refusal = self._refusal(holder, start)
        if refusal is not None:
            self._refusals[refusal.value] += 1
            return refusal
        # A second start of a task runs as well, and the first run gets another key: if
        # the second were ignored, the stand-in would hide the fault that it counts.
        earlier_starts = self._count_start(start.task)
        if start.task in self._running:
            earlier_task = self._running.pop(start.task)
            self._running[f"{start.task}#{earlier_starts}"] = earlier_task
        self._ended.pop(start.task, None)
        self._results.setdefault(holder, deque())
        order = self._started
        self._running[start.task] = self._behaviour.simulate(holder, start, now, order)
        return None

    def _refusal(self, holder: str, start: StartBody) -> RefusalReason | None:
        settings = self._settings
        if start.task in self._sealed:
            return RefusalReason.SEALED
        if start.lease_ms <= 0:
            return RefusalReason.EXPIRED
        if self._faults.leaving:
            return RefusalReason.LEAVING
        if (
            start.cpus > settings.cpus
            or start.memory_mb > settings.memory_mb
            or start.accelerators > settings.accelerators
        ):
            return RefusalReason.TOO_LARGE
        if len(self._running) >= settings.slots or not self._reserve_holder(holder):
            return RefusalReason.FULL
        return None

    def _reserve_holder(self, holder: str) -> bool:
        """Return whether the results of a holder can be kept.

        Evicts an idle holder if necessary: a host is a new holder after each restart.
        """
        if holder in self._results or len(self._results) < self._settings.max_holders:
            return True
        busy = {task.holder for task in self._running.values()}
        idle = next((other for other in self._results if other not in busy), None)
        if idle is None:
            return False
        del self._results[idle]
        return True

    def _count_start(self, task: str) -> int:
        earlier_starts = self._start_counts.get(task, 0)
        self._started += 1
        self._started_twice += earlier_starts > 0
        self._start_counts[task] = earlier_starts + 1
        _evict_oldest(self._start_counts, self._settings.max_start_counts)
        return earlier_starts

    def _status(self, task: str, seal: bool) -> OutcomeBody:
        if task in self._running:
            return OutcomeBody(task, TaskState.RUNNING)
        if task in self._ended:
            return self._ended[task]
        if task in self._evicted:
            return OutcomeBody(task, TaskState.UNKNOWN)
        if seal:
            self._sealed[task] = None
            _evict_oldest(self._sealed, self._settings.max_seals)
        if task in self._sealed:
            return OutcomeBody(task, TaskState.SEALED)
        return OutcomeBody(task, TaskState.UNKNOWN)

    def _end(self, holder: str, outcome: OutcomeBody) -> None:
        self._cursor += 1
        results = self._results.setdefault(holder, deque())
        results.append((self._cursor, outcome))
        if len(results) > self._settings.max_results:
            results.popleft()
        self._ended[outcome.task] = outcome
        while len(self._ended) > self._settings.max_outcomes:
            # The task ran here, so a later status query must not report it as sealed.
            self._evicted[self._ended.popitem(last=False)[0]] = None
        _evict_oldest(self._evicted, self._settings.max_start_counts)

    def _die(self) -> None:
        self._incarnation += 1
        self._running.clear()
        self._ended.clear()
        self._evicted.clear()
        self._sealed.clear()
        self._results.clear()

    def _record_usage(self, now: float) -> None:
        self._usage_history.append((now, len(self._running), self._faults.leaving))
        if len(self._usage_history) > self._settings.max_usage_samples:
            self._usage_history.popleft()


def _stopped(task: RunningTask, reason: str) -> OutcomeBody:
    return OutcomeBody(task.outcome.task, TaskState.STOPPED, error=reason)


def _evict_oldest(entries: OrderedDict, limit: int) -> None:
    while len(entries) > limit:
        entries.popitem(last=False)
