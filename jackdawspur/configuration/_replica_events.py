"""What happens to the keeper of the configuration, and what it asks for."""

from dataclasses import dataclass

from jackdawspur.configuration._budget import AppendPurpose
from jackdawspur.configuration._document import Configuration
from jackdawspur.configuration._reports import Skipped
from jackdawspur.external import LogRecord
from jackdawspur.messages import Heartbeat, RecordsPassed, RecordsWanted
from jackdawspur.model import ClusterSpec, HostId

__all__ = [
    "ActivateConfiguration",
    "AppendCompleted",
    "AppendRecord",
    "HeartbeatReceived",
    "LivePeersChanged",
    "LogReadFailed",
    "LogRecordsRead",
    "LogStartAdvanced",
    "ReadLog",
    "RecordsReceived",
    "RecordsRequested",
    "ReplicaEffect",
    "ReplicaEvent",
    "ReplicaTick",
    "ReportSkipped",
    "RequestRecords",
    "SendRecords",
]


@dataclass(frozen=True, slots=True)
class LogRecordsRead:
    """A read ended; without records the end of the log was reached."""

    records: tuple[LogRecord, ...]


@dataclass(frozen=True, slots=True)
class LogReadFailed:
    """A read failed."""

    message: str


@dataclass(frozen=True, slots=True)
class LogStartAdvanced:
    """A read found that the log now starts at `first`."""

    first: int


@dataclass(frozen=True, slots=True)
class RecordsRequested:
    """A peer wants records."""

    sender: HostId
    wanted: RecordsWanted


@dataclass(frozen=True, slots=True)
class RecordsReceived:
    """A peer passed records on."""

    sender: HostId
    passed: RecordsPassed


@dataclass(frozen=True, slots=True)
class LivePeersChanged:
    """The view names the peers that live, without this host."""

    live: tuple[HostId, ...]


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A heartbeat of a peer arrived."""

    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class AppendCompleted:
    """An append ended; `offset` None with `maybe_sent` means that it may stand."""

    record_id: str
    offset: int | None
    maybe_sent: bool = True


@dataclass(frozen=True, slots=True)
class ReplicaTick:
    """Time passed; `wall` in seconds since 1970, only for the age of snapshots."""

    wall: float


ReplicaEvent = (
    LogRecordsRead
    | LogReadFailed
    | LogStartAdvanced
    | RecordsRequested
    | RecordsReceived
    | LivePeersChanged
    | HeartbeatReceived
    | AppendCompleted
    | ReplicaTick
)


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read the stream from an offset; exactly one read is under way at a time."""

    offset: int
    wait_ms: float


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append a record to the stream and report `AppendCompleted` with its id."""

    purpose: AppendPurpose
    record_id: str
    body: str


@dataclass(frozen=True, slots=True)
class RequestRecords:
    """Ask a peer for records."""

    to: HostId
    wanted: RecordsWanted


@dataclass(frozen=True, slots=True)
class SendRecords:
    """Pass records on to a peer."""

    to: HostId
    passed: RecordsPassed


@dataclass(frozen=True, slots=True)
class ActivateConfiguration:
    """Put a newer version in force on this host."""

    cluster_spec: ClusterSpec
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ReportSkipped:
    """Tell the operators of a record that changed nothing."""

    skipped: Skipped


ReplicaEffect = (
    ReadLog
    | AppendRecord
    | RequestRecords
    | SendRecords
    | ActivateConfiguration
    | ReportSkipped
)
