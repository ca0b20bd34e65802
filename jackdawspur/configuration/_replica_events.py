"""What happens to the keeper of the configuration, and what it asks for."""

from dataclasses import dataclass

from jackdawspur.configuration._budget import Purpose
from jackdawspur.configuration._document import Configuration
from jackdawspur.configuration._reports import Skipped
from jackdawspur.external import LogRecord
from jackdawspur.messages import Heartbeat, RecordsPassed, RecordsWanted
from jackdawspur.model import HostId, World

__all__ = [
    "ActivateWorld",
    "AppendEnded",
    "AppendRecord",
    "AskRecords",
    "HeartbeatSeen",
    "KeeperEffect",
    "KeeperEvent",
    "KeeperTick",
    "LogCut",
    "LogFailed",
    "LogRead",
    "PeerAsked",
    "PeerRecords",
    "PeersSeen",
    "ReadLog",
    "ReportSkipped",
    "SendRecords",
]


@dataclass(frozen=True, slots=True)
class LogRead:
    """A read ended; without records the end of the log was reached."""

    records: tuple[LogRecord, ...]


@dataclass(frozen=True, slots=True)
class LogFailed:
    """A read failed."""

    message: str


@dataclass(frozen=True, slots=True)
class LogCut:
    """A read found that the log now starts at `first`."""

    first: int


@dataclass(frozen=True, slots=True)
class PeerAsked:
    """A peer wants records."""

    sender: HostId
    wanted: RecordsWanted


@dataclass(frozen=True, slots=True)
class PeerRecords:
    """A peer passed records on."""

    sender: HostId
    passed: RecordsPassed


@dataclass(frozen=True, slots=True)
class PeersSeen:
    """The view names the peers that live, without this host."""

    live: tuple[HostId, ...]


@dataclass(frozen=True, slots=True)
class HeartbeatSeen:
    """A heartbeat of a peer arrived."""

    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class AppendEnded:
    """An append ended; `offset` None with `sent` means that it may stand."""

    record: str
    offset: int | None
    sent: bool = True


@dataclass(frozen=True, slots=True)
class KeeperTick:
    """Time passed; `wall` in seconds since 1970, only for the age of snapshots."""

    wall: float


KeeperEvent = (
    LogRead
    | LogFailed
    | LogCut
    | PeerAsked
    | PeerRecords
    | PeersSeen
    | HeartbeatSeen
    | AppendEnded
    | KeeperTick
)


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read the stream from an offset; exactly one read is under way at a time."""

    offset: int
    wait_ms: float


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append a record to the stream and report `AppendEnded` with its id."""

    purpose: Purpose
    record: str
    body: str


@dataclass(frozen=True, slots=True)
class AskRecords:
    """Ask a peer for records."""

    to: HostId
    wanted: RecordsWanted


@dataclass(frozen=True, slots=True)
class SendRecords:
    """Pass records on to a peer."""

    to: HostId
    passed: RecordsPassed


@dataclass(frozen=True, slots=True)
class ActivateWorld:
    """Put a newer version in force on this host."""

    world: World
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ReportSkipped:
    """Tell the operators of a record that changed nothing."""

    skipped: Skipped


KeeperEffect = (
    ReadLog | AppendRecord | AskRecords | SendRecords | ActivateWorld | ReportSkipped
)
