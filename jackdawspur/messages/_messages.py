"""Typed messages between entry hosts; times in milliseconds."""

from dataclasses import dataclass

from jackdawspur.external import LogRecord
from jackdawspur.model import Answer, HostId, JobRequest, SubmissionId, UpstreamId

__all__ = [
    "CancelForward",
    "CustomerUsage",
    "Delegate",
    "DelegateAnswer",
    "FailedTask",
    "Forward",
    "ForwardAnswer",
    "Heartbeat",
    "LivePeer",
    "Message",
    "Pulse",
    "RecordsPassed",
    "RecordsWanted",
    "SlotGrant",
    "SlotRequest",
    "SlotReturn",
    "UpstreamSlots",
    "ZoneStatus",
]


@dataclass(frozen=True, slots=True)
class LivePeer:
    """Report a peer that the sender heard from within its own time limit."""

    host: HostId
    draining: bool = False


@dataclass(frozen=True, slots=True)
class CustomerUsage:
    """Report the tasks that a customer has running and waiting at the sender."""

    customer: str
    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """Report the configuration version in force on every live host of a zone.

    `hosts` live there; `usage` lists the zone's heaviest customers.
    """

    zone: str
    version: int
    free_slots: int = 0
    waiting_tasks: int = 0
    hosts: int = 0
    usage: tuple[CustomerUsage, ...] = ()


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Tell peers that the sender lives, and how busy it is.

    To another zone `zones` holds the sender's own; to siblings, the other zones that
    the sender hears itself. `usage` counts only when `reports_usage` is set.
    """

    host: HostId
    sequence: int
    ready: bool
    draining: bool
    version: int
    free_slots: int
    waiting_tasks: int
    backlog_ms: float
    usage: tuple[CustomerUsage, ...] = ()
    seen: tuple[LivePeer, ...] = ()
    zones: tuple[ZoneStatus, ...] = ()
    bad_upstreams: tuple[UpstreamId, ...] = ()
    leaving_upstreams: tuple[UpstreamId, ...] = ()
    reports_usage: bool = False


@dataclass(frozen=True, slots=True)
class Pulse:
    """Tell siblings, between heartbeats, that the sender lives and how busy it is."""

    sequence: int
    free_slots: int
    waiting_tasks: int
    backlog_ms: float


@dataclass(frozen=True, slots=True)
class Forward:
    """Pass a call on to the owner of its submission; `request` None asks for state."""

    call: int
    customer: str
    submission: SubmissionId
    wait: bool
    request: JobRequest | None = None


@dataclass(frozen=True, slots=True)
class CancelForward:
    """Pass a cancellation on to the owner of the submission or to its delegate."""

    call: int
    customer: str
    submission: SubmissionId


@dataclass(frozen=True, slots=True)
class ForwardAnswer:
    """Answer a forwarded call."""

    call: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class Delegate:
    """Hand a whole job, of which nothing was sent, to another host to run."""

    submission: SubmissionId
    request: JobRequest
    remaining_ms: float


@dataclass(frozen=True, slots=True)
class DelegateAnswer:
    """Return the end of a delegated job to its owner."""

    submission: SubmissionId
    answer: Answer


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Ask a host to lend slots for one term; `number` tells requests apart.

    `slack_ms` is how long the most urgent job may wait and still be in time, `urgent`
    the number of its tasks among the wanted.
    """

    wanted: int
    number: int = 0
    slack_ms: float = 0.0
    urgent: int = 0


@dataclass(frozen=True, slots=True)
class UpstreamSlots:
    """Count slots of one upstream."""

    upstream: UpstreamId
    slots: int


@dataclass(frozen=True, slots=True)
class SlotGrant:
    """Lend slots until the term ends or they are returned.

    `request` is the number of the request that is granted.
    """

    grant: int
    term_ms: float
    slots: tuple[UpstreamSlots, ...]
    request: int = 0


@dataclass(frozen=True, slots=True)
class FailedTask:
    """Report that a task of the submission failed at an upstream."""

    upstream: UpstreamId
    submission: SubmissionId
    job_class: str


@dataclass(frozen=True, slots=True)
class SlotReturn:
    """Give lent slots back before the term ends.

    `failed` names the tasks that failed on them.
    """

    grant: int
    slots: tuple[UpstreamSlots, ...]
    failed: tuple[FailedTask, ...] = ()


@dataclass(frozen=True, slots=True)
class RecordsWanted:
    """Ask for configuration records after a version."""

    after: int


@dataclass(frozen=True, slots=True)
class RecordsPassed:
    """Pass configuration records on, in log order; none is missing after `after`."""

    records: tuple[LogRecord, ...]
    after: int = -1


Message = (
    Heartbeat
    | Pulse
    | Forward
    | CancelForward
    | ForwardAnswer
    | Delegate
    | DelegateAnswer
    | SlotRequest
    | SlotGrant
    | SlotReturn
    | RecordsWanted
    | RecordsPassed
)
