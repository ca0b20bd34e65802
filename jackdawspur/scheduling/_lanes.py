"""The waiting jobs of one customer, the most urgent first."""

import bisect
import heapq
from collections.abc import Iterable

from jackdawspur.model import Objective, TaskSpec
from jackdawspur.scheduling._job import MS, QueuedJob

__all__ = ["CustomerLane", "WaitingJob"]

# Seconds of urgency that a slot-second still to start costs a job. The more there is,
# the closer to least work first, which ends most jobs soonest; zero is latest start
# first.
WORK_COST = 2.0
# Part of the time to its deadline by which a job's own work may set it back at most.
MAX_SETBACK = 0.5
COMPACT_AT = 64


class WaitingJob:
    """Keep the tasks of a job that have not started, the longest last."""

    __slots__ = (
        "_due",
        "in_lane",
        "job",
        "key",
        "left",
        "left_ms",
        "parked_at",
        "version",
    )

    def __init__(self, job: QueuedJob, indexes: Iterable[int]) -> None:
        self.job = job
        # The answer is whole, so the longest task sets the ideal and starts first.
        self.left = sorted(indexes, key=job.estimates_ms.__getitem__)
        self.left_ms = sum(job.estimates_ms[index] for index in self.left)
        self._due = job.due
        self.version = 0
        self.in_lane = False
        self.parked_at = -1.0
        self.key = self._urgency()

    @property
    def customer(self) -> str:
        """Return the job's customer."""
        return self.job.customer

    @property
    def spec(self) -> TaskSpec:
        """Return what the next task needs."""
        return self.job.tasks[self.left[-1]]

    def take(self) -> int:
        """Remove and return the longest task that waits."""
        index = self.left.pop()
        self.left_ms -= self.job.estimates_ms[index]
        self.parked_at = -1.0
        # Starts that travel together save messages, so such a job keeps its place
        # until all its tasks started.
        if self.left and self.job.contract.objective is Objective.RESPONSE_TIME:
            self.key = self._urgency()
        return index

    def requeue(self, index: int) -> None:
        """Add a task again that did not start."""
        self.left_ms += self.job.estimates_ms[index]
        bisect.insort(self.left, index, key=self.job.estimates_ms.__getitem__)
        self.key = self._urgency()

    def _urgency(self) -> float:
        if not self.left:
            return self._due
        job = self.job
        latest_start = self._due - job.estimates_ms[self.left[-1]] / MS
        setback = min(
            WORK_COST * self.left_ms / MS, MAX_SETBACK * (job.deadline - job.arrived)
        )
        return latest_start + setback


class CustomerLane:
    """Hold one customer's jobs, its weight and the service it had."""

    __slots__ = (
        "_dead",
        "_entries",
        "_jobs",
        "backlog_ms",
        "entry",
        "name",
        "service",
        "waiting",
        "weight",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.weight = 1.0
        self.service = 0.0
        self.waiting = 0
        self.backlog_ms = 0.0
        self.entry = 0
        self._jobs: list[tuple[float, int, int, WaitingJob]] = []
        self._entries = 0
        self._dead = 0

    def head(self) -> WaitingJob | None:
        """Return the most urgent job that still waits."""
        jobs = self._jobs
        while jobs:
            _, _, version, job = jobs[0]
            if job.left and version == job.version:
                return job
            heapq.heappop(jobs)
            self._dead = max(0, self._dead - 1)
        return None

    def push(self, job: WaitingJob) -> bool:
        """Add a job, or move it; tell whether it became the head."""
        self._entries += 1
        job.version += 1
        if job.in_lane:
            self._dead += 1
        job.in_lane = True
        heapq.heappush(self._jobs, (job.key, self._entries, job.version, job))
        return self._jobs[0][3] is job

    def pop(self) -> None:
        """Remove the head."""
        job = heapq.heappop(self._jobs)[3]
        job.in_lane = False
        job.version += 1

    def advance(self, job: WaitingJob) -> None:
        """Move the head on after one of its tasks was taken."""
        if not job.left:
            heapq.heappop(self._jobs)
            job.in_lane = False
        elif job.key != self._jobs[0][0]:
            self._entries += 1
            job.version += 1
            entry = (job.key, self._entries, job.version, job)
            heapq.heapreplace(self._jobs, entry)

    def dropped(self) -> None:
        """Note that a job was removed, and clear up when most entries are dead.

        A wave of cancellations would otherwise be paid for by the next start.
        """
        self._dead += 1
        if self._dead > COMPACT_AT and self._dead * 2 > len(self._jobs):
            self._jobs = [e for e in self._jobs if e[3].left and e[2] == e[3].version]
            heapq.heapify(self._jobs)
            self._dead = 0
