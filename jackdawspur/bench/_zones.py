"""Zones that pass jobs on to each other, in virtual time."""

import itertools
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from jackdawspur.bench._drawn import ANSWER_S, HOP_S, LIMIT_S, DrawnJob, draw
from jackdawspur.bench._front_simulation import JobKind
from jackdawspur.bench._simulated_upstream import JobDemand, RunCounters
from jackdawspur.bench._sizes import JobFate, LostJob
from jackdawspur.bench._zone import Timeline, Zone
from jackdawspur.leases import Resources
from jackdawspur.runs import (
    AnswerJob,
    JobEnd,
    JobLost,
    Offer,
    Progress,
    RedirectJob,
    SpareCapacity,
    StartRun,
    split_round_robin,
)

__all__ = ["ZonesResult", "ZonesSimulation"]

MS_PER_S = 1000.0
MILLIS_PER_CORE = 1000.0
# Leading hosts offer their room to each other so often.
ROOM_EVERY_S = 0.2
# Of callers that state long waits, all have left by then.
LAST_S = 15.0


@dataclass
class ZonesResult:
    """Tell what became of all jobs, and what must never happen."""

    offered: int = 0
    passed_on: int = 0
    counters: RunCounters = field(default_factory=RunCounters)
    fates: list[JobFate] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class _Run:
    task: str
    at: float
    pace: float
    believed: float


@dataclass(eq=False, slots=True)
class _Asked:
    """Keep a job whose caller waits, its zone and what was seen of it."""

    drawn: DrawnJob
    zone: Zone
    offer: Offer
    came: float
    runs: list[_Run] = field(default_factory=list)
    lost: JobLost | None = None
    waited_s: float = 0.0


