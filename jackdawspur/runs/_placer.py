"""Placement of waiting jobs, in order."""

import math
from collections.abc import Iterable, Sequence

from jackdawspur.leases import LeasedUpstream, Resources
from jackdawspur.runs._crashes import Crashes
from jackdawspur.runs._estimates import Estimates
from jackdawspur.runs._job import Job, Task
from jackdawspur.runs._offered_capacity import (
    SpareCapacity,
    fill,
    max_wait_s,
    may_redirect,
)
from jackdawspur.runs._order import order_key
from jackdawspur.runs._pool import UpstreamPool
from jackdawspur.runs._redirector import JobRedirector
from jackdawspur.runs._shed_placement import fits_at_once
from jackdawspur.runs._started_jobs import StartedJobs
from jackdawspur.runs._starts import Starts
from jackdawspur.runs._upstream_choice import (
    FastUpstreams,
    choose,
    fast_upstreams,
    is_slow,
    needs_fast_upstream,
    should_wait_for_fast,
)

__all__ = ["Placer"]

# This long after a job was handed to another leader, all runs that the earlier one may
# still have had are stopped or their leases have expired: 0.4 s until that leader gives
# up, a lease, and a margin.
HANDOVER_WAIT_S = 1.1
# Upstreams that reply to a new leader at all do so within this time.
FIRST_REPLY_S = 0.3
# Slowdowns change over many tasks, so all of them are examined only this often.
FAST_CACHE_S = 0.1
# A group counts as needing capacity of others for this long after a job found none.
CAPACITY_NEED_S = 0.5


