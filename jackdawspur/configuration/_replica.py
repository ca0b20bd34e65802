"""Keep one host's configuration: read, pass on, snapshot, and tell readiness."""

import random
from functools import singledispatchmethod

from jackdawspur.configuration._budget import AppendPurpose, AppendRateLimiter
from jackdawspur.configuration._cluster_spec import rebuilt_world
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
from jackdawspur.configuration._snapshots import SnapshotTurns
from jackdawspur.configuration._state_machine import NOTHING, ConfigurationStateMachine
from jackdawspur.configuration._tail import WHOLE_STATE, Tail, build_snapshot, state_in
from jackdawspur.configuration._zones import ZoneReports
from jackdawspur.external import LogRecord
from jackdawspur.messages import RecordsWanted
from jackdawspur.model import ClusterSpec, HostId

__all__ = ["ConfigurationReplica"]

LONG_POLL_MS = 2000.0
# A log that answers empty reads at once must not be asked in a tight loop.
EMPTY_READ_GAP_S = 0.05
LOG_SLOW_S = 1.0
BACKOFF_FIRST_S = 0.2
BACKOFF_MAX_S = 5.0
ASK_TIMEOUT_S = 0.5
# Longer than a long poll's answer takes, so that a healthy log costs no pass-on.
BEHIND_S = 0.3
COLD_START_BOUND_S = 5.0


