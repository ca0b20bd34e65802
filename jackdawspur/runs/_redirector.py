"""Redirection of jobs to other groups that have capacity for them."""

from jackdawspur.runs._effects import Effect, RedirectJob
from jackdawspur.runs._job import Job
from jackdawspur.runs._offered_capacity import OfferedCapacity
from jackdawspur.runs._open_jobs import OpenJobs
from jackdawspur.runs._pool import UpstreamPool

__all__ = ["JobRedirector"]


class JobRedirector:
    """Redirect jobs to the leaders of other groups."""

    def __init__(
        self, jobs: OpenJobs, pool: UpstreamPool, effects: list[Effect]
    ) -> None:
        self._jobs = jobs
        self._pool = pool
        self._effects = effects
        self.offered_capacity = OfferedCapacity()

    def is_possible(self, job: Job, now: float) -> bool:
        """Return whether another group may accept a job; this is a cheap check."""
        if not self.offered_capacity.has_offers:
            return False
        return self._pool.all_draining or self.offered_capacity.may_have_capacity(
            job, now
        )

    def send(self, job: Job, now: float, only_fast: bool = False) -> bool:
        """Redirect a job to a group that has capacity; return whether there is one."""
        anywhere = self._pool.all_draining
        remote_leader = self.offered_capacity.reserve(job, now, anywhere, only_fast)
        if remote_leader is None:
            return False
        offer = job.offer
        self._pool.log.redirected(job, remote_leader.leader, now)
        self._effects.append(
            RedirectJob(offer.host, offer.call, offer.attempt, job.id, remote_leader)
        )
        del self._jobs[job.id]
        return True
