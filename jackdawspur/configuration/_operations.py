"""Requests of operators, and the replies to them."""

import enum
from dataclasses import dataclass
from http import HTTPStatus

from jackdawspur.configuration._append_rate_limiter import AppendPurpose
from jackdawspur.configuration._errors import FieldError
from jackdawspur.configuration._planner import Plan
from jackdawspur.configuration._readiness import LogHealth, Readiness
from jackdawspur.configuration._reports import SkippedRecord, VoidConfirm
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
    """Request for the plan of an intent in JSON; `at` in seconds since 1970."""

    call: int
    token: str
    intent: str
    at: float


@dataclass(frozen=True, slots=True)
class ConfirmAsked:
    """Request to confirm a plan; repeated requests make a single confirm."""

    call: int
    token: str
    plan: str
    at: float


@dataclass(frozen=True, slots=True)
class HistoryAsked:
    """Request for the history of changes and refused requests."""

    call: int
    token: str
    at: float


@dataclass(frozen=True, slots=True)
class StatusAsked:
    """Request for the state of the configuration on this host."""

    call: int
    token: str
    at: float


OperatorRequest = PlanAsked | ConfirmAsked | HistoryAsked | StatusAsked


class OperatorReplyCode(enum.StrEnum):
    """Outcome of a request."""

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
    """Progress of a change.

    `PLANNED`: not confirmed yet. `VOID`: based on a version that is not current.
    `CONFIRMED`: in the log, but no zone has reported it in force yet.
    `IN_FORCE`: in force in some zones. `ACCEPTED`: in force in all zones with entry
    hosts.
    """

    PLANNED = "planned"
    CONFIRMED = "confirmed"
    IN_FORCE = "in_force"
    ACCEPTED = "accepted"
    VOID = "void"


@dataclass(frozen=True, slots=True)
class ChangeStatus:
    """Progress of one change and the zones that lack it; a plan has no version."""

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
    """Version `won` that superseded a plan, and the changes since the plan's `base`."""

    base: int
    won: int
    since: tuple[ChangeStatus, ...]


@dataclass(frozen=True, slots=True)
class Faults:
    """All errors of an intent."""

    errors: tuple[FieldError, ...]


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """One refused request."""

    at: float
    operator: str
    action: str
    code: OperatorReplyCode
    message: str


@dataclass(frozen=True, slots=True)
class History:
    """Plans, changes in force, void confirms, and requests refused by this host."""

    plans: tuple[ChangeStatus, ...]
    changes: tuple[ChangeStatus, ...]
    void: tuple[VoidConfirm, ...]
    refused: tuple[AuditEntry, ...]


@dataclass(frozen=True, slots=True)
class AppendCount:
    """Number of appends of one purpose since this host's start."""

    purpose: AppendPurpose
    made: int
    refused: int


@dataclass(frozen=True, slots=True)
class OperatorStatus:
    """State of the configuration on this host.

    See `ConfigurationStateMachine` for `version`, `head`, `through` and `contiguous`.
    """

    version: int
    head: int
    through: int
    contiguous: bool
    readiness: Readiness
    log: LogHealth
    zones: tuple[ZoneInForce, ...]
    changes: tuple[ChangeStatus, ...]
    skipped: tuple[SkippedRecord, ...]
    delays: tuple[ZoneDelay, ...]
    appends: tuple[AppendCount, ...]
    refusals: int


@dataclass(frozen=True, slots=True)
class OperatorReply:
    """Reply to an operator; `page` is the page that documents the code."""

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
    """Write one refusal to this host's log."""

    entry: AuditEntry
