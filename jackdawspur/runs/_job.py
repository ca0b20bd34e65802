"""A job and its tasks as the leading host keeps them."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from jackdawspur.leases import RunId
from jackdawspur.model import TaskSpec, UpstreamId
from jackdawspur.runs._types import JobStep, Offer

__all__ = [
    "RUNS_A_HAND_OVER",
    "Job",
    "Task",
    "TaskState",
    "task_name",
]

# Numbers of runs left to each hand-over, so that no number is given twice.
RUNS_A_HAND_OVER = 16


class TaskState(Enum):
    """Say whether a task waits, takes room somewhere, or is done."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


@dataclass(eq=False, slots=True)
class Task:
    """Keep one task; `run` is the number of its last run.

    `begun_at` is when its first run under this lead took room, `begun_as` its number.
    """

    name: str
    step: int
    spec: JobStep
    run: int
    state: TaskState = TaskState.WAITING
    failures: int = 0
    upstream: UpstreamId | None = None
    placed_at: float = 0.0
    took_ms: float = 0.0
    restarts: int = 0
    adopted: bool = False
    begun_at: float | None = None
    begun_as: int = 0
    avoid: set[UpstreamId] = field(default_factory=set)

    @property
    def run_id(self) -> RunId:
        """Return the name of the last run."""
        return RunId(self.name, self.run)

    @property
    def is_done(self) -> bool:
        """Tell whether the task has ended well."""
        return self.state is TaskState.DONE

    @property
    def restarted(self) -> bool:
        """Tell whether a run of the task ended, and another began or is to begin."""
        if self.begun_at is None:
            return False
        return self.run > self.begun_as or self.state is TaskState.WAITING

    def runs_as(self, run: RunId, upstream: UpstreamId) -> bool:
        """Tell whether a run on an upstream is the present one of the task.

        Another leading host may have numbered a run alike on another upstream. Were
        its end taken for this one's, the task would count as waiting while it runs,
        and nothing would stop it when its job ends.
        """
        return self.run == run.number and self.upstream == upstream


def task_name(job: str, step: int, index: int) -> str:
    """Return the name under which upstreams know a task; 0 is its only occurrence."""
    return f"{job}.0.{step}.{index}"


class Job:
    """Keep one job: its tasks, its times and whether anything of it started."""

    def __init__(
        self, offer: Offer, expected_ms: tuple[float, ...], now: float
    ) -> None:
        self.offer = offer
        self.offered_at = now
        # When its host last offered it, and when that counts as repeated.
        self.told_at = self.refreshed_at = now
        self.request = offer.request
        self.first_expected_ms = expected_ms
        self.expected_ms = list(expected_ms)
        self.started = offer.handovers > 0
        # Whether a run told its progress since the job was last reviewed.
        self.reported = False
        # Whether others go first, since not all can be on time.
        self.deferred = False
        first_run = offer.handovers * RUNS_A_HAND_OVER
        self.tasks = [
            Task(task_name(self.request.id, number, index), number, step, first_run)
            for number, step in enumerate(self.request.steps)
            for index in range(step.count)
        ]
        self.by_name = {task.name: task for task in self.tasks}
        self._open_in_step = [step.count for step in self.request.steps]
        self._waiting = list(self.tasks)
        # Of the tasks that wait for no other step.
        self.not_begun = sum(not task.spec.after for task in self.tasks)
        self.chain_ms = self._longest_ms(expected_ms)
        for name in offer.progress.done:
            if name in self.by_name:
                self.end_task(self.by_name[name])
        self._count_failures(offer)

    @property
    def id(self) -> str:
        """Return the caller's own name of the job."""
        return self.request.id

    @property
    def complete(self) -> bool:
        """Tell whether all tasks are done."""
        return not any(self._open_in_step)

    @property
    def has_waiting(self) -> bool:
        """Tell whether a task waits, be it for other steps."""
        return bool(self._waiting)

    def waiting(self) -> list[Task]:
        """Return the tasks whose turn has come."""
        return [task for task in self._waiting if self._may_start(task)]

    def offered_again(self, offer: Offer, now: float) -> None:
        """Take in an offer of a job that is here already.

        One with more hand-overs shows that another leading host had the job meanwhile
        and may have started it: kept as one of which nothing started, it could be
        refused as not run. One with fewer, from the same call, was overtaken.
        """
        self.told_at = self.refreshed_at = now
        same_call = (offer.host, offer.call) == (self.offer.host, self.offer.call)
        if same_call and offer.handovers < self.offer.handovers:
            return
        if offer.handovers != self.offer.handovers:
            self.offered_at = now
        if offer.handovers:
            self.started = True
            for task in self._waiting:
                task.run = max(task.run, offer.handovers * RUNS_A_HAND_OVER)
        self.offer = offer
        self._count_failures(offer)

    def _count_failures(self, offer: Offer) -> None:
        """Take over how often tasks failed under earlier leading hosts."""
        for trouble in offer.progress.troubles:
            task = self.by_name.get(trouble.task)
            if task is not None:
                task.failures = max(task.failures, trouble.failures)

    def expect(self, step: int, work_ms: float) -> None:
        """Correct what a step's tasks are expected to take."""
        self.expected_ms[step] = work_ms
        self.chain_ms = self._longest_ms(self.expected_ms)

    def place(self, task: Task, upstream: UpstreamId, now: float) -> None:
        """Note that the next run of a task takes room on an upstream."""
        self._waiting.remove(task)
        self.started = True
        task.state = TaskState.PLACED
        task.upstream = upstream
        task.placed_at = now
        if task.begun_at is None:
            task.begun_at, task.begun_as = now, task.run
            self.not_begun -= not task.spec.after

    def requeue(self, task: Task) -> None:
        """Let a task wait again."""
        if task.state is TaskState.PLACED:
            task.state = TaskState.WAITING
            task.upstream = None
            self._waiting.append(task)

    def end_task(self, task: Task) -> None:
        """Note that a task is done."""
        if task.state is TaskState.DONE:
            return
        if task.state is TaskState.WAITING:
            self._waiting.remove(task)
            if task.begun_at is None:
                self.not_begun -= not task.spec.after
        task.state = TaskState.DONE
        self._open_in_step[task.step] -= 1

    def placed(self) -> list[Task]:
        """Return the tasks that take room."""
        return [task for task in self.tasks if task.state is TaskState.PLACED]

    def left_ms(self) -> float:
        """Return the expected time from a start now to the end of the last step."""
        return self._longest_ms(
            [
                ms if still_open else 0.0
                for ms, still_open in zip(
                    self.expected_ms, self._open_in_step, strict=True
                )
            ]
        )

    def _longest_ms(self, step_ms: Sequence[float]) -> float:
        chain: list[float] = []
        for step, own_ms in zip(self.request.steps, step_ms, strict=True):
            before = max((chain[n] for n in step.after), default=0.0)
            chain.append(before + own_ms)
        return max(chain)

    def _may_start(self, task: Task) -> bool:
        return not any(self._open_in_step[number] for number in task.spec.after)


def run_time_spec(step: JobStep) -> TaskSpec:
    """Return what the learned run times know a step's tasks by."""
    return TaskSpec(run_ms=step.estimate_ms)
