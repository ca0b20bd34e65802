"""A job as the queue sees it."""

from dataclasses import dataclass

from jackdawspur.model import Contract, SubmissionId, TaskSpec

__all__ = ["ROUND_TRIP_MS", "NextTask", "QueuedJob", "Reservation", "Urgency"]

MS = 1000.0
ROUND_TRIP_MS = 1.0


@dataclass(frozen=True, slots=True)
class QueuedJob:
    """Describe a job with tasks to start; `arrived` and `deadline` in seconds."""

    submission: SubmissionId
    customer: str
    tasks: tuple[TaskSpec, ...]
    estimates_ms: tuple[float, ...]
    arrived: float
    deadline: float
    contract: Contract = Contract()

    @property
    def due(self) -> float:
        """Return when the contract or the deadline wants the answer, in seconds."""
        ideal_ms = max(self.estimates_ms) + ROUND_TRIP_MS
        contracted = self.arrived + self.contract.tail_over_ideal * ideal_ms / MS
        return min(contracted, self.deadline)


@dataclass(frozen=True, slots=True)
class NextTask:
    """Name the task to start next; it has left the queue."""

    job: QueuedJob
    index: int

    @property
    def spec(self) -> TaskSpec:
        """Return what the task needs."""
        return self.job.tasks[self.index]


@dataclass(frozen=True, slots=True)
class Urgency:
    """Say when a job should start its next task, and how many of them wait.

    `latest_start` in seconds; the work left sets it back.
    """

    latest_start: float
    tasks: int


@dataclass(frozen=True, slots=True)
class Reservation:
    """Ask that one upstream able to hold `spec` takes nothing else meanwhile."""

    job: QueuedJob
    spec: TaskSpec
