"""Sizes of jobs, and which jobs are accepted beside those that are open."""

from collections.abc import Hashable, Sequence
from typing import Protocol

__all__ = ["MAX_TOTAL_SIZE", "SIZE_RETRY_S", "JobSizes", "job_size"]

# Predecessors of a step that take as much memory and time as one task.
EDGES_PER_UNIT = 8
# Bounds in units of one task or one step. Each open task takes processor time in each
# tick of the leader.
MAX_TOTAL_SIZE = 65_536
MAX_LARGE_SIZE = 32_768
# Larger than any job of the design size, which has 360 tasks.
SMALL_SIZE = 1024
# Time that each unit of a large job takes from the next ones, and how much of it may be
# taken in advance.
LARGE_INTERVAL_S = 0.00005
MAX_ADVANCE_S = 1.0
# Time after which the caller of a job that is too large beside others may retry: large
# jobs end or are refused within about this time.
SIZE_RETRY_S = 2


class _Step(Protocol):
    count: int
    after: Sequence[int]


class _Steps(Protocol):
    steps: Sequence[_Step]


def job_size(request: _Steps) -> int:
    """Return the size of a job: its tasks and steps, and the edges between these."""
    tasks = sum(step.count for step in request.steps)
    edges = sum(len(step.after) for step in request.steps)
    return tasks + len(request.steps) + edges // EDGES_PER_UNIT


class JobSizes:
    """The sizes of open jobs, with a bound on their total.

    Large jobs share a bound of their own, and each may use half of what the others
    leave: many of them leave the rest to small jobs, while a single one is accepted.
    `max_total` may be lowered to what the memory allows.
    """

    def __init__(self) -> None:
        self.max_total = MAX_TOTAL_SIZE
        self._sizes: dict[Hashable, int] = {}
        self._total = 0
        self._large = 0
        self._large_due = 0.0

    @property
    def total(self) -> int:
        """Return the total size of the open jobs."""
        return self._total

    def max_admitted(self, now: float) -> int:
        """Return the size of the largest job that is accepted now."""
        free = self.max_total - self._total
        advance_s = max(0.0, self._large_due - now)
        if not self._large and not advance_s:
            return free
        in_time = int((MAX_ADVANCE_S - advance_s) / LARGE_INTERVAL_S)
        share = (MAX_LARGE_SIZE - self._large) // 2
        return min(free, max(SMALL_SIZE, min(in_time, share)))

    def add(self, key: Hashable, size: int, now: float) -> None:
        """Record a job that is open now."""
        self.remove(key)
        self._sizes[key] = size
        self._total += size
        if size > SMALL_SIZE:
            self._large += size
            self._large_due = max(now, self._large_due) + size * LARGE_INTERVAL_S

    def remove(self, key: Hashable) -> None:
        """Record that a job is no longer open."""
        size = self._sizes.pop(key, 0)
        self._total -= size
        if size > SMALL_SIZE:
            self._large -= size

    def clear(self) -> None:
        """Record that no job is open."""
        self._sizes.clear()
        self._total = self._large = 0
