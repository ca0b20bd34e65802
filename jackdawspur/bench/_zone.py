"""The leading host of one zone with its upstreams, in virtual time."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from jackdawspur.bench._generated_jobs import SLOWDOWN, UPSTREAM_LATENCY_S
from jackdawspur.bench._simulated_upstream import (
    JobDemand,
    RunCounters,
    SimulatedUpstream,
)
from jackdawspur.leases import CallOutcome, Fence, Resources, UpstreamEntry
from jackdawspur.model import HostId, UpstreamId
from jackdawspur.runs import (
    AnswerJob,
    Dispatcher,
    Effect,
    JobLost,
    Offer,
    PollUpstream,
    Progress,
    RedirectJob,
    RemoteLeader,
    SpareCapacity,
    StartRun,
    StopRun,
)

__all__ = ["EventScheduler", "Zone"]

TICK_S = 0.025
# Leases of upstreams that nobody reaches are looked at so often, others with each call.
LEASE_CHECK_INTERVAL_S = 0.002
LISTED_FOR_S = 60.0
MS_PER_S = 1000.0
NEVER_S = float("inf")


class EventScheduler:
    """Order all that happens."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Act at a time."""
        heapq.heappush(self._events, (when, next(self._order), act))

    def every(self, seconds: float, act: Callable[[], None]) -> None:
        """Act again and again."""

        def again() -> None:
            act()
            self.at(self.now + seconds, again)

        self.at(self.now + seconds, again)

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= until:
            self.now, _, act = heapq.heappop(self._events)
            act()


class ZoneOwner(Protocol):
    """Hear of what a leading host does with jobs."""

    def demand_of(self, task: str) -> JobDemand:
        """Return how long a task takes."""

    def started(self, effect: StartRun, pace: float, estimated_slowdown: float) -> None:
        """Take in that a run began on an upstream of a pace, and what was believed."""

    def answered(self, answer: AnswerJob) -> None:
        """Take in how a job ended."""

    def redirected(self, effect: RedirectJob) -> None:
        """Take in that a job is to go to another zone."""

    def lost(self, lost: JobLost) -> None:
        """Take in why a job is lost."""


@dataclass(frozen=True, slots=True)
class _PendingPoll:
    effect: PollUpstream
    replied: Callable
    until: float


