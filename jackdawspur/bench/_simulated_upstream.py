"""A fenced upstream in virtual time, with its faults."""

import random
from dataclasses import dataclass, field

from jackdawspur.leases import (
    CallOutcome,
    EndedRun,
    PollReport,
    Resources,
    RunId,
    RunningRun,
    RunResult,
    UpstreamEntry,
)

__all__ = ["JobDemand", "RunCounters", "SimulatedUpstream"]

MS_PER_S = 1000.0
# Clocks of upstreams start anywhere.
CLOCK_SPAN_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class JobDemand:
    """Say how long each task of a job takes at a pace of one, in seconds."""

    run_times_s: dict[str, float]
    resources: Resources


@dataclass
class RunCounters:
    """Count what must never happen, over all upstreams."""

    starts: int = 0
    two_at_once: int = 0
    over_capacity: int = 0
    running_by_task: dict[str, int] = field(default_factory=dict)


@dataclass(eq=False, slots=True)
class _Running:
    run: RunId
    began: float
    whole_s: float
    cpu: int


class SimulatedUpstream:
    """Run tasks under fences and leases; faults are set from outside.

    `pace` and `slow` multiply run times, `hangs` stops all progress of new runs,
    `fails` is the share of runs that end badly, `silent` drops every call.
    """

    def __init__(
        self,
        entry: UpstreamEntry,
        pace: float,
        counters: RunCounters,
        rng: random.Random,
    ) -> None:
        self.entry = entry
        self.slow = 1.0
        self.hangs = False
        self.fails = 0.0
        self.silent = False
        self.pace = pace
        self._counters = counters
        self._rng = rng
        self._clock_offset_ms = rng.randrange(CLOCK_SPAN_MS)
        self._fence = 0
        self._lease_ms = 0
        self._tasks: dict[RunId, _Running] = {}
        self._last_run_number: dict[str, int] = {}
        self._unacknowledged_ends: list[EndedRun] = []
        self._end_count = 0

    @property
    def has_unacknowledged_ends(self) -> bool:
        """Tell whether there are ends that nobody has taken note of."""
        return bool(self._unacknowledged_ends)

    def clock_ms(self, now: float) -> int:
        """Return the upstream's own clock."""
        return self._clock_offset_ms + int(now * MS_PER_S)

    def start(
        self, run: RunId, until_ms: int, fence: int, demand: JobDemand, now: float
    ) -> CallOutcome:
        """Start a run unless a fence, the lease or an earlier run forbids it."""
        if fence < self._fence:
            return CallOutcome.FENCED
        self._fence = fence
        if until_ms <= self.clock_ms(now):
            return CallOutcome.LATE
        self._lease_ms = max(self._lease_ms, until_ms)
        if run in self._tasks:
            return CallOutcome.OK
        if run.number <= self._last_run_number.get(run.task, 0):
            return CallOutcome.OLD_RUN
        whole_s = demand.run_times_s[run.task] * self.pace * self.slow
        if self.hangs:
            whole_s = float("inf")
        cpu = demand.resources.cpu_millis
        self._tasks[run] = _Running(run, now, whole_s, cpu)
        self._count_start(run, cpu)
        return CallOutcome.OK

    def stop(self, run: RunId, fence: int, now: float) -> CallOutcome:
        """Stop a run, or make it impossible."""
        if fence < self._fence:
            return CallOutcome.FENCED
        self._fence = fence
        self._last_run_number[run.task] = max(
            run.number, self._last_run_number.get(run.task, 0)
        )
        if run in self._tasks:
            self._end_run(self._tasks[run], RunResult.STOPPED)
        return CallOutcome.OK

    def hold(
        self, fence: int, last_seen: int, until_ms: int | None, now: float
    ) -> CallOutcome:
        """Take note of ends and prolong the lease."""
        if fence < self._fence:
            return CallOutcome.FENCED
        self._fence = fence
        self._unacknowledged_ends = [
            one for one in self._unacknowledged_ends if one.number > last_seen
        ]
        if until_ms is not None:
            self._lease_ms = max(self._lease_ms, until_ms)
        return CallOutcome.OK

    def report(self, now: float) -> PollReport:
        """Report all runs and the ends not yet taken note of."""
        rows = tuple(
            RunningRun(one.run, "", int(100.0 * (now - one.began) / one.whole_s))
            for one in self._tasks.values()
        )
        return PollReport(self.clock_ms(now), rows, tuple(self._unacknowledged_ends))

    def advance(self, now: float) -> None:
        """End what is done, and everything when the lease is over."""
        for one in list(self._tasks.values()):
            if now >= one.began + one.whole_s:
                failed = self._rng.random() < self.fails
                self._end_run(one, RunResult.FAILED if failed else RunResult.DONE)
            elif self.clock_ms(now) >= self._lease_ms:
                self._end_run(one, RunResult.LAPSED)

    def _count_start(self, run: RunId, cpu: int) -> None:
        counters = self._counters
        counters.starts += 1
        counters.two_at_once += counters.running_by_task.get(run.task, 0) > 0
        counters.running_by_task[run.task] = (
            counters.running_by_task.get(run.task, 0) + 1
        )
        taken = sum(one.cpu for one in self._tasks.values())
        counters.over_capacity += taken > self.entry.capacity.cpu_millis

    def _end_run(self, one: _Running, ending: RunResult) -> None:
        del self._tasks[one.run]
        self._counters.running_by_task[one.run.task] -= 1
        self._last_run_number[one.run.task] = max(
            one.run.number, self._last_run_number.get(one.run.task, 0)
        )
        self._end_count += 1
        self._unacknowledged_ends.append(EndedRun(self._end_count, one.run, ending, ""))
