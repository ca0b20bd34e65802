"""Requests of operators and the replies to them."""

import enum
from dataclasses import dataclass
from http import HTTPStatus

from jackdawspur.configuration._budget import AppendPurpose
from jackdawspur.configuration._errors import FieldError
from jackdawspur.configuration._planner import Plan
from jackdawspur.configuration._readiness import LogHealth, Readiness
from jackdawspur.configuration._reports import Skipped, Void
from jackdawspur.configuration._zones import ZoneDelay, ZoneInForce

__all__ = [
    "AppendCount",
    "AuditEntry",
    "ChangeState",
    "ChangeStatus",
    "ConfirmAsked",
    "Conflict",
    "Faults",
    "History",
    "HistoryAsked",
    "OperatorReply",
    "OperatorReplyCode",
    "OperatorRequest",
    "OperatorStatus",
    "PlanAsked",
    "StatusAsked",
    "WriteAuditEntry",
]


@dataclass(frozen=True, slots=True)
class PlanAsked:
    """Ask for the plan of an intent in JSON; `at` in seconds since 1970."""

    call: int
    token: str
    intent: str
    at: float


@dataclass(frozen=True, slots=True)
class ConfirmAsked:
    """Confirm a plan; asked again, it is the same confirm."""

    call: int
    token: str
    plan: str
    at: float


@dataclass(frozen=True, slots=True)
class HistoryAsked:
    """Ask for changes with who, when and why, and for what was refused."""

    call: int
    token: str
    at: float


@dataclass(frozen=True, slots=True)
class StatusAsked:
    """Ask for the state of the configuration as this host sees it."""

    call: int
    token: str
    at: float


OperatorRequest = PlanAsked | ConfirmAsked | HistoryAsked | StatusAsked


class OperatorReplyCode(enum.StrEnum):
    """Say how a request ended."""

    OK = "ok"
    INVALID = "invalid"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    MASS_REMOVAL = "mass_removal"
    NOT_READY = "not_ready"
    LOG_UNAVAILABLE = "log_unavailable"
    LOG_BUDGET = "log_budget"
    OUTCOME_UNKNOWN = "outcome_unknown"


class ChangeState(enum.StrEnum):
    """Tell how far a change is.

    `PLANNED`: confirmed by nobody; `VOID`: based on a version that is not current.
    `CONFIRMED`: ordered in the log, in force in no zone that reported yet.
    `IN_FORCE`: in force in some zones. `ACCEPTED`: in every zone with entry hosts.
    """

    PLANNED = "planned"
    CONFIRMED = "confirmed"
    IN_FORCE = "in_force"
    ACCEPTED = "accepted"
    VOID = "void"


@dataclass(frozen=True, slots=True)
class ChangeStatus:
    """Tell how far one change is and which zones lack it; a plan has no version."""

    plan: str
    state: ChangeState
    version: int | None
    operator: str
    reason: str
    at: float
    in_force: tuple[str, ...]
    lacking: tuple[str, ...]
    summary: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Conflict:
    """Tell which version won against a plan and what changed since its base."""

    base: int
    won: int
    since: tuple[ChangeStatus, ...]


@dataclass(frozen=True, slots=True)
class Faults:
    """List every fault of an intent."""

    errors: tuple[FieldError, ...]


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """Record one refused request."""

    at: float
    operator: str
    action: str
    code: OperatorReplyCode
    message: str


@dataclass(frozen=True, slots=True)
class History:
    """List plans, changes in force, confirms that lost, and what was refused here."""

    plans: tuple[ChangeStatus, ...]
    changes: tuple[ChangeStatus, ...]
    void: tuple[Void, ...]
    refused: tuple[AuditEntry, ...]


@dataclass(frozen=True, slots=True)
class AppendCount:
    """Count the appends of one purpose since this host's start."""

    purpose: AppendPurpose
    made: int
    refused: int


@dataclass(frozen=True, slots=True)
class OperatorStatus:
    """Show the configuration as this host sees it."""

    version: int
    head: int
    through: int
    contiguous: bool
    readiness: Readiness
    log: LogHealth
    zones: tuple[ZoneInForce, ...]
    changes: tuple[ChangeStatus, ...]
    skipped: tuple[Skipped, ...]
    delays: tuple[ZoneDelay, ...]
    appends: tuple[AppendCount, ...]
    refusals: int


@dataclass(frozen=True, slots=True)
class OperatorReply:
    """Answer an operator; `page` names the operators' page on the matter."""

    call: int
    status: HTTPStatus
    code: OperatorReplyCode
    message: str
    page: str = ""
    body: Plan | ChangeStatus | Conflict | Faults | History | OperatorStatus | None = (
        None
    )


@dataclass(frozen=True, slots=True)
class WriteAuditEntry:
    """Write one refusal to this host's log lines."""

    entry: AuditEntry
