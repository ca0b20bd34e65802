"""A fake upstream worker in virtual time."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from jackdawspur.bench._checks import InvariantChecker
from jackdawspur.bench._loop import VirtualLoop
from jackdawspur.bench._workload import Payload, expected_output
from jackdawspur.external import RefusalReason, StartVerdict, TaskStart, Usage
from jackdawspur.model import HostId, TaskId, TaskOutcome, TaskState, Upstream

__all__ = ["FakeUpstream", "UpstreamFaults"]

USAGE_INTERVAL_S = 1.0
FAILED_TASK_RUN_S = 0.005


@dataclass(slots=True)
class UpstreamFaults:
    """Faults to inject at an upstream; shares are fractions of tasks or of replies."""

    slow_factor: float = 1.0
    straggler_share: float = 0.0
    straggler_factor: float = 4.0
    fails_all: bool = False
    lost_reply_share: float = 0.0


@dataclass(slots=True)
class _Task:
    holder: HostId
    state: TaskState = TaskState.RUNNING
    output: str = ""
    error: str = ""


TaskEndedCallback = Callable[[HostId, TaskOutcome], None]


class FakeUpstream:
    """Run tasks under leases, and return the verdicts of the real API."""

    def __init__(
        self,
        spec: Upstream,
        loop: VirtualLoop,
        rng: random.Random,
        checker: InvariantChecker,
    ) -> None:
        self.spec = spec
        self.faults = UpstreamFaults()
        self.on_task_ended: TaskEndedCallback = lambda holder, outcome: None
        self._loop = loop
        self._rng = rng
        self._checker = checker
        self._incarnation = 1
        self._alive = True
        self._leaving_since: float | None = None
        self._tasks: dict[TaskId, _Task] = {}
        self._sealed: set[TaskId] = set()
        self._busy = 0
        self._usage = Usage(spec.slots, 0)
        self._latest_usage = self._usage
        loop.every(USAGE_INTERVAL_S, self._measure_usage)

    @property
    def alive(self) -> bool:
        """Return whether the upstream answers calls."""
        return self._alive

    @property
    def incarnation(self) -> int:
        """Return the current incarnation; each restart adds one."""
        return self._incarnation

    @property
    def usage(self) -> Usage:
        """Return the load as measured one to two measuring periods ago."""
        return self._usage

    def start(self, holder: HostId, starts: Sequence[TaskStart]) -> list[StartVerdict]:
        """Start the tasks that fit, and refuse the others."""
        leaving_for_s = None
        if self._leaving_since is not None:
            leaving_for_s = self._loop.now - self._leaving_since
        self._checker.start_received(str(self.spec.id), leaving_for_s, self._loop.now)
        return [self._start_one(holder, start) for start in starts]

    def status(self, tasks: Sequence[TaskId], seal: bool) -> list[TaskOutcome]:
        """Return the state of tasks; with `seal`, prevent unknown ones from starting.

        A restarted upstream returns UNKNOWN instead of "never started", since it has
        lost its record of tasks.
        """
        return [self._status_one(task, seal) for task in tasks]

    def stop(self, tasks: Sequence[TaskId]) -> list[TaskOutcome]:
        """Stop running tasks, and seal those that never started."""
        for task in tasks:
            self._end_task(task, self._incarnation, TaskState.STOPPED, report=False)
        return self.status(tasks, seal=True)

    def leave(self) -> None:
        """Refuse new tasks from now on; running tasks continue."""
        self._leaving_since = self._loop.now

    def die(self) -> None:
        """Crash: lose every task and stop answering calls."""
        self._alive = False
        self._tasks.clear()
        self._sealed.clear()
        self._busy = 0

    def restart(self) -> None:
        """Restart without any task, under a new incarnation."""
        self.die()
        self._incarnation += 1
        self._alive = True
        self._leaving_since = None

    def _start_one(self, holder: HostId, start: TaskStart) -> StartVerdict:
        refusal = self._refusal(start)
        if refusal is not None:
            return StartVerdict(start.task, refusal)
        upstream = str(self.spec.id)
        self._checker.task_started(start.payload, start.task, upstream, self._loop.now)
        self._tasks[start.task] = _Task(holder)
        self._busy += 1
        state, run_s = TaskState.DONE, self._run_time_s(start.payload)
        if self.faults.fails_all:
            state, run_s = TaskState.FAILED, FAILED_TASK_RUN_S
        if run_s > start.lease_ms / 1000:
            state, run_s = TaskState.STOPPED, start.lease_ms / 1000
        incarnation, output = self._incarnation, expected_output(start.payload)
        self._loop.after(
            run_s, lambda: self._end_task(start.task, incarnation, state, output)
        )
        return StartVerdict(start.task)

    def _refusal(self, start: TaskStart) -> RefusalReason | None:
        if start.task in self._sealed:
            return RefusalReason.SEALED
        if start.task in self._tasks:
            return RefusalReason.DUPLICATE
        if self._leaving_since is not None:
            return RefusalReason.LEAVING
        if start.lease_ms <= 0:
            return RefusalReason.EXPIRED
        if start.cpus > self.spec.cpus or start.memory_mb > self.spec.memory_mb:
            return RefusalReason.TOO_LARGE
        return RefusalReason.FULL if self._busy >= self.spec.slots else None

    def _run_time_s(self, payload_text: str) -> float:
        run_s = Payload.parse(payload_text).run_ms / 1000 * self.faults.slow_factor
        if self._rng.random() < self.faults.straggler_share:
            run_s *= self.faults.straggler_factor
        return run_s

    def _status_one(self, task: TaskId, seal: bool) -> TaskOutcome:
        task_record = self._tasks.get(task)
        if task_record is not None:
            return TaskOutcome(
                task, task_record.state, task_record.output, task_record.error
            )
        if seal:
            self._sealed.add(task)
        # After a restart, the task may have run before the restart.
        never_started = seal and self._incarnation == 1
        return TaskOutcome(
            task, TaskState.SEALED if never_started else TaskState.UNKNOWN
        )

    def _end_task(
        self,
        task: TaskId,
        incarnation: int,
        state: TaskState,
        output: str = "",
        report: bool = True,
    ) -> None:
        task_record = self._tasks.get(task)
        if incarnation != self._incarnation or task_record is None:
            return
        if task_record.state is not TaskState.RUNNING:
            return
        task_record.state = state
        task_record.output = output if state is TaskState.DONE else ""
        task_record.error = "" if state is TaskState.DONE else f"task {state}"
        self._busy -= 1
        if report:
            outcome = TaskOutcome(task, state, task_record.output, task_record.error)
            self.on_task_ended(task_record.holder, outcome)

    def _measure_usage(self) -> None:
        leaving = self._leaving_since is not None
        self._usage = self._latest_usage
        self._latest_usage = Usage(self.spec.slots, self._busy, leaving)
