"""Answers to callers and outcomes of tasks."""

import enum
from dataclasses import dataclass

from jackdawspur.model._ids import SubmissionId, TaskId

__all__ = ["Answer", "FailureCode", "JobState", "TaskOutcome", "TaskState"]


class JobState(enum.StrEnum):
    """State of a job; an answer is final unless its state is `PENDING`."""

    PENDING = "pending"
    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"


class TaskState(enum.StrEnum):
    """State of a task as its upstream reports it.

    `SEALED`: it never started there, and the upstream will refuse a late start.
    `UNKNOWN`: the upstream has no record of it, but it may have run or may still start.
    """

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    SEALED = "sealed"
    UNKNOWN = "unknown"


class FailureCode(enum.StrEnum):
    """Reason why a job was refused or failed; each has a page for operators."""

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
    """The state of a task as reported by its upstream."""

    task: TaskId
    state: TaskState
    output: str = ""
    error: str = ""


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a caller, with the state of its whole job.

    `not_run` is true only if no task of the request was or will be executed.
    `retry_after_ms` is zero if no time for a retry is suggested.
    """

    state: JobState
    submission: SubmissionId | None = None
    outputs: tuple[str, ...] = ()
    code: FailureCode | None = None
    message: str = ""
    not_run: bool = False
    retry_after_ms: float = 0.0
