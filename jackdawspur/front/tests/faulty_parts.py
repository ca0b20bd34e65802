"""Upstreams that crash, and callers that ask again."""

import logging
import random
from dataclasses import dataclass, field, replace

from jackdawspur.bench import RunCounters, SimulatedUpstream
from jackdawspur.front.tests.virtual import Asked
from jackdawspur.front.tests.virtual_parts import Life
from jackdawspur.leases import CallOutcome, PollReport, RunId, RunResult
from jackdawspur.runs import JobRequest

__all__ = ["Attempt", "Caller", "FaultyUpstream", "Starts"]

MOST_STOP_S = 0.05
MS_PER_S = 1000.0


@dataclass(eq=False)
class Attempt(Asked):
    """Keep which host was asked, and whether the connection broke.

    `in_vain` tells that its time was over without an answer, `whole` that all tasks
    were done when it was answered.
    """

    caller: "Caller | None" = None
    life: Life | None = None
    broken: bool = False
    in_vain: bool = False
    whole: bool = False


@dataclass(eq=False)
class Caller:
    """Keep a job and its attempts; `again` counts those still to come.

    `states_s` is how long its caller says that it waits with each attempt.
    """

    zone: str
    request: JobRequest
    states_s: float | None = None
    attempts: list[Attempt] = field(default_factory=list)
    left: bool = False
    again: int = 0

    def ask(self, life: Life, now: float) -> Attempt:
        """Begin another attempt, at a host."""
        asked = Attempt(self.request, now, states_s=self.states_s)
        asked.caller, asked.life = self, life
        self.attempts.append(asked)
        return asked

    @property
    def tasks(self) -> set[str]:
        """Return the names of the job's tasks."""
        count = self.request.steps[0].count
        return {f"{self.request.id}.0.0.{number}" for number in range(count)}


class Starts(RunCounters):
    """Keep besides what was started, what ended well, and under what some crashed."""

    def __init__(self) -> None:
        super().__init__()
        self.started: set[str] = set()
        self.done: set[str] = set()
        self.crashed: set[str] = set()


class FaultyUpstream(SimulatedUpstream):
    """Crash, take a while to stop, and keep a slow clock.

    `drift` is by how much its clock is slow, `guards` that it refuses starts beyond its
    capacity. `boot_over` tells that it crashed, `gone`
    that another boot answers in its place.
    """

    def __init__(self, entry, pace, counters: Starts, rng: random.Random) -> None:
        super().__init__(entry, pace, counters, rng)
        self.drift = rng.choice((0.0, 0.01, 0.02))
        self.boot_over = self.gone = False
        self.boot = 1
        self.crashes = 0
        self.guards = False
        self._stops: dict[RunId, float] = {}

    def clock_ms(self, now: float) -> int:
        return super().clock_ms(now * (1.0 - self.drift))

    def runs_any(self, job: str) -> bool:
        """Tell whether a task of a job runs here."""
        return any(run.task.startswith(f"{job}.") for run in self._tasks)

    def start(self, run: RunId, until_ms: int, fence: int, work, now: float):
        """Refuse what does not fit, as upstreams do that guard their capacity."""
        taken = sum(one.cpu for one in self._tasks.values())
        beyond = taken + work.resources.cpu_millis > self.entry.capacity.cpu_millis
        if self.guards and beyond and fence >= self._fence and run not in self._tasks:
            self._fence = fence
            return CallOutcome.NO_ROOM
        return super().start(run, until_ms, fence, work, now)

    def stop(self, run: RunId, fence: int, now: float) -> CallOutcome:
        if fence < self._fence or run not in self._tasks:
            return super().stop(run, fence, now)
        self._fence = fence
        self._stops.setdefault(run, now + self._rng.uniform(0.0, MOST_STOP_S))
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
        """End everything with the boot."""
        self.boot_over = True
        self.crashes += 1
        for one in self._tasks.values():
            self._counters.running_by_task[one.run.task] -= 1
            self._counters.crashed.add(one.run.task)
        self._tasks.clear()
        self._unacknowledged_ends.clear()

    def start_again(self, now: float) -> None:
        """Be another boot under the same name, which knows nothing of before."""
        self.boot_over = False
        self.boot += 1
        self._clock_offset_ms = -int(now * MS_PER_S)
        self._fence = self._lease_ms = self._ends = 0
        self._last_run_number.clear()
        self._stops.clear()

    def report(self, now: float) -> PollReport:
        return replace(super().report(now), incarnation=self.boot)

    def _count_start(self, run: RunId, cpu: int) -> None:
        if self._counters.running_by_task.get(run.task, 0):
            logging.getLogger("upstream").info("TWICE %s %s", run, self.entry.id)
        super()._count_start(run, cpu)
        self._counters.started.add(run.task)
        logging.getLogger("upstream").info("began %s %s", run, self.entry.id)

    def _end_run(self, one, ending: RunResult) -> None:
        super()._end_run(one, ending)
        if ending is RunResult.DONE:
            self._counters.done.add(one.run.task)
        logging.getLogger("upstream").info("%s %s %s", ending, one.run, self.entry.id)
