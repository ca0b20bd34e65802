"""Messages between the hosts of a group, in MessagePack."""

from dataclasses import dataclass

import msgspec

from jackdawspur.exceptions import JackdawspurError
from jackdawspur.leases import UpstreamEntry
from jackdawspur.runs import JobOutcome, JobRequest, LearnedStats, Progress

__all__ = [
    "CapacityOffer",
    "ConfigurationUpdate",
    "GroupMessage",
    "GroupMessageDecodeError",
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
    """Raise when bytes are no message of a host."""


@dataclass(frozen=True, slots=True)
class HostAddress:
    """Say where a host's link listens; `started_ms` (since 1970) names its run.

    `processor` is its share of one, in cores.
    """

    name: str
    zone: str
    link: str
    started_ms: int
    processor: float = 1.0


class HostHeartbeat(msgspec.Struct, frozen=True, tag="beat", omit_defaults=True):
    """Tell the other hosts how this one is; `sent_at` is on its own clock.

    `fence` is its own when it leads, else 0; `follows` is that of the leading host to
    which it hands its jobs, 0 without one. `silent_s` is for how long it has not heard
    the receiver. `room` is what a leading host offers to that of another group, and
    `wants_room` tells that jobs found none in its own.
    `by_zone` tells that its group is its own zone alone, `too_large` that the list of
    a host that leads has too many upstreams for one group of all zones. `upstreams` is
    how many are listed there. `learned` is what a leading host tells its own group of
    upstreams and routes.
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

    def is_before(self, other: "HostHeartbeat") -> bool:
        """Tell whether the same run of a host sent this one before another.

        Of two runs nothing is told: the time of day may have been set back.
        """
        same_run = self.host.started_ms == other.host.started_ms
        return same_run and self.sent_at < other.sent_at


class CapacityOffer(msgspec.Struct, frozen=True):
    """Offer what some upstreams of a service have left, in thousandths of a core.

    On those of `slow` tasks take longer than on the others.
    """

    service: str
    free: tuple[int, ...]
    slow: tuple[int, ...] = ()


class JobProgress(msgspec.Struct, frozen=True):
    """Tell a job's host what the next leading host must know of its tasks."""

    job: str
    progress: Progress


class JobOffer(msgspec.Struct, frozen=True, tag="offer"):
    """Hand a job to the leading host; times in milliseconds, left or passed.

    `handed` counts earlier hand-overs, `progress` is what is known of its tasks.
    `fence` names the term to whose leading host it goes: in a later one the job
    counts as new unless it is handed over. `far` tells that it comes from another
    group. `attempt` counts the offers of the job. `zone` is the sender's;
    `all_zones` tells that an earlier leading host could run the job on upstreams of
    others too. `leader_at` is what the receiver's clock showed when this was sent,
    or less: by it an offer that arrives late is known. `outranked` tells that an
    earlier leading host had a higher fence.
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
    """Tell a job's host to offer it to the leading host of another group.

    `attempt` names the offer that this replies to.
    """

    job: str
    call: int
    attempt: int
    leader: str
    fence: int


class JobCancellation(msgspec.Struct, frozen=True, tag="drop"):
    """Tell the leading host that nobody waits for a job any more."""

    sender: str
    job: str
    call: int


class JobResult(msgspec.Struct, frozen=True, tag="answer"):
    """Tell a job's host how the job ended; `handed` tells which offer is answered."""

    job: str
    call: int
    handed: int
    outcome: JobOutcome


class ConfigurationUpdate(msgspec.Struct, frozen=True, tag="configuration"):
    """Pass a configuration on as it was published."""

    version: int
    document: bytes


class UpstreamListUpdate(msgspec.Struct, frozen=True, tag="upstreams"):
    """Pass the list of upstreams on; `age_s` is how old it is.

    `receiver_at` is what the receiver's clock showed when this was sent, or less.
    Nothing more may start in the zones that are `evacuated`.
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
    """Return the bytes of a message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> GroupMessage:
    """Return the message of bytes; raise `GroupMessageDecodeError`."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise GroupMessageDecodeError(str(error)) from error
