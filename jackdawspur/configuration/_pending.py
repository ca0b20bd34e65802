"""What the operators' desk waits for, and the form of its replies."""

from dataclasses import dataclass, field
from http import HTTPStatus

from jackdawspur.configuration._budget import AppendPurpose
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

__all__ = ["Awaited", "Pending", "conflict_text", "reply_to", "right_for"]

PAGE = "operators/configuration"

STATUS_OF = {
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
class Pending:
    """Hold an append until the log shows how it ended."""

    record: Proposal | Confirm
    purpose: AppendPurpose
    operator: str
    deadline: float
    next_try: float
    plan: Plan | None = None
    calls: list[int] = field(default_factory=list)
    under_way: bool = True
    may_stand: bool = False
    offset: int | None = None


@dataclass(frozen=True, slots=True)
class Awaited:
    """Hold a confirm whose plan this host has yet to read."""

    request: ConfirmAsked
    deadline: float


def right_for(request: OperatorRequest) -> Right:
    """Return the right that a request needs."""
    if isinstance(request, PlanAsked):
        return Right.PLAN
    return Right.CONFIRM if isinstance(request, ConfirmAsked) else Right.VIEW


def conflict_text(won: int) -> str:
    """Return the sentence that tells an operator who won."""
    return f"version {won} won; nothing of this plan is in force, plan again"


def reply_to(call: int, code: OperatorReplyCode, text: str, body=None) -> OperatorReply:
    """Return a reply with its HTTP status and operators' page."""
    page = "" if code is OperatorReplyCode.OK else f"{PAGE}#{code.replace('_', '-')}"
    return OperatorReply(call, STATUS_OF[code], code, text, page, body)
