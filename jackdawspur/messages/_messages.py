"""Typed messages between entry hosts. Times are in milliseconds."""

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
    """A peer that is alive according to the sender's own timeout."""

    host: HostId
    draining: bool = False


@dataclass(frozen=True, slots=True)
class CustomerUsage:
    """Number of running and waiting tasks of a customer on the sender."""

    customer: str
    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """Configuration version in force on all live hosts of a zone, and their load.

    `hosts` is the number of live hosts, and `usage` lists the zone's customers with
    the highest usage.
    """

    zone: str
    version: int
    free_slots: int = 0
    waiting_tasks: int = 0
    hosts: int = 0
    usage: tuple[CustomerUsage, ...] = ()


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Liveness, load and configuration version of the sender.

    For a receiver in another zone `zones` holds the sender's own zone; for peers in the
    same zone, the other zones from which the sender receives heartbeats. `usage` is
    valid only if `reports_usage` is set. `seen` lists the sender's live peers, and
    `bad_upstreams` the upstreams that it considers unhealthy.
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
    """Liveness and load, sent to peers in the same zone between heartbeats."""

    sequence: int
    free_slots: int
    waiting_tasks: int
    backlog_ms: float


@dataclass(frozen=True, slots=True)
class Forward:
    """Forwards a call to the owner of its submission.

    Without a `request` it asks for the state of the submission.
    """

    call: int
    customer: str
    submission: SubmissionId
    wait: bool
    request: JobRequest | None = None


@dataclass(frozen=True, slots=True)
class CancelForward:
    """Forwards a cancellation to the owner of the submission or to its delegate."""

    call: int
    customer: str
    submission: SubmissionId


@dataclass(frozen=True, slots=True)
class ForwardAnswer:
    """Returns the answer to a forwarded call."""

    call: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class Delegate:
    """Delegates a whole job, none of whose tasks has been sent, to another host."""

    submission: SubmissionId
    request: JobRequest
    remaining_ms: float


@dataclass(frozen=True, slots=True)
class DelegateAnswer:
    """Returns the answer of a delegated job to the host that owns it."""

    submission: SubmissionId
    answer: Answer


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Requests a loan of slots for one loan term; `number` identifies the request.

    `slack_ms` is how long the most urgent job may still wait and meet its deadline;
    `urgent` is the number of its tasks among the wanted slots.
    """

    wanted: int
    number: int = 0
    slack_ms: float = 0.0
    urgent: int = 0


@dataclass(frozen=True, slots=True)
class UpstreamSlots:
    """A number of slots of one upstream."""

    upstream: UpstreamId
    slots: int


@dataclass(frozen=True, slots=True)
class SlotGrant:
    """Lends slots until `term_ms` have passed or they are returned.

    `request` is the number of the granted request.
    """

    grant: int
    term_ms: float
    slots: tuple[UpstreamSlots, ...]
    request: int = 0


@dataclass(frozen=True, slots=True)
class FailedTask:
    """A task of a submission that failed on an upstream."""

    upstream: UpstreamId
    submission: SubmissionId
    job_class: str


@dataclass(frozen=True, slots=True)
class SlotReturn:
    """Returns lent slots before the loan term ends.

    `failed` lists the tasks that failed on them.
    """

    grant: int
    slots: tuple[UpstreamSlots, ...]
    failed: tuple[FailedTask, ...] = ()


@dataclass(frozen=True, slots=True)
class RecordsWanted:
    """Requests the configuration records after an offset of the log."""

    after: int


@dataclass(frozen=True, slots=True)
class RecordsPassed:
    """Configuration records in log order, without gaps after offset `after`."""

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
