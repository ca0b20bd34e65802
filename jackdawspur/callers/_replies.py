"""HTTP responses to callers: status codes and JSON bodies of answers."""

import math
from dataclasses import dataclass

import msgspec

from jackdawspur.model import Answer, FailureCode, JobState, SubmissionId

__all__ = ["HttpResponse", "answer_response", "ids_response", "refusal_response"]

STATUS_BY_CODE = {
    FailureCode.INVALID: 400,
    FailureCode.UNAUTHORIZED: 401,
    FailureCode.FORBIDDEN: 403,
    FailureCode.NOT_FOUND: 404,
    FailureCode.CONFLICT: 409,
    FailureCode.CANCELLED: 409,
    FailureCode.TOO_LARGE: 413,
    FailureCode.NEVER_FITS: 422,
    FailureCode.QUOTA: 429,
    FailureCode.OVERLOADED: 503,
    FailureCode.DRAINING: 503,
    FailureCode.NOT_READY: 503,
    FailureCode.LOG_UNAVAILABLE: 503,
    FailureCode.SHUTDOWN: 503,
    FailureCode.NO_UPSTREAM: 503,
    FailureCode.TASK_FAILED: 502,
    FailureCode.OUTCOME_UNKNOWN: 504,
    FailureCode.OWNER_LOST: 504,
    FailureCode.DEADLINE: 504,
}
STATUS_BY_STATE = {JobState.COMPLETE: 200, JobState.PENDING: 202}
DOC_PAGE_BY_CODE = {
    FailureCode.INVALID: "requests",
    FailureCode.UNAUTHORIZED: "requests",
    FailureCode.FORBIDDEN: "requests",
    FailureCode.NOT_FOUND: "requests",
    FailureCode.CONFLICT: "requests",
    FailureCode.TOO_LARGE: "requests",
    FailureCode.CANCELLED: "requests",
    FailureCode.NEVER_FITS: "overload",
    FailureCode.QUOTA: "quotas",
    FailureCode.OVERLOADED: "overload",
    FailureCode.DEADLINE: "overload",
    FailureCode.DRAINING: "shutdown",
    FailureCode.SHUTDOWN: "shutdown",
    FailureCode.NOT_READY: "configuration",
    FailureCode.LOG_UNAVAILABLE: "platform",
    FailureCode.NO_UPSTREAM: "upstreams",
    FailureCode.TASK_FAILED: "upstreams",
    FailureCode.OUTCOME_UNKNOWN: "at-most-once",
    FailureCode.OWNER_LOST: "at-most-once",
}
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An HTTP response; with `retry_after_s` 0 no Retry-After header is sent."""

    status: int
    body: bytes
    retry_after_s: int = 0
    content_type: str = "application/json"


@dataclass(frozen=True, slots=True)
class _AnswerBody:
    state: JobState
    not_run: bool
    submission: str | None
    outputs: tuple[str, ...]
    code: FailureCode | None
    message: str
    retry_after_ms: float
    page: str | None


@dataclass(frozen=True, slots=True)
class _IdsReplyBody:
    ids: tuple[str, ...]


def answer_response(answer: Answer) -> HttpResponse:
    """Return the response with the answer to a job."""
    code = answer.code
    body = _AnswerBody(
        answer.state,
        answer.not_run,
        str(answer.submission) if answer.submission else None,
        answer.outputs,
        code,
        answer.message,
        answer.retry_after_ms,
        f"docs/operators/{DOC_PAGE_BY_CODE[code]}.md" if code else None,
    )
    status = STATUS_BY_CODE[code] if code else STATUS_BY_STATE[answer.state]
    retry_after = math.ceil(answer.retry_after_ms / MS_PER_S)
    return HttpResponse(status, msgspec.json.encode(body), retry_after)


def refusal_response(code: FailureCode, message: str) -> HttpResponse:
    """Return the response to a request that was refused before it became a job."""
    answer = Answer(JobState.REFUSED, code=code, message=message, not_run=True)
    return answer_response(answer)


def ids_response(ids: tuple[SubmissionId, ...]) -> HttpResponse:
    """Return the response with issued submission ids."""
    body = _IdsReplyBody(tuple(str(submission) for submission in ids))
    return HttpResponse(201, msgspec.json.encode(body))
