"""The leader's jobs that have not ended."""

from jackdawspur.runs._crashes import Crashes
from jackdawspur.runs._job import Job
from jackdawspur.runs._job_sizes import JobSizes
from jackdawspur.runs._types import Progress, TaskFailureCounts

__all__ = ["OpenJobs"]

# Hosts repeat their offers of jobs to other groups every 0.12 s.
OTHER_GROUP_TIMEOUT_S = 0.5
# Hosts of this group repeat theirs every 0.4 s. A job's caller may retry in another
# zone 1.3 s after a failure.
OWN_GROUP_TIMEOUT_S = 1.0


class OpenJobs(dict[str, Job]):
    """Open jobs by id, and their sizes."""

    def __init__(self) -> None:
        super().__init__()
        self.sizes = JobSizes()

    def __delitem__(self, job_id: str) -> None:
        super().__delitem__(job_id)
        self.sizes.remove(job_id)

    def add(self, job: Job, size: int, now: float) -> None:
        """Add a job of the given size."""
        self[job.id] = job
        self.sizes.add(job.id, size, now)

    def clear(self) -> None:
        """Remove all jobs."""
        super().clear()
        self.sizes.clear()

    def hosts(self) -> set[str]:
        """Return the hosts whose callers wait for a job."""
        return {job.offer.host for job in self.values()}

    def of_host(self, host: str) -> list[Job]:
        """Return the jobs of a host's callers."""
        return [job for job in self.values() if job.offer.host == host]

    def count_not_started(self, route: str) -> int:
        """Return the number of a route's jobs of which no task was started."""
        jobs = self.values()
        return sum(job.request.route.name == route and not job.started for job in jobs)

    def pop_reported(self) -> list[Job]:
        """Return the jobs with newly reported progress, and reset their flags."""
        reported = [job for job in self.values() if job.reported]
        for job in reported:
            job.reported = False
        return reported

    def reset_refresh_times(self, now: float) -> None:
        """Restart the refresh timeouts of all jobs.

        They restart at most OTHER_GROUP_TIMEOUT_S after a job's last offer, so repeated
        calls don't extend the time of a job that is no longer offered.
        """
        for job in self.values():
            job.refreshed_at = min(now, job.last_offered_at + OTHER_GROUP_TIMEOUT_S)

    def unrefreshed(self, other_group_hosts: set[str], now: float) -> list[Job]:
        """Return the jobs that their hosts no longer offer.

        Heartbeats of a host prove nothing about a job: the host may have handed it to
        its own leader, have restarted, or have no caller for it, and the message may
        have been lost. If the job continued here, it would run twice at the same time.
        """
        return [
            job
            for job in self.values()
            if now - job.refreshed_at > _refresh_timeout_s(job, other_group_hosts)
        ]

    def progress_by_host(self, crashes: Crashes) -> dict[str, dict[str, Progress]]:
        """Return the progress of each job for the next leader, by host and job."""
        progress_by_host: dict[str, dict[str, Progress]] = {}
        for job in self.values():
            progress = _progress(job, crashes)
            if progress.done or progress.troubles:
                progress_by_host.setdefault(job.offer.host, {})[job.id] = progress
        return progress_by_host


def _progress(job: Job, crashes: Crashes) -> Progress:
    done = tuple(task.name for task in job.tasks if task.is_done)
    troubles = tuple(
        TaskFailureCounts(task.name, task.failures, crashes.count(task.name))
        for task in job.tasks
        if task.failures or crashes.is_suspect(task.name)
    )
    return Progress(done, troubles)


def _refresh_timeout_s(job: Job, other_group_hosts: set[str]) -> float:
    """Return how long a job stays open without a new offer of its host."""
    in_other_group = job.offer.from_other_group or job.offer.host in other_group_hosts
    return OTHER_GROUP_TIMEOUT_S if in_other_group else OWN_GROUP_TIMEOUT_S
