"""One job from its arrival to its answer."""

import enum
from dataclasses import dataclass, field

from jackdawspur.model import (
    Answer,
    HostId,
    JobRequest,
    SubmissionId,
    TaskId,
    TaskOutcome,
    TaskSpec,
    UpstreamId,
)
from jackdawspur.scheduling import QueuedJob

__all__ = ["Job", "Placement", "Stage", "TaskPhase"]


class Stage(enum.Enum):
    """Tell where a job is on its way."""

    CLAIMING = "claiming"
    QUEUED = "queued"
    DELEGATED = "delegated"
    ENDED = "ended"


class TaskPhase(enum.Enum):
    """Tell what this host knows of one task."""

    SENT = "sent"
    RUNNING = "running"
    UNSURE = "unsure"
    DONE = "done"


@dataclass(slots=True)
class Placement:
    """Say where a task was sent, when, and to which run of the upstream."""

    upstream: UpstreamId
    sent_at: float
    incarnation: int | None
    phase: TaskPhase


@dataclass(slots=True, eq=False)
class Job:
    """Track one job; times are seconds on the caller of the logic's clock."""

    submission: SubmissionId
    request: JobRequest
    arrived: float
    deadline: float
    origin: HostId | None = None
    stage: Stage = Stage.QUEUED
    delegate: HostId | None = None
    no_delegation: bool = False
    # Its key was claimed first by it, nobody was told "not run", and nothing ran.
    reusable: bool = False
    # The log never confirmed its key, so a request with that key may run elsewhere.
    unclaimed: bool = False
    queued: QueuedJob | None = None
    calls: set[int] = field(default_factory=set)
    placements: dict[int, Placement] = field(default_factory=dict)
    outputs: dict[int, str] = field(default_factory=dict)
    answer: Answer | None = None

    @property
    def customer(self) -> str:
        """Return the customer's name."""
        return self.request.customer

    @property
    def untouched(self) -> bool:
        """Tell whether no task of this job can have started anywhere.

        A start that an upstream refused or barred leaves no placement behind.
        """
        return not self.placements and not self.outputs and self.delegate is None

    @property
    def unsure(self) -> bool:
        """Tell whether it is not known here if some task ever started."""
        doubtful = (TaskPhase.SENT, TaskPhase.UNSURE)
        placed = self.placements.values()
        return self.delegate is not None or any(p.phase in doubtful for p in placed)

    def task(self, index: int) -> TaskId:
        """Return the id of a task."""
        return TaskId(self.submission, index)

    def spec(self, index: int) -> TaskSpec:
        """Return what the caller said of a task."""
        return self.request.tasks[index]

    def finish_task(self, outcome: TaskOutcome) -> bool:
        """Record the output of a task; return whether it was the first report."""
        index = outcome.task.index
        if index in self.outputs:
            return False
        self.outputs[index] = outcome.output
        return True

    @property
    def whole(self) -> bool:
        """Tell whether every task has its output."""
        return len(self.outputs) == len(self.request.tasks)
