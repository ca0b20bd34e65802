"""A leader's dispatcher with simulated upstreams."""

from dataclasses import dataclass, field, replace

import pytest

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
from jackdawspur.model import HostId, UpstreamId
from jackdawspur.runs import (
    AnswerJob,
    Dispatcher,
    Effect,
    JobLost,
    JobNoted,
    JobRequest,
    JobStep,
    Offer,
    PollUpstream,
    RedirectJob,
    Route,
    StartRun,
    StopRun,
)

ROUTE = Route("r", "h", "/q/", "roster", 1500.0, 60.0, 1.6, 0, 3)
LONG_TIMEOUT = replace(ROUTE, timeout_ms=5000.0, margin_ms=3000.0)
TASK_RESOURCES = Resources(14_000, 64, 0)
UPSTREAM_CAPACITY = Resources(32_000, 131_072, 0)
FENCE = 1 << 40
TASK_MS = 200
NEARLY_DONE = 95.0
LIST_AGE_S = 60.0


@dataclass
class FakeUpstream:
    """Upstream whose runs end only when a test ends them.

    Runs report progress as tasks of 200 ms do, but never 100 percent, unless a test
    sets their percentage.
    """

    id: UpstreamId
    running: dict[str, int] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    fence: int = 0
    clock_ms: int = 1000
    end_count: int = 0
    percent: dict[str, float] = field(default_factory=dict)
    started_ms: dict[str, int] = field(default_factory=dict)
    incarnation: int = 0

    def restart(self) -> None:
        """Restart under the same name, without any earlier state."""
        self.incarnation += 1
        self.fence = self.end_count = self.clock_ms = 0
        self.running.clear()
        self.ended.clear()
        self.started_ms.clear()

    def end(self, task: str, result: RunResult = RunResult.DONE) -> None:
        """End a run."""
        self.end_count += 1
        run = RunId(task, self.running.pop(task))
        self.ended.append(EndedRun(self.end_count, run, result, ""))

    def report(self, last_seen: int) -> PollReport:
        """Return a report of all runs."""
        self.ended = [run for run in self.ended if run.number > last_seen]
        reported_runs = tuple(
            RunningRun(RunId(task, number), "", self._percent(task))
            for task, number in self.running.items()
        )
        return PollReport(
            self.clock_ms, reported_runs, tuple(self.ended), self.incarnation
        )

    def _percent(self, task: str) -> float:
        passed = self.clock_ms - self.started_ms.setdefault(task, self.clock_ms)
        return self.percent.get(task, min(NEARLY_DONE, 100.0 * passed / TASK_MS))


