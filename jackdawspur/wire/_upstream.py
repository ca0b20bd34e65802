"""Bodies an upstream speaks; times in milliseconds, task ids as their text."""

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
    """Ask for one task under a lease that counts from the receipt."""

    task: str
    payload: str
    lease_ms: float
    cpus: int = 1
    memory_mb: int = 0
    accelerators: int = 0


class StartsRequest(msgspec.Struct, frozen=True):
    """Ask for a batch of tasks on behalf of one holder, an entry host."""

    holder: str
    starts: tuple[StartBody, ...]


class VerdictBody(msgspec.Struct, frozen=True):
    """Tell whether one task started; no refusal means that it did."""

    task: str
    refusal: RefusalReason | None = None


class StartsReply(msgspec.Struct, frozen=True):
    """Answer a batch, a verdict for each start in the same order."""

    incarnation: int
    verdicts: tuple[VerdictBody, ...]


class OutcomeBody(msgspec.Struct, frozen=True):
    """Tell how far one task is."""

    task: str
    state: TaskState
    output: str = ""
    error: str = ""


class StatusReply(msgspec.Struct, frozen=True):
    """Answer a status query, a stop or a poll for results.

    `cursor` is set by results only: the place to read from next.
    """

    incarnation: int
    outcomes: tuple[OutcomeBody, ...]
    cursor: int = 0


class StatusRequest(msgspec.Struct, frozen=True):
    """Ask how far tasks are; `seal` bars those that never started."""

    tasks: tuple[str, ...]
    seal: bool = False


class StopRequest(msgspec.Struct, frozen=True):
    """Ask to stop tasks and to bar those that never started."""

    tasks: tuple[str, ...]


class UsageReply(msgspec.Struct, frozen=True):
    """Report the load as it was some time ago."""

    incarnation: int
    slots: int
    busy: int
    leaving: bool
