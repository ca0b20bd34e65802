"""Versions come into force on all hosts, in the same order, and never go back."""

import json
import random

import pytest

from jackdawspur.configuration import (
    ChangeState,
    ConfigurationStateMachine,
    ConfirmAsked,
    LogHealth,
    OperatorReplyCode,
    PlanAsked,
    ReadinessReason,
    StatusAsked,
)
from jackdawspur.configuration.tests.conftest import Cluster, quota_intent

ANN = "example-ann-token"
FIRST = "north-a.e1"


def test_change_is_accepted_once_every_zone_has_it(cluster, document):
    reply = cluster.change(FIRST, ANN, quota_intent(document, 100))
    assert reply.code is OperatorReplyCode.OK
    cluster.run(1.0)
    status = cluster.request_reply("north-c.e2", StatusAsked, ANN).body
    assert status.changes[-1].state is ChangeState.ACCEPTED
    assert set(cluster.versions().values()) == {reply.body.version}


@pytest.mark.parametrize("seed", range(8))
def test_race_of_eight_operators_gives_one_order(cluster, document, seed):
    """Eight operators plan on the same version and confirm at once.

    Half of the replies to appends are lost, so hosts append confirms again. Exactly
    one operator may get the reply that its change won, and all hosts must apply the
    same order.
    """
    names = list(cluster.hosts)
    plans = []
    for index in range(8):
        intent = json.dumps(quota_intent(document, 50 + index, f"operator {index}"))
        name = names[index % len(names)]
        plans.append(
            (name, cluster.request_reply(name, PlanAsked, ANN, intent).body.id)
        )
    cluster.run(1.0)
    cluster.lose_replies, cluster.rng = 0.5, random.Random(seed)
    calls = [
        cluster.send_request(name, ConfirmAsked, ANN, plan) for name, plan in plans
    ]
    cluster.run(7.0)
    replies = [cluster.replies[call] for call in calls]
    won = [reply for reply in replies if reply.code is OperatorReplyCode.OK]
    assert len(won) == 1
    lost = [reply for reply in replies if reply.code is OperatorReplyCode.CONFLICT]
    assert {reply.body.won for reply in lost} == {won[0].body.version}
    assert len(lost) == 7
    assert set(cluster.versions().values()) == {won[0].body.version}
    assert_all_state_machines_agree(cluster)


def assert_all_state_machines_agree(cluster):
    fresh = ConfigurationStateMachine()
    fresh.apply_records(cluster.log.records)
    for host in cluster.hosts.values():
        state_machine = host.replica.state_machine
        assert state_machine.history == fresh.history
        assert state_machine.void_confirms == fresh.void_confirms
        assert state_machine.configuration == fresh.configuration
        assert host.activated == sorted(set(host.activated))


def test_zone_without_the_log_gets_versions_from_other_zones(cluster, document):
    """A zone that can reach the other zones but not the log must get new versions.

    Its hosts' reads fail while an operator confirms in another zone. They learn of
    the version from heartbeats and request the records, within 2 s.
    """
    cluster.zones_without_log.add("north-c")
    version = cluster.change(FIRST, ANN, quota_intent(document, 100)).body.version
    confirmed = cluster.now
    while set(cluster.versions().values()) != {version}:
        cluster.run(0.05)
        assert cluster.now - confirmed < 2.0
    assert cluster.hosts["north-c.e1"].replica.log_health is LogHealth.DOWN


def test_zone_cut_from_all_is_named_and_catches_up(cluster, document):
    """A zone is partitioned from the log and all other zones, then reconnected.

    Meanwhile a change is in force in the other zones but not accepted, and the zone
    keeps serving the version that it has.
    """
    old = cluster.hosts["north-c.e1"].replica.version
    cluster.zones_without_log.add("north-c")
    cluster.partitioned = {
        frozenset(("north-a", "north-c")),
        frozenset(("north-b", "north-c")),
    }
    plan = cluster.change(FIRST, ANN, quota_intent(document, 100)).body.plan
    cluster.run(2.0)
    change = cluster.request_reply(FIRST, ConfirmAsked, ANN, plan).body
    assert change.state is ChangeState.IN_FORCE
    assert change.lacking == ("north-c",)
    assert cluster.hosts["north-c.e1"].replica.version == old
    assert cluster.hosts["north-c.e1"].replica.readiness.ready
    cluster.zones_without_log.clear()
    cluster.partitioned.clear()
    cluster.run(6.0)
    change = cluster.request_reply(FIRST, ConfirmAsked, ANN, plan).body
    assert change.state is ChangeState.ACCEPTED