class Leader:
    """Drive a dispatcher; calls succeed unless a test removes them first."""

    def __init__(self, upstreams: int = 2) -> None:
        self.now = 100.0
        self.dispatcher = Dispatcher(HostId("z1", "h1", 1), self.now)
        ids = [UpstreamId("z1", f"u{n}") for n in range(upstreams)]
        self.upstreams = {id_: FakeUpstream(id_) for id_ in ids}
        self.answers: list[AnswerJob] = []
        self.starts: list[StartRun] = []
        self.stops: list[StopRun] = []
        self.polls: list[PollUpstream] = []
        self.redirects: list[RedirectJob] = []
        self.noted: list[JobLost | JobNoted] = []
        self.unresponsive: set[UpstreamId] = set()
        # The list is complete, since it was first read long ago.
        listed_at = self.now - LIST_AGE_S
        self.dispatcher.set_upstreams([self.entry(id_) for id_ in ids], listed_at)

    def entry(self, upstream: UpstreamId, draining: bool = False) -> UpstreamEntry:
        """Return an upstream's entry in the list."""
        return UpstreamEntry(
            upstream, "roster", "127.0.0.1:1", UPSTREAM_CAPACITY, (), draining
        )

    def lead(self, fence: int = FENCE) -> None:
        """Start a term, and lease all upstreams that reply."""
        self.dispatcher.start_leading(fence, self.now)
        self.settle()

    def offer(
        self,
        job: str,
        tasks: int = 1,
        route: Route = ROUTE,
        max_per_upstream: int = 0,
        task_ms: float = TASK_MS,
        **changes,
    ) -> None:
        """Offer a job of equal tasks, at most `max_per_upstream` on one upstream."""
        step = JobStep(
            tasks, TASK_RESOURCES, task_ms, most_per_upstream=max_per_upstream
        )
        request = JobRequest(job, "spec", (step,), route)
        values = {"host": "h2", "call": 1, "arrived": self.now}
        values["deadline"] = self.now + 1.5
        values.update(changes)
        self.dispatcher.offer(Offer(request, **values), self.now)

    def collect(self) -> list[Effect]:
        """Return the effects of a pass, and keep them by type."""
        effects = self.dispatcher.flush(self.now)
        self.answers += [e for e in effects if isinstance(e, AnswerJob)]
        self.starts += [e for e in effects if isinstance(e, StartRun)]
        self.stops += [e for e in effects if isinstance(e, StopRun)]
        self.polls += [e for e in effects if isinstance(e, PollUpstream)]
        self.redirects += [e for e in effects if isinstance(e, RedirectJob)]
        self.noted += [e for e in effects if isinstance(e, JobLost | JobNoted)]
        return effects

    def end_tasks(self, started_at: dict[str, float], run_s: float) -> None:
        """End the tasks that have run for a time; `started_at` keeps their starts."""
        for upstream in self.upstreams.values():
            for task in list(upstream.running):
                started_at.setdefault(task, self.now)
                if self.now - started_at[task] >= run_s:
                    upstream.end(task)

    def settle(self, passes: int = 6) -> None:
        """Let all open calls succeed, except those to unresponsive upstreams."""
        for _ in range(passes):
            self.collect()
            self._reply_starts()
            self._reply_stops()
            self.reply_polls()
        self.collect()

    def advance(self, seconds: float, step_s: float = 0.05) -> None:
        """Advance time with ticks; calls to unresponsive upstreams get no reply."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += step_s
            for upstream in self.upstreams.values():
                upstream.clock_ms += int(step_s * 1000)
            self.dispatcher.tick(self.now)
            self.settle(2)

    def lose_start(self, carried_out: bool) -> StartRun:
        """Leave the oldest open start without a reply, carried out or not."""
        effect = self.starts.pop(0)
        if carried_out:
            self.upstreams[effect.upstream].running[effect.run.task] = effect.run.number
        self.dispatcher.start_replied(effect, CallOutcome.UNKNOWN, self.now)
        return effect

    def running(self) -> dict[str, list[UpstreamId]]:
        """Return the upstreams on which each task runs."""
        locations: dict[str, list[UpstreamId]] = {}
        for upstream in self.upstreams.values():
            for task in upstream.running:
                locations.setdefault(task, []).append(upstream.id)
        return locations

    def _reply_starts(self) -> None:
        effects, self.starts = self.starts, []
        for effect in effects:
            upstream = self.upstreams[effect.upstream]
            outcome = CallOutcome.OK
            if effect.upstream in self.unresponsive:
                outcome = CallOutcome.UNKNOWN
            elif effect.fence < upstream.fence:
                outcome = CallOutcome.FENCED
            else:
                upstream.running[effect.run.task] = effect.run.number
            self.dispatcher.start_replied(effect, outcome, self.now)

    def _reply_stops(self) -> None:
        effects, self.stops = self.stops, []
        for effect in effects:
            if effect.upstream in self.unresponsive:
                outcome = CallOutcome.UNKNOWN
            else:
                outcome = CallOutcome.OK
                upstream = self.upstreams[effect.upstream]
                if effect.run.task in upstream.running:
                    upstream.end(effect.run.task, RunResult.STOPPED)
            self.dispatcher.stop_replied(effect, outcome, self.now)

    def reply_polls(self) -> None:
        effects, self.polls = self.polls, []
        for effect in effects:
            upstream = self.upstreams[effect.upstream]
            result = upstream.report(effect.last_seen)
            if effect.upstream in self.unresponsive:
                result = CallOutcome.UNKNOWN
            elif effect.fence < upstream.fence:
                result = CallOutcome.FENCED
            else:
                upstream.fence = effect.fence
            self.dispatcher.poll_replied(effect, result, self.now)


@pytest.fixture
def leader() -> Leader:
    """Return the leader of two upstreams with capacity for two tasks each."""
    new_leader = Leader()
    new_leader.lead()
    return new_leader
