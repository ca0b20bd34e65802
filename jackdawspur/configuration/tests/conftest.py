"""An in-memory log and hosts that share it, in virtual time."""

import json
import random
from dataclasses import dataclass, field, replace
from pathlib import Path

import pytest
from pydantic import TypeAdapter

from jackdawspur.configuration import (
    ActivateConfiguration,
    AppendCompleted,
    AppendRateLimiter,
    AppendRecord,
    Configuration,
    ConfigurationReplica,
    ConfirmAsked,
    HeartbeatReceived,
    Intent,
    LivePeersChanged,
    LogReadFailed,
    LogRecordsRead,
    LogStartAdvanced,
    OperatorApi,
    OperatorEntry,
    OperatorReply,
    PlanAsked,
    ReadLog,
    RecordsReceived,
    RecordsRequested,
    ReplicaTick,
    RequestRecords,
    Right,
    SendRecords,
    WriteAuditEntry,
    changes_between,
    load_configuration,
    token_hash,
)
from jackdawspur.external import LogRecord
from jackdawspur.messages import Heartbeat
from jackdawspur.model import HostId

EXAMPLES = Path(__file__).parents[3] / "examples"
STEP_S = 0.05
HEARTBEAT_S = 0.25
WALL = 1_800_000_000.0
BOOTSTRAP = "example-bootstrap-token"


@dataclass
class MemoryLog:
    """Log that keeps its records in memory; `trim` removes the oldest."""

    records: list[LogRecord] = field(default_factory=list)
    next_offset: int = 0
    first: int = 0

    def append(self, body):
        self.records.append(LogRecord(self.next_offset, body))
        self.next_offset += 1
        return self.next_offset - 1

    def trim(self, first):
        self.first = first
        self.records = [r for r in self.records if r.offset >= first]

    def read(self, offset):
        if offset < self.first:
            return LogStartAdvanced(self.first)
        return LogRecordsRead(tuple(r for r in self.records if r.offset >= offset)[:50])


class Host:
    """One host with its configuration replica and operator API."""

    def __init__(self, cluster, identity):
        self.id = identity
        rng = random.Random(str(identity))
        self.replica = ConfigurationReplica(
            identity, rng, AppendRateLimiter(6, cluster.now), cluster.now
        )
        self.bootstrap = OperatorEntry(
            name="bootstrap",
            token_sha256=(token_hash(BOOTSTRAP),),
            rights=(Right.VIEW, Right.PLAN, Right.CONFIRM),
        )
        self.operator_api = OperatorApi(self.replica, [self.bootstrap])
        self.activated = []


