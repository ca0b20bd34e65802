"""Pending requests of the operator API, and helpers to build its replies."""

from dataclasses import dataclass, field
from http import HTTPStatus

from jackdawspur.configuration._append_rate_limiter import AppendPurpose
from jackdawspur.configuration._document import Right
from jackdawspur.configuration._operations import (
    ConfirmAsked,
    OperatorReply,
    OperatorReplyCode,
    OperatorRequest,
    PlanAsked,
)
from jackdawspur.configuration._planner import Plan
from jackdawspur.configuration._records import Confirm, Proposal

__all__ = [
    "WaitingConfirm",
    "PendingAppend",
    "conflict_message",
    "make_reply",
    "required_right",
]

DOCS_PAGE = "operators/configuration"

HTTP_STATUS_BY_CODE = {
    OperatorReplyCode.OK: HTTPStatus.OK,
    OperatorReplyCode.INVALID: HTTPStatus.BAD_REQUEST,
    OperatorReplyCode.UNAUTHORIZED: HTTPStatus.UNAUTHORIZED,
    OperatorReplyCode.FORBIDDEN: HTTPStatus.FORBIDDEN,
    OperatorReplyCode.NOT_FOUND: HTTPStatus.NOT_FOUND,
    OperatorReplyCode.CONFLICT: HTTPStatus.CONFLICT,
    OperatorReplyCode.MASS_REMOVAL: HTTPStatus.UNPROCESSABLE_ENTITY,
    OperatorReplyCode.NOT_READY: HTTPStatus.SERVICE_UNAVAILABLE,
    OperatorReplyCode.LOG_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    OperatorReplyCode.LOG_BUDGET: HTTPStatus.TOO_MANY_REQUESTS,
    OperatorReplyCode.OUTCOME_UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
}


@dataclass(slots=True)
class PendingAppend:
    """Append whose outcome has not been read from the log yet."""

    record: Proposal | Confirm
    purpose: AppendPurpose
    operator: str
    deadline: float
    next_attempt_at: float
    plan: Plan | None = None
    calls: list[int] = field(default_factory=list)
    in_flight: bool = True
    maybe_appended: bool = False
    offset: int | None = None


@dataclass(frozen=True, slots=True)
class WaitingConfirm:
    """Confirm of a plan that this host hasn't read from the log yet."""

    request: ConfirmAsked
    deadline: float


def required_right(request: OperatorRequest) -> Right:
    """Return the right that a request requires."""
    if isinstance(request, PlanAsked):
        return Right.PLAN
    return Right.CONFIRM if isinstance(request, ConfirmAsked) else Right.VIEW


def conflict_message(won: int) -> str:
    """Return the message of a conflict, which names the version that won."""
    return f"version {won} won; nothing of this plan is in force, plan again"


def make_reply(
    call: int, code: OperatorReplyCode, text: str, body=None
) -> OperatorReply:
    """Return a reply with its HTTP status and the page that documents its code."""
    page = (
        "" if code is OperatorReplyCode.OK else f"{DOCS_PAGE}#{code.replace('_', '-')}"
    )
    return OperatorReply(call, HTTP_STATUS_BY_CODE[code], code, text, page, body)
