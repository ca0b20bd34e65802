"""Selection of the waiting jobs that can be on time under overload."""

import heapq
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass

from jackdawspur.model import UpstreamId
from jackdawspur.runs._capacity_forecast import CapacityForecast
from jackdawspur.runs._job import Job
from jackdawspur.runs._order import due_start, latest_start
from jackdawspur.runs._usable_capacity import usable_capacity
from jackdawspur.runs._work import expected_run_s, job_work, waiting_work

__all__ = ["Admission", "UnservableJob", "retry_after_s", "waiting_work_ms"]

MS_PER_S = 1000.0
# Callers receive whole seconds.
MIN_RETRY_S = 1.0
MAX_RETRY_S = 30.0
# Estimated waits are off by about this much; a job is deferred only beyond it.
WAIT_ERROR_S = 0.12


@dataclass(frozen=True, slots=True)
class UnservableJob:
    """A job that would be too late, and how long the work ahead of it takes."""

    job: Job
    ahead_s: float


def equal_rank(_job: Job) -> float:
    """Return the rank of a job where all jobs are equal."""
    return 0.0


class Admission:
    """Choose the jobs to serve on time, and those that can't be served at all.

    If jobs were served by urgency alone, an overload would make every job slightly
    late, since each waits until its last moment. So as many jobs as possible are kept
    on time (Moore and Hodgson's rule for the fewest late jobs: take jobs by urgency,
    and when one would be late, leave out the largest so far, or the one of the lowest
    rank, if ranks are given). The others are served after them while this is still
    useful; jobs that would be too late even then are refused at once. Late jobs that do
    not yield are kept as well; they are due before their answers become worthless.
    """

    def __init__(self, slowdown: Callable[[UpstreamId], float]) -> None:
        self._slowdown = slowdown
        self._rank: Callable[[Job], float] = equal_rank
        self._wait_error_s = WAIT_ERROR_S
        self._work_ahead = 0.0
        self._forecast = CapacityForecast(0.0, ())

    def review(
        self,
        jobs: Iterable[Job],
        capacities: Mapping[UpstreamId, int],
        now: float,
        rank: Callable[[Job], float] = equal_rank,
        wait_error_s: float = WAIT_ERROR_S,
    ) -> list[UnservableJob]:
        """Mark the jobs that are deferred, and return those that would be too late.

        `capacities` are the upstreams' capacities, in thousandths of a core, and
        `rank` is the cost per unit of work of not serving jobs like this one; among
        equal ones the job with the most work is left out. A job may seem late by
        `wait_error_s`.
        """
        self._rank, self._wait_error_s = rank, wait_error_s
        open_jobs = list(jobs)
        new_jobs = [job for job in open_jobs if job.has_waiting and not job.goes_first]
        if not new_jobs:
            return []
        started_jobs = [job for job in open_jobs if job.goes_first]
        self._work_ahead = sum(
            waiting_work(job) for job in started_jobs if job.has_waiting
        )
        runs = [run for job in started_jobs for run in self._running_tasks(job, now)]
        capacity = usable_capacity(capacities, new_jobs, self._slowdown)
        self._forecast = CapacityForecast(capacity, runs)
        deferred_jobs = self._defer_late(new_jobs, now)
        return self._find_unservable(deferred_jobs, now)

    def _running_tasks(self, job: Job, now: float) -> Iterator[tuple[float, float]]:
        """Return in how many seconds each run of a job ends, and its capacity.

        The capacity is that which it would use on an upstream with a slowdown of 1.
        """
        for task in job.placed():
            slowdown = self._slowdown(task.upstream)
            run_s = expected_run_s(job, task) * slowdown - (now - task.placed_at)
            yield max(0.0, run_s), task.spec.resources.cpu_millis / slowdown

    def _defer_late(self, new_jobs: list[Job], now: float) -> list[Job]:
        """Return the jobs that are deferred so that all others start when due."""
        deferred_jobs: list[Job] = []
        kept_jobs: list[tuple[float, float, str, Job]] = []
        due = {job.id: due_start(job, now) for job in new_jobs}
        for job in sorted(new_jobs, key=lambda job: due[job.id]):
            job.deferred = False
            work = job_work(job)
            heapq.heappush(kept_jobs, (self._rank(job), -work, job.id, job))
            last_start_at = now + self._last_start_s(job, work)
            self._work_ahead += work
            if last_start_at > due[job.id] + self._wait_error_s:
                *_, cheapest = heapq.heappop(kept_jobs)
                self._work_ahead -= job_work(cheapest)
                cheapest.deferred = True
                deferred_jobs.append(cheapest)
        return deferred_jobs

    def _find_unservable(
        self, deferred_jobs: list[Job], now: float
    ) -> list[UnservableJob]:
        """Return the jobs that would end too late after all the others."""
        unservable: list[UnservableJob] = []
        for job in sorted(deferred_jobs, key=latest_start):
            work = job_work(job)
            last_start_s = self._last_start_s(job, work)
            if now + last_start_s > latest_start(job) and not job.started:
                unservable.append(UnservableJob(job, last_start_s))
            else:
                self._work_ahead += work
        return unservable

    def _last_start_s(self, job: Job, work: float) -> float:
        """Return when a job's last task starts, after the work ahead of it."""
        first_s = self._forecast.start_delay_s(self._work_ahead)
        last_s = (
            self._forecast.start_delay_s(self._work_ahead + work)
            - job.remaining_ms() / MS_PER_S
        )
        return max(first_s, last_s)


def waiting_work_ms(job: Job) -> float:
    """Return the work of a job's waiting tasks, in thousandths of a core."""
    return sum(
        job.expected_ms[task.step] * task.spec.resources.cpu_millis
        for task in job.waiting()
    )


def retry_after_s(work_ms: float, cpu_millis: int) -> float:
    """Return how long the waiting work will keep the upstreams busy."""
    waiting_s = work_ms / (MS_PER_S * max(1, cpu_millis))
    return min(MAX_RETRY_S, max(MIN_RETRY_S, waiting_s))
