"""A job and its tasks as the leading host keeps them."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from jackdawspur.leases import RunId
from jackdawspur.model import TaskSpec, UpstreamId
from jackdawspur.runs._types import JobStep, Offer

__all__ = [
    "RUNS_PER_HANDOVER",
    "Job",
    "Task",
    "TaskState",
    "task_name",
]

# Numbers of runs left to each hand-over, so that no number is given twice.
RUNS_PER_HANDOVER = 16


class TaskState(Enum):
    """Say whether a task waits, takes room somewhere, or is done."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


@dataclass(eq=False, slots=True)
class Task:
    """Keep one task; `run` is the number of its last run.

    `first_started_at` is when its first run under this lead took room,
    `first_run_number` its number.
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
    first_started_at: float | None = None
    first_run_number: int = 0
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
        if self.first_started_at is None:
            return False
        return self.run > self.first_run_number or self.state is TaskState.WAITING

    def is_current_run(self, run: RunId, upstream: UpstreamId) -> bool:
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
        self.last_offered_at = self.refreshed_at = now
        self.request = offer.request
        self.initial_expected_ms = expected_ms
        self.expected_ms = list(expected_ms)
        self.started = offer.handovers > 0
        # Whether a run told its progress since the job was last reviewed.
        self.reported = False
        # Whether others go first, since not all can be on time.
        self.deferred = False
        first_run = offer.handovers * RUNS_PER_HANDOVER
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
        self.critical_path_ms = self._critical_path_ms(expected_ms)
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
        self.last_offered_at = self.refreshed_at = now
        same_call = (offer.host, offer.call) == (self.offer.host, self.offer.call)
        if same_call and offer.handovers < self.offer.handovers:
            return
        if offer.handovers != self.offer.handovers:
            self.offered_at = now
        if offer.handovers:
            self.started = True
            for task in self._waiting:
                task.run = max(task.run, offer.handovers * RUNS_PER_HANDOVER)
        self.offer = offer
        self._count_failures(offer)

    def _count_failures(self, offer: Offer) -> None:
        """Take over how often tasks failed under earlier leading hosts."""
        for trouble in offer.progress.troubles:
            task = self.by_name.get(trouble.task)
            if task is not None:
                task.failures = max(task.failures, trouble.failures)

    def set_expected_ms(self, step: int, work_ms: float) -> None:
        """Correct what a step's tasks are expected to take."""
        self.expected_ms[step] = work_ms
        self.critical_path_ms = self._critical_path_ms(self.expected_ms)

    def place(self, task: Task, upstream: UpstreamId, now: float) -> None:
        """Note that the next run of a task takes room on an upstream."""
        self._waiting.remove(task)
        self.started = True
        task.state = TaskState.PLACED
        task.upstream = upstream
        task.placed_at = now
        if task.first_started_at is None:
            task.first_started_at, task.first_run_number = now, task.run
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
            if task.first_started_at is None:
                self.not_begun -= not task.spec.after
        task.state = TaskState.DONE
        self._open_in_step[task.step] -= 1

    def placed(self) -> list[Task]:
        """Return the tasks that take room."""
        return [task for task in self.tasks if task.state is TaskState.PLACED]

    def left_ms(self) -> float:
        """Return the expected time from a start now to the end of the last step."""
        return self._critical_path_ms(
            [
                ms if still_open else 0.0
                for ms, still_open in zip(
                    self.expected_ms, self._open_in_step, strict=True
                )
            ]
        )

    def _critical_path_ms(self, step_ms: Sequence[float]) -> float:
        end_ms: list[float] = []
        for step, duration_ms in zip(self.request.steps, step_ms, strict=True):
            start_ms = max((end_ms[n] for n in step.after), default=0.0)
            end_ms.append(start_ms + duration_ms)
        return max(end_ms)

    def _may_start(self, task: Task) -> bool:
        return not any(self._open_in_step[number] for number in task.spec.after)


def run_time_spec(step: JobStep) -> TaskSpec:
    """Return what the learned run times know a step's tasks by."""
    return TaskSpec(run_ms=step.estimate_ms)
