"""A simulated upstream with fencing, leases and faults, in virtual time."""

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
# The clocks of upstreams have random offsets below this.
MAX_CLOCK_OFFSET_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class JobDemand:
    """Run times of a job's tasks in seconds, at a slowdown of 1, and resources."""

    run_times_s: dict[str, float]
    resources: Resources


@dataclass
class RunCounters:
    """Counts of starts, and of what must never happen, over all upstreams."""

    starts: int = 0
    two_at_once: int = 0
    over_capacity: int = 0
    running_by_task: dict[str, int] = field(default_factory=dict)


@dataclass(eq=False, slots=True)
class _LiveRun:
    run: RunId
    started: float
    run_time_s: float
    cpu: int


class SimulatedUpstream:
    """Run tasks under fences and leases; the simulation sets the faults.

    `slowdown` and `slow` multiply run times. While `hangs` is set, new runs make no
    progress. `fails` is the share of runs that fail. While `silent` is set, the
    simulation drops every call.
    """

    def __init__(
        self,
        entry: UpstreamEntry,
        slowdown: float,
        counters: RunCounters,
        rng: random.Random,
    ) -> None:
        self.entry = entry
        self.slow = 1.0
        self.hangs = False
        self.fails = 0.0
        self.silent = False
        self.slowdown = slowdown
        self._counters = counters
        self._rng = rng
        self._clock_offset_ms = rng.randrange(MAX_CLOCK_OFFSET_MS)
        self._fence = 0
        self._lease_ms = 0
        self._tasks: dict[RunId, _LiveRun] = {}
        self._last_run_number: dict[str, int] = {}
        self._unacknowledged_ends: list[EndedRun] = []
        self._end_count = 0

    @property
    def has_unacknowledged_ends(self) -> bool:
        """Return whether the ends of some runs have not been acknowledged."""
        return bool(self._unacknowledged_ends)

    def clock_ms(self, now: float) -> int:
        """Return the time of the upstream's clock, in milliseconds."""
        return self._clock_offset_ms + int(now * MS_PER_S)

    def start(
        self, run: RunId, until_ms: int, fence: int, demand: JobDemand, now: float
    ) -> CallOutcome:
        """Start a run unless its fence, its lease or its number is outdated."""
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
        run_time_s = demand.run_times_s[run.task] * self.slowdown * self.slow
        if self.hangs:
            run_time_s = float("inf")
        cpu = demand.resources.cpu_millis
        self._tasks[run] = _LiveRun(run, now, run_time_s, cpu)
        self._count_start(run, cpu)
        return CallOutcome.OK

    def stop(self, run: RunId, fence: int, now: float) -> CallOutcome:
        """Stop a run, and prevent it from starting later."""
        if fence < self._fence:
            return CallOutcome.FENCED
        self._fence = fence
        self._last_run_number[run.task] = max(
            run.number, self._last_run_number.get(run.task, 0)
        )
        if run in self._tasks:
            self._end_run(self._tasks[run], RunResult.STOPPED)
        return CallOutcome.OK

    def renew_lease(
        self, fence: int, last_seen: int, until_ms: int | None, now: float
    ) -> CallOutcome:
        """Renew the lease, and acknowledge the ends of runs."""
        if fence < self._fence:
            return CallOutcome.FENCED
        self._fence = fence
        self._unacknowledged_ends = [
            end for end in self._unacknowledged_ends if end.number > last_seen
        ]
        if until_ms is not None:
            self._lease_ms = max(self._lease_ms, until_ms)
        return CallOutcome.OK

    def report(self, now: float) -> PollReport:
        """Report all live runs, and the ends that have not been acknowledged."""
        running = tuple(
            RunningRun(
                live.run, "", int(100.0 * (now - live.started) / live.run_time_s)
            )
            for live in self._tasks.values()
        )
        return PollReport(self.clock_ms(now), running, tuple(self._unacknowledged_ends))

    def advance(self, now: float) -> None:
        """End the runs that are finished, and all runs if the lease has expired."""
        for live in list(self._tasks.values()):
            if now >= live.started + live.run_time_s:
                failed = self._rng.random() < self.fails
                self._end_run(live, RunResult.FAILED if failed else RunResult.DONE)
            elif self.clock_ms(now) >= self._lease_ms:
                self._end_run(live, RunResult.LAPSED)

    def _count_start(self, run: RunId, cpu: int) -> None:
        counters = self._counters
        counters.starts += 1
        counters.two_at_once += counters.running_by_task.get(run.task, 0) > 0
        counters.running_by_task[run.task] = (
            counters.running_by_task.get(run.task, 0) + 1
        )
        used = sum(live.cpu for live in self._tasks.values())
        counters.over_capacity += used > self.entry.capacity.cpu_millis

    def _end_run(self, live: _LiveRun, result: RunResult) -> None:
        del self._tasks[live.run]
        self._counters.running_by_task[live.run.task] -= 1
        self._last_run_number[live.run.task] = max(
            live.run.number, self._last_run_number.get(live.run.task, 0)
        )
        self._end_count += 1
        self._unacknowledged_ends.append(
            EndedRun(self._end_count, live.run, result, "")
        )
