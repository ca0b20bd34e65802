"""The interface to an upstream worker."""

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
    """Reason why an upstream refused a start; the task never ran there."""

    FULL = "full"
    LEAVING = "leaving"
    EXPIRED = "expired"
    SEALED = "sealed"
    DUPLICATE = "duplicate"
    TOO_LARGE = "too_large"


@dataclass(frozen=True, slots=True)
class TaskStart:
    """A request to run one task once, under a lease.

    `lease_ms` counts from the receipt; the upstream stops the task when the lease
    expires.
    """

    task: TaskId
    payload: str
    lease_ms: float
    cpus: int = 1
    memory_mb: int = 0
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class StartVerdict:
    """The result of a start; `refusal` is None if the task started."""

    task: TaskId
    refusal: RefusalReason | None = None


@dataclass(frozen=True, slots=True)
class Usage:
    """An upstream's load, which may be out of date."""

    slots: int
    busy: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamReply:
    """A reply of an upstream; fields without meaning for the request are empty.

    `incarnation` changes when the upstream restarts and loses its tasks. `cursor` is
    the position from which to read further results.
    """

    upstream: UpstreamId
    incarnation: int
    verdicts: tuple[StartVerdict, ...] = ()
    outcomes: tuple[TaskOutcome, ...] = ()
    cursor: int = 0
    usage: Usage | None = None


# Receives the reply, or the error that ended the request; called once, on the loop's
# thread.
ReplyCallback = Callable[[Result[UpstreamReply, PlatformError]], None]


class UpstreamClient(abc.ABC):
    """A client of one upstream; calls return at once and pass the result to `done`."""

    @abc.abstractmethod
    def start(self, starts: Sequence[TaskStart], done: ReplyCallback) -> None:
        """Start tasks; `Unavailable` means that no byte was sent."""

    @abc.abstractmethod
    def results(self, cursor: int, wait_ms: float, done: ReplyCallback) -> None:
        """Get the ended tasks of this host after `cursor`; wait up to `wait_ms`."""

    @abc.abstractmethod
    def status(self, tasks: Sequence[TaskId], seal: bool, done: ReplyCallback) -> None:
        """Get the state of tasks.

        With `seal` the upstream tombstones the ids of tasks that haven't started, so
        that they can never start.
        """

    @abc.abstractmethod
    def stop(self, tasks: Sequence[TaskId], done: ReplyCallback) -> None:
        """Stop running tasks, and tombstone the ids of tasks that haven't started."""

    @abc.abstractmethod
    def usage(self, done: ReplyCallback) -> None:
        """Get the load, which may be seconds old."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close all connections."""
