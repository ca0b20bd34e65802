"""Cases of the configuration replica in which the order of events matters."""

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
    ZoneVersionTracker,
    appends_per_day,
)
from jackdawspur.configuration.tests.conftest import quota_intent
from jackdawspur.messages import Heartbeat, RecordsPassed, RecordsWanted, ZoneStatus
from jackdawspur.model import HostId

ANN = "example-ann-token"
SELF = HostId("north-a", "e1", 9)
ZONE_PEER = HostId("north-a", "e2", 1)
REMOTE_PEER = HostId("north-b", "e1", 1)


def heartbeat(host, version, ready=True, zones=()):
    return Heartbeat(host, 0, ready, False, version, 0, 0, 0.0, zones=zones)


@pytest.fixture
def replica():
    return ConfigurationReplica(SELF, random.Random(1), AppendRateLimiter(6, 0.0), 0.0)


@pytest.mark.parametrize("relayed", [False, True])
def test_records_of_a_lagging_peer_do_not_make_ready(
    cluster, document, replica, relayed
):
    """A starting host must not serve the records of a lagging peer.

    The log is down, and these records arrive first. Serving them would put an older
    version into force than this host's zone already has. The host waits for the newest
    version that a peer or a relay has reported.
    """
    old = tuple(cluster.log.records)
    version = cluster.change(
        "north-a.e1", ANN, quota_intent(document, 100)
    ).body.version
    replica.handle(0.0, LogReadFailed("down"))
    third_zone_peer = HostId("north-c", "e1", 1)
    replica.handle(0.1, LivePeersChanged((ZONE_PEER, REMOTE_PEER, third_zone_peer)))
    zones = (ZoneStatus("north-c", version),) if relayed else ()
    replica.handle(
        0.1, HeartbeatReceived(heartbeat(REMOTE_PEER, old[-1].offset, zones=zones))
    )
    zone_version = old[-1].offset if relayed else version
    replica.handle(0.1, HeartbeatReceived(heartbeat(ZONE_PEER, zone_version)))
    effects = replica.handle(0.2, RecordsReceived(REMOTE_PEER, RecordsPassed(old)))
    assert replica.readiness.reason is ReadinessReason.BEHIND_PEERS
    assert not any(isinstance(effect, ActivateConfiguration) for effect in effects)
    new = tuple(cluster.log.records[len(old) :])
    effects = replica.handle(
        0.3, RecordsReceived(ZONE_PEER, RecordsPassed(new, old[-1].offset))
    )
    activated = [
        e.cluster_spec.version for e in effects if isinstance(e, ActivateConfiguration)
    ]
    assert activated == [version]


def test_zone_known_only_from_a_relay_is_asked_for_records(replica):
    """A zone has lost the log; a relay reports that another zone has a newer version.

    No host of that other zone sends heartbeats to this one directly. Any of its hosts
    has the records, and those that don't answer must not delay a cold start.
    """
    third_zone_peer = HostId("north-c", "e1", 1)
    replica.handle(0.0, LogReadFailed("down"))
    replica.handle(0.1, LivePeersChanged((ZONE_PEER, third_zone_peer)))
    ahead = heartbeat(ZONE_PEER, 3, zones=(ZoneStatus("north-c", 9),))
    effects = replica.handle(0.7, HeartbeatReceived(ahead))
    requested_from = [e.to for e in effects if isinstance(e, RequestRecords)]
    for step in range(20):
        effects = replica.handle(1.0 + step, ReplicaTick(0.0))
        requested_from += [e.to for e in effects if isinstance(e, RequestRecords)]
    assert third_zone_peer in requested_from


def test_reconnected_host_closes_its_gap_in_a_trimmed_log(cluster, document):
    """A host is partitioned while the log is trimmed without a new snapshot.

    Nothing was confirmed meanwhile, so its version is still current. The host can't
    know that and must not decide on the next confirm before a peer covers the gap.
    """
    partitioned_host = cluster.hosts.pop("north-c.e1")
    for slots in range(40, 44):
        intent = quota_intent(document, slots)
        cluster.request_reply("north-a.e1", PlanAsked, ANN, json.dumps(intent))
    cluster.log.trim(cluster.log.next_offset)
    cluster.hosts["north-c.e1"] = partitioned_host
    partitioned_host.replica.handle(cluster.now, LogReadFailed("paused"))
    cluster.run(3.0)
    assert partitioned_host.replica.state_machine.contiguous
    version = cluster.change(
        "north-a.e1", ANN, quota_intent(document, 100)
    ).body.version
    cluster.run(1.0)
    assert partitioned_host.replica.version == version


