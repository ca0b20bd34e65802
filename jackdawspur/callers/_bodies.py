"""Request bodies of callers, validated against frozen data classes."""

from dataclasses import dataclass
from typing import Annotated, ClassVar, TypeVar

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError

from jackdawspur.exceptions import JackdawspurError
from jackdawspur.model import MAX_TASKS_PER_JOB, JobRequest, SubmissionId, TaskSpec

__all__ = [
    "BodyError",
    "IdsBody",
    "JobBody",
    "JobClassSettings",
    "TaskBody",
    "read_ids_body",
    "read_job_body",
    "to_request",
]

MAX_PAYLOAD_BYTES = 65_536
MAX_RUN_MS = 600_000.0
MAX_DEADLINE_MS = 3_600_000.0
MAX_IDS = 1000
MAX_CPUS = 4096
MAX_MEMORY_MB = 16_777_216
MAX_ACCELERATORS = 1024
MAX_REPORTED_ERRORS = 10

# Unknown fields are rejected: with a misspelt "idempotent" a request could run twice.
STRICT = ConfigDict(extra="forbid", strict=True)


class BodyError(JackdawspurError):
    """Raised when a caller's body is invalid; the message names each invalid field."""


@dataclass(frozen=True, slots=True)
class TaskBody:
    """A task of a submitted job; `run_ms` in milliseconds, `memory_mb` in megabytes."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    payload: Annotated[str, Field(max_length=MAX_PAYLOAD_BYTES)] = ""
    run_ms: Annotated[float, Field(ge=0, le=MAX_RUN_MS, strict=False)] = 0.0
    cpus: Annotated[int, Field(ge=1, le=MAX_CPUS)] = 1
    memory_mb: Annotated[int, Field(ge=0, le=MAX_MEMORY_MB)] = 0
    accelerators: Annotated[int, Field(ge=0, le=MAX_ACCELERATORS)] = 0


@dataclass(frozen=True, slots=True)
class JobBody:
    """A submitted job; `deadline_ms` counts from its arrival.

    Omitted fields are taken from the settings of its class.
    """

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    job_class: Annotated[str, Field(min_length=1, max_length=64)]
    tasks: Annotated[
        tuple[TaskBody, ...], Field(min_length=1, max_length=MAX_TASKS_PER_JOB)
    ]
    deadline_ms: Annotated[
        float | None, Field(gt=0, le=MAX_DEADLINE_MS, strict=False)
    ] = None
    idempotent: bool | None = None


@dataclass(frozen=True, slots=True)
class JobClassSettings:
    """Defaults and limits of the jobs of a class; `deadline_ms` in milliseconds."""

    deadline_ms: float
    max_tasks: int
    idempotent: bool


@dataclass(frozen=True, slots=True)
class IdsBody:
    """A request for submission ids in advance."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    count: Annotated[int, Field(ge=1, le=MAX_IDS)] = 1


T = TypeVar("T")

_JOB_ADAPTER = TypeAdapter(JobBody)
_IDS_ADAPTER = TypeAdapter(IdsBody)


def read_job_body(body: bytes) -> JobBody:
    """Return the job in a body; raise `BodyError` if the body is invalid."""
    return _validate(_JOB_ADAPTER, body)


def read_ids_body(body: bytes) -> IdsBody:
    """Return the request for ids in a body; raise `BodyError` if it is invalid."""
    return _validate(_IDS_ADAPTER, body or b"{}")


def to_request(
    body: JobBody,
    customer: str,
    job_class_settings: JobClassSettings,
    key: str | None = None,
    submission: SubmissionId | None = None,
) -> JobRequest:
    """Return the job request for a validated body.

    If the class is not idempotent, neither are its jobs, whatever the body says. Raise
    `BodyError` if the job has more tasks than its class allows.
    """
    if len(body.tasks) > job_class_settings.max_tasks:
        text = (
            f"tasks: {body.job_class} allows at most {job_class_settings.max_tasks}"
            " per job"
        )
        raise BodyError(text)
    tasks = tuple(
        TaskSpec(t.payload, t.run_ms, t.cpus, t.memory_mb, t.accelerators)
        for t in body.tasks
    )
    return JobRequest(
        customer,
        body.job_class,
        tasks,
        body.deadline_ms or job_class_settings.deadline_ms,
        job_class_settings.idempotent and body.idempotent is not False,
        key,
        submission,
    )


def _validate(adapter: TypeAdapter[T], body: bytes) -> T:
    try:
        return adapter.validate_json(body)
    except ValidationError as error:
        raise BodyError(_describe(error)) from error


def _describe(error: ValidationError) -> str:
    """Return each invalid field with what was expected."""
    details = error.errors(include_url=False, include_input=False)
    lines = [
        f"{'.'.join(str(part) for part in detail['loc']) or 'body'}: {detail['msg']}"
        for detail in details[:MAX_REPORTED_ERRORS]
    ]
    if len(details) > MAX_REPORTED_ERRORS:
        lines.append(f"and {len(details) - MAX_REPORTED_ERRORS} more")
    return "; ".join(lines)
