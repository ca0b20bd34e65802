"""Giving room to waiting jobs, in order."""

import math
from collections.abc import Iterable, Sequence

from jackdawspur.leases import LeasedUpstream, Resources
from jackdawspur.runs._begun import StartedJobs
from jackdawspur.runs._crashes import Crashes
from jackdawspur.runs._estimates import Estimates
from jackdawspur.runs._fleet import UpstreamPool
from jackdawspur.runs._job import Job, Task
from jackdawspur.runs._offered_capacity import SpareCapacity, fill, may_go, patience_s
from jackdawspur.runs._order import order_key
from jackdawspur.runs._passing_on import JobRedirector
from jackdawspur.runs._placing import (
    FastRoom,
    choose,
    fast_room,
    had_better_wait,
    is_slow,
    needs_fast_room,
)
from jackdawspur.runs._starts import Starts

__all__ = ["Placer"]

# This long after a job was handed to another leading host, whatever the earlier one may
# still have had running is stopped or has lapsed: 0.4 s until that gives up, a lease,
# and a margin.
SETTLED_S = 1.1
# Upstreams that answer a new leading host at all do so within this time.
ANSWERS_S = 0.3
# Paces change over many tasks; all are gone through this seldom.
FAST_KEPT_S = 0.1
# A group wants the others' room for this long after a job found none in it.
WANTS_S = 0.5


