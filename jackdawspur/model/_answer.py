"""What a caller is told."""

import enum
from dataclasses import dataclass

from jackdawspur.model._ids import SubmissionId, TaskId

__all__ = ["Answer", "FailureCode", "JobState", "TaskOutcome", "TaskState"]


class JobState(enum.StrEnum):
    """Tell how far a job is; an answer is final unless it is `PENDING`."""

    PENDING = "pending"
    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"


class TaskState(enum.StrEnum):
    """Tell how far a task is, as its upstream reports it.

    `SEALED`: never started there, and the upstream will refuse a late start.
    `UNKNOWN`: the upstream has no trace of it, which proves nothing.
    """

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    SEALED = "sealed"
    UNKNOWN = "unknown"


class FailureCode(enum.StrEnum):
    """Say why a job was refused or failed; each has an operators' page."""

    INVALID = "invalid"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    TOO_LARGE = "too_large"
    NEVER_FITS = "never_fits"
    QUOTA = "quota"
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    LOG_UNAVAILABLE = "log_unavailable"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    TASK_FAILED = "task_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OWNER_LOST = "owner_lost"
    NO_UPSTREAM = "no_upstream"
    SHUTDOWN = "shutdown"


@dataclass(frozen=True, slots=True)
class TaskOutcome:
    """Carry the end of one task from its upstream."""

    task: TaskId
    state: TaskState
    output: str = ""
    error: str = ""


@dataclass(frozen=True, slots=True)
class Answer:
    """Tell a caller the state of its whole job.

    `not_run` is true only when nothing of the request was or will be executed.
    `retry_after_ms` is zero when no time is suggested.
    """

    state: JobState
    submission: SubmissionId | None = None
    outputs: tuple[str, ...] = ()
    code: FailureCode | None = None
    message: str = ""
    not_run: bool = False
    retry_after_ms: float = 0.0
