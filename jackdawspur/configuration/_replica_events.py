"""Events that the configuration replica processes and effects that it returns."""

from dataclasses import dataclass

from jackdawspur.configuration._append_rate_limiter import AppendPurpose
from jackdawspur.configuration._document import Configuration
from jackdawspur.configuration._reports import SkippedRecord
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
    """A read completed; no records means that the end of the log was reached."""

    records: tuple[LogRecord, ...]


@dataclass(frozen=True, slots=True)
class LogReadFailed:
    """A read failed."""

    message: str


@dataclass(frozen=True, slots=True)
class LogStartAdvanced:
    """A read found that the log was trimmed and now starts at `first`."""

    first: int


@dataclass(frozen=True, slots=True)
class RecordsRequested:
    """A peer requested records."""

    sender: HostId
    wanted: RecordsWanted


@dataclass(frozen=True, slots=True)
class RecordsReceived:
    """A peer sent records."""

    sender: HostId
    passed: RecordsPassed


@dataclass(frozen=True, slots=True)
class LivePeersChanged:
    """The live peers in the membership view, without this host."""

    live: tuple[HostId, ...]


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A heartbeat of a peer arrived."""

    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class AppendCompleted:
    """An append completed; `offset` is None if it failed or its outcome is unknown.

    With `maybe_sent`, the record may be in the log although no reply arrived.
    """

    record_id: str
    offset: int | None
    maybe_sent: bool = True


@dataclass(frozen=True, slots=True)
class ReplicaTick:
    """Periodic tick; `wall` in seconds since 1970, only for the age of snapshots."""

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
    """Read the stream from an offset; only one read is in flight at a time."""

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
    """Request records from a peer."""

    to: HostId
    wanted: RecordsWanted


@dataclass(frozen=True, slots=True)
class SendRecords:
    """Send records to a peer."""

    to: HostId
    passed: RecordsPassed


@dataclass(frozen=True, slots=True)
class ActivateConfiguration:
    """Put a newer version into force on this host."""

    cluster_spec: ClusterSpec
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ReportSkipped:
    """Report a skipped record to the operators."""

    skipped: SkippedRecord


ReplicaEffect = (
    ReadLog
    | AppendRecord
    | RequestRecords
    | SendRecords
    | ActivateConfiguration
    | ReportSkipped
)