class Placer:
    """Start the tasks of waiting jobs where there is room for them.

    `begun` keeps the jobs of which anything was ever started.
    """

    def __init__(
        self,
        fleet: UpstreamPool,
        starts: Starts,
        estimates: Estimates,
        begun: StartedJobs,
        passing_on: JobRedirector,
    ) -> None:
        self._fleet = fleet
        self._starts = starts
        self._estimates = estimates
        self._begun = begun
        self._passing_on = passing_on
        self._no_room_at = -math.inf
        # The jobs that in the last pass left slow room to others.
        self._choosy: set[str] = set()
        self._fast: dict[str, FastRoom] = {}
        self._fast_until = 0.0
        self.due = False

    def place_if_due(self, jobs: Iterable[Job], now: float) -> None:
        """Place when a job came, room may have come free, or a tick has passed.

        A pass for each reply would go through all waiting jobs in vain: when all room
        is taken, that is most of what the leading host's processor does.
        """
        if self.due or self._fleet.gained:
            self.due = self._fleet.gained = False
            self._place(jobs, now)

    def awaits_runs(self, job: Job, now: float) -> bool:
        """Tell whether upstreams may still tell of runs of a job that was handed over.

        They get a moment for their first answer.
        """
        return bool(job.offer.handovers) and now - job.offered_at < ANSWERS_S

    def earliest_start(self, job: Job, now: float) -> float:
        """Return when a job's waiting tasks may start, room or not."""
        if self._may_place(job, now) or self.awaits_runs(job, now):
            return now
        return job.offered_at + SETTLED_S

    def ordered(self, waiting: list[Job], now: float) -> Sequence[Job]:
        """Return the waiting jobs, the one to be served first at the front."""
        return sorted(waiting, key=lambda job: order_key(job, now))

    def spare_capacity(self, now: float) -> dict[str, SpareCapacity]:
        """Return what is left of the upstreams, by service."""
        spare: dict[str, SpareCapacity] = {}
        for service, upstreams in self._fleet.with_room(now).items():
            fast = self._fast_room(service, now)
            rows: dict[bool, list[int]] = {False: [], True: []}
            for held in upstreams:
                rows[self._is_slow(held, fast)].append(held.free.cpu_millis)
            spare[service] = SpareCapacity(rows[False], rows[True])
        return spare

    def waits_by_choice(self, job: Job) -> bool:
        """Tell whether a job waits for fast room beside slow room."""
        return job.id in self._choosy

    def needs_capacity(self, now: float) -> bool:
        """Tell whether a job found no room just now."""
        return now - self._no_room_at <= WANTS_S

    def _place(self, jobs: Iterable[Job], now: float) -> None:
        """Give room in order; a job for which there is none lets others pass."""
        waiting = [job for job in jobs if job.has_waiting]
        upstreams = self._fleet.with_room(now) if waiting else {}
        self._choosy.clear()
        refused: dict[str, Resources] = {}
        for job in self.ordered(waiting, now):
            if not self._may_place(job, now):
                continue
            some = upstreams.get(job.request.route.service, ())
            if not self._goes_elsewhere(job, some, now):
                self._place_job(job, some, refused, now)

    def _goes_elsewhere(
        self, job: Job, upstreams: Sequence[LeasedUpstream], now: float
    ) -> bool:
        """Pass a job on that can't wait for room here, where another group has some.

        A job of which some tasks have begun stays, so one that needs all its time goes
        before that, unless all its tasks find room here at once.
        """
        if not may_go(job, now, patience_s(job, now)):
            return False
        if not self._passing_on.possible(job, now):
            return False
        fast = self._fast_room(job.request.route.service, now)
        only_fast = needs_fast_room(job, fast, now)
        rows = [
            held.free.cpu_millis
            for held in upstreams
            if not (only_fast and self._is_slow(held, fast))
        ]
        if fill(rows, job.request.steps) is not None:
            return False
        self._no_room_at = now
        return self._passing_on.send(job, now, only_fast)

    def _is_slow(self, held: LeasedUpstream, fast: FastRoom | None) -> bool:
        return fast is not None and is_slow(
            self._estimates.slowdown(held.entry.id), fast
        )

    def _fast_room(self, service: str, now: float) -> FastRoom | None:
        if now >= self._fast_until:
            self._fast_until = now + FAST_KEPT_S
            self._fast = fast_room(self._fleet.upstreams, self._estimates)
        return self._fast.get(service)

    def _may_place(self, job: Job, now: float) -> bool:
        """Hold back what an earlier leading host may still have running.

        It may reach an upstream that this host does not, or led a group with others,
        and run the same tasks there.
        """
        if not job.offer.handovers or now - job.offered_at > SETTLED_S:
            return True
        self._fleet.watch_all(now)
        return self._fleet.listing.bars(job.offer) and self._fleet.all_held(now)

    def _place_job(
        self,
        job: Job,
        upstreams: Sequence[LeasedUpstream],
        refused: dict[str, Resources],
        now: float,
    ) -> None:
        """Start a job's tasks; `refused` is what found no room in this pass.

        Room only shrinks within a pass, so what needs as much is not tried again.
        """
        service = job.request.route.service
        crashes = self._fleet.crashes
        for task in job.waiting():
            suspect = crashes.is_suspect(task.name)
            if self._fleet.takes_room(task.name) or (
                suspect and _must_wait(task, job, crashes)
            ):
                continue
            needed = task.spec.resources
            if service in refused and refused[service].fits_in(needed):
                return
            some = _without_suspects(upstreams, crashes) if suspect else upstreams
            held = choose(task, job, some, self._estimates, now)
            if held is None:
                self._no_room_at = now
                if _fits_anywhere(task) and not suspect:
                    refused[service] = needed
                return
            if self._had_better_wait(job, task, held, now):
                self._no_room_at = now
                self._choosy.add(job.id)
                return
            self._start(job, task, held, now)

    def _had_better_wait(
        self, job: Job, task: Task, held: LeasedUpstream, now: float
    ) -> bool:
        """Tell whether to wait for a fast upstream."""
        pace = self._estimates.slowdown(held.entry.id)
        fast = self._fast_room(job.request.route.service, now)
        return fast is not None and had_better_wait(task, job, pace, fast, now)

    def _start(self, job: Job, task: Task, held: LeasedUpstream, now: float) -> None:
        task.run += 1
        job.place(task, held.entry.id, now)
        self._fleet.notes.started(job, task, now)
        self._begun.note(job.offer)
        self._estimates.started(held.entry.id)
        self._starts.start(held, task, job.request.spec, now)


def _must_wait(task: Task, job: Job, crashes: Crashes) -> bool:
    """Tell whether a suspect may not start before more is known."""
    if crashes.must_wait(task.name):
        return True
    if not crashes.runs_alone(task.name):
        return False
    return any(crashes.is_suspect(other.name) for other in job.placed())


def _without_suspects(
    upstreams: Sequence[LeasedUpstream], crashes: Crashes
) -> list[LeasedUpstream]:
    """Return the upstreams on which no task runs that one may have crashed under.

    What crashes next then tells which of them it was.
    """
    return [
        held
        for held in upstreams
        if not any(crashes.is_suspect(run.task) for run in held.runs)
    ]


def _fits_anywhere(task: Task) -> bool:
    """Tell whether only its size can keep a task off an upstream."""
    spec = task.spec
    return not (spec.label or spec.most_per_upstream or task.avoid)
