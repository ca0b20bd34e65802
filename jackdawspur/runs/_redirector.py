"""Redirection of jobs to other groups that have capacity for them."""

import math

from jackdawspur.runs._effects import Effect, RedirectJob
from jackdawspur.runs._job import Job
from jackdawspur.runs._load_tracker import LoadTracker
from jackdawspur.runs._offered_capacity import (
    OfferedCapacity,
    RemoteLeader,
    may_redirect,
)
from jackdawspur.runs._open_jobs import OpenJobs
from jackdawspur.runs._order import objective
from jackdawspur.runs._pool import UpstreamPool
from jackdawspur.runs._reported_loads import GroupChoice

__all__ = ["JobRedirector"]

MS_PER_S = 1000.0


class JobRedirector:
    """Redirect jobs to the leaders of other groups."""

    def __init__(
        self,
        jobs: OpenJobs,
        pool: UpstreamPool,
        load_tracker: LoadTracker,
        effects: list[Effect],
    ) -> None:
        self._jobs = jobs
        self._pool = pool
        self._load_tracker = load_tracker
        self._effects = effects
        self.offered_capacity = OfferedCapacity()

    def is_possible(self, job: Job, now: float) -> bool:
        """Return whether another group may accept a job; this is a cheap check."""
        if self.offered_capacity.has_offers and (
            self._pool.all_draining or self.offered_capacity.may_have_capacity(job, now)
        ):
            return True
        return self._choose_by_wait(job, False, now) is not None

    def send(
        self, job: Job, now: float, only_fast: bool = False, refused: bool = False
    ) -> bool:
        """Redirect a job to a group that has capacity; return whether there is one.

        `refused` tells that the job would be refused here, and not just wait.
        """
        anywhere = self._pool.all_draining
        remote_leader = self.offered_capacity.reserve(job, now, anywhere, only_fast)
        if remote_leader is not None:
            self._send_to(remote_leader, job, None, now)
            return True
        choice = self._choose_by_wait(job, refused, now)
        if choice is None:
            return False
        self._send_to(choice.remote_leader, job, choice, now)
        return True

    def send_refused(self, job: Job, now: float) -> bool:
        """Redirect a job that would be refused here, if that is possible."""
        return may_redirect(job, now, wait_limit_s=0.0) and self.send(
            job, now, refused=True
        )

    def _choose_by_wait(
        self, job: Job, refused: bool, now: float
    ) -> GroupChoice | None:
        """Return the group in which a job would be on time, if it would not be here."""
        route = job.request.route
        tracker = self._load_tracker
        if not tracker.sheds_by_cost(route.service):
            return None
        wait_here_s = math.inf
        if not (refused or job.deferred):
            wait_here_s = tracker.expected_wait_s(route.service, route.priority, now)
            if now + wait_here_s <= objective(job) - job.remaining_ms() / MS_PER_S:
                return None
        return tracker.reported_loads.choose(job, wait_here_s, now)

    def _send_to(
        self,
        remote_leader: RemoteLeader,
        job: Job,
        choice: GroupChoice | None,
        now: float,
    ) -> None:
        offer, route = job.offer, job.request.route
        leader = remote_leader.leader
        wait_here_s = self._load_tracker.expected_wait_s(
            route.service, route.priority, now
        )
        self._pool.log.redirected(job, leader, choice, wait_here_s, now)
        self._load_tracker.reported_loads.record_redirect(
            job, leader, choice is not None
        )
        self._effects.append(
            RedirectJob(offer.host, offer.call, offer.attempt, job.id, remote_leader)
        )
        del self._jobs[job.id]
