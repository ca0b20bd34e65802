"""A job and its tasks as the leader tracks them."""

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

# Run numbers reserved for each handover, so that no number is used twice.
RUNS_PER_HANDOVER = 16


class TaskState(Enum):
    """Whether a task waits, uses capacity on an upstream, or is done."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


@dataclass(eq=False, slots=True)
class Task:
    """A task of a job; `run` is the number of its last run.

    `first_started_at` is when its first run under this leader started to use capacity,
    and `first_run_number` is the number of that run. `adopted` tells whether this
    leader took over a run from an earlier one, and `avoid` contains the upstreams on
    which a run was too slow.
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
        """Return the identifier of the last run."""
        return RunId(self.name, self.run)

    @property
    def is_done(self) -> bool:
        """Return whether the task has ended successfully."""
        return self.state is TaskState.DONE

    @property
    def restarted(self) -> bool:
        """Return whether a run ended and another one has started or must start."""
        if self.first_started_at is None:
            return False
        return self.run > self.first_run_number or self.state is TaskState.WAITING

    def is_current_run(self, run: RunId, upstream: UpstreamId) -> bool:
        """Return whether a run on an upstream is the current one of the task.

        Another leader may have given a run on another upstream the same number. If that
        run's end were taken for the end of the current one, the task would count as
        waiting while it runs, and nothing would stop it when its job ends.
        """
        return self.run == run.number and self.upstream == upstream


def task_name(job: str, step: int, index: int) -> str:
    """Return a task's name on upstreams; 0 is its repetition, as it has only one."""
    return f"{job}.0.{step}.{index}"


