"""The interface of an upstream worker."""

import abc
import enum
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from result import Result

from jackdawspur.external._errors import PlatformError
from jackdawspur.model import TaskId, TaskOutcome, UpstreamId

__all__ = [
    "RefusalReason",
    "StartVerdict",
    "TaskStart",
    "UpstreamClient",
    "UpstreamReply",
    "Usage",
]


class RefusalReason(enum.StrEnum):
    """Say why an upstream did not start a task; all mean it never ran there."""

    FULL = "full"
    LEAVING = "leaving"
    EXPIRED = "expired"
    SEALED = "sealed"
    DUPLICATE = "duplicate"
    TOO_LARGE = "too_large"


@dataclass(frozen=True, slots=True)
class TaskStart:
    """Ask an upstream to run one task once, under a lease.

    `lease_ms` counts from the receipt: the upstream stops the task when it lapses.
    """

    task: TaskId
    payload: str
    lease_ms: float
    cpus: int = 1
    memory_mb: int = 0
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class StartVerdict:
    """Tell whether a task started; `refusal` is None when it did."""

    task: TaskId
    refusal: RefusalReason | None = None


@dataclass(frozen=True, slots=True)
class Usage:
    """Report an upstream's load, with a lag."""

    slots: int
    busy: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamReply:
    """Carry one reply of an upstream; fields that do not apply are empty.

    `incarnation` changes when the upstream restarts and forgets its tasks. `cursor`
    is the place to read results from next.
    """

    upstream: UpstreamId
    incarnation: int
    verdicts: tuple[StartVerdict, ...] = ()
    outcomes: tuple[TaskOutcome, ...] = ()
    cursor: int = 0
    usage: Usage | None = None


# A reply or the error that ended the request; called once, on the loop's thread.
Done = Callable[[Result[UpstreamReply, PlatformError]], None]


class UpstreamClient(abc.ABC):
    """Talk to one upstream; every call returns at once and reports to `done`."""

    @abc.abstractmethod
    def start(self, starts: Sequence[TaskStart], done: Done) -> None:
        """Start tasks; `Unavailable` means that no byte left this host."""

    @abc.abstractmethod
    def results(self, cursor: int, wait_ms: float, done: Done) -> None:
        """Wait for ended tasks of this host after `cursor`."""

    @abc.abstractmethod
    def status(self, tasks: Sequence[TaskId], seal: bool, done: Done) -> None:
        """Ask how far tasks are; with `seal`, bar those not yet started for good."""

    @abc.abstractmethod
    def stop(self, tasks: Sequence[TaskId], done: Done) -> None:
        """Stop tasks that run and bar those not yet started."""

    @abc.abstractmethod
    def usage(self, done: Done) -> None:
        """Ask for the load, which may be seconds old."""

    @abc.abstractmethod
    def close(self) -> None:
        """Drop all connections."""
