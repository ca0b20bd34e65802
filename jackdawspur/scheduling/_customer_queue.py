"""The queue of one customer's waiting jobs, the most urgent first."""

import bisect
import heapq
from collections.abc import Iterable

from jackdawspur.model import Objective, TaskSpec
from jackdawspur.scheduling._job import MS_PER_S, QueuedJob

__all__ = ["CustomerQueue", "WaitingJob"]

# Seconds that each remaining slot-second adds to a job's virtual start time. Higher
# values come closer to shortest job first, which completes most jobs soonest; with zero
# the job with the earliest latest start time is first.
WORK_PENALTY = 2.0
# Maximum of this penalty, as a fraction of the time from arrival to deadline.
MAX_PENALTY_FRACTION = 0.5
MIN_STALE_TO_COMPACT = 64


class WaitingJob:
    """The tasks of a job that have not started, the longest last."""

    __slots__ = (
        "_due",
        "in_queue",
        "job",
        "key",
        "waiting_indexes",
        "remaining_ms",
        "unschedulable_since",
        "version",
    )

    def __init__(self, job: QueuedJob, indexes: Iterable[int]) -> None:
        self.job = job
        # A job is answered when all its tasks have ended, so the longest task
        # determines the ideal response time and starts first.
        self.waiting_indexes = sorted(indexes, key=job.estimates_ms.__getitem__)
        self.remaining_ms = sum(
            job.estimates_ms[index] for index in self.waiting_indexes
        )
        self._due = job.due
        self.version = 0
        self.in_queue = False
        self.unschedulable_since = -1.0
        self.key = self._urgency()

    @property
    def customer(self) -> str:
        """Return the job's customer."""
        return self.job.customer

    @property
    def spec(self) -> TaskSpec:
        """Return the resources that the next task needs."""
        return self.job.tasks[self.waiting_indexes[-1]]

    def pop_longest_task(self) -> int:
        """Remove the longest waiting task and return its index."""
        index = self.waiting_indexes.pop()
        self.remaining_ms -= self.job.estimates_ms[index]
        self.unschedulable_since = -1.0
        # Tasks of a job that start together need fewer messages, so a job with that
        # objective keeps its position until all its tasks have started.
        if (
            self.waiting_indexes
            and self.job.contract.objective is Objective.RESPONSE_TIME
        ):
            self.key = self._urgency()
        return index

    def requeue(self, index: int) -> None:
        """Add a task that didn't start to the waiting ones again."""
        self.remaining_ms += self.job.estimates_ms[index]
        bisect.insort(
            self.waiting_indexes, index, key=self.job.estimates_ms.__getitem__
        )
        self.key = self._urgency()

    def _urgency(self) -> float:
        if not self.waiting_indexes:
            return self._due
        job = self.job
        latest_start = self._due - job.estimates_ms[self.waiting_indexes[-1]] / MS_PER_S
        penalty = min(
            WORK_PENALTY * self.remaining_ms / MS_PER_S,
            MAX_PENALTY_FRACTION * (job.deadline - job.arrived),
        )
        return latest_start + penalty


class CustomerQueue:
    """One customer's waiting jobs, its weight and the service it received.

    `service` is in slot-seconds, divided by the weight. `entry` is the number of the
    queue's valid entry in the heap of `JobQueue`, or 0 if it has none.
    """

    __slots__ = (
        "_stale_entries",
        "_entry_count",
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
        self._entry_count = 0
        self._stale_entries = 0

    def head(self) -> WaitingJob | None:
        """Return the most urgent waiting job, or None."""
        jobs = self._jobs
        while jobs:
            _, _, version, job = jobs[0]
            if job.waiting_indexes and version == job.version:
                return job
            heapq.heappop(jobs)
            self._stale_entries = max(0, self._stale_entries - 1)
        return None

    def push(self, job: WaitingJob) -> bool:
        """Add a job or update its position; return whether it is the head now."""
        self._entry_count += 1
        job.version += 1
        if job.in_queue:
            self._stale_entries += 1
        job.in_queue = True
        heapq.heappush(self._jobs, (job.key, self._entry_count, job.version, job))
        return self._jobs[0][3] is job

    def pop(self) -> None:
        """Remove the head."""
        job = heapq.heappop(self._jobs)[3]
        job.in_queue = False
        job.version += 1

    def advance(self, job: WaitingJob) -> None:
        """Update the head's position after one of its tasks was taken."""
        if not job.waiting_indexes:
            heapq.heappop(self._jobs)
            job.in_queue = False
        elif job.key != self._jobs[0][0]:
            self._entry_count += 1
            job.version += 1
            entry = (job.key, self._entry_count, job.version, job)
            heapq.heapreplace(self._jobs, entry)

    def record_removed(self) -> None:
        """Count the entry of a removed job, and compact the heap if most are stale.

        Otherwise the first start after a burst of cancellations would have to remove
        all their entries.
        """
        self._stale_entries += 1
        if self._stale_entries > MIN_STALE_TO_COMPACT and self._stale_entries * 2 > len(
            self._jobs
        ):
            self._jobs = [
                e for e in self._jobs if e[3].waiting_indexes and e[2] == e[3].version
            ]
            heapq.heapify(self._jobs)
            self._stale_entries = 0