class Job:
    """A job with its tasks, its times and whether any of its tasks was started."""

    # Whether the job has no precedence over new ones until a task of it is known to run
    # or to be done, although an earlier leader may have started it.
    ordered_as_new = False

    def __init__(
        self, offer: Offer, expected_ms: tuple[float, ...], now: float
    ) -> None:
        self.offer = offer
        self.offered_at = now
        # When its host last offered the job, and since when the refresh timeout counts.
        self.last_offered_at = self.refreshed_at = now
        self.request = offer.request
        self.initial_expected_ms = expected_ms
        self.expected_ms = list(expected_ms)
        self.started = offer.handovers > 0
        # Whether a run reported progress since the job was last reviewed.
        self.reported = False
        # Whether other jobs go first, since not all can be on time.
        self.deferred = False
        # Whether load shedding admits the job, None while that is not decided, whether
        # it belongs to the minimum fraction of its route, and, if it is not admitted,
        # whether it has taken part in a placement pass.
        self.admitted: bool | None = None
        self.protected = False
        # Whether all jobs that can be on time go first once the job is late.
        self.yields_when_late = True
        # By how much the job gives way to jobs of more urgent priorities.
        self.give_way_s = 0.0
        # Whether the job, which is not admitted, has taken part in a placement pass.
        self.passed_over = False
        self.tasks = _new_tasks(offer)
        self.by_name = {task.name: task for task in self.tasks}
        self._open_task_counts = [step.count for step in self.request.steps]
        self._waiting = list(self.tasks)
        # Initial tasks are those without predecessors.
        self.unstarted_initial_tasks = sum(not task.spec.after for task in self.tasks)
        # Cached, as they are read in each pass and take time for jobs of many steps.
        self._critical_ms: float | None = None
        self._remaining_ms: float | None = None
        for name in offer.progress.done:
            if name in self.by_name:
                self.end_task(self.by_name[name])
        self._count_failures(offer)

    @property
    def id(self) -> str:
        """Return the job's identifier, which its caller chose."""
        return self.request.id

    @property
    def complete(self) -> bool:
        """Return whether all tasks are done."""
        return not any(self._open_task_counts)

    @property
    def has_waiting(self) -> bool:
        """Return whether any task waits, for capacity or for other steps."""
        return bool(self._waiting)

    @property
    def critical_path_ms(self) -> float:
        """Return the expected time of the longest chain of steps."""
        if self._critical_ms is None:
            self._critical_ms = self._longest_chain_ms(self.expected_ms)
        return self._critical_ms

    @property
    def is_shed(self) -> bool:
        """Return whether the job is not admitted, and was not started either."""
        return self.admitted is False and not self.started

    @property
    def goes_first(self) -> bool:
        """Return whether the job has precedence over jobs that were not started."""
        if not (self.started and self.ordered_as_new):
            return self.started
        return any(task.state is not TaskState.WAITING for task in self.tasks)

    def waiting(self) -> list[Task]:
        """Return the waiting tasks whose predecessors are done."""
        return [task for task in self._waiting if self._is_ready(task)]

    def offered_again(self, offer: Offer, now: float) -> None:
        """Process an offer of a job that is open already.

        An offer with more handovers shows that another leader had the job in the
        meantime and may have started it: a job that still counts as not started could
        be refused as not run. An offer with fewer handovers, from the same call, is
        outdated: a later one overtook it.
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
        """Include the task failures that earlier leaders counted."""
        for failure_counts in offer.progress.troubles:
            task = self.by_name.get(failure_counts.task)
            if task is not None:
                task.failures = max(task.failures, failure_counts.failures)

    def set_expected_ms(self, step: int, work_ms: float) -> None:
        """Set the expected run time of a step's tasks."""
        self.expected_ms[step] = work_ms
        self._critical_ms = self._remaining_ms = None

    def place(self, task: Task, upstream: UpstreamId, now: float) -> None:
        """Record that the next run of a task uses capacity on an upstream."""
        self._waiting.remove(task)
        self.started = True
        task.state = TaskState.PLACED
        task.upstream = upstream
        task.placed_at = now
        if task.first_started_at is None:
            task.first_started_at, task.first_run_number = now, task.run
            self.unstarted_initial_tasks -= not task.spec.after

    def requeue(self, task: Task) -> None:
        """Put a task back among the waiting ones."""
        if task.state is TaskState.PLACED:
            task.state = TaskState.WAITING
            task.upstream = None
            self._waiting.append(task)

    def end_task(self, task: Task) -> None:
        """Record that a task is done."""
        if task.state is TaskState.DONE:
            return
        if task.state is TaskState.WAITING:
            self._waiting.remove(task)
            if task.first_started_at is None:
                self.unstarted_initial_tasks -= not task.spec.after
        task.state = TaskState.DONE
        self._open_task_counts[task.step] -= 1
        if not self._open_task_counts[task.step]:
            self._remaining_ms = None

    def placed(self) -> list[Task]:
        """Return the tasks that use capacity."""
        return [task for task in self.tasks if task.state is TaskState.PLACED]

    def remaining_ms(self) -> float:
        """Return the expected time from a start now to the end of the last step."""
        if self._remaining_ms is None:
            counts = zip(self.expected_ms, self._open_task_counts, strict=True)
            left_ms = [ms if still_open else 0.0 for ms, still_open in counts]
            self._remaining_ms = self._longest_chain_ms(left_ms)
        return self._remaining_ms

    def _longest_chain_ms(self, step_ms: Sequence[float]) -> float:
        end_ms: list[float] = []
        for step, duration_ms in zip(self.request.steps, step_ms, strict=True):
            start_ms = max((end_ms[n] for n in step.after), default=0.0)
            end_ms.append(start_ms + duration_ms)
        return max(end_ms)

    def _is_ready(self, task: Task) -> bool:
        return not any(self._open_task_counts[number] for number in task.spec.after)


def _new_tasks(offer: Offer) -> list[Task]:
    first_run = offer.handovers * RUNS_PER_HANDOVER
    return [
        Task(task_name(offer.request.id, number, index), number, step, first_run)
        for number, step in enumerate(offer.request.steps)
        for index in range(step.count)
    ]


def run_time_spec(step: JobStep) -> TaskSpec:
    """Return the key of a step's tasks in the learned run times."""
    return TaskSpec(run_ms=step.estimate_ms)