class ConfigurationReplica:
    """Decide for one run of a host; times in seconds of the monotonic clock."""

    def __init__(
        self, host: HostId, rng: random.Random, budget: AppendRateLimiter, now: float
    ) -> None:
        self.state_machine = ConfigurationStateMachine()
        self.zones = ZoneReports(host)
        self.budget = budget
        self.log_health = LogHealth.UNKNOWN
        self._host = host
        self._rng = rng
        self._started = now
        self._wall = 0.0
        self._tail = Tail()
        self._ready = False
        self._reason = ReadinessReason.READING_LOG
        self._caught_up = False
        self._active = NOTHING
        self._served = Configuration()
        self._world = ClusterSpec()
        self._reported = NOTHING
        self._reading_since: float | None = None
        self._read_wait_ms = 0.0
        self._next_read = now
        self._failures = 0
        self._live: tuple[HostId, ...] = ()
        self._heard: dict[HostId, int] = {}
        self._zones_heard: dict[str, int] = {}
        self._answered: set[HostId] = set()
        self._behind_since: float | None = None
        self._ask_until = now
        self._snapshots = SnapshotTurns(host)

    @property
    def readiness(self) -> Readiness:
        """Return whether this host's configuration is fit to serve."""
        return Readiness(self._ready, self._reason)

    @property
    def version(self) -> int:
        """Return the version in force on this host, for its heartbeats."""
        return self._active

    @property
    def caught_up(self) -> bool:
        """Tell whether the end of the log was reached since the start."""
        return self._caught_up

    def handle(self, now: float, event: ReplicaEvent) -> list[ReplicaEffect]:
        """Take one event; return what has to be done, in order."""
        effects = self._on(event, now)
        effects += self._activate(now)
        effects += self._read(now)
        effects += self._ask(now)
        return effects

    @singledispatchmethod
    def _on(self, event: ReplicaEvent, now: float) -> list[ReplicaEffect]:
        raise TypeError(f"not an event of the keeper: {event!r}")

    @_on.register
    def _on_read(self, event: LogRecordsRead, now: float) -> list[ReplicaEffect]:
        self._reading_since = None
        self._failures = 0
        self.log_health = LogHealth.UP
        self._next_read = now
        if not event.records:
            self._caught_up = True
            self._next_read = now + EMPTY_READ_GAP_S
        self._take(event.records)
        return []

    @_on.register
    def _on_failed(self, event: LogReadFailed, now: float) -> list[ReplicaEffect]:
        self._reading_since = None
        self.log_health = LogHealth.DOWN
        delay = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2**self._failures)
        # Jitter: else all hosts come back in the same moment after an outage.
        self._next_read = now + delay * self._rng.uniform(0.5, 1.0)
        self._failures = min(self._failures + 1, 16)
        return []

    @_on.register
    def _on_cut(self, event: LogStartAdvanced, now: float) -> list[ReplicaEffect]:
        self._reading_since = None
        self._next_read = now
        self.log_health = LogHealth.UP
        if event.first > self.state_machine.through + 1:
            self.state_machine.skip_to(event.first)
            self._tail.restart(event.first - 1)
        else:
            self._next_read = now + EMPTY_READ_GAP_S
        return []

    @_on.register
    def _on_asked(self, event: RecordsRequested, now: float) -> list[ReplicaEffect]:
        passed = self._tail.answer(event.wanted.after, self.state_machine, self._wall)
        return [SendRecords(event.sender, passed)]

    @_on.register
    def _on_passed(self, event: RecordsReceived, now: float) -> list[ReplicaEffect]:
        self._answered.add(event.sender)
        self._ask_until = now
        passed = event.passed
        if state := state_in(passed):
            if self.state_machine.take_state(state):
                self._tail.restart(self.state_machine.through)
        elif passed.after <= self.state_machine.through:
            self._take(passed.records)
        return []

    @_on.register
    def _on_view(self, event: LivePeersChanged, now: float) -> list[ReplicaEffect]:
        self._live = event.live
        alive = set(event.live)
        self._heard = {h: v for h, v in self._heard.items() if h in alive}
        self._answered &= alive
        return []

    @_on.register
    def _on_heartbeat(
        self, event: HeartbeatReceived, now: float
    ) -> list[ReplicaEffect]:
        heartbeat = event.heartbeat
        self._heard[heartbeat.host] = heartbeat.version
        for report in heartbeat.zones:
            known = self._zones_heard.get(report.zone, NOTHING)
            self._zones_heard[report.zone] = max(known, report.version)
        self.zones.note_heartbeat(heartbeat, now)
        return []

    @_on.register
    def _on_append(self, event: AppendCompleted, now: float) -> list[ReplicaEffect]:
        return []

    @_on.register
    def _on_tick(self, event: ReplicaTick, now: float) -> list[ReplicaEffect]:
        self._wall = event.wall
        waited = now - (now if self._reading_since is None else self._reading_since)
        if waited > self._read_wait_ms / 1000 + LOG_SLOW_S:
            self.log_health = LogHealth.SLOW
        return self._snapshot(now)

    def _take(self, records: tuple[LogRecord, ...]) -> None:
        fresh = [r for r in records if r.offset > self.state_machine.through]
        self.state_machine.apply_records(fresh)
        self._tail.extend(fresh)

    def _activate(self, now: float) -> list[ReplicaEffect]:
        fold = self.state_machine
        effects: list[ReplicaEffect] = [
            ReportSkipped(s) for s in fold.skipped if s.offset > self._reported
        ]
        self._reported = max((s.offset for s in fold.skipped), default=self._reported)
        if not self._ready:
            self._reason = self._obstacle(now)
            self._ready = self._reason is ReadinessReason.READY
        # While cold, nothing is put in force that a newer version replaces at once.
        if self._ready and fold.version > self._active:
            self._active = fold.version
            self.zones.note_version(fold.version, now)
            before, self._served = self._served, fold.configuration
            self._world = rebuilt_world(
                before, self._world, fold.configuration, fold.version
            )
            effects.append(ActivateConfiguration(self._world, fold.configuration))
        self.zones.settle(self._live, self._active if self._ready else None, now)
        return effects

    def _obstacle(self, now: float) -> ReadinessReason:
        log_up = self.log_health is LogHealth.UP
        known = self.state_machine.version != NOTHING
        if self._caught_up and log_up and self.state_machine.contiguous:
            if self.state_machine.head == NOTHING:
                return ReadinessReason.NO_CONFIGURATION
            return ReadinessReason.READY if known else ReadinessReason.NEWER_SCHEMA
        if self.log_health is LogHealth.UNKNOWN or (log_up and not self._caught_up):
            return ReadinessReason.READING_LOG
        waited_out = now - self._started >= COLD_START_BOUND_S
        if not known:
            return self._nothing_known(waited_out)
        if waited_out or not self._live:
            return ReadinessReason.READY
        if max(map(self._heard_of, self._live)) > self.state_machine.version:
            return ReadinessReason.BEHIND_PEERS
        # Far hosts aren't all heard directly; siblings and relays tell of their zones.
        siblings = {host for host in self._live if host.zone == self._host.zone}
        unheard = siblings - self._heard.keys() - self._answered
        return ReadinessReason.ASKING_PEERS if unheard else ReadinessReason.READY

    def _nothing_known(self, waited_out: bool) -> ReadinessReason:
        if self._live and not waited_out:
            return ReadinessReason.ASKING_PEERS
        if self.log_health is LogHealth.UP:
            return ReadinessReason.LOG_TRIMMED
        return ReadinessReason.LOG_UNREACHABLE

    def _read(self, now: float) -> list[ReplicaEffect]:
        if self._reading_since is not None or now < self._next_read:
            return []
        self._reading_since = now
        self._read_wait_ms = LONG_POLL_MS if self._caught_up else 0.0
        return [ReadLog(self.state_machine.through + 1, self._read_wait_ms)]

    def _ask(self, now: float) -> list[ReplicaEffect]:
        wanted = self._wanted_peers(now)
        if not wanted or now < self._ask_until:
            return []
        self._ask_until = now + ASK_TIMEOUT_S
        after = (
            self.state_machine.through if self.state_machine.contiguous else WHOLE_STATE
        )
        return [RequestRecords(self._rng.choice(wanted), RecordsWanted(after))]

    def _wanted_peers(self, now: float) -> list[HostId]:
        newer = [h for h in self._live if self._heard_of(h) > self._seen]
        log_up = self.log_health is LogHealth.UP
        if not newer:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        if newer and (not log_up or now - self._behind_since >= BEHIND_S):
            return newer
        stuck = log_up and self._caught_up and not self.state_machine.contiguous
        cold = not self._ready and self.log_health in (LogHealth.SLOW, LogHealth.DOWN)
        if stuck or cold:
            # Those that haven't answered yet come first; all may have to be heard.
            return [h for h in self._live if h not in self._answered] or newer
        return []

    def _heard_of(self, host: HostId) -> int:
        # A zone's report counts for each of its hosts: all ready ones have it.
        of_zone = self._zones_heard.get(host.zone, NOTHING)
        return max(self._heard.get(host, NOTHING), of_zone)

    @property
    def _seen(self) -> int:
        # A version followed but not readable here needs no asking for.
        return max(self.state_machine.version, self.state_machine.head)

    def _snapshot(self, now: float) -> list[ReplicaEffect]:
        fold = self.state_machine
        sure = fold.contiguous and fold.head == fold.version != NOTHING
        able = sure and self._ready and self.log_health is LogHealth.UP
        if not self._snapshots.due(fold, able, self._live, self._wall, now):
            return []
        if not self.budget.try_acquire(AppendPurpose.SNAPSHOT, now):
            return []
        record = build_snapshot(fold, self._wall)
        return [AppendRecord(AppendPurpose.SNAPSHOT, record.id, encode_record(record))]
