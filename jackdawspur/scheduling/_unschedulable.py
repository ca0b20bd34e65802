"""Jobs whose next task currently fits on no upstream."""

import heapq
from collections.abc import Callable, Iterator

from jackdawspur.model import TaskSpec
from jackdawspur.scheduling._customer_queue import WaitingJob

__all__ = ["UnschedulablePool"]

# Seconds after which an upstream is reserved for a task that smaller tasks overtake.
RESERVE_AFTER_S = 0.25
# Maximum number of sizes tried again after a change; the other sizes are tried after
# later changes.
MAX_SIZES_TRIED = 8

TaskSize = tuple[int, int, int]


class UnschedulablePool:
    """Unschedulable jobs by the size of their next task; others can overtake them.

    Without the pool one large task at the head would block all small ones. Without the
    reservation small tasks could delay the large one forever.
    """

    def __init__(self) -> None:
        self._jobs_by_size: dict[TaskSize, list[tuple[float, int, WaitingJob]]] = {}
        self._entry_count = 0
        self._untried = 0

    def mark_unschedulable(self, job: WaitingJob, now: float) -> None:
        """Add a job whose next task fits on no upstream."""
        if job.unschedulable_since < 0:
            job.unschedulable_since = now
        self._entry_count += 1
        heap = self._jobs_by_size.setdefault(_size(job.spec), [])
        heapq.heappush(heap, (job.key, self._entry_count, job))

    def recheck(self) -> None:
        """Let the next call of `pop_schedulable` try sizes again."""
        self._untried = min(len(self._jobs_by_size), MAX_SIZES_TRIED)

    def pop_schedulable(self, fits: Callable[[TaskSpec], bool]) -> Iterator[WaitingJob]:
        """Remove and yield the most urgent job of a size that fits now."""
        while self._untried:
            size = next(iter(self._jobs_by_size), None)
            if size is None:
                self._untried = 0
                return
            heap = self._jobs_by_size.pop(size)
            _drop_removed(heap)
            if heap and fits(heap[0][2].spec):
                job = heapq.heappop(heap)[2]
                yield job
                # The next job of this size is tried with the next free slot.
                if heap:
                    self._jobs_by_size[size] = heap
                return
            self._untried -= 1
            if heap:
                self._jobs_by_size[size] = heap

    def overdue(self, now: float) -> WaitingJob | None:
        """Return the most urgent job that has been unschedulable for too long."""
        most_urgent: WaitingJob | None = None
        for heap in self._jobs_by_size.values():
            _drop_removed(heap)
            if not heap:
                continue
            job = heap[0][2]
            if now - job.unschedulable_since >= RESERVE_AFTER_S:
                if most_urgent is None or job.key < most_urgent.key:
                    most_urgent = job
        return most_urgent


def _drop_removed(heap: list[tuple[float, int, WaitingJob]]) -> None:
    while heap and not heap[0][2].waiting_indexes:
        heapq.heappop(heap)


def _size(spec: TaskSpec) -> TaskSize:
    return spec.cpus, spec.memory_mb, spec.accelerators