class ZonesSimulation:
    """Let callers of each zone send jobs to its hosts; keep what comes of them."""

    def __init__(
        self,
        kinds: Sequence[JobKind],
        zones: int,
        upstreams: int,
        pass_s: float,
        seed: int,
        states_waits: bool = False,
    ) -> None:
        self._states_waits = states_waits
        self.time = Timeline()
        self.result = ZonesResult()
        self._kinds = kinds
        rng = random.Random(f"zones {seed}")
        self.zones = [
            Zone(self, self.time, n, upstreams, pass_s, self.result.counters, rng)
            for n in range(zones)
        ]
        self._by_leader = {zone.place.leader: zone for zone in self.zones}
        self._calls = itertools.count(1)
        self._asked: dict[str, _Asked] = {}
        for zone in self.zones:
            for kind in kinds:
                # Jobs are the same whatever becomes of others.
                arrivals = random.Random(f"{zone.name} {kind.name} {seed}")
                self._next_job(zone, kind, arrivals)
        if zones > 1:
            self.time.every(ROOM_EVERY_S, self._offer_room)

    def run(self, until: float) -> ZonesResult:
        """Let callers come until a time, and wait for their answers."""
        self._ends = until
        self.time.run(until + (LAST_S if self._states_waits else 2 * LIMIT_S))
        return self.result

    def change_leader(self, zone: Zone) -> None:
        """Let another host lead a zone, and offer it all jobs that the last one had."""
        progress = zone.lead_anew()
        for asked in self._asked.values():
            if asked.zone is zone:
                offer = asked.offer
                told = progress.get(offer.request.id, Progress())
                asked.offer = self._offer_of(asked, offer.handovers + 1, told)
                zone.offer(asked.offer)

    # Callers.

    def _next_job(self, zone: Zone, kind: JobKind, arrivals: random.Random) -> None:
        wait_s = arrivals.expovariate(kind.a_second * zone.load)

        def come() -> None:
            if self.time.now < self._ends:
                self._ask(zone, kind, arrivals)
                self._next_job(zone, kind, arrivals)

        self.time.at(self.time.now + wait_s, come)

    def _ask(self, zone: Zone, kind: JobKind, arrivals: random.Random) -> None:
        self.result.offered += 1
        call = next(self._calls)
        drawn = draw(kind, f"{call:016x}", arrivals, self._states_waits)
        came = self.time.now
        deadline = came + drawn.waits_s - ANSWER_S
        offer = Offer(drawn.request, f"{zone.name}-host", call, came, deadline)
        asked = _Asked(drawn, zone, offer, came)
        self._asked[drawn.request.id] = asked
        self.time.at(came + HOP_S, lambda: zone.offer(asked.offer))
        # The host answers its caller itself when its time is over.
        self.time.at(deadline, lambda: self._time_over(asked))

    def _offer_of(self, asked: _Asked, handed: int, told: Progress) -> Offer:
        last = asked.offer
        return Offer(
            last.request,
            last.host,
            last.call,
            last.arrived,
            last.deadline,
            handed,
            told,
            from_other_group=last.from_other_group,
            attempt=last.attempt,
        )

    def _time_over(self, asked: _Asked) -> None:
        job = asked.drawn.request.id
        if self._asked.get(job) is not asked:
            return
        zone, offer = asked.zone, asked.offer

        def drop() -> None:
            zone.dispatcher.drop(offer.host, job, offer.call, self.time.now)

        zone.post(drop)
        # What is told of it comes with the end of the pass.
        self.time.at(self.time.now + HOP_S + zone.pass_s, lambda: self._end(job, False))

    # What leading hosts decide.

    def demand_of(self, task: str) -> JobDemand:
        """Return how long the tasks of a task's job take."""
        asked = self._asked.get(task.split(".", 1)[0])
        return asked.drawn.work if asked else JobDemand({task: 0.1}, Resources())

    def started(self, order: StartRun, pace: float, believed: float) -> None:
        """Take in that a run began on an upstream of a pace, and what was believed."""
        asked = self._asked.get(order.run.task.split(".", 1)[0])
        if asked is not None:
            task = order.run.task
            asked.runs.append(_Run(task, self.time.now, pace, believed))

    def lost(self, lost: JobLost) -> None:
        """Take in why a job is lost."""
        if lost.job in self._asked:
            self._asked[lost.job].lost = lost

    def answered(self, answer: AnswerJob) -> None:
        """Pass an answer on to its caller."""
        complete = answer.outcome.end is JobEnd.COMPLETE
        asked = self._asked.get(answer.job)
        if asked is not None:
            asked.waited_s = self.time.now - asked.came
            when = self.time.now + HOP_S
            self.time.at(when, lambda: self._end(answer.job, complete))

    def passed_on(self, order: RedirectJob) -> None:
        """Let a job's host offer it to the leading host of another zone."""
        self.result.passed_on += 1
        asked = self._asked.get(order.job)
        if asked is None:
            return
        last = asked.offer
        asked.zone = self._by_leader[order.remote_leader.leader]
        asked.offer = Offer(
            last.request,
            last.host,
            last.call,
            last.arrived,
            last.deadline,
            from_other_group=True,
            attempt=last.attempt + 1,
        )
        zone, offer = asked.zone, asked.offer
        self.time.at(self.time.now + 2 * HOP_S, lambda: zone.offer(offer))

    def _offer_room(self) -> None:
        for zone in self.zones:
            now = self.time.now
            others = [one for one in self.zones if one is not zone]
            wanting = [one for one in others if one.dispatcher.needs_capacity(now)]
            names = [one.place.leader for one in wanting or others]
            dealt = {
                service: (
                    split_round_robin(spare.fast, names),
                    split_round_robin(spare.slow, names),
                )
                for service, spare in zone.dispatcher.spare_capacity(now).items()
            }
            for other in others:
                name = other.place.leader
                room = {
                    service: SpareCapacity(fast.get(name, ()), slow.get(name, ()))
                    for service, (fast, slow) in dealt.items()
                }
                when = now + HOP_S
                self.time.at(when, lambda o=other, z=zone, r=room: o.hear_room(z, r))

    # Ends.

    def _end(self, job: str, complete: bool) -> None:
        asked = self._asked.pop(job, None)
        if asked is None:
            return
        drawn = asked.drawn
        served = complete and self.time.now - asked.came <= drawn.usable_s
        cores = drawn.work.resources.cpu_millis / MILLIS_PER_CORE
        seconds = drawn.work.run_times_s.values()
        self.result.fates.append(
            JobFate(
                drawn.request.route.name,
                sum(seconds) * cores,
                drawn.longest_s,
                served,
                servable=drawn.longest_s <= drawn.usable_s,
                came=asked.came,
                lost=None if served else self._lost(asked, complete),
            )
        )

    def _lost(self, asked: _Asked, complete: bool) -> LostJob:
        told = asked.lost
        cause = told.cause.value if told else "no_answer"
        first = told.first_start_ms if told else None
        last = told.last_start_ms if told else None
        return LostJob(
            cause="answered_late" if complete else cause,
            seen=_seen(asked),
            first_start_ms=first,
            last_start_ms=last,
            longest_ms=round(asked.drawn.longest_s * MS_PER_S),
            after_ms=round((self.time.now - asked.came) * MS_PER_S),
            believed=_believed(asked),
            came_s=round(asked.came, 1),
            far=asked.offer.from_other_group,
        )


def _seen(asked: _Asked) -> str:
    """Tell what really kept a job from its time, by when and where its tasks ran."""
    if not asked.runs:
        return "not begun"
    if len(asked.runs) > len(Counter(run.task for run in asked.runs)):
        return "run again"
    seconds = asked.drawn.work.run_times_s
    if len(asked.runs) < len(seconds):
        return "not all begun"
    begun = [(run.at - asked.came, seconds[run.task], run.pace) for run in asked.runs]
    usable_s = asked.drawn.usable_s
    if all(at + work * pace <= usable_s for at, work, pace in begun):
        return "in time where it was"
    if all(at + work <= usable_s for at, work, _ in begun):
        return "slow upstream"
    return "late start"


def _believed(asked: _Asked) -> float:
    """Return the pace that was believed of the upstream whose task ends last."""
    seconds = asked.drawn.work.run_times_s
    ends = [(run.at + seconds[run.task] * run.pace, run.believed) for run in asked.runs]
    return round(max(ends, default=(0.0, 0.0))[1], 2)
