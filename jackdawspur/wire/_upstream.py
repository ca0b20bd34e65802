"""Message bodies of upstreams; times in milliseconds, task ids as strings."""

import msgspec

from jackdawspur.external import RefusalReason
from jackdawspur.model import TaskState

__all__ = [
    "OutcomeBody",
    "StartBody",
    "StartsReply",
    "StartsRequest",
    "StatusReply",
    "StatusRequest",
    "StopRequest",
    "UsageReply",
    "VerdictBody",
]


class StartBody(msgspec.Struct, frozen=True):
    """Request to start one task under a lease that starts on receipt."""

    task: str
    payload: str
    lease_ms: float
    cpus: int = 1
    memory_mb: int = 0
    accelerators: int = 0


class StartsRequest(msgspec.Struct, frozen=True):
    """Request to start a batch of tasks for one holder, an entry host."""

    holder: str
    starts: tuple[StartBody, ...]


class VerdictBody(msgspec.Struct, frozen=True):
    """Result of one start; no refusal means that the task started."""

    task: str
    refusal: RefusalReason | None = None


class StartsReply(msgspec.Struct, frozen=True):
    """Reply to a batch of starts, with one verdict per start in the same order."""

    incarnation: int
    verdicts: tuple[VerdictBody, ...]


class OutcomeBody(msgspec.Struct, frozen=True):
    """State of one task."""

    task: str
    state: TaskState
    output: str = ""
    error: str = ""


class StatusReply(msgspec.Struct, frozen=True):
    """Reply to a status query, a stop or a poll for results.

    `cursor` is set for polls only: the position to read from next.
    """

    incarnation: int
    outcomes: tuple[OutcomeBody, ...]
    cursor: int = 0


class StatusRequest(msgspec.Struct, frozen=True):
    """Query of the state of tasks; `seal` keeps unstarted ones from ever starting."""

    tasks: tuple[str, ...]
    seal: bool = False


class StopRequest(msgspec.Struct, frozen=True):
    """Request to stop tasks and to keep unstarted ones from ever starting."""

    tasks: tuple[str, ...]


class UsageReply(msgspec.Struct, frozen=True):
    """Load of an upstream, which may be out of date."""

    incarnation: int
    slots: int
    busy: int
    leaving: bool
