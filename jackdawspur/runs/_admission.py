"""Which of the waiting jobs can be on time, when there is more work than room."""

import heapq
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from statistics import fmean

from jackdawspur.model import UpstreamId
from jackdawspur.runs._freeing import FreeingRoom
from jackdawspur.runs._job import Job, Task, TaskState
from jackdawspur.runs._order import latest_start, objective

__all__ = ["Admission", "UnservableJob", "retry_after_s"]

MS_PER_S = 1000.0
# Callers are told whole seconds.
LEAST_RETRY_S = 1.0
MOST_RETRY_S = 30.0
# Waits that are worked out are off by about this much: a job is left out only beyond
# it.
DOUBT_S = 0.12
# A run that stands still seems to need for ever. It is stopped before long, so it
# counts for no more than this many times what was expected: else one such job would
# keep out all others.
MOST_OF_EXPECTED = 2.0
# On a full upstream this share of a usual task's room is left over, too small for one.
LEFT_OVER_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class UnservableJob:
    """Name a job that would come too late, and how long the work ahead of it takes."""

    job: Job
    ahead_s: float


class Admission:
    """Choose the jobs to be served on time, and those that can't be served at all.

    Served by urgency alone, more work than there is room makes every job late by a
    little: each waits until its last moment. So the most jobs that fit are kept on time
    (Moore and Hodgson's rule for the fewest late jobs: go by urgency, and when one
    would be late, leave out the largest so far). The rest is served after them, while
    it is of use; what would come too late even so is refused at once.
    """

    def __init__(self, pace: Callable[[UpstreamId], float]) -> None:
        self._pace = pace
        self._ahead = 0.0
        self._room = FreeingRoom(0.0, ())

    def review(
        self, jobs: Iterable[Job], capacities: Mapping[UpstreamId, int], now: float
    ) -> list[UnservableJob]:
        """Mark the jobs that are deferred, and return those that come too late.

        `capacities` are those of the upstreams, in thousandths of a core.
        """
        everything = list(jobs)
        new = [job for job in everything if job.has_waiting and not job.started]
        if not new:
            return []
        begun = [job for job in everything if job.started]
        self._ahead = sum(_waiting_work(job) for job in begun if job.has_waiting)
        runs = [run for job in begun for run in self._under_way(job, now)]
        self._room = FreeingRoom(self._usable(capacities, new), runs)
        rest = self._keep_on_time(new, now)
        return self._beyond_use(rest, now)

    def _usable(self, capacities: Mapping[UpstreamId, int], new: list[Job]) -> float:
        """Return the work in a second that all upstreams can do for new jobs."""
        left_over = LEFT_OVER_SHARE * fmean(
            step.resources.cpu_millis for job in new for step in job.request.steps
        )
        return sum(
            max(0.0, cpu_millis - left_over) / self._pace(upstream)
            for upstream, cpu_millis in capacities.items()
        )

    def _under_way(self, job: Job, now: float) -> Iterator[tuple[float, float]]:
        """Return when each run of a job ends, in seconds from now, and its room.

        The room is that which it would take on an upstream of pace 1.
        """
        for task in job.placed():
            pace = self._pace(task.upstream)
            run_s = _run_s(job, task) * pace - (now - task.placed_at)
            yield max(0.0, run_s), task.spec.resources.cpu_millis / pace

    def _keep_on_time(self, new: list[Job], now: float) -> list[Job]:
        """Return the jobs left out so that all others are on time."""
        rest: list[Job] = []
        kept: list[tuple[float, str, Job]] = []
        for job in sorted(new, key=_latest_on_time):
            job.deferred = False
            size = _size(job)
            heapq.heappush(kept, (-size, job.id, job))
            starts = now + self._starts_s(job, size)
            self._ahead += size
            if starts > _latest_on_time(job) + DOUBT_S:
                large, _, out = heapq.heappop(kept)
                self._ahead += large
                out.deferred = True
                rest.append(out)
        return rest

    def _beyond_use(self, rest: list[Job], now: float) -> list[UnservableJob]:
        """Return the jobs that would end too late after all the others."""
        beyond: list[UnservableJob] = []
        for job in sorted(rest, key=latest_start):
            size = _size(job)
            starts_s = self._starts_s(job, size)
            if now + starts_s > latest_start(job):
                beyond.append(UnservableJob(job, starts_s))
            else:
                self._ahead += size
        return beyond

    def _starts_s(self, job: Job, size: float) -> float:
        """Return when a job's last task starts, after the work ahead of it."""
        first_s = self._room.begins_s(self._ahead)
        last_s = self._room.begins_s(self._ahead + size) - job.left_ms() / MS_PER_S
        return max(first_s, last_s)


def retry_after_s(jobs: Iterable[Job], cpu_millis: int) -> float:
    """Return how long the work that waits will keep the upstreams busy."""
    waiting_s = sum(
        job.expected_ms[task.step] * task.spec.resources.cpu_millis
        for job in jobs
        for task in job.waiting()
    ) / (MS_PER_S * max(1, cpu_millis))
    return min(MOST_RETRY_S, max(LEAST_RETRY_S, waiting_s))


def _waiting_work(job: Job) -> float:
    """Return the work of a job's tasks that wait, in thousandths of a core times s."""
    return sum(
        _run_s(job, task) * task.spec.resources.cpu_millis
        for task in job.tasks
        if task.state is TaskState.WAITING
    )


def _run_s(job: Job, task: Task) -> float:
    most_ms = MOST_OF_EXPECTED * job.first_expected_ms[task.step]
    return min(job.expected_ms[task.step], most_ms) / MS_PER_S


def _size(job: Job) -> float:
    return sum(
        step.count * job.expected_ms[number] / MS_PER_S * step.resources.cpu_millis
        for number, step in enumerate(job.request.steps)
    )


def _latest_on_time(job: Job) -> float:
    return objective(job) - job.left_ms() / MS_PER_S
