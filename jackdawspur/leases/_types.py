"""Types of calls to upstreams and of their reports."""

from dataclasses import dataclass
from enum import Enum

from jackdawspur.leases._resources import Resources
from jackdawspur.model import UpstreamId

__all__ = [
    "CallOutcome",
    "EndedRun",
    "PollReport",
    "RunId",
    "RunResult",
    "RunningRun",
    "UpstreamEntry",
]


class RunResult(Enum):
    """Result of a run that ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class CallOutcome(Enum):
    """Outcome of a call to an upstream."""

    OK = "ok"
    FENCED = "fenced"
    OLD_RUN = "old_run"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    GONE = "gone"
    INVALID = "invalid"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RunId:
    """Identifier of one run of a task."""

    task: str
    number: int


@dataclass(frozen=True, slots=True)
class RunningRun:
    """A run in progress; `percent` is its progress."""

    run: RunId
    checkpoint: str
    percent: float


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that ended; `number` is its position among those of one incarnation."""

    number: int
    run: RunId
    result: RunResult
    checkpoint: str


@dataclass(frozen=True, slots=True)
class PollReport:
    """Report of all runs of an upstream; `clock_ms` is its monotonic clock.

    `incarnation` is the time when the upstream started, in milliseconds since 1970, 0
    if unknown.
    """

    clock_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """Entry of one incarnation of an upstream in the list of upstreams."""

    id: UpstreamId
    service: str
    address: str
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool
