"""The jobs that a leading host has and that are not ended."""

from jackdawspur.runs._crashes import Crashes
from jackdawspur.runs._job import Job
from jackdawspur.runs._types import Progress, TaskFailureCounts

__all__ = ["OpenJobs"]

# Hosts repeat the offers of jobs that another group has every 0.12 s.
UNREPEATED_S = 0.5
# Hosts of the own group repeat theirs every 0.4 s. Who asked for a job may ask another
# zone 1.3 s after a break.
OWN_UNREPEATED_S = 1.0


class OpenJobs(dict[str, Job]):
    """Keep jobs by id."""

    def hosts(self) -> set[str]:
        """Return the hosts whose callers wait for a job."""
        return {job.offer.host for job in self.values()}

    def of_host(self, host: str) -> list[Job]:
        """Return the jobs of a host's callers."""
        return [job for job in self.values() if job.offer.host == host]

    def count_not_started(self, route: str) -> int:
        """Return the number of a route's jobs of which nothing started."""
        jobs = self.values()
        return sum(job.request.route.name == route and not job.started for job in jobs)

    def take_reported(self) -> list[Job]:
        """Return the jobs of which a run told its progress, once each time."""
        reported = [job for job in self.values() if job.reported]
        for job in reported:
            job.reported = False
        return reported

    def all_repeated(self, now: float) -> None:
        """Count all offers as repeated just now, those that lapse only once."""
        for job in self.values():
            job.refreshed_at = min(now, job.told_at + UNREPEATED_S)

    def unrefreshed(self, outsiders: set[str], now: float) -> list[Job]:
        """Return the jobs that their hosts offer no more.

        That a host is heard says nothing of a job: it may have handed the job to its
        own leading host, have started again, or have no caller for it, and the message
        was lost. What ran on here would run twice at one time.
        """
        return [
            job
            for job in self.values()
            if now - job.refreshed_at > _kept_s(job, outsiders)
        ]

    def progress_by_host(self, crashes: Crashes) -> dict[str, dict[str, Progress]]:
        """Return what the next leading host must know of each job, by host and job."""
        told: dict[str, dict[str, Progress]] = {}
        for job in self.values():
            progress = _progress(job, crashes)
            if progress.done or progress.troubles:
                told.setdefault(job.offer.host, {})[job.id] = progress
        return told


def _progress(job: Job, crashes: Crashes) -> Progress:
    done = tuple(task.name for task in job.tasks if task.is_done)
    troubles = tuple(
        TaskFailureCounts(task.name, task.failures, crashes.count(task.name))
        for task in job.tasks
        if task.failures or crashes.is_suspect(task.name)
    )
    return Progress(done, troubles)


def _kept_s(job: Job, outsiders: set[str]) -> float:
    """Return how long a job is kept that its host repeats no more."""
    outside = job.offer.from_other_group or job.offer.host in outsiders
    return UNREPEATED_S if outside else OWN_UNREPEATED_S