class Placer:
    """Start the tasks of waiting jobs where there is capacity for them.

    `started_jobs` tracks the jobs of which any task was ever started.
    """

    def __init__(
        self,
        pool: UpstreamPool,
        starts: Starts,
        estimates: Estimates,
        started_jobs: StartedJobs,
        redirector: JobRedirector,
    ) -> None:
        self._pool = pool
        self._starts = starts
        self._estimates = estimates
        self._started_jobs = started_jobs
        self._redirector = redirector
        self._no_capacity_at = -math.inf
        # The jobs that left slow upstreams to others in the last pass.
        self._waiting_for_fast: set[str] = set()
        self._fast_by_service: dict[str, FastUpstreams] = {}
        self._fast_valid_until = 0.0
        self.due = False

    def place_if_due(self, jobs: Iterable[Job], now: float) -> None:
        """Place jobs when one arrived, capacity may be free, or a tick has passed.

        A pass after each reply would examine all waiting jobs without effect, which
        takes most of the leader's processor time when all capacity is used.
        """
        if self.due or self._pool.capacity_freed:
            self.due = self._pool.capacity_freed = False
            self._place(jobs, now)

    def awaits_runs(self, job: Job, now: float) -> bool:
        """Return whether upstreams may still report runs of a job that was handed over.

        They get a moment for their first reply.
        """
        return bool(job.offer.handovers) and now - job.offered_at < FIRST_REPLY_S

    def earliest_start(self, job: Job, now: float) -> float:
        """Return when a job's waiting tasks may start, regardless of capacity."""
        if self._may_place(job, now) or self.awaits_runs(job, now):
            return now
        return job.offered_at + HANDOVER_WAIT_S

    def ordered(self, waiting: list[Job], now: float) -> Sequence[Job]:
        """Return the waiting jobs, the one to be served first at the front."""
        return sorted(waiting, key=lambda job: order_key(job, now))

    def spare_capacity(self, now: float) -> dict[str, SpareCapacity]:
        """Return the free capacity of the upstreams, by service."""
        spare: dict[str, SpareCapacity] = {}
        for service, upstreams in self._pool.with_free_capacity(now).items():
            fast = self._fast_upstreams(service, now)
            free_capacities: dict[bool, list[int]] = {False: [], True: []}
            for upstream in upstreams:
                free_capacities[self._is_slow(upstream, fast)].append(
                    upstream.free.cpu_millis
                )
            spare[service] = SpareCapacity(
                free_capacities[False], free_capacities[True]
            )
        return spare

    def waits_for_fast_upstream(self, job: Job) -> bool:
        """Return whether a job waits for a fast upstream while slow ones are free."""
        return job.id in self._waiting_for_fast

    def needs_capacity(self, now: float) -> bool:
        """Return whether a job found no free capacity recently."""
        return now - self._no_capacity_at <= CAPACITY_NEED_S

    def _place(self, jobs: Iterable[Job], now: float) -> None:
        """Place jobs in order, and skip those that find no capacity."""
        waiting = [job for job in jobs if job.has_waiting]
        upstreams = self._pool.with_free_capacity(now) if waiting else {}
        self._waiting_for_fast.clear()
        no_capacity_for: dict[str, Resources] = {}
        for job in self.ordered(waiting, now):
            if not self._may_place(job, now):
                continue
            candidates = upstreams.get(job.request.route.service, ())
            if job.is_shed and not self._may_place_shed(job, candidates, now):
                continue
            if not self._redirect_if_full(job, candidates, now):
                self._place_job(job, candidates, no_capacity_for, now)

    def _may_place_shed(
        self, job: Job, upstreams: Sequence[LeasedUpstream], now: float
    ) -> bool:
        """Return whether a job that is not admitted is placed, in its first pass only.

        All its tasks must find capacity at once.
        """
        if job.passed_over:
            return False
        job.passed_over = True
        return fits_at_once(job, upstreams, self._estimates, now)

    def _redirect_if_full(
        self, job: Job, upstreams: Sequence[LeasedUpstream], now: float
    ) -> bool:
        """Redirect a job that can't wait for capacity here to a group that has some.

        A job with started tasks stays, so one that needs all its time is redirected
        before that, unless all its tasks find capacity here at once.
        """
        if not may_redirect(job, now, max_wait_s(job, now)):
            return False
        if not self._redirector.is_possible(job, now):
            return False
        fast = self._fast_upstreams(job.request.route.service, now)
        only_fast = needs_fast_upstream(job, fast, now)
        free_capacities = [
            upstream.free.cpu_millis
            for upstream in upstreams
            if not (only_fast and self._is_slow(upstream, fast))
        ]
        if fill(free_capacities, job.request.steps) is not None:
            return False
        self._no_capacity_at = now
        return self._redirector.send(job, now, only_fast)

    def _is_slow(self, upstream: LeasedUpstream, fast: FastUpstreams | None) -> bool:
        return fast is not None and is_slow(
            self._estimates.slowdown(upstream.entry.id), fast
        )

    def _fast_upstreams(self, service: str, now: float) -> FastUpstreams | None:
        if now >= self._fast_valid_until:
            self._fast_valid_until = now + FAST_CACHE_S
            self._fast_by_service = fast_upstreams(
                self._pool.upstreams, self._estimates
            )
        return self._fast_by_service.get(service)

    def _may_place(self, job: Job, now: float) -> bool:
        """Return whether no run of an earlier leader can conflict with a job's tasks.

        An earlier leader may reach an upstream that this host does not, or have led a
        group with other upstreams, and run the same tasks there.
        """
        if not job.offer.handovers or now - job.offered_at > HANDOVER_WAIT_S:
            return True
        self._pool.watch_closely(now)
        return self._pool.listing.covers_earlier_starts(
            job.offer
        ) and self._pool.all_leased(now)

    def _place_job(
        self,
        job: Job,
        upstreams: Sequence[LeasedUpstream],
        no_capacity_for: dict[str, Resources],
        now: float,
    ) -> None:
        """Start a job's tasks; `no_capacity_for` is what did not fit in this pass.

        Capacity only shrinks within a pass, so tasks that need at least as much are not
        tried.
        """
        service = job.request.route.service
        crashes = self._pool.crashes
        for task in job.waiting():
            suspect = crashes.is_suspect(task.name)
            if self._pool.may_have_run(task.name) or (
                suspect and _must_wait(task, job, crashes)
            ):
                continue
            if self._starts.is_saturated(len(upstreams)):
                return
            needed = task.spec.resources
            if service in no_capacity_for and no_capacity_for[service].fits_in(needed):
                return
            candidates = _without_suspects(upstreams, crashes) if suspect else upstreams
            upstream = choose(task, job, candidates, self._estimates, now)
            if upstream is None:
                self._no_capacity_at = now
                if _is_limited_by_size_only(task) and not suspect:
                    no_capacity_for[service] = needed
                return
            if self._should_wait_for_fast(job, task, upstream, now):
                self._no_capacity_at = now
                self._waiting_for_fast.add(job.id)
                return
            self._start(job, task, upstream, now)

    def _should_wait_for_fast(
        self, job: Job, task: Task, upstream: LeasedUpstream, now: float
    ) -> bool:
        """Return whether a task should wait for a fast upstream."""
        slowdown = self._estimates.slowdown(upstream.entry.id)
        fast = self._fast_upstreams(job.request.route.service, now)
        return fast is not None and should_wait_for_fast(task, job, slowdown, fast, now)

    def _start(
        self, job: Job, task: Task, upstream: LeasedUpstream, now: float
    ) -> None:
        task.run += 1
        job.place(task, upstream.entry.id, now)
        self._pool.log.started(job, task, now)
        self._started_jobs.record(job.offer)
        self._estimates.started(upstream.entry.id)
        self._starts.start(upstream, task, job.request.spec, now)


def _must_wait(task: Task, job: Job, crashes: Crashes) -> bool:
    """Return whether a suspect task may not start before more is known."""
    if crashes.must_wait(task.name):
        return True
    if not crashes.must_run_alone(task.name):
        return False
    return any(crashes.is_suspect(other.name) for other in job.placed())


def _without_suspects(
    upstreams: Sequence[LeasedUpstream], crashes: Crashes
) -> list[LeasedUpstream]:
    """Return the upstreams that run no suspect task.

    If suspects run apart, the next crash shows which of them causes crashes.
    """
    return [
        upstream
        for upstream in upstreams
        if not any(crashes.is_suspect(run.task) for run in upstream.runs)
    ]


def _is_limited_by_size_only(task: Task) -> bool:
    """Return whether a task has no constraint but the resources that it needs."""
    spec = task.spec
    return not (spec.label or spec.most_per_upstream or task.avoid)
