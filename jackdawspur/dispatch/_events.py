"""Events of an entry host; the time is passed separately."""

from dataclasses import dataclass

from jackdawspur.external import ListedHost, UpstreamReply
from jackdawspur.messages import Message
from jackdawspur.model import (
    ClusterSpec,
    EntryHost,
    HostId,
    JobRequest,
    SubmissionId,
    TaskId,
    UpstreamId,
)

__all__ = [
    "BootstrapHostsLoaded",
    "CallClosed",
    "CancelRequested",
    "Claim",
    "ClaimAppendCompleted",
    "ClaimsRead",
    "ClusterSpecUpdated",
    "DrainRequested",
    "Event",
    "HostListUpdated",
    "PeerMessageReceived",
    "Polled",
    "ResultsReplied",
    "StartRequestFailed",
    "StartsReplied",
    "StatusQueryFailed",
    "StatusReplied",
    "SubmissionIdsRequested",
    "Submitted",
    "Tick",
    "UsageReplied",
]


@dataclass(frozen=True, slots=True)
class Submitted:
    """A caller submits a job; without `wait` the answer is `PENDING` at once."""

    call: int
    request: JobRequest
    wait: bool = True


@dataclass(frozen=True, slots=True)
class Polled:
    """A caller requests the state of a submission; with `wait`, at the job's end."""

    call: int
    customer: str
    submission: SubmissionId
    wait: bool = False


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """A caller cancels a submission."""

    call: int
    customer: str
    submission: SubmissionId


@dataclass(frozen=True, slots=True)
class SubmissionIdsRequested:
    """A caller requests submission ids in advance."""

    call: int
    customer: str
    count: int


@dataclass(frozen=True, slots=True)
class CallClosed:
    """The connection of a call closed before its answer."""

    call: int


@dataclass(frozen=True, slots=True)
class StartsReplied:
    """An upstream replied to a batch of starts."""

    reply: UpstreamReply


@dataclass(frozen=True, slots=True)
class StartRequestFailed:
    """A batch of starts got no reply.

    `maybe_sent` is true if any byte of it may have left this host.
    """

    upstream: UpstreamId
    tasks: tuple[TaskId, ...]
    maybe_sent: bool


@dataclass(frozen=True, slots=True)
class ResultsReplied:
    """An upstream reported ended tasks, possibly repeated or out of order."""

    reply: UpstreamReply


@dataclass(frozen=True, slots=True)
class StatusReplied:
    """An upstream replied to a status query or a stop."""

    reply: UpstreamReply


@dataclass(frozen=True, slots=True)
class StatusQueryFailed:
    """A status query got no reply."""

    upstream: UpstreamId
    tasks: tuple[TaskId, ...]


@dataclass(frozen=True, slots=True)
class UsageReplied:
    """An upstream reported its load, with some delay."""

    reply: UpstreamReply


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message from another entry host arrived."""

    sender: HostId
    message: Message


@dataclass(frozen=True, slots=True)
class BootstrapHostsLoaded:
    """The settings named entry hosts, used until a configuration is in force."""

    hosts: tuple[EntryHost, ...]


@dataclass(frozen=True, slots=True)
class ClusterSpecUpdated:
    """A newer version of the configuration came into force on this host."""

    cluster_spec: ClusterSpec


@dataclass(frozen=True, slots=True)
class HostListUpdated:
    """The platform's host list was read; it may be out of date."""

    hosts: tuple[ListedHost, ...]


@dataclass(frozen=True, slots=True)
class Claim:
    """Binding of a caller's idempotency key to a submission."""

    customer: str
    key: str
    submission: SubmissionId


@dataclass(frozen=True, slots=True)
class ClaimAppendCompleted:
    """The append of a claim ended; `appended` is None if the outcome is unknown."""

    claim: Claim
    appended: bool | None


@dataclass(frozen=True, slots=True)
class ClaimsRead:
    """Claims were read from the log, in log order.

    `gap` is true if the log had trimmed claims before this host read them.
    """

    claims: tuple[Claim, ...]
    gap: bool = False


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The host must stop; running jobs may end within `drain_timeout_ms`."""

    drain_timeout_ms: float


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event that advances the time."""


Event = (
    Submitted
    | Polled
    | CancelRequested
    | SubmissionIdsRequested
    | CallClosed
    | StartsReplied
    | StartRequestFailed
    | ResultsReplied
    | StatusReplied
    | StatusQueryFailed
    | UsageReplied
    | PeerMessageReceived
    | BootstrapHostsLoaded
    | ClusterSpecUpdated
    | HostListUpdated
    | ClaimAppendCompleted
    | ClaimsRead
    | DrainRequested
    | Tick
)
