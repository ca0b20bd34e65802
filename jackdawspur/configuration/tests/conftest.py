"""A log in memory and hosts that share it in virtual time."""

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
    """Keep records in memory; `trim` forgets the oldest."""

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
    """Run one keeper and its desk."""

    def __init__(self, cluster, identity):
        self.id = identity
        rng = random.Random(str(identity))
        self.keeper = ConfigurationReplica(
            identity, rng, AppendRateLimiter(6, cluster.now), cluster.now
        )
        self.bootstrap = OperatorEntry(
            name="bootstrap",
            token_sha256=(token_hash(BOOTSTRAP),),
            rights=(Right.VIEW, Right.PLAN, Right.CONFIRM),
        )
        self.desk = OperatorApi(self.keeper, [self.bootstrap])
        self.activated = []


class Cluster:
    """Step hosts through virtual time; faults are plain attributes."""

    def __init__(self, names, seed=1):
        self.now = 0.0
        self.log = MemoryLog()
        self.log_up = True
        self.no_log = set()
        self.cut = set()
        self.lose_replies = 0.0
        self.replies = {}
        self.audited = []
        self.incarnation = 0
        self.rng = random.Random(seed)
        self._todo = []
        self._calls = 0
        self.hosts = {}
        for name in names:
            self.start(name)

    def start(self, name):
        self.incarnation += 1
        zone, short = name.split(".")
        host = Host(self, HostId(zone, short, self.incarnation))
        self.hosts[name] = host
        return host

    def ask(self, name, kind, token, *args):
        """Send a request to a host's desk; return the number of the call."""
        self._calls += 1
        host = self.hosts[name]
        request = kind(self._calls, token, *args, WALL + self.now)
        self._run(host, host.desk.handle(self.now, request))
        return self._calls

    def answered(self, name, kind, token, *args, within=8.0):
        """Send a request, run until its reply and return that."""
        call = self.ask(name, kind, token, *args)
        end = self.now + within
        while call not in self.replies and self.now < end:
            self.run(STEP_S)
        return self.replies[call]

    def change(self, name, token, intent):
        """Plan and confirm; return the reply to the confirm."""
        plan = self.answered(name, PlanAsked, token, json.dumps(intent)).body
        return self.answered(name, ConfirmAsked, token, plan.id)

    def run(self, seconds):
        end = self.now + seconds - 1e-9
        while self.now < end:
            self.now += STEP_S
            todo, self._todo = self._todo, []
            for host, event in todo:
                self._feed(host, event)
            if round(self.now / STEP_S) % round(HEARTBEAT_S / STEP_S) == 0:
                self._beat()
            for host in self._running():
                self._feed(host, ReplicaTick(WALL + self.now))

    def versions(self):
        return {name: host.keeper.version for name, host in self.hosts.items()}

    def _running(self):
        return list(self.hosts.values())

    def _linked(self, a, b):
        return a is not b and frozenset((a.id.zone, b.id.zone)) not in self.cut

    def _beat(self):
        for host in self._running():
            peers = [peer for peer in self._running() if self._linked(host, peer)]
            self._feed(host, LivePeersChanged(tuple(peer.id for peer in peers)))
            for peer in peers:
                keeper = peer.keeper
                ready = keeper.readiness.ready
                heartbeat = Heartbeat(
                    peer.id, 0, ready, False, keeper.version, 0, 0, 0.0,
                    zones=keeper.zones.reports,
                )  # fmt: skip
                self._feed(host, HeartbeatReceived(heartbeat))

    def _feed(self, host, event):
        if host not in self.hosts.values():
            return
        self._run(host, host.keeper.handle(self.now, event))
        if isinstance(event, AppendCompleted):
            self._run(host, host.desk.on_append_completed(self.now, event))
        self._run(host, host.desk.resolve_pending(self.now))

    def _run(self, host, effects):
        for effect in effects:
            self._do(host, effect)

    def _do(self, host, effect):
        log_up = self.log_up and host.id.zone not in self.no_log
        match effect:
            case ReadLog(offset=offset):
                read = self.log.read(offset) if log_up else LogReadFailed("down")
                self._todo.append((host, read))
            case AppendRecord(record_id=record, body=body):
                ended = AppendCompleted(record, None, maybe_sent=False)
                if log_up:
                    offset = self.log.append(body)
                    lost = self.rng.random() < self.lose_replies
                    ended = AppendCompleted(record, None if lost else offset)
                self._todo.append((host, ended))
            case RequestRecords(to=to, wanted=wanted):
                self._pass(host, to, RecordsRequested(host.id, wanted))
            case SendRecords(to=to, passed=passed):
                self._pass(host, to, RecordsReceived(host.id, passed))
            case ActivateConfiguration(cluster_spec=world):
                host.activated.append(world.version)
            case OperatorReply(call=call):
                assert call not in self.replies, "answered twice"
                self.replies[call] = effect
            case WriteAuditEntry(entry=entry):
                self.audited.append(entry)

    def _pass(self, host, to, event):
        for peer in self._running():
            if peer.id == to and self._linked(host, peer):
                self._todo.append((peer, event))


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
    """Return an intent in the form of JSON."""
    intent = Intent(reason=reason, changes=tuple(changes), **more)
    return json.loads(TypeAdapter(Intent).dump_json(intent))


def quota_intent(document, slots, reason="more work"):
    """Return an intent that sets the first customer's quota."""
    customer = replace(document.customers[0], quota_slots=slots)
    wanted = replace(document, customers=(customer, *document.customers[1:]))
    return intent_of(changes_between(document, wanted), reason)
