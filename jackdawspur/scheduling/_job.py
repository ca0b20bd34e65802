"""Jobs and tasks in the queue."""

from dataclasses import dataclass

from jackdawspur.model import Contract, SubmissionId, TaskSpec

__all__ = ["ROUND_TRIP_MS", "NextTask", "QueuedJob", "Reservation", "Urgency"]

MS_PER_S = 1000.0
ROUND_TRIP_MS = 1.0


@dataclass(frozen=True, slots=True)
class QueuedJob:
    """A job with tasks to start; `arrived` and `deadline` in seconds."""

    submission: SubmissionId
    customer: str
    tasks: tuple[TaskSpec, ...]
    estimates_ms: tuple[float, ...]
    arrived: float
    deadline: float
    contract: Contract = Contract()

    @property
    def due(self) -> float:
        """Return when the answer is due by contract and deadline, in seconds."""
        ideal_ms = max(self.estimates_ms) + ROUND_TRIP_MS
        contracted = self.arrived + self.contract.tail_over_ideal * ideal_ms / MS_PER_S
        return min(contracted, self.deadline)


@dataclass(frozen=True, slots=True)
class NextTask:
    """The task to start next, already removed from the queue."""

    job: QueuedJob
    index: int

    @property
    def spec(self) -> TaskSpec:
        """Return the resources that the task needs."""
        return self.job.tasks[self.index]


@dataclass(frozen=True, slots=True)
class Urgency:
    """The time by which a job should start its next task, and its waiting tasks.

    `latest_start` is in seconds and grows with the remaining work of the job.
    """

    latest_start: float
    tasks: int


@dataclass(frozen=True, slots=True)
class Reservation:
    """A request to keep one upstream that can run `spec` free of other tasks."""

    job: QueuedJob
    spec: TaskSpec
