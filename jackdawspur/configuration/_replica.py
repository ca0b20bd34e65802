"""Replica of the configuration on one host, kept up to date from log and peers."""

import random
from functools import singledispatchmethod

from jackdawspur.configuration._append_rate_limiter import (
    AppendPurpose,
    AppendRateLimiter,
)
from jackdawspur.configuration._cluster_spec import update_cluster_spec
from jackdawspur.configuration._document import Configuration
from jackdawspur.configuration._readiness import LogHealth, Readiness, ReadinessReason
from jackdawspur.configuration._records import encode_record
from jackdawspur.configuration._replica_events import (
    ActivateConfiguration,
    AppendCompleted,
    AppendRecord,
    HeartbeatReceived,
    LivePeersChanged,
    LogReadFailed,
    LogRecordsRead,
    LogStartAdvanced,
    ReadLog,
    RecordsReceived,
    RecordsRequested,
    ReplicaEffect,
    ReplicaEvent,
    ReplicaTick,
    ReportSkipped,
    RequestRecords,
    SendRecords,
)
from jackdawspur.configuration._snapshots import SnapshotScheduler
from jackdawspur.configuration._state_machine import (
    NO_VERSION,
    ConfigurationStateMachine,
)
from jackdawspur.configuration._tail import (
    FULL_STATE,
    Tail,
    build_snapshot,
    extract_state,
)
from jackdawspur.configuration._zones import ZoneVersionTracker
from jackdawspur.external import LogRecord
from jackdawspur.messages import RecordsWanted
from jackdawspur.model import ClusterSpec, HostId

__all__ = ["ConfigurationReplica"]

LONG_POLL_MS = 2000.0
# Prevents a tight loop if the log answers an empty read before the wait has passed.
EMPTY_READ_GAP_S = 0.05
# The log counts as slow if a read takes longer than its wait by more than this.
LOG_SLOW_S = 1.0
BASE_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
REQUEST_TIMEOUT_S = 0.5
# Longer than a long poll takes to answer, so that no records are requested from
# peers while the log is healthy.
BEHIND_GRACE_S = 0.3
# How long a host that can't read the log to its end waits for answers of its peers.
COLD_START_TIMEOUT_S = 5.0


class ConfigurationReplica:
    """Core logic of the configuration replica of one host, without I/O.

    It serves one incarnation of the host. Times are in seconds of the monotonic clock.
    """

    def __init__(
        self,
        host: HostId,
        rng: random.Random,
        rate_limiter: AppendRateLimiter,
        now: float,
    ) -> None:
        self.state_machine = ConfigurationStateMachine()
        self.zones = ZoneVersionTracker(host)
        self.rate_limiter = rate_limiter
        self.log_health = LogHealth.UNKNOWN
        self._host = host
        self._rng = rng
        self._started_at = now
        self._wall_time = 0.0
        self._tail = Tail()
        self._ready = False
        self._reason = ReadinessReason.READING_LOG
        self._caught_up = False
        self._active_version = NO_VERSION
        self._active_configuration = Configuration()
        self._cluster_spec = ClusterSpec()
        self._reported_offset = NO_VERSION
        self._reading_since: float | None = None
        self._read_wait_ms = 0.0
        self._next_read_at = now
        self._failures = 0
        self._live_peers: tuple[HostId, ...] = ()
        self._peer_versions: dict[HostId, int] = {}
        self._zone_versions: dict[str, int] = {}
        self._answered_peers: set[HostId] = set()
        self._behind_since: float | None = None
        self._next_request_at = now
        self._snapshots = SnapshotScheduler(host)

    @property
    def readiness(self) -> Readiness:
        """Return whether this host's configuration can be served, and why not."""
        return Readiness(self._ready, self._reason)

    @property
    def version(self) -> int:
        """Return the version in force on this host, as sent in heartbeats."""
        return self._active_version

    @property
    def caught_up(self) -> bool:
        """Return whether the end of the log has been reached since the start."""
        return self._caught_up

    def handle(self, now: float, event: ReplicaEvent) -> list[ReplicaEffect]:
        """Process one event; return the effects to carry out, in order."""
        effects = self._on(event, now)
        effects += self._activate(now)
        effects += self._read(now)
        effects += self._request_records(now)
        return effects

    @singledispatchmethod
    def _on(self, event: ReplicaEvent, now: float) -> list[ReplicaEffect]:
        raise TypeError(f"not a replica event: {event!r}")

    @_on.register
    def _on_read(self, event: LogRecordsRead, now: float) -> list[ReplicaEffect]:
        self._reading_since = None
        self._failures = 0
        self.log_health = LogHealth.UP
        self._next_read_at = now
        if not event.records:
            self._caught_up = True
            self._next_read_at = now + EMPTY_READ_GAP_S
        self._apply_records(event.records)
        return []

    @_on.register
    def _on_read_failed(self, event: LogReadFailed, now: float) -> list[ReplicaEffect]:
        self._reading_since = None
        self.log_health = LogHealth.DOWN
        delay = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2**self._failures)
        # Jitter prevents all hosts from retrying at the same moment after an outage.
        self._next_read_at = now + delay * self._rng.uniform(0.5, 1.0)
        self._failures = min(self._failures + 1, 16)
        return []

    @_on.register
    def _on_log_start_advanced(
        self, event: LogStartAdvanced, now: float
    ) -> list[ReplicaEffect]:
        self._reading_since = None
        self._next_read_at = now
        self.log_health = LogHealth.UP
        if event.first > self.state_machine.through + 1:
            self.state_machine.skip_to(event.first)
            self._tail.reset(event.first - 1)
        else:
            self._next_read_at = now + EMPTY_READ_GAP_S
        return []

    @_on.register
    def _on_records_requested(
        self, event: RecordsRequested, now: float
    ) -> list[ReplicaEffect]:
        passed = self._tail.records_after(
            event.wanted.after, self.state_machine, self._wall_time
        )
        return [SendRecords(event.sender, passed)]

    @_on.register
    def _on_records_received(
        self, event: RecordsReceived, now: float
    ) -> list[ReplicaEffect]:
        self._answered_peers.add(event.sender)
        self._next_request_at = now
        passed = event.passed
        if state := extract_state(passed):
            if self.state_machine.install_state(state):
                self._tail.reset(self.state_machine.through)
        elif passed.after <= self.state_machine.through:
            self._apply_records(passed.records)
        return []

    @_on.register
    def _on_live_peers_changed(
        self, event: LivePeersChanged, now: float
    ) -> list[ReplicaEffect]:
        self._live_peers = event.live
        alive = set(event.live)
        self._peer_versions = {
            h: v for h, v in self._peer_versions.items() if h in alive
        }
        self._answered_peers &= alive
        return []

    @_on.register
    def _on_heartbeat_received(
        self, event: HeartbeatReceived, now: float
    ) -> list[ReplicaEffect]:
        heartbeat = event.heartbeat
        self._peer_versions[heartbeat.host] = heartbeat.version
        for report in heartbeat.zones:
            known = self._zone_versions.get(report.zone, NO_VERSION)
            self._zone_versions[report.zone] = max(known, report.version)
        self.zones.record_heartbeat(heartbeat, now)
        return []

    @_on.register
    def _on_append_completed(
        self, event: AppendCompleted, now: float
    ) -> list[ReplicaEffect]:
        return []

    @_on.register
    def _on_tick(self, event: ReplicaTick, now: float) -> list[ReplicaEffect]:
        self._wall_time = event.wall
        waited = now - (now if self._reading_since is None else self._reading_since)
        if waited > self._read_wait_ms / 1000 + LOG_SLOW_S:
            self.log_health = LogHealth.SLOW
        return self._snapshot(now)

    def _apply_records(self, records: tuple[LogRecord, ...]) -> None:
        new_records = [r for r in records if r.offset > self.state_machine.through]
        self.state_machine.apply_records(new_records)
        self._tail.extend(new_records)

    def _activate(self, now: float) -> list[ReplicaEffect]:
        state_machine = self.state_machine
        effects: list[ReplicaEffect] = [
            ReportSkipped(s)
            for s in state_machine.skipped
            if s.offset > self._reported_offset
        ]
        self._reported_offset = max(
            (s.offset for s in state_machine.skipped), default=self._reported_offset
        )
        if not self._ready:
            self._reason = self._readiness_reason(now)
            self._ready = self._reason is ReadinessReason.READY
        # No version is activated before readiness, as a newer one could replace it at
        # once.
        if self._ready and state_machine.version > self._active_version:
            self._active_version = state_machine.version
            self.zones.record_version(state_machine.version, now)
            before, self._active_configuration = (
                self._active_configuration,
                state_machine.configuration,
            )
            self._cluster_spec = update_cluster_spec(
                before,
                self._cluster_spec,
                state_machine.configuration,
                state_machine.version,
            )
            effects.append(
                ActivateConfiguration(self._cluster_spec, state_machine.configuration)
            )
        self.zones.update_local_zone(
            self._live_peers, self._active_version if self._ready else None, now
        )
        return effects

    def _readiness_reason(self, now: float) -> ReadinessReason:
        log_up = self.log_health is LogHealth.UP
        has_version = self.state_machine.version != NO_VERSION
        if self._caught_up and log_up and self.state_machine.contiguous:
            if self.state_machine.head == NO_VERSION:
                return ReadinessReason.NO_CONFIGURATION
            return (
                ReadinessReason.READY if has_version else ReadinessReason.NEWER_SCHEMA
            )
        if self.log_health is LogHealth.UNKNOWN or (log_up and not self._caught_up):
            return ReadinessReason.READING_LOG
        timed_out = now - self._started_at >= COLD_START_TIMEOUT_S
        if not has_version:
            return self._reason_without_state(timed_out)
        if timed_out or not self._live_peers:
            return ReadinessReason.READY
        if (
            max(map(self._reported_version, self._live_peers))
            > self.state_machine.version
        ):
            return ReadinessReason.BEHIND_PEERS
        # Not every host of another zone sends heartbeats to this one. Peers in the same
        # zone and relays report the versions of those zones.
        zone_peers = {host for host in self._live_peers if host.zone == self._host.zone}
        unknown = zone_peers - self._peer_versions.keys() - self._answered_peers
        return ReadinessReason.ASKING_PEERS if unknown else ReadinessReason.READY

    def _reason_without_state(self, timed_out: bool) -> ReadinessReason:
        if self._live_peers and not timed_out:
            return ReadinessReason.ASKING_PEERS
        if self.log_health is LogHealth.UP:
            return ReadinessReason.LOG_TRIMMED
        return ReadinessReason.LOG_UNREACHABLE

    def _read(self, now: float) -> list[ReplicaEffect]:
        if self._reading_since is not None or now < self._next_read_at:
            return []
        self._reading_since = now
        self._read_wait_ms = LONG_POLL_MS if self._caught_up else 0.0
        return [ReadLog(self.state_machine.through + 1, self._read_wait_ms)]

    def _request_records(self, now: float) -> list[ReplicaEffect]:
        peers = self._select_peers(now)
        if not peers or now < self._next_request_at:
            return []
        self._next_request_at = now + REQUEST_TIMEOUT_S
        after = (
            self.state_machine.through if self.state_machine.contiguous else FULL_STATE
        )
        return [RequestRecords(self._rng.choice(peers), RecordsWanted(after))]

    def _select_peers(self, now: float) -> list[HostId]:
        newer = [
            h
            for h in self._live_peers
            if self._reported_version(h) > self._known_version
        ]
        log_up = self.log_health is LogHealth.UP
        if not newer:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        if newer and (not log_up or now - self._behind_since >= BEHIND_GRACE_S):
            return newer
        has_gap = log_up and self._caught_up and not self.state_machine.contiguous
        lacks_log = not self._ready and self.log_health in (
            LogHealth.SLOW,
            LogHealth.DOWN,
        )
        if has_gap or lacks_log:
            # Prefer peers that haven't answered yet, as readiness may need all answers.
            return [
                h for h in self._live_peers if h not in self._answered_peers
            ] or newer
        return []

    def _reported_version(self, host: HostId) -> int:
        # A zone's reported version applies to each of its hosts: all ready ones have
        # it.
        zone_version = self._zone_versions.get(host.zone, NO_VERSION)
        return max(self._peer_versions.get(host, NO_VERSION), zone_version)

    @property
    def _known_version(self) -> int:
        # The head may be a version that this program can't decode; requesting its
        # records from a peer is useless.
        return max(self.state_machine.version, self.state_machine.head)

    def _snapshot(self, now: float) -> list[ReplicaEffect]:
        state_machine = self.state_machine
        is_current = (
            state_machine.contiguous
            and state_machine.head == state_machine.version != NO_VERSION
        )
        can_write = is_current and self._ready and self.log_health is LogHealth.UP
        if not self._snapshots.due(
            state_machine, can_write, self._live_peers, self._wall_time, now
        ):
            return []
        if not self.rate_limiter.try_acquire(AppendPurpose.SNAPSHOT, now):
            return []
        record = build_snapshot(state_machine, self._wall_time)
        return [AppendRecord(AppendPurpose.SNAPSHOT, record.id, encode_record(record))]
