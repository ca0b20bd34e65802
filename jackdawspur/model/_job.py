"""Jobs as callers submit them."""

from dataclasses import dataclass

from jackdawspur.model._ids import SubmissionId

__all__ = ["MAX_TASKS_PER_JOB", "JobRequest", "TaskSpec"]

MAX_TASKS_PER_JOB = 360


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """A task with its input and the resources that it declares to need.

    Declarations are hints; `run_ms` is in milliseconds, `memory_mb` in megabytes.
    """

    payload: str = ""
    run_ms: float = 0.0
    cpus: int = 1
    memory_mb: int = 0
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A request to run all tasks of a job.

    `deadline_ms` counts from the arrival at the first entry host. `key` is the caller's
    idempotency key, and `submission` an id issued earlier.
    """

    customer: str
    job_class: str
    tasks: tuple[TaskSpec, ...]
    deadline_ms: float
    idempotent: bool = True
    key: str | None = None
    submission: SubmissionId | None = None