class Zone:
    """Lead one zone; its loop handles what falls into one pass in any order.

    With a `pass_s` above zero a pass begins up to so long after the first event that
    it handles, which may be a tick; with zero each event has its own.
    """

    def __init__(
        self,
        owner: ZoneOwner,
        scheduler: EventScheduler,
        number: int,
        upstreams: int,
        pass_s: float,
        counters: RunCounters,
        rng: random.Random,
    ) -> None:
        self.name = f"z{number}"
        self.remote_leader = RemoteLeader(f"h{number}", (number + 1) << 40)
        self.load = 1.0
        self._owner = owner
        self._scheduler = scheduler
        self.pass_s = pass_s
        self._rng = rng
        self._inbox: list[Callable[[], None]] = []
        self._flush_due = NEVER_S
        made = [self._make(n, counters) for n in range(upstreams)]
        self.upstreams = {one.entry.id: one for one in made}
        self._pending_polls: dict[UpstreamId, list[_PendingPoll]] = {
            one: [] for one in self.upstreams
        }
        self._fence = self.remote_leader.fence
        self.dispatcher = self._new_leader(self._fence)
        scheduler.every(TICK_S, lambda: self.post(self._tick))
        scheduler.every(LEASE_CHECK_INTERVAL_S, self._end_leases)

    def label_upstreams(self) -> None:
        """Let the list name the kind of each upstream, by its pace, as it may do."""
        for one in self.upstreams.values():
            one.entry = replace(one.entry, labels=(f"pace-{one.pace}",))
        entries = [one.entry for one in self.upstreams.values()]
        self.dispatcher.set_upstreams(entries, self._scheduler.now)

    def _make(self, number: int, counters: RunCounters) -> SimulatedUpstream:
        cpu = 48_000 if number % 3 == 2 else 32_000
        pace = SLOWDOWN if number // 3 % 3 == 0 else 1.0
        one = UpstreamId(self.name, f"u{number}")
        capacity = Resources(cpu, 131_072, 0)
        entry = UpstreamEntry(one, "service", "127.0.0.1:1", capacity, (), False)
        return SimulatedUpstream(entry, pace, counters, self._rng)

    def _new_leader(self, fence: Fence) -> Dispatcher:
        leader = Dispatcher(
            HostId(self.name, self.remote_leader.leader, 1), self._scheduler.now
        )
        entries = [one.entry for one in self.upstreams.values()]
        leader.set_upstreams(entries, self._scheduler.now - LISTED_FOR_S)
        leader.start_leading(fence, self._scheduler.now)
        return leader

    def post(self, act: Callable[[], None]) -> None:
        """Let the loop handle an event, in its next pass."""
        self._inbox.append(act)
        if self.pass_s <= 0.0:
            self._run_pass()
        elif len(self._inbox) == 1:
            wait_s = self._rng.uniform(0.0, self.pass_s)
            self._scheduler.at(self._scheduler.now + wait_s, self._run_pass)

    def replace_leader(self) -> dict[str, Progress]:
        """Let another host lead, and return what the last one told of its jobs."""
        crashes = self.dispatcher.upstream_pool.crashes
        told = self.dispatcher.open_jobs.progress_by_host(crashes)
        self._fence += 1
        self.dispatcher = self._new_leader(self._fence)
        return {job: one for jobs in told.values() for job, one in jobs.items()}

    def receive_offered_capacity(
        self, zone: "Zone", capacity: dict[str, SpareCapacity]
    ) -> None:
        """Take in the room that another zone offers."""
        now = self._scheduler.now
        self.post(
            lambda: self.dispatcher.update_offered_capacity(
                zone.remote_leader, capacity, now
            )
        )

    def offer(self, offer: Offer) -> None:
        """Offer a job."""
        self.post(lambda: self.dispatcher.offer(offer, self._scheduler.now))

    def _run_pass(self) -> None:
        acts, self._inbox = self._inbox, []
        self._rng.shuffle(acts)
        for act in acts:
            act()
        for effect in self.dispatcher.flush(self._scheduler.now):
            self._carry_out(effect)
        overdue_at = self.dispatcher.overdue_at
        if overdue_at is not None and overdue_at < self._flush_due:
            self._flush_due = overdue_at
            self._scheduler.at(max(overdue_at, self._scheduler.now), self._overdue)

    def _overdue(self) -> None:
        self._flush_due = NEVER_S
        self.post(lambda: None)

    def _tick(self) -> None:
        self.dispatcher.tick(self._scheduler.now)

    def _carry_out(self, effect: Effect) -> None:
        if isinstance(effect, StartRun):
            self._start(effect)
        elif isinstance(effect, StopRun):
            self._stop(effect)
        elif isinstance(effect, PollUpstream):
            self._poll(effect)
        elif isinstance(effect, AnswerJob):
            self._owner.answered(effect)
        elif isinstance(effect, RedirectJob):
            self._owner.redirected(effect)
        elif isinstance(effect, JobLost):
            self._owner.lost(effect)

    # Calls to upstreams, each way CALL_S.

    def _call_upstream(
        self, effect, act: Callable[[], None], replied: Callable
    ) -> None:
        if self.upstreams[effect.upstream].silent:
            self._deliver_reply(replied, effect, CallOutcome.UNKNOWN, effect.timeout_s)
        else:
            self._scheduler.at(self._scheduler.now + UPSTREAM_LATENCY_S, act)

    def _deliver_reply(
        self,
        replied: Callable,
        effect,
        result: object,
        after_s: float = UPSTREAM_LATENCY_S,
    ) -> None:
        def come() -> None:
            self.post(lambda: replied(effect, result, self._scheduler.now))

        self._scheduler.at(self._scheduler.now + after_s, come)

    def _start(self, effect: StartRun) -> None:
        upstream, replied = (
            self.upstreams[effect.upstream],
            self.dispatcher.start_replied,
        )
        demand = self._owner.demand_of(effect.run.task)
        estimated_slowdown = self.dispatcher.estimates.slowdown(effect.upstream)

        def arrive() -> None:
            now = self._scheduler.now
            upstream.advance(now)
            outcome = upstream.start(
                effect.run, effect.lease_until_ms, effect.fence, demand, now
            )
            if outcome is CallOutcome.OK:
                whole_s = (
                    demand.run_times_s[effect.run.task] * upstream.pace * upstream.slow
                )
                self._scheduler.at(now + whole_s, lambda: self._advance(upstream))
                self._owner.started(effect, upstream.pace, estimated_slowdown)
            self._deliver_reply(replied, effect, outcome)

        self._call_upstream(effect, arrive, replied)

    def _stop(self, effect: StopRun) -> None:
        upstream, replied = (
            self.upstreams[effect.upstream],
            self.dispatcher.stop_replied,
        )

        def arrive() -> None:
            upstream.advance(self._scheduler.now)
            outcome = upstream.stop(effect.run, effect.fence, self._scheduler.now)
            self._deliver_reply(replied, effect, outcome)
            self._answer_polls(upstream)

        self._call_upstream(effect, arrive, replied)

    def _poll(self, effect: PollUpstream) -> None:
        upstream, replied = (
            self.upstreams[effect.upstream],
            self.dispatcher.poll_replied,
        )

        def arrive() -> None:
            now = self._scheduler.now
            upstream.advance(now)
            last, until_ms = effect.last_seen, effect.lease_until_ms
            outcome = upstream.hold(effect.fence, last, until_ms, now)
            if outcome is not CallOutcome.OK:
                self._deliver_reply(replied, effect, outcome)
                return
            until = now + effect.wait_ms / MS_PER_S
            self._pending_polls[effect.upstream].append(
                _PendingPoll(effect, replied, until)
            )
            self._scheduler.at(until, lambda: self._answer_polls(upstream))
            self._answer_polls(upstream)

        self._call_upstream(effect, arrive, replied)

    def _answer_polls(self, upstream: SimulatedUpstream) -> None:
        """Answer the looks that waited long enough, or for an end that is there."""
        waiting = self._pending_polls[upstream.entry.id]
        now, report = self._scheduler.now, None
        for poll in waiting[:]:
            if not (
                now >= poll.until
                or (upstream.has_unacknowledged_ends and not upstream.silent)
            ):
                continue
            waiting.remove(poll)
            if upstream.silent:
                report = CallOutcome.UNKNOWN
            report = report or upstream.report(now)
            self._deliver_reply(poll.replied, poll.effect, report)

    def _advance(self, upstream: SimulatedUpstream) -> None:
        upstream.advance(self._scheduler.now)
        self._answer_polls(upstream)

    def _end_leases(self) -> None:
        for upstream in self.upstreams.values():
            if upstream.silent:
                upstream.advance(self._scheduler.now)
