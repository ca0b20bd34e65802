"""A fenced upstream in virtual time, with its faults."""

import random
from dataclasses import dataclass, field

from jackdawspur.leases import (
    CallOutcome,
    EndedRun,
    Ending,
    LookReport,
    Resources,
    RunId,
    RunningRun,
    UpstreamEntry,
)

__all__ = ["FrontUpstream", "Tally", "Work"]

MS_PER_S = 1000.0
# Clocks of upstreams start anywhere.
CLOCK_SPAN_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class Work:
    """Say how long each task of a job takes at a pace of one, in seconds."""

    seconds: dict[str, float]
    resources: Resources


@dataclass
class Tally:
    """Count what must never happen, over all upstreams."""

    starts: int = 0
    two_at_once: int = 0
    over_capacity: int = 0
    running: dict[str, int] = field(default_factory=dict)


@dataclass(eq=False, slots=True)
class _Running:
    run: RunId
    began: float
    whole_s: float
    cpu: int


class FrontUpstream:
    """Run tasks under fences and leases; faults are set from outside.

    `pace` and `slow` multiply run times, `hangs` stops all progress of new runs,
    `fails` is the share of runs that end badly, `silent` drops every call.
    """

    def __init__(
        self, entry: UpstreamEntry, pace: float, tally: Tally, rng: random.Random
    ) -> None:
        self.entry = entry
        self.slow = 1.0
        self.hangs = False
        self.fails = 0.0
        self.silent = False
        self.pace = pace
        self._tally = tally
        self._rng = rng
        self._clock_at_0 = rng.randrange(CLOCK_SPAN_MS)
        self._fence = 0
        self._lease_ms = 0
        self._tasks: dict[RunId, _Running] = {}
        self._last: dict[str, int] = {}
        self._ended: list[EndedRun] = []
        self._ends = 0

    @property
    def unseen(self) -> bool:
        """Tell whether there are ends that nobody has taken note of."""
        return bool(self._ended)

    def clock_ms(self, now: float) -> int:
        """Return the upstream's own clock."""
        return self._clock_at_0 + int(now * MS_PER_S)

    def start(
        self, run: RunId, until_ms: int, fence: int, work: Work, now: float
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
        if run.number <= self._last.get(run.task, 0):
            return CallOutcome.OLD_RUN
        whole_s = work.seconds[run.task] * self.pace * self.slow
        if self.hangs:
            whole_s = float("inf")
        cpu = work.resources.cpu_millis
        self._tasks[run] = _Running(run, now, whole_s, cpu)
        self._count(run, cpu)
        return CallOutcome.OK

    def stop(self, run: RunId, fence: int, now: float) -> CallOutcome:
        """Stop a run, or make it impossible."""
        if fence < self._fence:
            return CallOutcome.FENCED
        self._fence = fence
        self._last[run.task] = max(run.number, self._last.get(run.task, 0))
        if run in self._tasks:
            self._end(self._tasks[run], Ending.STOPPED)
        return CallOutcome.OK

    def hold(
        self, fence: int, last_seen: int, until_ms: int | None, now: float
    ) -> CallOutcome:
        """Take note of ends and prolong the lease."""
        if fence < self._fence:
            return CallOutcome.FENCED
        self._fence = fence
        self._ended = [one for one in self._ended if one.number > last_seen]
        if until_ms is not None:
            self._lease_ms = max(self._lease_ms, until_ms)
        return CallOutcome.OK

    def report(self, now: float) -> LookReport:
        """Report all runs and the ends not yet taken note of."""
        rows = tuple(
            RunningRun(one.run, "", int(100.0 * (now - one.began) / one.whole_s))
            for one in self._tasks.values()
        )
        return LookReport(self.clock_ms(now), rows, tuple(self._ended))

    def advance(self, now: float) -> None:
        """End what is done, and everything when the lease is over."""
        for one in list(self._tasks.values()):
            if now >= one.began + one.whole_s:
                failed = self._rng.random() < self.fails
                self._end(one, Ending.FAILED if failed else Ending.DONE)
            elif self.clock_ms(now) >= self._lease_ms:
                self._end(one, Ending.LAPSED)

    def _count(self, run: RunId, cpu: int) -> None:
        tally = self._tally
        tally.starts += 1
        tally.two_at_once += tally.running.get(run.task, 0) > 0
        tally.running[run.task] = tally.running.get(run.task, 0) + 1
        taken = sum(one.cpu for one in self._tasks.values())
        tally.over_capacity += taken > self.entry.capacity.cpu_millis

    def _end(self, one: _Running, ending: Ending) -> None:
        del self._tasks[one.run]
        self._tally.running[one.run.task] -= 1
        self._last[one.run.task] = max(one.run.number, self._last.get(one.run.task, 0))
        self._ends += 1
        self._ended.append(EndedRun(self._ends, one.run, ending, ""))