class Cluster:
    """Hosts that run in virtual time; tests inject faults by setting attributes."""

    def __init__(self, names, seed=1):
        self.now = 0.0
        self.log = MemoryLog()
        self.log_up = True
        self.zones_without_log = set()
        self.partitioned = set()
        self.lose_replies = 0.0
        self.replies = {}
        self.audited = []
        self.incarnation = 0
        self.rng = random.Random(seed)
        self._queue = []
        self._calls = 0
        self.hosts = {}
        for name in names:
            self.start(name)

    def start(self, name):
        self.incarnation += 1
        zone, host_name = name.split(".")
        host = Host(self, HostId(zone, host_name, self.incarnation))
        self.hosts[name] = host
        return host

    def send_request(self, name, kind, token, *args):
        """Send a request to a host; return the number of the call."""
        self._calls += 1
        host = self.hosts[name]
        request = kind(self._calls, token, *args, WALL + self.now)
        self._execute_all(host, host.operator_api.handle(self.now, request))
        return self._calls

    def request_reply(self, name, kind, token, *args, within=8.0):
        """Send a request, run until its reply and return the reply."""
        call = self.send_request(name, kind, token, *args)
        end = self.now + within
        while call not in self.replies and self.now < end:
            self.run(STEP_S)
        return self.replies[call]

    def change(self, name, token, intent):
        """Plan and confirm an intent; return the reply to the confirm."""
        plan = self.request_reply(name, PlanAsked, token, json.dumps(intent)).body
        return self.request_reply(name, ConfirmAsked, token, plan.id)

    def run(self, seconds):
        end = self.now + seconds - 1e-9
        while self.now < end:
            self.now += STEP_S
            queued, self._queue = self._queue, []
            for host, event in queued:
                self._handle(host, event)
            if round(self.now / STEP_S) % round(HEARTBEAT_S / STEP_S) == 0:
                self._send_heartbeats()
            for host in self._running_hosts():
                self._handle(host, ReplicaTick(WALL + self.now))

    def versions(self):
        return {name: host.replica.version for name, host in self.hosts.items()}

    def _running_hosts(self):
        return list(self.hosts.values())

    def _connected(self, a, b):
        return a is not b and frozenset((a.id.zone, b.id.zone)) not in self.partitioned

    def _send_heartbeats(self):
        for host in self._running_hosts():
            peers = [
                peer for peer in self._running_hosts() if self._connected(host, peer)
            ]
            self._handle(host, LivePeersChanged(tuple(peer.id for peer in peers)))
            for peer in peers:
                replica = peer.replica
                ready = replica.readiness.ready
                heartbeat = Heartbeat(
                    peer.id, 0, ready, False, replica.version, 0, 0, 0.0,
                    zones=replica.zones.reports,
                )  # fmt: skip
                self._handle(host, HeartbeatReceived(heartbeat))

    def _handle(self, host, event):
        if host not in self.hosts.values():
            return
        self._execute_all(host, host.replica.handle(self.now, event))
        if isinstance(event, AppendCompleted):
            self._execute_all(
                host, host.operator_api.on_append_completed(self.now, event)
            )
        self._execute_all(host, host.operator_api.resolve_pending(self.now))

    def _execute_all(self, host, effects):
        for effect in effects:
            self._execute(host, effect)

    def _execute(self, host, effect):
        log_up = self.log_up and host.id.zone not in self.zones_without_log
        match effect:
            case ReadLog(offset=offset):
                read = self.log.read(offset) if log_up else LogReadFailed("down")
                self._queue.append((host, read))
            case AppendRecord(record_id=record_id, body=body):
                completed = AppendCompleted(record_id, None, maybe_sent=False)
                if log_up:
                    offset = self.log.append(body)
                    lost = self.rng.random() < self.lose_replies
                    completed = AppendCompleted(record_id, None if lost else offset)
                self._queue.append((host, completed))
            case RequestRecords(to=to, wanted=wanted):
                self._deliver(host, to, RecordsRequested(host.id, wanted))
            case SendRecords(to=to, passed=passed):
                self._deliver(host, to, RecordsReceived(host.id, passed))
            case ActivateConfiguration(cluster_spec=cluster_spec):
                host.activated.append(cluster_spec.version)
            case OperatorReply(call=call):
                assert call not in self.replies, "answered twice"
                self.replies[call] = effect
            case WriteAuditEntry(entry=entry):
                self.audited.append(entry)

    def _deliver(self, host, to, event):
        for peer in self._running_hosts():
            if peer.id == to and self._connected(host, peer):
                self._queue.append((peer, event))


@pytest.fixture
def document():
    return load_configuration((EXAMPLES / "ramdenee.json").read_bytes())


@pytest.fixture
def cluster(document):
    """Return six hosts in three zones with the example configuration in force."""
    names = [f"{host.zone}.{host.name}" for host in document.entry_hosts]
    cluster = Cluster(names)
    cluster.run(0.5)
    changes = changes_between(Configuration(), document)
    reply = cluster.change(names[0], BOOTSTRAP, intent_of(changes, "first"))
    assert reply.status == 200, reply
    cluster.run(1.0)
    return cluster


def intent_of(changes, reason, **more):
    """Return an intent as decoded JSON."""
    intent = Intent(reason=reason, changes=tuple(changes), **more)
    return json.loads(TypeAdapter(Intent).dump_json(intent))


def quota_intent(document, slots, reason="more work"):
    """Return an intent that sets the first customer's quota."""
    customer = replace(document.customers[0], quota_slots=slots)
    wanted = replace(document, customers=(customer, *document.customers[1:]))
    return intent_of(changes_between(document, wanted), reason)
