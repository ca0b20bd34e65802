"""Tests of leader election and of failure detection between hosts."""

import pytest

from jackdawspur.group import Group, HostAddress, HostHeartbeat, Term
from jackdawspur.group._group import HEARTBEAT_TIMEOUT_S
from jackdawspur.group._pauses import MAX_PAUSE_S
from jackdawspur.group._vacancy import (
    DISCOVERY_S,
    INITIAL_VACANCY_S,
    UNHEARD_LEADER_GRACE_S,
    VACANCY_S,
)
from jackdawspur.group.tests.hosts import UNIX_MS, Hosts

# Links reconnect half a second after a network partition ends.
RECONNECTED_TENTHS = 5


def test_exactly_one_host_leads_and_all_follow_it(hosts: Hosts):
    (leader,) = hosts.leaders()
    assert {g.leader(hosts.now) for g in hosts.groups.values()} == {leader}


def test_an_unresponsive_leader_is_replaced_under_a_higher_fence(hosts: Hosts):
    # Callers wait and no task starts, because the leader lost power.
    (leader,) = hosts.leaders()
    before = hosts.groups[leader].fence
    hosts.stopped.add(leader)
    hosts.advance(HEARTBEAT_TIMEOUT_S + VACANCY_S + 0.2)
    (second,) = [name for name in hosts.leaders() if name != leader]
    assert hosts.groups[second].fence > before


def test_a_paused_leader_steps_down_when_it_resumes(hosts: Hosts):
    # Upstreams alternately obey two hosts: the leader was paused and replaced, and went
    # on leading when it resumed.
    (leader,) = hosts.leaders()
    hosts.stopped.add(leader)
    hosts.advance(1.0)
    hosts.stopped.clear()
    hosts.advance(0.2)
    (second,) = hosts.leaders()
    assert second != leader


def test_both_sides_of_a_partition_have_a_leader_and_one_remains_after_it(hosts: Hosts):
    (leader,) = hosts.leaders()
    others = [name for name in hosts.groups if name != leader]
    hosts.partitions = {frozenset((leader, other)) for other in others}
    hosts.advance(1.0)
    assert len(hosts.leaders()) == 2
    hosts.partitions.clear()
    hosts.advance(0.3)
    assert len(hosts.leaders()) == 1


def test_a_draining_leader_is_replaced(hosts: Hosts):
    (leader,) = hosts.leaders()
    hosts.groups[leader].draining = True
    hosts.advance(0.4)
    (second,) = hosts.leaders()
    assert second != leader


def test_the_only_host_goes_on_leading_while_it_drains():
    hosts = Hosts("a")
    hosts.advance(2.0)
    hosts.groups["a"].draining = True
    hosts.advance(0.5)
    assert hosts.leaders() == ["a"]


def test_a_refused_fence_is_raised_by_more_than_clocks_differ(hosts: Hosts):
    (leader,) = hosts.leaders()
    group = hosts.groups[leader]
    before = group.fence
    group.resolve_contention(UNIX_MS, hosts.now)
    assert group.fence > before + (4000 << 22)


def test_the_smaller_side_of_a_partition_gives_up_contended_upstreams(hosts: Hosts):
    # Hardly any job completes: a host that is partitioned from the others still reaches
    # all upstreams, and it and the others' leader alternately stop each other's tasks.
    (leader,) = hosts.leaders()
    others = [name for name in hosts.groups if name != leader]
    hosts.partitions = {frozenset((leader, other)) for other in others}
    hosts.advance(1.0)
    (second,) = [name for name in hosts.leaders() if name != leader]
    for _ in range(2):
        for name in (leader, second):
            hosts.groups[name].resolve_contention(UNIX_MS, hosts.now)
    assert hosts.leaders() == [second]
    hosts.advance(1.0)
    assert hosts.leaders() == [second]
    hosts.partitions.clear()
    hosts.advance(0.3)
    assert hosts.groups[leader].leader(hosts.now) == second
    assert not hosts.groups[leader].backing_off


def test_the_leader_changes_once_after_a_partition_ends(hosts: Hosts):
    # Running jobs are handed over three times within half a second and end late. After
    # a partition upstreams were reachable before the other hosts, so the leader of each
    # side met an unknown fence and took the upstreams from the other.
    (leader,) = hosts.leaders()
    others = [name for name in hosts.groups if name != leader]
    hosts.partitions = {frozenset((leader, other)) for other in others}
    hosts.advance(1.0)
    fences = {hosts.groups[name].fence for name in hosts.leaders()}
    for tenth in range(1, 11):
        both = hosts.leaders()
        for name in both if len(both) == 2 else ():
            hosts.groups[name].contend_for_upstreams(tenth / 10, UNIX_MS, hosts.now)
        if tenth == RECONNECTED_TENTHS:
            hosts.partitions.clear()
        hosts.advance(0.1)
    (second,) = hosts.leaders()
    assert hosts.groups[second].fence in fences


