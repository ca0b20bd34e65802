"""Upstreams that crash, and callers that retry."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from jackdawspur.bench import RunCounters, SimulatedUpstream
from jackdawspur.front.tests.virtual import SentRequest
from jackdawspur.front.tests.virtual_parts import Node, VirtualTimerQueue
from jackdawspur.leases import CallOutcome, PollReport, RunId, RunResult
from jackdawspur.runs import JobRequest

__all__ = [
    "Attempt",
    "Caller",
    "FaultyNode",
    "FaultyUpstream",
    "TaskCounters",
    "Timers",
]

MAX_STOP_S = 0.05
MS_PER_S = 1000.0


class Timers(VirtualTimerQueue):
    """Calls back at virtual times; after a pause, before or after delayed messages."""

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        node = self._node
        paused_node = None if self._world.timers_first else node

        def act() -> None:
            if node.dead:
                return
            if node.resumes_at > self._world.now:
                self._world.after(node.resumes_at - self._world.now, act, paused_node)
            else:
                callback()

        self._world.after(seconds, act, paused_node)


class FaultyNode(Node):
    """One process of a host; its timers resume at `resumes_at` after a pause."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.resumes_at = 0.0
        self.pauses: list[tuple[float, float]] = []
        self.stopping = False


@dataclass(eq=False)
class Attempt(SentRequest):
    """One attempt of a caller at a host; `broken` is set if the connection broke.

    `unanswered` is set if the timeout passed without an answer, `all_done` if all tasks
    were done when the answer arrived.
    """

    caller: "Caller | None" = None
    node: Node | None = None
    broken: bool = False
    unanswered: bool = False
    all_done: bool = False


@dataclass(eq=False)
class Caller:
    """A caller with its job and attempts; `pending_retries` counts scheduled ones.

    `caller_timeout_s` is the timeout that the caller states with each attempt.
    """

    zone: str
    request: JobRequest
    caller_timeout_s: float | None = None
    attempts: list[Attempt] = field(default_factory=list)
    left: bool = False
    pending_retries: int = 0

    def ask(self, node: Node, now: float) -> Attempt:
        """Add and return a new attempt at a host."""
        attempt = Attempt(self.request, now, caller_timeout_s=self.caller_timeout_s)
        attempt.caller, attempt.node = self, node
        self.attempts.append(attempt)
        return attempt

    @property
    def tasks(self) -> set[str]:
        """Return the names of the job's tasks."""
        count = self.request.steps[0].count
        return {f"{self.request.id}.0.0.{number}" for number in range(count)}


class TaskCounters(RunCounters):
    """Also collects the tasks that started, were done, or ran on a crashed upstream."""

    def __init__(self) -> None:
        super().__init__()
        self.started: set[str] = set()
        self.done: set[str] = set()
        self.crashed: set[str] = set()


class FaultyUpstream(SimulatedUpstream):
    """An upstream that can crash, stops runs after a delay and has a slow clock.

    `drift` is the fraction by which its clock is slow. `checks_capacity` is set if it
    refuses starts beyond its capacity, `is_down` after a crash, and `is_replaced` if
    another upstream answers at its address.
    """

    def __init__(self, entry, pace, counters: TaskCounters, rng: random.Random) -> None:
        super().__init__(entry, pace, counters, rng)
        self.drift = rng.choice((0.0, 0.01, 0.02))
        self.is_down = self.is_replaced = False
        self.incarnation = 1
        self.crashes = 0
        self.checks_capacity = False
        self._stops: dict[RunId, float] = {}

    def clock_ms(self, now: float) -> int:
        return super().clock_ms(now * (1.0 - self.drift))

    def runs_task_of(self, job: str) -> bool:
        """Return whether a task of a job runs here."""
        return any(run.task.startswith(f"{job}.") for run in self._tasks)

    def start(self, run: RunId, until_ms: int, fence: int, demand, now: float):
        """Start a run; refuse it if `checks_capacity` is set and it does not fit."""
        used = sum(running.cpu for running in self._tasks.values())
        exceeds_capacity = (
            used + demand.resources.cpu_millis > self.entry.capacity.cpu_millis
        )
        if (
            self.checks_capacity
            and exceeds_capacity
            and fence >= self._fence
            and run not in self._tasks
        ):
            self._fence = fence
            return CallOutcome.NO_ROOM
        return super().start(run, until_ms, fence, demand, now)

    def stop(self, run: RunId, fence: int, now: float) -> CallOutcome:
        if fence < self._fence or run not in self._tasks:
            return super().stop(run, fence, now)
        self._fence = fence
        self._stops.setdefault(run, now + self._rng.uniform(0.0, MAX_STOP_S))
        return CallOutcome.OK

    def advance(self, now: float) -> None:
        for run, at in list(self._stops.items()):
            if run in self._tasks and now < at:
                continue
            del self._stops[run]
            if run in self._tasks:
                self._end_run(self._tasks[run], RunResult.STOPPED)
        if self._tasks:
            super().advance(now)

    def crash(self) -> None:
        """End all runs and this incarnation."""
        self.is_down = True
        self.crashes += 1
        for running in self._tasks.values():
            self._counters.running_by_task[running.run.task] -= 1
            self._counters.crashed.add(running.run.task)
        self._tasks.clear()
        self._unacknowledged_ends.clear()

    def restart(self, now: float) -> None:
        """Start the next incarnation under the same name, without any state."""
        self.is_down = False
        self.incarnation += 1
        self._clock_offset_ms = -int(now * MS_PER_S)
        self._fence = self._lease_ms = self._end_count = 0
        self._last_run_number.clear()
        self._stops.clear()

    def report(self, now: float) -> PollReport:
        return replace(super().report(now), incarnation=self.incarnation)

    def _count_start(self, run: RunId, cpu: int) -> None:
        if self._counters.running_by_task.get(run.task, 0):
            logging.getLogger("upstream").info("TWICE %s %s", run, self.entry.id)
        super()._count_start(run, cpu)
        self._counters.started.add(run.task)
        logging.getLogger("upstream").info("started %s %s", run, self.entry.id)

    def _end_run(self, running, ending: RunResult) -> None:
        super()._end_run(running, ending)
        if ending is RunResult.DONE:
            self._counters.done.add(running.run.task)
        logging.getLogger("upstream").info(
            "%s %s %s", ending, running.run, self.entry.id
        )
