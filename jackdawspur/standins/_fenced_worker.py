"""A worker that obeys fencing tokens and leases, without sockets."""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

__all__ = ["FencedTask", "FencedWorker", "FencedWorkerCounters"]

MS_PER_S = 1000.0
DEFAULT_RUN_MS = 100.0


class TaskInput(msgspec.Struct):
    """Input of a task that sets its run time and whether it fails."""

    run_ms: float = DEFAULT_RUN_MS
    fails: bool = False


@dataclass(eq=False, slots=True)
class FencedTask:
    """One run of a task; times in seconds."""

    name: str
    run: int
    cpu: int
    started_at: float
    ends_at: float
    fails: bool


@dataclass
class FencedWorkerCounters:
    """Counts of starts, violations and expired leases over all workers.

    `over_capacity` and `two_at_once` must stay zero; `lapsed` counts runs that ended
    because their lease expired. `running_by_task` has the number of current runs of
    every task ever started, `done` the tasks with a successful run, and `twice` the
    starts of tasks that were already running.
    """

    starts: int = 0
    over_capacity: int = 0
    two_at_once: int = 0
    lapsed: int = 0
    running_by_task: dict[str, int] = field(default_factory=dict)
    done: set[str] = field(default_factory=set)
    twice: list[str] = field(default_factory=list)


class FencedWorker:
    """Obeys only the highest fence so far, and runs tasks while the lease is valid."""

    def __init__(
        self,
        name: str,
        cpu: int,
        counters: FencedWorkerCounters,
        clock: Callable[[], float],
    ) -> None:
        self.name = name
        self.cpu = cpu
        self.unresponsive = False
        self._counters = counters
        self._clock = clock
        self._fence = 0
        self._lease_ms = 0
        self._tasks: dict[tuple[str, int], FencedTask] = {}
        self._last_run: dict[str, int] = {}
        self._unacknowledged_ends: list[tuple[int, str, int, str, str]] = []
        self._end_count = 0

    @property
    def clock_ms(self) -> int:
        """Return the time on the worker's clock in milliseconds."""
        return int(self._clock() * MS_PER_S)

    @property
    def unacknowledged_end_count(self) -> int:
        """Return the number of ends that are not yet acknowledged."""
        return len(self._unacknowledged_ends)

    def start(
        self, task: str, run: int, spec: str, lease_until_ms: int, fence: int, cpu: int
    ) -> str:
        """Start a run; return the reason of a refusal, or an empty string."""
        if fence < self._fence:
            return "fence"
        self._fence = fence
        if lease_until_ms <= self.clock_ms:
            return "late"
        self._lease_ms = max(self._lease_ms, lease_until_ms)
        if (task, run) in self._tasks:
            return ""
        if run <= self._last_run.get(task, 0):
            return "old"
        self._start_run(task, run, spec, cpu)
        return ""

    def _start_run(self, task: str, run: int, spec: str, cpu: int) -> None:
        task_input = msgspec.json.decode(spec or "{}", type=TaskInput)
        now = self._clock()
        ends_at = now + task_input.run_ms / MS_PER_S
        self._tasks[task, run] = FencedTask(
            task, run, cpu, now, ends_at, task_input.fails
        )
        counters = self._counters
        counters.starts += 1
        if counters.running_by_task.get(task, 0) > 0:
            counters.two_at_once += 1
            counters.twice.append(f"{task} run {run} on {self.name}")
        counters.running_by_task[task] = counters.running_by_task.get(task, 0) + 1
        counters.over_capacity += sum(t.cpu for t in self._tasks.values()) > self.cpu

    def stop(self, task: str, run: int, fence: int) -> str:
        """Stop a run, or prevent one that does not exist from starting later.

        Returns the reason of a refusal, or an empty string.
        """
        if fence < self._fence:
            return "fence"
        self._fence = fence
        self._last_run[task] = max(run, self._last_run.get(task, 0))
        if (task, run) in self._tasks:
            self._end_run(self._tasks[task, run], "stopped")
        return ""

    def poll(self, fence: int, last_seen: int, lease_until_ms: int | None) -> str:
        """Acknowledge ends up to `last_seen` and extend the lease.

        Returns the reason of a refusal, or an empty string.
        """
        if fence < self._fence:
            return "fence"
        self._fence = fence
        self._unacknowledged_ends = [
            row for row in self._unacknowledged_ends if row[0] > last_seen
        ]
        if lease_until_ms is not None:
            self._lease_ms = max(self._lease_ms, lease_until_ms)
        return ""

    def encode_runs(self) -> tuple[list, list]:
        """Return rows for the current runs and for the unacknowledged ends."""
        now = self._clock()
        running = []
        for task in self._tasks.values():
            fraction = (now - task.started_at) / max(
                0.001, task.ends_at - task.started_at
            )
            running.append([task.name, task.run, "", round(100 * fraction)])
        return running, [list(row) for row in self._unacknowledged_ends]

    def tick(self) -> None:
        """End the runs that are done, and all runs once the lease has expired."""
        now = self._clock()
        for task in list(self._tasks.values()):
            if now >= task.ends_at:
                self._end_run(task, "failed" if task.fails else "done")
            elif self.clock_ms >= self._lease_ms:
                self._end_run(task, "lapsed")

    def _end_run(self, task: FencedTask, result: str) -> None:
        del self._tasks[task.name, task.run]
        self._end_count += 1
        self._unacknowledged_ends.append(
            (self._end_count, task.name, task.run, result, "")
        )
        self._last_run[task.name] = max(task.run, self._last_run.get(task.name, 0))
        self._counters.running_by_task[task.name] -= 1
        self._counters.lapsed += result == "lapsed"
        if result == "done":
            self._counters.done.add(task.name)
