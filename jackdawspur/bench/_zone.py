"""The leading host of one zone with its upstreams, in virtual time."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from jackdawspur.bench._drawn import CALL_S, SLOWER
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

__all__ = ["Timeline", "Zone"]

TICK_S = 0.025
# Leases of upstreams that nobody reaches are looked at so often, others with each call.
LEASES_S = 0.002
LISTED_FOR_S = 60.0
MS_PER_S = 1000.0
NEVER_S = float("inf")


class Timeline:
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

    def started(self, order: StartRun, pace: float, believed: float) -> None:
        """Take in that a run began on an upstream of a pace, and what was believed."""

    def answered(self, answer: AnswerJob) -> None:
        """Take in how a job ended."""

    def passed_on(self, order: RedirectJob) -> None:
        """Take in that a job is to go to another zone."""

    def lost(self, lost: JobLost) -> None:
        """Take in why a job is lost."""


@dataclass(frozen=True, slots=True)
class _Look:
    order: PollUpstream
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
        time: Timeline,
        number: int,
        upstreams: int,
        pass_s: float,
        counters: RunCounters,
        rng: random.Random,
    ) -> None:
        self.name = f"z{number}"
        self.place = RemoteLeader(f"h{number}", (number + 1) << 40)
        self.load = 1.0
        self._owner = owner
        self._time = time
        self.pass_s = pass_s
        self._rng = rng
        self._inbox: list[Callable[[], None]] = []
        self._flush_due = NEVER_S
        made = [self._make(n, counters) for n in range(upstreams)]
        self.upstreams = {one.entry.id: one for one in made}
        self._looks: dict[UpstreamId, list[_Look]] = {one: [] for one in self.upstreams}
        self._fence = self.place.fence
        self.dispatcher = self._lead(self._fence)
        time.every(TICK_S, lambda: self.post(self._tick))
        time.every(LEASES_S, self._end_leases)

    def name_kinds(self) -> None:
        """Let the list name the kind of each upstream, by its pace, as it may do."""
        for one in self.upstreams.values():
            one.entry = replace(one.entry, labels=(f"pace-{one.pace}",))
        entries = [one.entry for one in self.upstreams.values()]
        self.dispatcher.set_upstreams(entries, self._time.now)

    def _make(self, number: int, counters: RunCounters) -> SimulatedUpstream:
        cpu = 48_000 if number % 3 == 2 else 32_000
        pace = SLOWER if number // 3 % 3 == 0 else 1.0
        one = UpstreamId(self.name, f"u{number}")
        room = Resources(cpu, 131_072, 0)
        entry = UpstreamEntry(one, "service", "127.0.0.1:1", room, (), False)
        return SimulatedUpstream(entry, pace, counters, self._rng)

    def _lead(self, fence: Fence) -> Dispatcher:
        leader = Dispatcher(HostId(self.name, self.place.leader, 1), self._time.now)
        entries = [one.entry for one in self.upstreams.values()]
        leader.set_upstreams(entries, self._time.now - LISTED_FOR_S)
        leader.start_leading(fence, self._time.now)
        return leader

    def post(self, act: Callable[[], None]) -> None:
        """Let the loop handle an event, in its next pass."""
        self._inbox.append(act)
        if self.pass_s <= 0.0:
            self._pass()
        elif len(self._inbox) == 1:
            wait_s = self._rng.uniform(0.0, self.pass_s)
            self._time.at(self._time.now + wait_s, self._pass)

    def lead_anew(self) -> dict[str, Progress]:
        """Let another host lead, and return what the last one told of its jobs."""
        crashes = self.dispatcher.upstream_pool.crashes
        told = self.dispatcher.open_jobs.progress_by_host(crashes)
        self._fence += 1
        self.dispatcher = self._lead(self._fence)
        return {job: one for jobs in told.values() for job, one in jobs.items()}

    def hear_room(self, zone: "Zone", room: dict[str, SpareCapacity]) -> None:
        """Take in the room that another zone offers."""
        now = self._time.now
        self.post(
            lambda: self.dispatcher.update_offered_capacity(zone.place, room, now)
        )

    def offer(self, offer: Offer) -> None:
        """Offer a job."""
        self.post(lambda: self.dispatcher.offer(offer, self._time.now))

    def _pass(self) -> None:
        acts, self._inbox = self._inbox, []
        self._rng.shuffle(acts)
        for act in acts:
            act()
        for effect in self.dispatcher.flush(self._time.now):
            self._carry_out(effect)
        overdue_at = self.dispatcher.overdue_at
        if overdue_at is not None and overdue_at < self._flush_due:
            self._flush_due = overdue_at
            self._time.at(max(overdue_at, self._time.now), self._overdue)

    def _overdue(self) -> None:
        self._flush_due = NEVER_S
        self.post(lambda: None)

    def _tick(self) -> None:
        self.dispatcher.tick(self._time.now)

    def _carry_out(self, effect: Effect) -> None:
        if isinstance(effect, StartRun):
            self._start(effect)
        elif isinstance(effect, StopRun):
            self._stop(effect)
        elif isinstance(effect, PollUpstream):
            self._look(effect)
        elif isinstance(effect, AnswerJob):
            self._owner.answered(effect)
        elif isinstance(effect, RedirectJob):
            self._owner.passed_on(effect)
        elif isinstance(effect, JobLost):
            self._owner.lost(effect)

    # Calls to upstreams, each way CALL_S.

    def _call(self, order, act: Callable[[], None], replied: Callable) -> None:
        if self.upstreams[order.upstream].silent:
            self._reply(replied, order, CallOutcome.UNKNOWN, order.timeout_s)
        else:
            self._time.at(self._time.now + CALL_S, act)

    def _reply(
        self, replied: Callable, order, result: object, after_s: float = CALL_S
    ) -> None:
        def come() -> None:
            self.post(lambda: replied(order, result, self._time.now))

        self._time.at(self._time.now + after_s, come)

    def _start(self, order: StartRun) -> None:
        upstream, replied = (
            self.upstreams[order.upstream],
            self.dispatcher.start_replied,
        )
        work = self._owner.demand_of(order.run.task)
        believed = self.dispatcher.estimates.slowdown(order.upstream)

        def arrive() -> None:
            now = self._time.now
            upstream.advance(now)
            outcome = upstream.start(
                order.run, order.lease_until_ms, order.fence, work, now
            )
            if outcome is CallOutcome.OK:
                whole_s = (
                    work.run_times_s[order.run.task] * upstream.pace * upstream.slow
                )
                self._time.at(now + whole_s, lambda: self._advance(upstream))
                self._owner.started(order, upstream.pace, believed)
            self._reply(replied, order, outcome)

        self._call(order, arrive, replied)

    def _stop(self, order: StopRun) -> None:
        upstream, replied = self.upstreams[order.upstream], self.dispatcher.stop_replied

        def arrive() -> None:
            upstream.advance(self._time.now)
            outcome = upstream.stop(order.run, order.fence, self._time.now)
            self._reply(replied, order, outcome)
            self._answer_looks(upstream)

        self._call(order, arrive, replied)

    def _look(self, order: PollUpstream) -> None:
        upstream, replied = self.upstreams[order.upstream], self.dispatcher.poll_replied

        def arrive() -> None:
            now = self._time.now
            upstream.advance(now)
            last, until_ms = order.last_seen, order.lease_until_ms
            outcome = upstream.hold(order.fence, last, until_ms, now)
            if outcome is not CallOutcome.OK:
                self._reply(replied, order, outcome)
                return
            until = now + order.wait_ms / MS_PER_S
            self._looks[order.upstream].append(_Look(order, replied, until))
            self._time.at(until, lambda: self._answer_looks(upstream))
            self._answer_looks(upstream)

        self._call(order, arrive, replied)

    def _answer_looks(self, upstream: SimulatedUpstream) -> None:
        """Answer the looks that waited long enough, or for an end that is there."""
        waiting = self._looks[upstream.entry.id]
        now, report = self._time.now, None
        for look in waiting[:]:
            if not (
                now >= look.until
                or (upstream.has_unacknowledged_ends and not upstream.silent)
            ):
                continue
            waiting.remove(look)
            if upstream.silent:
                report = CallOutcome.UNKNOWN
            report = report or upstream.report(now)
            self._reply(look.replied, look.order, report)

    def _advance(self, upstream: SimulatedUpstream) -> None:
        upstream.advance(self._time.now)
        self._answer_looks(upstream)

    def _end_leases(self) -> None:
        for upstream in self.upstreams.values():
            if upstream.silent:
                upstream.advance(self._time.now)
