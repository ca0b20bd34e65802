"""Jobs that go to other groups, which have room for them."""

from jackdawspur.runs._effects import Effect, RedirectJob
from jackdawspur.runs._fleet import UpstreamPool
from jackdawspur.runs._job import Job
from jackdawspur.runs._offered_capacity import OfferedCapacity
from jackdawspur.runs._open_jobs import OpenJobs

__all__ = ["JobRedirector"]


class JobRedirector:
    """Send jobs to the leading hosts of other groups."""

    def __init__(
        self, jobs: OpenJobs, fleet: UpstreamPool, effects: list[Effect]
    ) -> None:
        self._jobs = jobs
        self._fleet = fleet
        self._effects = effects
        self.elsewhere = OfferedCapacity()

    def possible(self, job: Job, now: float) -> bool:
        """Tell at little cost whether another group may take a job."""
        if not self.elsewhere.heard_of:
            return False
        return self._fleet.only_drains or self.elsewhere.may_have_room(job, now)

    def send(self, job: Job, now: float, only_fast: bool = False) -> bool:
        """Pass a job on to a group that has room for it; tell whether there is one."""
        anywhere = self._fleet.only_drains
        place = self.elsewhere.take(job, now, anywhere, only_fast)
        if place is None:
            return False
        offer = job.offer
        self._fleet.notes.passed_on(job, place.leader, now)
        self._effects.append(
            RedirectJob(offer.host, offer.call, offer.attempt, job.id, place)
        )
        del self._jobs[job.id]
        return True
