"""What happens to an entry host; the time is passed beside the event."""

from dataclasses import dataclass

from jackdawspur.external import ListedHost, UpstreamReply
from jackdawspur.messages import Message
from jackdawspur.model import (
    EntryHost,
    HostId,
    JobRequest,
    SubmissionId,
    TaskId,
    UpstreamId,
    World,
)

__all__ = [
    "CallClosed",
    "CancelAsked",
    "Claim",
    "ClaimEnded",
    "ClaimsRead",
    "DrainAsked",
    "Event",
    "HostsListed",
    "HostsNamed",
    "IdsAsked",
    "PeerReceived",
    "Polled",
    "ResultsReplied",
    "StartsLost",
    "StartsReplied",
    "StatusLost",
    "StatusReplied",
    "Submitted",
    "Tick",
    "UsageReplied",
    "WorldSet",
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
class CancelAsked:
    """A caller cancels a submission."""

    call: int
    customer: str
    submission: SubmissionId


@dataclass(frozen=True, slots=True)
class IdsAsked:
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
class StartsLost:
    """A batch of starts got no reply; `left` when a byte may have left this host."""

    upstream: UpstreamId
    tasks: tuple[TaskId, ...]
    left: bool


@dataclass(frozen=True, slots=True)
class ResultsReplied:
    """An upstream reported ended tasks; repeats and disorder are possible."""

    reply: UpstreamReply


@dataclass(frozen=True, slots=True)
class StatusReplied:
    """An upstream answered a status query, or a stop."""

    reply: UpstreamReply


@dataclass(frozen=True, slots=True)
class StatusLost:
    """A status query got no answer."""

    upstream: UpstreamId
    tasks: tuple[TaskId, ...]


@dataclass(frozen=True, slots=True)
class UsageReplied:
    """An upstream reported its load; the report lags."""

    reply: UpstreamReply


@dataclass(frozen=True, slots=True)
class PeerReceived:
    """A message of another entry host arrived."""

    sender: HostId
    message: Message


@dataclass(frozen=True, slots=True)
class HostsNamed:
    """The settings name the entry hosts, to be heard before a configuration is."""

    hosts: tuple[EntryHost, ...]


@dataclass(frozen=True, slots=True)
class WorldSet:
    """A newer version of the configuration came into force here."""

    world: World


@dataclass(frozen=True, slots=True)
class HostsListed:
    """The platform's list of hosts was read; it lags."""

    hosts: tuple[ListedHost, ...]


@dataclass(frozen=True, slots=True)
class Claim:
    """Bind a caller's idempotency key to a submission."""

    customer: str
    key: str
    submission: SubmissionId


@dataclass(frozen=True, slots=True)
class ClaimEnded:
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
class DrainAsked:
    """The host shall stop; what runs gets `bound_ms` to end."""

    bound_ms: float


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed."""


Event = (
    Submitted
    | Polled
    | CancelAsked
    | IdsAsked
    | CallClosed
    | StartsReplied
    | StartsLost
    | ResultsReplied
    | StatusReplied
    | StatusLost
    | UsageReplied
    | PeerReceived
    | HostsNamed
    | WorldSet
    | HostsListed
    | ClaimEnded
    | ClaimsRead
    | DrainAsked
    | Tick
)
