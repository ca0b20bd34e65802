"""State of one job from its arrival to its answer."""

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
    """Stage of a job between its arrival and its answer.

    `CLAIMING`: the log has not confirmed the claim of its key. `DELEGATED`: another
    entry host runs it.
    """

    CLAIMING = "claiming"
    QUEUED = "queued"
    DELEGATED = "delegated"
    ENDED = "ended"


class TaskPhase(enum.Enum):
    """State of one task as known to this host.

    `SENT`: its start has no reply yet. `UNSURE`: the reply to its start was lost, or
    reported a duplicate, so the task may be running.
    """

    SENT = "sent"
    RUNNING = "running"
    UNSURE = "unsure"
    DONE = "done"


@dataclass(slots=True)
class Placement:
    """Upstream to which a task was sent, its incarnation and the time."""

    upstream: UpstreamId
    sent_at: float
    incarnation: int | None
    phase: TaskPhase


@dataclass(slots=True, eq=False)
class Job:
    """One job; times are seconds on the clock passed to the dispatch logic."""

    submission: SubmissionId
    request: JobRequest
    arrived: float
    deadline: float
    origin: HostId | None = None
    stage: Stage = Stage.QUEUED
    delegate: HostId | None = None
    no_delegation: bool = False
    # A repeat of the request may run: this job claimed the key first but started
    # nothing, and its answer did not state "not run".
    may_rerun: bool = False
    # The log has not confirmed the key, so a request with it may run at another host.
    unclaimed: bool = False
    queued: QueuedJob | None = None
    calls: set[int] = field(default_factory=set)
    placements: dict[int, Placement] = field(default_factory=dict)
    outputs: dict[int, str] = field(default_factory=dict)
    answer: Answer | None = None

    @property
    def customer(self) -> str:
        """Return the name of the customer."""
        return self.request.customer

    @property
    def nothing_sent(self) -> bool:
        """Return whether no task of this job can have started anywhere.

        The placement of a start that an upstream refused or sealed is removed.
        """
        return not self.placements and not self.outputs and self.delegate is None

    @property
    def outcome_unknown(self) -> bool:
        """Return whether the start of some task is unconfirmed on this host."""
        unconfirmed = (TaskPhase.SENT, TaskPhase.UNSURE)
        placed = self.placements.values()
        return self.delegate is not None or any(p.phase in unconfirmed for p in placed)

    def task(self, index: int) -> TaskId:
        """Return the id of a task."""
        return TaskId(self.submission, index)

    def spec(self, index: int) -> TaskSpec:
        """Return the specification of a task."""
        return self.request.tasks[index]

    def record_output(self, outcome: TaskOutcome) -> bool:
        """Record the output of a task, and return whether it is the first report."""
        index = outcome.task.index
        if index in self.outputs:
            return False
        self.outputs[index] = outcome.output
        return True

    @property
    def is_complete(self) -> bool:
        """Return whether every task has its output."""
        return len(self.outputs) == len(self.request.tasks)