def test_one_host_leads_soon_after_all_have_started():
    # After a power loss of all hosts no request is served although all are back: each
    # waits for the others before it leads.
    hosts = Hosts("a", "b", "c")
    hosts.advance(0.6)
    assert len(hosts.leaders()) == 1


def remote_heartbeat(
    fence: int, leads: bool = True, sent_at: float = 0.0, started_ms: int = 1
) -> HostHeartbeat:
    host = HostAddress("far", "z9", "127.0.0.1:9", started_ms)
    return HostHeartbeat(
        host, sent_at, leads, fence, True, False, False, 1, 0.0, (), by_zone=True
    )


def test_groups_do_not_change_with_every_upstream_around_the_limit():
    # All jobs are handed over repeatedly: the number of upstreams varied around
    # the limit, and with each one that came or left the hosts changed between one group
    # and one group for each zone.
    group = Group(HostAddress("own", "z1", "127.0.0.1:1", 1), 0.0, max_upstreams=64)
    sizes = (64, 65, 64, 60, 66, 47, 60, 64)
    covers = []
    for size in sizes:
        group.set_upstream_count(size, 10.0)
        covers.append(group.covers("z2"))
    assert covers == [True, False, False, False, False, True, True, True]


def test_the_leader_of_another_group_is_known_but_never_followed():
    group = Group(HostAddress("own", "z1", "127.0.0.1:1", 1), 0.0, max_upstreams=2)
    group.set_upstream_count(3, 0.0)
    group.record_heartbeat(remote_heartbeat(50), 1.0)
    assert [heartbeat.host.name for heartbeat in group.other_group_leaders(1.1)] == [
        "far"
    ]
    assert group.leader(1.1) is None
    assert not group.known_peers
    assert [host.name for host in group.other_group_hosts] == ["far"]
    assert not group.other_group_leaders(4.0)


def test_another_groups_term_ends_when_its_leader_is_unresponsive_or_replaced():
    # A caller waits for an answer that never comes: the leader of another zone that had
    # the job died, or was replaced by one that does not know the job.
    group = Group(HostAddress("own", "z1", "127.0.0.1:1", 1), 0.0, max_upstreams=2)
    group.set_upstream_count(3, 0.0)
    term = Term("far", 50)
    assert group.is_term_active(term, 5.0, 5.3)
    assert not group.is_term_active(term, 5.0, 5.5)
    group.record_heartbeat(remote_heartbeat(50), 5.4)
    assert group.is_term_active(term, 5.0, 5.7)
    group.record_heartbeat(remote_heartbeat(0, leads=False), 5.8)
    assert not group.is_term_active(term, 5.0, 5.9)


def test_the_term_of_a_leader_that_was_never_heard_ends_at_any_time_of_day():
    # Guards against rounding errors of time differences that keep a caller waiting.
    group = Group(HostAddress("own", "z1", "127.0.0.1:1", 1), 0.0, max_upstreams=2)
    times = [1000.0 + 0.025 * tick for tick in range(200)]
    active = [now for now in times if group.is_term_active(Term("far", 50), 5.0, now)]
    assert not active


def test_a_heartbeat_from_before_the_term_was_known_does_not_end_it():
    group = Group(HostAddress("own", "z1", "127.0.0.1:1", 1), 0.0, max_upstreams=2)
    group.set_upstream_count(3, 0.0)
    group.record_heartbeat(remote_heartbeat(40), 4.9)
    assert group.is_term_active(Term("far", 50), 5.0, 5.1)


@pytest.fixture
def reconnecting() -> Hosts:
    """Return two sides of a partition that has ended between their leaders only.

    The follower on the first side ranks before the leader of that side.
    """
    cluster = Hosts("a", "b", "c", "d")
    cluster.advance(INITIAL_VACANCY_S + 1.0)
    (former_leader,) = cluster.leaders()
    cluster.stopped.add(former_leader)
    cluster.advance(1.0)
    cluster.stopped.clear()
    cluster.advance(0.5)
    (first,) = cluster.leaders()
    others = [name for name in cluster.groups if name not in (first, former_leader)]
    cluster.partitions = {
        frozenset((n, other)) for n in (first, former_leader) for other in others
    }
    cluster.advance(1.0)
    second = next(name for name in cluster.leaders() if name != first)
    cluster.partitions.remove(frozenset((first, second)))
    return cluster