def test_late_answers_of_peers_are_harmless(cluster, document, replica):
    """Answers of peers arrive late, twice, or for another offset of this host.

    A batch that starts after this host's next offset would leave a gap. A state that
    covers one record more must include the change of that record.
    """
    version = cluster.change(
        "north-a.e1", ANN, quota_intent(document, 100)
    ).body.version
    records = tuple(r for r in cluster.log.records if r.offset <= version)
    replica.handle(0.0, LogRecordsRead(records[:-1]))
    ahead = RecordsPassed(records[-1:], version + 3)
    replica.handle(0.1, RecordsReceived(REMOTE_PEER, ahead))
    assert replica.state_machine.through == version - 1
    sender = cluster.hosts["north-b.e1"].replica
    [state, *_] = sender.handle(cluster.now, RecordsRequested(SELF, RecordsWanted(-2)))
    for _ in range(2):
        replica.handle(0.2, RecordsReceived(REMOTE_PEER, state.passed))
    assert replica.state_machine.version == version and replica.state_machine.contiguous
    assert replica.state_machine.configuration == sender.state_machine.configuration


def test_failed_reads_back_off_with_jitter(replica):
    """The log is down for a minute: reads must become rare, at irregular intervals.

    Otherwise all hosts would read at the same times.
    """
    reads = []
    for step in range(1200):
        now = step / 20
        if any(isinstance(e, ReadLog) for e in replica.handle(now, ReplicaTick(0.0))):
            reads.append(now)
            replica.handle(now, LogReadFailed("down"))
    assert 12 <= len(reads) <= 30
    gaps = [b - a for a, b in zip(reads, reads[1:], strict=False)]
    assert max(gaps) <= 5.1
    assert len({round(gap, 2) for gap in gaps[-6:]}) > 2


def test_unanswered_peers_are_asked_in_turn(replica):
    replica.handle(0.0, LogReadFailed("down"))
    requested_from = set()
    for step in range(1, 60):
        now = step / 10
        effects = replica.handle(now, LivePeersChanged((ZONE_PEER, REMOTE_PEER)))
        for effect in (*effects, *replica.handle(now, ReplicaTick(0.0))):
            if isinstance(effect, RequestRecords):
                requested_from.add(effect.to)
                replica.handle(now, RecordsReceived(effect.to, RecordsPassed((), -1)))
    assert requested_from == {ZONE_PEER, REMOTE_PEER}
    assert replica.readiness.reason is ReadinessReason.LOG_UNREACHABLE


def test_host_without_configuration_sends_no_records(replica):
    [sent, *_] = replica.handle(0.0, RecordsRequested(REMOTE_PEER, RecordsWanted(-2)))
    assert sent == SendRecords(REMOTE_PEER, RecordsPassed((), -2))


def test_zone_has_a_version_only_when_all_its_hosts_have_it():
    """A zone must not report a change that an unresponsive or lagging peer lacks."""
    tracker = ZoneVersionTracker(SELF)
    tracker.update_local_zone([ZONE_PEER, REMOTE_PEER], 7, 0.0)
    assert tracker.in_force(7) == frozenset()
    tracker.record_heartbeat(heartbeat(ZONE_PEER, 4), 0.0)
    tracker.update_local_zone([ZONE_PEER], 7, 0.0)
    assert tracker.in_force(7) == frozenset()
    tracker.record_heartbeat(heartbeat(ZONE_PEER, 7), 1.0)
    tracker.update_local_zone([ZONE_PEER], 7, 1.0)
    assert tracker.in_force(7) == {"north-a"}
    tracker.record_heartbeat(heartbeat(ZONE_PEER, -1, ready=False), 2.0)
    tracker.update_local_zone([ZONE_PEER], 9, 2.0)
    assert tracker.in_force(9) == {"north-a"}


def test_reports_of_this_zone_and_older_reports_are_ignored():
    tracker = ZoneVersionTracker(SELF)
    reports = (ZoneStatus("north-a", 99), ZoneStatus("north-b", 5))
    tracker.record_heartbeat(heartbeat(REMOTE_PEER, 5, zones=reports), 0.0)
    tracker.record_heartbeat(
        heartbeat(REMOTE_PEER, 3, zones=(ZoneStatus("north-b", 3),)), 0.0
    )
    assert tracker.reports == (ZoneStatus("north-b", 5),)


def test_rate_limiter_bounds_each_purpose():
    """A client confirms plans in a loop: one host must not flood the log."""
    rate_limiter = AppendRateLimiter(hosts=108, now=0.0)
    granted = sum(
        rate_limiter.try_acquire(AppendPurpose.CONFIRM, step / 100)
        for step in range(6000)
    )
    assert granted == 60 + 2 * 60 - 1
    assert rate_limiter.refused[AppendPurpose.CONFIRM] == 6000 - granted
    assert rate_limiter.try_acquire(AppendPurpose.SNAPSHOT, 0.0)


def test_appends_a_day_at_full_size():
    assert appends_per_day(4200, 200, 3600.0) == 2 * 4200 + 21 + 24