def test_restart_of_every_host_with_the_log_down(cluster, document):
    """All hosts are restarted one after another during an outage of the log.

    Each new host gets the newest version from a peer; none goes back. After the
    outage all hosts still have the version that was confirmed before it.
    """
    version = cluster.change(FIRST, ANN, quota_intent(document, 100)).body.version
    cluster.run(1.0)
    cluster.log_up = False
    for name in list(cluster.hosts):
        cluster.start(name)
        cluster.run(2.0)
        assert cluster.hosts[name].activated == [version]
    cluster.log_up = True
    cluster.run(8.0)
    assert set(cluster.versions().values()) == {version}
    assert all(host.activated == [version] for host in cluster.hosts.values())


def test_cold_start_alone_without_the_log_is_not_ready(cluster):
    """A host starts while the log is down and no peer answers.

    It has no configuration to serve, reports that as the reason of its readiness,
    and becomes ready when the log is available again.
    """
    cluster.log_up = False
    for name in list(cluster.hosts):
        del cluster.hosts[name]
    host = cluster.start(FIRST)
    cluster.run(20.0)
    assert host.replica.readiness.reason is ReadinessReason.LOG_UNREACHABLE
    assert not host.replica.readiness.ready
    cluster.log_up = True
    cluster.run(6.0)
    assert host.replica.readiness.ready


def test_cold_start_with_a_log_that_never_answers_asks_peers(cluster):
    """The log accepts a new host's read but doesn't answer.

    The host waits one second, requests the records from a peer and is ready within
    2 s.
    """
    host = cluster.start("north-b.e1")
    cluster.run(0.05)
    cluster._queue.clear()
    cluster.run(1.95)
    assert host.replica.log_health is LogHealth.SLOW
    assert host.replica.readiness.ready
    assert set(cluster.versions().values()) == {host.replica.version}


def test_cold_start_waits_for_the_newest_reachable_version(cluster, document):
    """A host starts while the log is down; one of its peers lags.

    It must not serve the lagging peer's version and then a newer one: it waits
    until it has the newest version reported in heartbeats.
    """
    cluster.zones_without_log.add("north-c")
    cluster.partitioned = {
        frozenset(("north-a", "north-c")),
        frozenset(("north-b", "north-c")),
    }
    version = cluster.change(FIRST, ANN, quota_intent(document, 100)).body.version
    cluster.log_up = False
    cluster.partitioned.clear()
    host = cluster.start("north-b.e1")
    cluster.run(3.0)
    assert host.activated == [version]


def test_trimmed_log_without_a_snapshot(cluster):
    """The log was trimmed and holds neither the first record nor a snapshot.

    A host that starts alone isn't ready and reports the cause. It becomes ready with
    a peer that still has the state.
    """
    names = list(cluster.hosts)
    remaining_host = cluster.hosts[names[1]]
    cluster.log.records = []
    cluster.log.first = cluster.log.next_offset
    cluster.hosts = {}
    host = cluster.start(FIRST)
    cluster.run(6.0)
    assert host.replica.readiness.reason is ReadinessReason.LOG_TRIMMED
    cluster.hosts[names[1]] = remaining_host
    cluster.run(3.0)
    assert host.replica.version == remaining_host.replica.version
    assert host.replica.state_machine.contiguous


def test_snapshots_preserve_the_state_when_the_log_is_trimmed(cluster, document):
    """Changes continue while the log keeps only its newest records.

    One host writes each snapshot, and another one does if that host can't. A restarted
    host gets the same state from the snapshot.
    """
    cluster.run(40.0)
    snapshots = [r for r in cluster.log.records if '"kind":"snapshot"' in r.body]
    assert len(snapshots) == 1
    cluster.zones_without_log.add("north-a")
    version = cluster.change("north-b.e1", ANN, quota_intent(document, 90)).body.version
    cluster.now += 3600.0
    cluster.run(40.0)
    assert cluster.log.records[-1].body.startswith('{"kind":"snapshot"')
    cluster.zones_without_log.clear()
    cluster.log.trim(cluster.log.next_offset - 1)
    cluster.hosts = {}
    fresh = cluster.start(FIRST)
    cluster.run(1.0)
    assert fresh.activated == [version]
    assert fresh.replica.state_machine.history[-1].reason == "more work"


def test_first_host_without_a_configuration_reports_the_reason():
    cluster = Cluster([FIRST])
    cluster.run(1.0)
    readiness = cluster.hosts[FIRST].replica.readiness
    assert readiness.reason is ReadinessReason.NO_CONFIGURATION
