"""Times of the tasks of one step, as known during one review of a job."""

from bisect import bisect_left
from collections.abc import Callable, Iterable

from jackdawspur.runs._job import Task, TaskState

__all__ = ["StepTimes"]


class StepTimes:
    """What is known of a step's tasks.

    A review asks for each task what is known of the others. Examining all of them again
    for each task takes seconds for jobs of hundreds of tasks.
    """

    def __init__(
        self, tasks: Iterable[Task], total_ms: Callable[[Task], float | None]
    ) -> None:
        self._total_ms: dict[str, float] = {}
        self._placed_at: list[float] = []
        self._reported: set[str] = set()
        for task in tasks:
            is_placed = task.state is TaskState.PLACED
            if is_placed:
                self._placed_at.append(task.placed_at)
            if known_ms := total_ms(task):
                self._total_ms[task.name] = known_ms
                if is_placed:
                    self._reported.add(task.name)
        self._sorted_ms = sorted(self._total_ms.values())
        self._placed_at.sort()

    @property
    def known_ms(self) -> list[float]:
        """Return the known times in ascending order."""
        return self._sorted_ms

    def median_of_others(self, task: Task) -> float | None:
        """Return the median time of all other tasks, None if none is known."""
        known = self._sorted_ms
        own_ms = self._total_ms.get(task.name)
        if own_ms is None:
            return known[len(known) // 2] if known else None
        middle = (len(known) - 1) // 2
        if len(known) == 1:
            return None
        return known[middle + (middle >= bisect_left(known, own_ms))]

    def others_report(self, task: Task) -> bool:
        """Return whether the time of another placed task is known."""
        return len(self._reported) > (task.name in self._reported)

    def newest_other(self, task: Task) -> float | None:
        """Return when the newest of the other placed tasks was placed."""
        if len(self._placed_at) < 2:
            return None
        newest = self._placed_at[-1]
        return self._placed_at[-2] if task.placed_at == newest else newest
