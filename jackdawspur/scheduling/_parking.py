"""Jobs whose next task fits nowhere at the moment."""

import heapq
from collections.abc import Callable, Iterator

from jackdawspur.model import TaskSpec
from jackdawspur.scheduling._lanes import WaitingJob

__all__ = ["Parking"]

# Seconds after which room is kept for a task that smaller ones keep out.
RESERVE_AFTER = 0.25
# Different sizes tried again after a change; the rest take their turn later.
SHAPES_TRIED = 8

Shape = tuple[int, int, int]


class Parking:
    """Keep jobs aside by the size of their next task, so others pass them.

    Without it one large task at the head would hold up every small one; without the
    reservation small ones would hold up the large one for ever.
    """

    def __init__(self) -> None:
        self._shapes: dict[Shape, list[tuple[float, int, WaitingJob]]] = {}
        self._entries = 0
        self._untried = 0

    def park(self, job: WaitingJob, now: float) -> None:
        """Set a job aside."""
        if job.parked_at < 0:
            job.parked_at = now
        self._entries += 1
        heap = self._shapes.setdefault(_shape(job.spec), [])
        heapq.heappush(heap, (job.key, self._entries, job))

    def recheck(self) -> None:
        """Try every size again."""
        self._untried = min(len(self._shapes), SHAPES_TRIED)

    def released(self, fits: Callable[[TaskSpec], bool]) -> Iterator[WaitingJob]:
        """Yield the most urgent job of each size that now fits."""
        while self._untried:
            shape = next(iter(self._shapes), None)
            if shape is None:
                self._untried = 0
                return
            heap = self._shapes.pop(shape)
            _drop_removed(heap)
            if heap and fits(heap[0][2].spec):
                job = heapq.heappop(heap)[2]
                yield job
                # The next of this size gets its try with the next free slot.
                if heap:
                    self._shapes[shape] = heap
                return
            self._untried -= 1
            if heap:
                self._shapes[shape] = heap

    def overdue(self, now: float) -> WaitingJob | None:
        """Return the most urgent job that was passed over for too long."""
        best: WaitingJob | None = None
        for heap in self._shapes.values():
            _drop_removed(heap)
            if not heap:
                continue
            job = heap[0][2]
            if now - job.parked_at >= RESERVE_AFTER:
                if best is None or job.key < best.key:
                    best = job
        return best


def _drop_removed(heap: list[tuple[float, int, WaitingJob]]) -> None:
    while heap and not heap[0][2].left:
        heapq.heappop(heap)


def _shape(spec: TaskSpec) -> Shape:
    return spec.cpus, spec.memory_mb, spec.accelerators