def test_no_third_host_leads_while_hosts_reconnect(reconnecting: Hosts):
    # All jobs are handed over twice: on the side whose leader stepped down, a host that
    # did not know the other side's leader yet led for a moment.
    reconnecting.advance(0.4)
    assert len(reconnecting.leaders()) == 1
    (leader,) = reconnecting.leaders()
    reconnecting.partitions.clear()
    reconnecting.advance(0.3)
    assert reconnecting.leaders() == [leader]


def test_a_host_that_stays_partitioned_from_the_leader_leads_eventually(
    reconnecting: Hosts,
):
    reconnecting.advance(UNHEARD_LEADER_GRACE_S + VACANCY_S + 0.3)
    assert len(reconnecting.leaders()) == 2


def test_hosts_that_read_the_store_late_have_one_leader():
    # Callers wait longer after a power loss: the store answers late, so all hosts learn
    # of each other at the same moment, and each leads at once because it started long
    # enough ago. They then alternately take the upstreams from each other.
    hosts = Hosts("a", "b", "c")
    hosts.unready = set(hosts.groups)
    hosts.partitions = {frozenset(pair) for pair in ("ab", "ac", "bc")}
    hosts.advance(INITIAL_VACANCY_S + 0.2)
    hosts.unready = set()
    hosts.advance(0.05)
    assert hosts.leaders() == []
    hosts.advance(DISCOVERY_S - 0.1)
    assert hosts.leaders() == []
    hosts.partitions = set()
    hosts.advance(0.1)
    assert len(hosts.leaders()) == 1


def test_a_heartbeat_that_arrives_after_a_later_one_is_ignored():
    # A task runs twice at the same time: a connection that broke delivered its last
    # heartbeat after the first one of the next connection. Because of the old heartbeat
    # a host became the leader, and a job was handed over from a higher fence to a lower
    # one.
    group = Group(HostAddress("own", "z1", "127.0.0.1:1", 1), 0.0)
    group.record_heartbeat(remote_heartbeat(60, sent_at=2.0), 2.0)
    group.record_heartbeat(remote_heartbeat(50, sent_at=1.0), 2.1)
    (heartbeat,) = group.last_heartbeats
    assert heartbeat.fence == 60
    assert group.silent_s("far", 2.2) == pytest.approx(0.2)


def test_heartbeats_of_a_restarted_host_count_although_its_clock_was_reset():
    group = Group(HostAddress("own", "z1", "127.0.0.1:1", 1), 0.0)
    # The time of day of the other host was set back in between.
    group.record_heartbeat(remote_heartbeat(60, sent_at=900.0, started_ms=2), 2.0)
    group.record_heartbeat(remote_heartbeat(70, sent_at=1.0, started_ms=1), 3.0)
    (heartbeat,) = group.last_heartbeats
    assert heartbeat.fence == 70


def test_a_host_without_a_list_does_not_block_any_upstream():
    # Jobs are late during a rolling restart: each host had no list of upstreams for a
    # moment, so no upstream counted as known to all hosts, and few tasks started.
    group = Group(HostAddress("own", "z1", "127.0.0.1:1", 1), 0.0)
    host = HostAddress("other", "z1", "127.0.0.1:2", 1)
    heartbeat = HostHeartbeat(
        host, 5.0, False, 0, True, False, False, 1, 1.0, (), upstreams=8
    )
    group.record_heartbeat(heartbeat, 5.0)
    longest, all_read_at = group.peer_list_bounds(5.0)
    assert (longest, all_read_at) == (8, pytest.approx(4.0 - MAX_PAUSE_S))
    started = HostAddress("started", "z1", "127.0.0.1:3", 1)
    without_list = HostHeartbeat(
        started, 5.0, False, 0, False, False, False, 1, 1e9, ()
    )
    group.record_heartbeat(without_list, 5.0)
    assert group.peer_list_bounds(5.0) == (longest, all_read_at)


def test_a_list_ages_until_the_next_heartbeat_whatever_else_arrives():
    # Guards against counting on a host that was paused to know the new upstreams: its
    # first messages after the pause are offers of jobs.
    group = Group(HostAddress("own", "z1", "127.0.0.1:1", 1), 0.0)
    host = HostAddress("other", "z1", "127.0.0.1:2", 1)
    heartbeat = HostHeartbeat(
        host, 5.0, False, 0, True, False, False, 1, 1.0, (), upstreams=8
    )
    group.record_heartbeat(heartbeat, 5.0)
    group.record_message("other", 9.0)
    _longest, all_read_at = group.peer_list_bounds(9.0)
    assert all_read_at == pytest.approx(4.0 - MAX_PAUSE_S)
