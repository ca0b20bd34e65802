"""What happens to an entry host; the time is passed beside the event."""

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
    """A caller submits a job; without `wait` it is answered `PENDING` at once."""

    call: int
    request: JobRequest
    wait: bool = True


@dataclass(frozen=True, slots=True)
class Polled:
    """A caller asks for the state of a submission, or waits for its end."""

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
    """A caller wants submission ids in advance."""

    call: int
    customer: str
    count: int


@dataclass(frozen=True, slots=True)
class CallClosed:
    """A caller's connection closed before its answer."""

    call: int


@dataclass(frozen=True, slots=True)
class StartsReplied:
    """An upstream answered a batch of starts."""

    reply: UpstreamReply


@dataclass(frozen=True, slots=True)
class StartRequestFailed:
    """A batch of starts got no reply; `maybe_sent` when a byte may have left this
    host."""

    upstream: UpstreamId
    tasks: tuple[TaskId, ...]
    maybe_sent: bool


@dataclass(frozen=True, slots=True)
class ResultsReplied:
    """An upstream reported ended tasks; repeats and disorder are possible."""

    reply: UpstreamReply


@dataclass(frozen=True, slots=True)
class StatusReplied:
    """An upstream answered a status query, or a stop."""

    reply: UpstreamReply


@dataclass(frozen=True, slots=True)
class StatusQueryFailed:
    """A status query got no answer."""

    upstream: UpstreamId
    tasks: tuple[TaskId, ...]


@dataclass(frozen=True, slots=True)
class UsageReplied:
    """An upstream reported its load; the report lags."""

    reply: UpstreamReply


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message of another entry host arrived."""

    sender: HostId
    message: Message


@dataclass(frozen=True, slots=True)
class BootstrapHostsLoaded:
    """The settings name the entry hosts, to be heard before a configuration is."""

    hosts: tuple[EntryHost, ...]


@dataclass(frozen=True, slots=True)
class ClusterSpecUpdated:
    """A newer version of the configuration came into force here."""

    cluster_spec: ClusterSpec


@dataclass(frozen=True, slots=True)
class HostListUpdated:
    """The platform's list of hosts was read; it lags."""

    hosts: tuple[ListedHost, ...]


@dataclass(frozen=True, slots=True)
class Claim:
    """Bind a caller's idempotency key to a submission."""

    customer: str
    key: str
    submission: SubmissionId


@dataclass(frozen=True, slots=True)
class ClaimAppendCompleted:
    """An append of a claim ended; `appended` None when that is unknown."""

    claim: Claim
    appended: bool | None


@dataclass(frozen=True, slots=True)
class ClaimsRead:
    """Claims were read from the log, in log order.

    `gap` when the log had trimmed claims away that this host never read.
    """

    claims: tuple[Claim, ...]
    gap: bool = False


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The host shall stop; what runs gets `drain_timeout_ms` to end."""

    drain_timeout_ms: float


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed."""


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
