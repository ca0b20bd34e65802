"""One worker that obeys fences and leases, without sockets."""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

__all__ = ["FencedTask", "FencedWorker", "FencedWorkerCounters"]

MS_PER_S = 1000.0
DEFAULT_RUN_MS = 100.0


class TaskInput(msgspec.Struct):
    """Say in a task's input how long it runs and whether it fails."""

    run_ms: float = DEFAULT_RUN_MS
    fails: bool = False


@dataclass(eq=False, slots=True)
class FencedTask:
    """Keep one run; times in seconds."""

    name: str
    run: int
    cpu: int
    began: float
    ends: float
    fails: bool


@dataclass
class FencedWorkerCounters:
    """Count, over all workers, what must never happen, and runs whose lease ended.

    `running` has every task that was ever started, `done` those that ended so, `twice`
    those that had two runs at one time.
    """

    starts: int = 0
    over_capacity: int = 0
    two_at_once: int = 0
    lapsed: int = 0
    running: dict[str, int] = field(default_factory=dict)
    done: set[str] = field(default_factory=set)
    twice: list[str] = field(default_factory=list)


class FencedWorker:
    """Run what the highest fence asks for, as long as its lease lasts."""

    def __init__(
        self,
        name: str,
        cpu: int,
        tally: FencedWorkerCounters,
        clock: Callable[[], float],
    ) -> None:
        self.name = name
        self.cpu = cpu
        self.silent = False
        self._tally = tally
        self._clock = clock
        self._fence = 0
        self._lease_ms = 0
        self._tasks: dict[tuple[str, int], FencedTask] = {}
        self._last_run: dict[str, int] = {}
        self._ended: list[tuple[int, str, int, str, str]] = []
        self._ends = 0

    @property
    def clock_ms(self) -> int:
        """Return the worker's own clock."""
        return int(self._clock() * MS_PER_S)

    @property
    def unseen(self) -> int:
        """Return the number of ends not yet taken note of."""
        return len(self._ended)

    def start(
        self, task: str, run: int, spec: str, until_ms: int, fence: int, cpu: int
    ) -> str:
        """Start a run; return why not, or nothing."""
        if fence < self._fence:
            return "fence"
        self._fence = fence
        if until_ms <= self.clock_ms:
            return "late"
        self._lease_ms = max(self._lease_ms, until_ms)
        if (task, run) in self._tasks:
            return ""
        if run <= self._last_run.get(task, 0):
            return "old"
        self._begin(task, run, spec, cpu)
        return ""

    def _begin(self, task: str, run: int, spec: str, cpu: int) -> None:
        asked = msgspec.json.decode(spec or "{}", type=TaskInput)
        now = self._clock()
        ends = now + asked.run_ms / MS_PER_S
        self._tasks[task, run] = FencedTask(task, run, cpu, now, ends, asked.fails)
        tally = self._tally
        tally.starts += 1
        if tally.running.get(task, 0) > 0:
            tally.two_at_once += 1
            tally.twice.append(f"{task} run {run} on {self.name}")
        tally.running[task] = tally.running.get(task, 0) + 1
        tally.over_capacity += sum(t.cpu for t in self._tasks.values()) > self.cpu

    def stop(self, task: str, run: int, fence: int) -> str:
        """Stop a run, or make one that is not there impossible."""
        if fence < self._fence:
            return "fence"
        self._fence = fence
        self._last_run[task] = max(run, self._last_run.get(task, 0))
        if (task, run) in self._tasks:
            self._end(self._tasks[task, run], "stopped")
        return ""

    def hold(self, fence: int, last_seen: int, until_ms: int | None) -> str:
        """Take note of ends and prolong the lease."""
        if fence < self._fence:
            return "fence"
        self._fence = fence
        self._ended = [row for row in self._ended if row[0] > last_seen]
        if until_ms is not None:
            self._lease_ms = max(self._lease_ms, until_ms)
        return ""

    def rows(self) -> tuple[list, list]:
        """Return the rows of what runs and of what ended."""
        now = self._clock()
        running = []
        for task in self._tasks.values():
            share = (now - task.began) / max(0.001, task.ends - task.began)
            running.append([task.name, task.run, "", round(100 * share)])
        return running, [list(row) for row in self._ended]

    def tick(self) -> None:
        """End what is done, and everything when the lease is over."""
        now = self._clock()
        for task in list(self._tasks.values()):
            if now >= task.ends:
                self._end(task, "failed" if task.fails else "done")
            elif self.clock_ms >= self._lease_ms:
                self._end(task, "lapsed")

    def _end(self, task: FencedTask, how: str) -> None:
        del self._tasks[task.name, task.run]
        self._ends += 1
        self._ended.append((self._ends, task.name, task.run, how, ""))
        self._last_run[task.name] = max(task.run, self._last_run.get(task.name, 0))
        self._tally.running[task.name] -= 1
        self._tally.lapsed += how == "lapsed"
        if how == "done":
            self._tally.done.add(task.name)
