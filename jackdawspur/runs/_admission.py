"""Which of the waiting jobs can be on time, when there is more work than room."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from jackdawspur.runs._job import Job
from jackdawspur.runs._order import latest_start, objective

__all__ = ["Admission", "Beyond", "retry_after_s"]

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


@dataclass(frozen=True, slots=True)
class Beyond:
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

    def __init__(self) -> None:
        self._load = 0.0
        self._rate = 1.0

    def review(self, jobs: Iterable[Job], cpu_millis: int, now: float) -> list[Beyond]:
        """Mark the jobs that are deferred, and return those that come too late.

        `cpu_millis` is the capacity of all upstreams.
        """
        self._rate = max(1.0, cpu_millis)
        self._load = 0.0
        new: list[Job] = []
        for job in jobs:
            if job.started:
                self._load += _left_under_way(job, now)
            elif job.has_waiting:
                new.append(job)
        if not new:
            return []
        rest = self._keep_on_time(new, now)
        return self._beyond_use(rest, now)

    def _keep_on_time(self, new: list[Job], now: float) -> list[Job]:
        """Return the jobs left out so that all others are on time."""
        rest: list[Job] = []
        kept: list[tuple[float, str, Job]] = []
        for job in sorted(new, key=_latest_on_time):
            job.deferred = False
            size = _size(job)
            heapq.heappush(kept, (-size, job.id, job))
            self._load += size
            starts = now + (self._load - size) / self._rate
            if starts > _latest_on_time(job) + DOUBT_S:
                large, _, out = heapq.heappop(kept)
                self._load += large
                out.deferred = True
                rest.append(out)
        return rest

    def _beyond_use(self, rest: list[Job], now: float) -> list[Beyond]:
        """Return the jobs that would end too late after all the others."""
        beyond: list[Beyond] = []
        for job in sorted(rest, key=latest_start):
            ahead_s = self._load / self._rate
            if now + ahead_s > latest_start(job):
                beyond.append(Beyond(job, ahead_s))
            else:
                self._load += _size(job)
        return beyond


def retry_after_s(jobs: Iterable[Job], cpu_millis: int) -> float:
    """Return how long the work that waits will keep the upstreams busy."""
    waiting_s = sum(
        job.expected_ms[task.step] * task.spec.resources.cpu_millis
        for job in jobs
        for task in job.waiting()
    ) / (MS_PER_S * max(1, cpu_millis))
    return min(MOST_RETRY_S, max(LEAST_RETRY_S, waiting_s))


def _left_under_way(job: Job, now: float) -> float:
    """Return the work left of a job that began, in thousandths of a core times s."""
    left = 0.0
    for task in job.tasks:
        if task.is_done:
            continue
        most_ms = MOST_OF_EXPECTED * job.first_expected_ms[task.step]
        run_s = min(job.expected_ms[task.step], most_ms) / MS_PER_S
        if task.upstream is not None:
            run_s = max(0.0, run_s - (now - task.placed_at))
        left += run_s * task.spec.resources.cpu_millis
    return left


def _size(job: Job) -> float:
    return sum(
        step.count * job.expected_ms[number] / MS_PER_S * step.resources.cpu_millis
        for number, step in enumerate(job.request.steps)
    )


def _latest_on_time(job: Job) -> float:
    return objective(job) - job.left_ms() / MS_PER_S
