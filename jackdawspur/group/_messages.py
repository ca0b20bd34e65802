"""Messages between the hosts of a group, in MessagePack."""

from dataclasses import dataclass

import msgspec

from jackdawspur.exceptions import JackdawspurError
from jackdawspur.leases import UpstreamEntry
from jackdawspur.runs import (
    DemandState,
    JobOutcome,
    JobRequest,
    LearnedStats,
    Progress,
    ServiceLoad,
)

__all__ = [
    "CapacityOffer",
    "ConfigurationUpdate",
    "GroupMessage",
    "GroupMessageDecodeError",
    "GroupMessageEncodeError",
    "HostAddress",
    "HostHeartbeat",
    "JobCancellation",
    "JobOffer",
    "JobProgress",
    "JobRedirect",
    "JobResult",
    "UpstreamListUpdate",
    "decode_message",
    "encode_message",
]


class GroupMessageDecodeError(JackdawspurError):
    """Raised when bytes do not decode as a message between hosts."""


class GroupMessageEncodeError(JackdawspurError):
    """Raised when a message holds a value that its encoding can't represent."""


@dataclass(frozen=True, slots=True)
class HostAddress:
    """Name, zone and link address of a host.

    `started_ms`, in milliseconds since 1970, identifies the incarnation. `processor`
    is the host's processor share in cores.
    """

    name: str
    zone: str
    link: str
    started_ms: int
    processor: float = 1.0


class HostHeartbeat(msgspec.Struct, frozen=True, tag="beat", omit_defaults=True):
    """State of the sending host; `sent_at` is on the sender's clock.

    `fence` is the sender's own if it leads, else 0; `follows` is the fence of the
    leader to which it offers its jobs, 0 without one. `knows` lists hosts for
    discovery. `silent_s` is the time since the receiver's last message to the sender.

    `by_zone` is set if the sender's group consists of its zone only. `too_large` is set
    if its list has too many upstreams for one group of all zones; `upstreams` is the
    length of the list.

    A leader sends `room`, the free capacity that it offers, to leaders of other groups,
    and sets `wants_room` if jobs found no free capacity in its own group. `learned` are
    its statistics of upstreams and routes, for its own group.

    `loads` is the load of the sender's group, for the leaders of other groups. `demand`
    is what the next leader of the sender's group needs to know of the demand.

    A leader clears `available` while its group can't serve new jobs.
    """

    host: HostAddress
    sent_at: float
    leads: bool
    fence: int
    ready: bool
    draining: bool
    slow: bool
    configuration: int
    upstreams_age_s: float
    knows: tuple[HostAddress, ...]
    progress: tuple["JobProgress", ...] = ()
    silent_s: float = 0.0
    follows: int = 0
    room: tuple["CapacityOffer", ...] = ()
    wants_room: bool = False
    by_zone: bool = False
    too_large: bool = False
    upstreams: int = 0
    learned: LearnedStats | None = None
    loads: tuple[ServiceLoad, ...] = ()
    demand: DemandState | None = None
    available: bool = True

    def is_before(self, other: "HostHeartbeat") -> bool:
        """Return whether the same incarnation sent this heartbeat before another.

        False for different incarnations: the time of day may have been set back.
        """
        same_incarnation = self.host.started_ms == other.host.started_ms
        return same_incarnation and self.sent_at < other.sent_at


class CapacityOffer(msgspec.Struct, frozen=True):
    """Free capacity of upstreams of a service, in thousandths of a core.

    `slow` are the capacities of upstreams on which tasks take longer.
    """

    service: str
    free: tuple[int, ...]
    slow: tuple[int, ...] = ()


class JobProgress(msgspec.Struct, frozen=True):
    """Progress of a job's tasks, kept by the job's host for the next leader."""

    job: str
    progress: Progress


class JobOffer(msgspec.Struct, frozen=True, tag="offer"):
    """Offer of a job to a leader by the job's host, on which its caller waits.

    `age_ms` is the time since the job arrived, `left_ms` the time to its deadline.
    `handed` counts earlier handovers, `attempt` the offers of the job, and `progress`
    is what is known of its tasks. `fence` identifies the leader's term: in a later term
    the job counts as new unless it is handed over. `leader_at` is a lower bound of the
    receiver's clock at the time of sending; it shows whether the offer arrives late.

    `far` is set if the sender belongs to another group. `zone` is the sender's zone.
    `all_zones` is set if an earlier leader could also run the job on upstreams of other
    zones, and `outranked` if an earlier leader had a higher fence.
    """

    sender: str
    fence: int
    leader_at: float
    job: JobRequest
    call: int
    age_ms: float
    left_ms: float
    handed: int
    progress: Progress
    far: bool = False
    attempt: int = 0
    zone: str = ""
    all_zones: bool = False
    outranked: bool = False


class JobRedirect(msgspec.Struct, frozen=True, tag="passed"):
    """Reply to an offer: the job's host should offer it to another group's leader.

    `attempt` identifies the offer.
    """

    job: str
    call: int
    attempt: int
    leader: str
    fence: int


class JobCancellation(msgspec.Struct, frozen=True, tag="drop"):
    """Request to the leader to cancel a job whose caller no longer waits."""

    sender: str
    job: str
    call: int


class JobResult(msgspec.Struct, frozen=True, tag="answer"):
    """Outcome of a job, for its host; `handed` tells which offer is answered."""

    job: str
    call: int
    handed: int
    outcome: JobOutcome


class ConfigurationUpdate(msgspec.Struct, frozen=True, tag="configuration"):
    """A configuration as it was published, for a peer with an older one."""

    version: int
    document: bytes


class UpstreamListUpdate(msgspec.Struct, frozen=True, tag="upstreams"):
    """The list of upstreams and its age, for a peer with an older one.

    `receiver_at` is a lower bound of the receiver's clock at the time of sending. No
    task may start in the `evacuated` zones.
    """

    receiver_at: float
    age_s: float
    entries: tuple[UpstreamEntry, ...]
    evacuated: tuple[str, ...] = ()


GroupMessage = (
    HostHeartbeat
    | JobOffer
    | JobRedirect
    | JobCancellation
    | JobResult
    | ConfigurationUpdate
    | UpstreamListUpdate
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(GroupMessage)


def encode_message(message: GroupMessage) -> bytes:
    """Encode a message; raise `GroupMessageEncodeError` for values out of range."""
    try:
        return _encoder.encode(message)
    except (OverflowError, ValueError) as error:
        raise GroupMessageEncodeError(str(error)) from error


def decode_message(data: bytes) -> GroupMessage:
    """Decode a message; raise `GroupMessageDecodeError` if it is malformed."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise GroupMessageDecodeError(str(error)) from error
