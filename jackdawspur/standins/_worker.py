"""What a stand-in upstream does with starts, polls and faults; the time is passed."""

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

MS = 1000.0
# A cursor starts above any that an earlier run of this worker can have handed out:
# a run makes fewer than this many results in each millisecond of its life.
CURSORS_PER_INCARNATION = 1000


class Worker:
    """Run tasks in slots, and keep each result until its holder has it."""

    def __init__(self, settings: WorkerSettings, incarnation: int, seed: int) -> None:
        self._settings = settings
        self._behaviour = TaskBehaviour(settings.default_run_ms, seed)
        self._incarnation = incarnation
        self._cursor = incarnation * CURSORS_PER_INCARNATION
        self._started = 0
        self._faults = WorkerFaults()
        self._running: dict[str, RunningTask] = {}
        self._ended: OrderedDict[str, OutcomeBody] = OrderedDict()
        self._forgotten: OrderedDict[str, None] = OrderedDict()
        self._sealed: OrderedDict[str, None] = OrderedDict()
        self._results: dict[str, deque[tuple[int, OutcomeBody]]] = {}
        self._starts_of: OrderedDict[str, int] = OrderedDict()
        self._refusals: Counter[str] = Counter()
        self._twice = 0
        self._usage_seen: deque[tuple[float, int, bool]] = deque()

    @property
    def faults(self) -> WorkerFaults:
        """Return the faults set last."""
        return self._faults

    @property
    def incarnation(self) -> int:
        """Return the number of this run."""
        return self._incarnation

    @property
    def busy(self) -> int:
        """Return the number of running tasks."""
        return len(self._running)

    @property
    def next_change(self) -> float | None:
        """Return the time at which a running task ends or lapses."""
        if not self._running:
            return None
        return min(min(each.ends, each.lapses) for each in self._running.values())

    def set_faults(self, faults: WorkerFaults, now: float) -> None:
        """Behave so from now on; `die` happens once."""
        self.advance(now)
        self._faults = faults
        self._behaviour.faults = faults
        if faults.die:
            self._die()
        self._note_usage(now)

    def advance(self, now: float) -> None:
        """End what is due.

        A task whose lease lapsed first is stopped, also when both happened while
        the worker was frozen.
        """
        due = [
            (min(task.ends, task.lapses), task.order, name)
            for name, task in self._running.items()
            if min(task.ends, task.lapses) <= now
        ]
        for when, _, name in sorted(due):
            task = self._running.pop(name)
            if task.lapses < task.ends:
                self._end(task.holder, _stopped(task, "its lease lapsed"))
            else:
                self._end(task.holder, task.outcome)
            self._note_usage(when)

    def start(self, request: StartsRequest, now: float) -> StartsReply:
        """Start what fits."""
        self.advance(now)
        verdicts = tuple(
            VerdictBody(start.task, self._start(request.holder, start, now))
            for start in request.starts
        )
        self._note_usage(now)
        return StartsReply(self._incarnation, verdicts)

    def results(self, holder: str, after: int, now: float) -> StatusReply:
        """Return the results after a cursor; those up to it are forgotten."""
        self.advance(now)
        kept = self._results.get(holder)
        if kept is None:
            return StatusReply(self._incarnation, (), self._cursor)
        while kept and kept[0][0] <= after:
            kept.popleft()
        if not kept:
            return StatusReply(self._incarnation, (), self._cursor)
        limit = self._settings.results_per_reply
        page = [kept[place] for place in range(min(limit, len(kept)))]
        outcomes = tuple(outcome for _, outcome in page)
        return StatusReply(self._incarnation, outcomes, page[-1][0])

    def status(self, tasks: tuple[str, ...], seal: bool, now: float) -> StatusReply:
        """Tell how far tasks are; with `seal`, bar those that never started."""
        self.advance(now)
        outcomes = tuple(self._status(task, seal) for task in tasks)
        return StatusReply(self._incarnation, outcomes)

    def stop(self, tasks: tuple[str, ...], now: float) -> StatusReply:
        """Stop what runs and bar what never started."""
        self.advance(now)
        for name in tasks:
            task = self._running.pop(name, None)
            if task is not None:
                self._end(task.holder, _stopped(task, "it was stopped"))
        self._note_usage(now)
        return self.status(tasks, True, now)

    def usage(self, now: float) -> UsageReply:
        """Report the load as it was one lag ago."""
        self.advance(now)
        self._note_usage(now)
        seen = self._usage_seen
        while len(seen) > 1 and seen[1][0] <= now - self._settings.usage_lag_ms / MS:
            seen.popleft()
        _, busy, leaving = seen[0]
        return UsageReply(self._incarnation, self._settings.slots, busy, leaving)

    def counters(self) -> WorkerCounters:
        """Report what was counted since the process started."""
        return WorkerCounters(
            starts=self._started,
            started_twice=self._twice,
            refusals=dict(self._refusals),
            busy=self.busy,
        )

    def _start(self, holder: str, start: StartBody, now: float) -> RefusalReason | None:
        refusal = self._refusal(holder, start)
        if refusal is not None:
            self._refusals[refusal.value] += 1
            return refusal
        # A second start of a task runs again under a key of its own. A worker that
        # hid it would hide the fault that this stand-in is there to count.
        earlier = self._count_start(start.task)
        if start.task in self._running:
            other = self._running.pop(start.task)
            self._running[f"{start.task}#{earlier}"] = other
        self._ended.pop(start.task, None)
        self._results.setdefault(holder, deque())
        order = self._started
        self._running[start.task] = self._behaviour.run(holder, start, now, order)
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
        if len(self._running) >= settings.slots or not self._has_room(holder):
            return RefusalReason.FULL
        return None

    def _has_room(self, holder: str) -> bool:
        """Make room for one more holder; a restarted host is a new one each time."""
        if holder in self._results or len(self._results) < self._settings.holders_kept:
            return True
        busy = {task.holder for task in self._running.values()}
        idle = next((each for each in self._results if each not in busy), None)
        if idle is None:
            return False
        del self._results[idle]
        return True

    def _count_start(self, task: str) -> int:
        earlier = self._starts_of.get(task, 0)
        self._started += 1
        self._twice += earlier > 0
        self._starts_of[task] = earlier + 1
        _bound(self._starts_of, self._settings.starts_remembered)
        return earlier

    def _status(self, task: str, seal: bool) -> OutcomeBody:
        if task in self._running:
            return OutcomeBody(task, TaskState.RUNNING)
        if task in self._ended:
            return self._ended[task]
        if task in self._forgotten:
            return OutcomeBody(task, TaskState.UNKNOWN)
        if seal:
            self._sealed[task] = None
            _bound(self._sealed, self._settings.seals_kept)
        if task in self._sealed:
            return OutcomeBody(task, TaskState.SEALED)
        return OutcomeBody(task, TaskState.UNKNOWN)

    def _end(self, holder: str, outcome: OutcomeBody) -> None:
        self._cursor += 1
        kept = self._results.setdefault(holder, deque())
        kept.append((self._cursor, outcome))
        if len(kept) > self._settings.results_kept:
            kept.popleft()
        self._ended[outcome.task] = outcome
        while len(self._ended) > self._settings.outcomes_kept:
            # It did run here, so a later status query must not call it sealed.
            self._forgotten[self._ended.popitem(last=False)[0]] = None
        _bound(self._forgotten, self._settings.starts_remembered)

    def _die(self) -> None:
        self._incarnation += 1
        self._running.clear()
        self._ended.clear()
        self._forgotten.clear()
        self._sealed.clear()
        self._results.clear()

    def _note_usage(self, now: float) -> None:
        self._usage_seen.append((now, len(self._running), self._faults.leaving))
        if len(self._usage_seen) > self._settings.usage_kept:
            self._usage_seen.popleft()


def _stopped(task: RunningTask, why: str) -> OutcomeBody:
    return OutcomeBody(task.outcome.task, TaskState.STOPPED, error=why)


def _bound(kept: OrderedDict, limit: int) -> None:
    while len(kept) > limit:
        kept.popitem(last=False)
