"""What the operators' desk waits for, and the form of its replies."""

from dataclasses import dataclass, field
from http import HTTPStatus

from jackdawspur.configuration._budget import Purpose
from jackdawspur.configuration._document import Right
from jackdawspur.configuration._operations import (
    ConfirmAsked,
    DeskCode,
    DeskReply,
    DeskRequest,
    PlanAsked,
)
from jackdawspur.configuration._planner import Plan
from jackdawspur.configuration._records import Confirm, Proposal

__all__ = ["Awaited", "Pending", "conflict_text", "reply_to", "right_for"]

PAGE = "operators/configuration"

STATUS_OF = {
    DeskCode.OK: HTTPStatus.OK,
    DeskCode.INVALID: HTTPStatus.BAD_REQUEST,
    DeskCode.UNAUTHORIZED: HTTPStatus.UNAUTHORIZED,
    DeskCode.FORBIDDEN: HTTPStatus.FORBIDDEN,
    DeskCode.NOT_FOUND: HTTPStatus.NOT_FOUND,
    DeskCode.CONFLICT: HTTPStatus.CONFLICT,
    DeskCode.MASS_REMOVAL: HTTPStatus.UNPROCESSABLE_ENTITY,
    DeskCode.NOT_READY: HTTPStatus.SERVICE_UNAVAILABLE,
    DeskCode.LOG_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    DeskCode.LOG_BUDGET: HTTPStatus.TOO_MANY_REQUESTS,
    DeskCode.OUTCOME_UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
}


@dataclass(slots=True)
class Pending:
    """Hold an append until the log shows how it ended."""

    record: Proposal | Confirm
    purpose: Purpose
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


def right_for(request: DeskRequest) -> Right:
    """Return the right that a request needs."""
    if isinstance(request, PlanAsked):
        return Right.PLAN
    return Right.CONFIRM if isinstance(request, ConfirmAsked) else Right.VIEW


def conflict_text(won: int) -> str:
    """Return the sentence that tells an operator who won."""
    return f"version {won} won; nothing of this plan is in force, plan again"


def reply_to(call: int, code: DeskCode, text: str, body=None) -> DeskReply:
    """Return a reply with its HTTP status and operators' page."""
    page = "" if code is DeskCode.OK else f"{PAGE}#{code.replace('_', '-')}"
    return DeskReply(call, STATUS_OF[code], code, text, page, body)
