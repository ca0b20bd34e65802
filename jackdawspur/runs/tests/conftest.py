"""A leading host's decisions with upstreams that answer as told."""

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
PATIENT = replace(ROUTE, timeout_ms=5000.0, margin_ms=3000.0)
TASK = Resources(14_000, 64, 0)
UPSTREAM = Resources(32_000, 131_072, 0)
FENCE = 1 << 40
TASK_MS = 200
NEARLY_DONE = 95.0
LISTED_FOR_S = 60.0


@dataclass
class FakeUpstream:
    """Run what it is told; the test ends runs and decides about replies.

    Runs report the progress of tasks of 200 ms that never quite end, unless a test
    sets their percent.
    """

    id: UpstreamId
    running: dict[str, int] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    fence: int = 0
    clock_ms: int = 1000
    ends: int = 0
    percent: dict[str, float] = field(default_factory=dict)
    began_ms: dict[str, int] = field(default_factory=dict)
    boot: int = 0

    def start_again(self) -> None:
        """Start again under the same name, and know nothing of before."""
        self.boot += 1
        self.fence = self.ends = self.clock_ms = 0
        self.running.clear()
        self.ended.clear()
        self.began_ms.clear()

    def end(self, task: str, ending: RunResult = RunResult.DONE) -> None:
        """End a run."""
        self.ends += 1
        run = RunId(task, self.running.pop(task))
        self.ended.append(EndedRun(self.ends, run, ending, ""))

    def report(self, last_seen: int) -> PollReport:
        """Report all runs."""
        self.ended = [one for one in self.ended if one.number > last_seen]
        rows = tuple(
            RunningRun(RunId(task, number), "", self._percent(task))
            for task, number in self.running.items()
        )
        return PollReport(self.clock_ms, rows, tuple(self.ended), self.boot)

    def _percent(self, task: str) -> float:
        passed = self.clock_ms - self.began_ms.setdefault(task, self.clock_ms)
        return self.percent.get(task, min(NEARLY_DONE, 100.0 * passed / TASK_MS))


class Leading:
    """Drive a dispatcher; calls succeed unless a test takes them out first."""

    def __init__(self, upstreams: int = 2) -> None:
        self.now = 100.0
        self.dispatcher = Dispatcher(HostId("z1", "h1", 1), self.now)
        ids = [UpstreamId("z1", f"u{n}") for n in range(upstreams)]
        self.upstreams = {one: FakeUpstream(one) for one in ids}
        self.answers: list[AnswerJob] = []
        self.starts: list[StartRun] = []
        self.stops: list[StopRun] = []
        self.looks: list[PollUpstream] = []
        self.passed_on: list[RedirectJob] = []
        self.silent: set[UpstreamId] = set()
        # Its list is complete: it was first read long ago.
        listed_at = self.now - LISTED_FOR_S
        self.dispatcher.set_upstreams([self.entry(one) for one in ids], listed_at)

    def entry(self, one: UpstreamId, draining: bool = False) -> UpstreamEntry:
        """Return the list's entry of an upstream."""
        return UpstreamEntry(one, "roster", "127.0.0.1:1", UPSTREAM, (), draining)

    def lead(self, fence: int = FENCE) -> None:
        """Lead, and hold all upstreams that answer."""
        self.dispatcher.start_leading(fence, self.now)
        self.settle()

    def offer(
        self,
        job: str,
        tasks: int = 1,
        route: Route = ROUTE,
        each: int = 0,
        task_ms: float = TASK_MS,
        **changes,
    ) -> None:
        """Offer a job of equal tasks, at most `each` on one upstream."""
        step = JobStep(tasks, TASK, task_ms, most_per_upstream=each)
        request = JobRequest(job, "spec", (step,), route)
        values = {"host": "h2", "call": 1, "arrived": self.now}
        values["deadline"] = self.now + 1.5
        values.update(changes)
        self.dispatcher.offer(Offer(request, **values), self.now)

    def collect(self) -> list[Effect]:
        """Take the effects of a pass and keep them by kind."""
        effects = self.dispatcher.flush(self.now)
        self.answers += [e for e in effects if isinstance(e, AnswerJob)]
        self.starts += [e for e in effects if isinstance(e, StartRun)]
        self.stops += [e for e in effects if isinstance(e, StopRun)]
        self.looks += [e for e in effects if isinstance(e, PollUpstream)]
        self.passed_on += [e for e in effects if isinstance(e, RedirectJob)]
        return effects

    def settle(self, passes: int = 6) -> None:
        """Let all open calls succeed, but those to silent upstreams."""
        for _ in range(passes):
            self.collect()
            self._reply_starts()
            self._reply_stops()
            self.reply_looks()
        self.collect()

    def advance(self, seconds: float, step_s: float = 0.05) -> None:
        """Let time pass, with ticks; calls to silent upstreams go unanswered."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += step_s
            for upstream in self.upstreams.values():
                upstream.clock_ms += int(step_s * 1000)
            self.dispatcher.tick(self.now)
            self.settle(2)

    def lose_start(self, carried_out: bool) -> StartRun:
        """Let the oldest open start go without a reply."""
        order = self.starts.pop(0)
        if carried_out:
            self.upstreams[order.upstream].running[order.run.task] = order.run.number
        self.dispatcher.start_replied(order, CallOutcome.UNKNOWN, self.now)
        return order

    def running(self) -> dict[str, list[UpstreamId]]:
        """Return on which upstreams each task runs."""
        where: dict[str, list[UpstreamId]] = {}
        for upstream in self.upstreams.values():
            for task in upstream.running:
                where.setdefault(task, []).append(upstream.id)
        return where

    def _reply_starts(self) -> None:
        orders, self.starts = self.starts, []
        for order in orders:
            upstream = self.upstreams[order.upstream]
            outcome = CallOutcome.OK
            if order.upstream in self.silent:
                outcome = CallOutcome.UNKNOWN
            elif order.fence < upstream.fence:
                outcome = CallOutcome.FENCED
            else:
                upstream.running[order.run.task] = order.run.number
            self.dispatcher.start_replied(order, outcome, self.now)

    def _reply_stops(self) -> None:
        orders, self.stops = self.stops, []
        for order in orders:
            if order.upstream in self.silent:
                outcome = CallOutcome.UNKNOWN
            else:
                outcome = CallOutcome.OK
                upstream = self.upstreams[order.upstream]
                if order.run.task in upstream.running:
                    upstream.end(order.run.task, RunResult.STOPPED)
            self.dispatcher.stop_replied(order, outcome, self.now)

    def reply_looks(self) -> None:
        orders, self.looks = self.looks, []
        for order in orders:
            upstream = self.upstreams[order.upstream]
            result = upstream.report(order.last_seen)
            if order.upstream in self.silent:
                result = CallOutcome.UNKNOWN
            elif order.fence < upstream.fence:
                result = CallOutcome.FENCED
            else:
                upstream.fence = order.fence
            self.dispatcher.poll_replied(order, result, self.now)


@pytest.fixture
def leading() -> Leading:
    """Return a host that leads two upstreams with room for two tasks each."""
    one = Leading()
    one.lead()
    return one
