"""What is asked of upstreams and what they report."""

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
    """Say how a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class CallOutcome(Enum):
    """Say what became of a call to an upstream."""

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
    """Name one run of a task."""

    task: str
    number: int


@dataclass(frozen=True, slots=True)
class RunningRun:
    """Report a run under way; `percent` is its progress."""

    run: RunId
    checkpoint: str
    percent: float


@dataclass(frozen=True, slots=True)
class EndedRun:
    """Report an end; `number` counts the ends of one boot of the upstream."""

    number: int
    run: RunId
    result: RunResult
    checkpoint: str


@dataclass(frozen=True, slots=True)
class PollReport:
    """Report all runs of an upstream; `clock_ms` is its own steady clock.

    `incarnation` names the start of the upstream that reports, 0 where none is told.
    """

    clock_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """Describe one boot of an upstream as the list of upstreams has it."""

    id: UpstreamId
    service: str
    address: str
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool
