"""One keeper's decisions where the order of events matters."""

import json
import random

import pytest

from jackdawspur.configuration import (
    ActivateConfiguration,
    AppendPurpose,
    AppendRateLimiter,
    ConfigurationReplica,
    HeartbeatReceived,
    LivePeersChanged,
    LogReadFailed,
    LogRecordsRead,
    PlanAsked,
    ReadinessReason,
    ReadLog,
    RecordsReceived,
    RecordsRequested,
    ReplicaTick,
    RequestRecords,
    SendRecords,
    ZoneReports,
    appends_a_day,
)
from jackdawspur.configuration.tests.conftest import quota_intent
from jackdawspur.messages import Heartbeat, RecordsPassed, RecordsWanted, ZoneStatus
from jackdawspur.model import HostId

ANN = "example-ann-token"
SELF = HostId("north-a", "e1", 9)
SIBLING = HostId("north-a", "e2", 1)
OTHER = HostId("north-b", "e1", 1)


def heartbeat(host, version, ready=True, zones=()):
    return Heartbeat(host, 0, ready, False, version, 0, 0, 0.0, zones=zones)


@pytest.fixture
def keeper():
    return ConfigurationReplica(SELF, random.Random(1), AppendRateLimiter(6, 0.0), 0.0)


@pytest.mark.parametrize("relayed", [False, True])
def test_lagging_peers_answer_does_not_make_ready(cluster, document, keeper, relayed):
    """The log is down at a cold start; a lagging peer's copy arrives first.

    Serving it would take this host back behind what its zone already has in force.
    It waits for the version that it heard of, from a host or in a relay's report.
    """
    old = tuple(cluster.log.records)
    version = cluster.change(
        "north-a.e1", ANN, quota_intent(document, 100)
    ).body.version
    keeper.handle(0.0, LogReadFailed("down"))
    far = HostId("north-c", "e1", 1)
    keeper.handle(0.1, LivePeersChanged((SIBLING, OTHER, far)))
    zones = (ZoneStatus("north-c", version),) if relayed else ()
    keeper.handle(0.1, HeartbeatReceived(heartbeat(OTHER, old[-1].offset, zones=zones)))
    own = old[-1].offset if relayed else version
    keeper.handle(0.1, HeartbeatReceived(heartbeat(SIBLING, own)))
    effects = keeper.handle(0.2, RecordsReceived(OTHER, RecordsPassed(old)))
    assert keeper.readiness.reason is ReadinessReason.BEHIND_PEERS
    assert not any(isinstance(effect, ActivateConfiguration) for effect in effects)
    new = tuple(cluster.log.records[len(old) :])
    effects = keeper.handle(
        0.3, RecordsReceived(SIBLING, RecordsPassed(new, old[-1].offset))
    )
    activated = [
        e.cluster_spec.version for e in effects if isinstance(e, ActivateConfiguration)
    ]
    assert activated == [version]


def test_far_zone_is_asked_when_only_its_relay_tells(keeper):
    """A zone lost the log; a relay's report says that another zone is ahead.

    No host of that zone is heard directly. The records can be had from any of its
    hosts, and the far hosts that stay silent must not hold up a cold start.
    """
    far = HostId("north-c", "e1", 1)
    keeper.handle(0.0, LogReadFailed("down"))
    keeper.handle(0.1, LivePeersChanged((SIBLING, far)))
    ahead = heartbeat(SIBLING, 3, zones=(ZoneStatus("north-c", 9),))
    effects = keeper.handle(0.7, HeartbeatReceived(ahead))
    asked = [e.to for e in effects if isinstance(e, RequestRecords)]
    for step in range(20):
        effects = keeper.handle(1.0 + step, ReplicaTick(0.0))
        asked += [e.to for e in effects if isinstance(e, RequestRecords)]
    assert far in asked


def test_returning_host_bridges_a_trimmed_log(cluster, document):
    """A host is cut off while the log is trimmed without a new snapshot.

    Nothing was confirmed meanwhile, so its version is still right; but it can't
    know that, and must not judge the next confirm before a peer covers the gap.
    """
    away = cluster.hosts.pop("north-c.e1")
    for slots in range(40, 44):
        intent = quota_intent(document, slots)
        cluster.answered("north-a.e1", PlanAsked, ANN, json.dumps(intent))
    cluster.log.trim(cluster.log.next_offset)
    cluster.hosts["north-c.e1"] = away
    away.keeper.handle(cluster.now, LogReadFailed("paused"))
    cluster.run(3.0)
    assert away.keeper.state_machine.contiguous
    version = cluster.change(
        "north-a.e1", ANN, quota_intent(document, 100)
    ).body.version
    cluster.run(1.0)
    assert away.keeper.version == version


def test_late_answers_of_peers_cost_nothing(cluster, document, keeper):
    """Answers of peers come late, twice, or for a place that this host isn't at.

    A batch that starts further on would leave a gap; a state that ends one record
    further on must bring that record's change with it.
    """
    version = cluster.change(
        "north-a.e1", ANN, quota_intent(document, 100)
    ).body.version
    records = tuple(r for r in cluster.log.records if r.offset <= version)
    keeper.handle(0.0, LogRecordsRead(records[:-1]))
    ahead = RecordsPassed(records[-1:], version + 3)
    keeper.handle(0.1, RecordsReceived(OTHER, ahead))
    assert keeper.state_machine.through == version - 1
    sender = cluster.hosts["north-b.e1"].keeper
    [state, *_] = sender.handle(cluster.now, RecordsRequested(SELF, RecordsWanted(-2)))
    for _ in range(2):
        keeper.handle(0.2, RecordsReceived(OTHER, state.passed))
    assert keeper.state_machine.version == version and keeper.state_machine.contiguous
    assert keeper.state_machine.configuration == sender.state_machine.configuration


def test_failed_reads_back_off_with_jitter(keeper):
    """The log is down for a minute; reads must become rare and not march in step."""
    reads = []
    for step in range(1200):
        now = step / 20
        if any(isinstance(e, ReadLog) for e in keeper.handle(now, ReplicaTick(0.0))):
            reads.append(now)
            keeper.handle(now, LogReadFailed("down"))
    assert 12 <= len(reads) <= 30
    gaps = [b - a for a, b in zip(reads, reads[1:], strict=False)]
    assert max(gaps) <= 5.1
    assert len({round(gap, 2) for gap in gaps[-6:]}) > 2


def test_unanswered_peers_are_asked_in_turn(keeper):
    keeper.handle(0.0, LogReadFailed("down"))
    asked = set()
    for step in range(1, 60):
        now = step / 10
        effects = keeper.handle(now, LivePeersChanged((SIBLING, OTHER)))
        for effect in (*effects, *keeper.handle(now, ReplicaTick(0.0))):
            if isinstance(effect, RequestRecords):
                asked.add(effect.to)
                keeper.handle(now, RecordsReceived(effect.to, RecordsPassed((), -1)))
    assert asked == {SIBLING, OTHER}
    assert keeper.readiness.reason is ReadinessReason.LOG_UNREACHABLE


def test_host_without_configuration_passes_nothing_on(keeper):
    [sent, *_] = keeper.handle(0.0, RecordsRequested(OTHER, RecordsWanted(-2)))
    assert sent == SendRecords(OTHER, RecordsPassed((), -2))


def test_zone_has_a_version_only_when_all_its_hosts_do():
    """A sibling is silent or lags; the zone must not be reported to have the change."""
    zones = ZoneReports(SELF)
    zones.settle([SIBLING, OTHER], 7, 0.0)
    assert zones.in_force(7) == frozenset()
    zones.note_heartbeat(heartbeat(SIBLING, 4), 0.0)
    zones.settle([SIBLING], 7, 0.0)
    assert zones.in_force(7) == frozenset()
    zones.note_heartbeat(heartbeat(SIBLING, 7), 1.0)
    zones.settle([SIBLING], 7, 1.0)
    assert zones.in_force(7) == {"north-a"}
    zones.note_heartbeat(heartbeat(SIBLING, -1, ready=False), 2.0)
    zones.settle([SIBLING], 9, 2.0)
    assert zones.in_force(9) == {"north-a"}


def test_nobody_speaks_for_this_zone_or_takes_a_report_back():
    zones = ZoneReports(SELF)
    claims = (ZoneStatus("north-a", 99), ZoneStatus("north-b", 5))
    zones.note_heartbeat(heartbeat(OTHER, 5, zones=claims), 0.0)
    zones.note_heartbeat(heartbeat(OTHER, 3, zones=(ZoneStatus("north-b", 3),)), 0.0)
    assert zones.reports == (ZoneStatus("north-b", 5),)


def test_budget_bounds_each_purpose():
    """A client in a loop confirms plans; the log must not be flooded by one host."""
    budget = AppendRateLimiter(hosts=108, now=0.0)
    granted = sum(
        budget.try_acquire(AppendPurpose.CONFIRM, step / 100) for step in range(6000)
    )
    assert granted == 60 + 2 * 60 - 1
    assert budget.refused[AppendPurpose.CONFIRM] == 6000 - granted
    assert budget.try_acquire(AppendPurpose.SNAPSHOT, 0.0)


def test_appends_a_day_at_full_size():
    assert appends_a_day(4200, 200, 3600.0) == 2 * 4200 + 21 + 24
