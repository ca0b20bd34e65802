"""Tests of the view with dead and paused hosts, partitions and lagging lists."""

from dataclasses import replace

import pytest

from jackdawspur.external import HostRole, ListedHost
from jackdawspur.membership import (
    GONE_AFTER,
    RESUME_GAP,
    OwnerState,
    View,
    heartbeat_bandwidth,
)
from jackdawspur.membership.tests.conftest import STEP, build
from jackdawspur.messages import CustomerUsage, Heartbeat
from jackdawspur.model import UpstreamId

LEAVING = UpstreamId("zone-00", "up-1")


def test_all_hosts_know_each_other(network, hosts):
    for host in hosts:
        assert set(network.views[host].peers()) == set(hosts) - {host}
        assert network.views[host].unreachable_zones(network.now) == ()
        assert network.views[host].zone_summary("zone-02").version == 7


def test_a_dead_peer_gives_up_its_slots_within_a_second(network, hosts):
    """The slots of a dead host must not stay idle.

    Its heartbeats stop without notice, and the platform's list still contains it.
    """
    dead, zone_peer = hosts[:2]
    network.paused.add(dead)
    listed = ListedHost(dead.zone, dead.name, HostRole.ENTRY)
    network.views[zone_peer].record_host_list((listed,), network.now)
    died = network.now
    while dead in network.views[zone_peer].slot_holders():
        network.run(STEP)
    assert network.now - died <= 1.0
    assert network.views[zone_peer].owner_state(dead) is OwnerState.UNHEARD
    network.run(GONE_AFTER)
    assert network.views[zone_peer].owner_state(dead) is OwnerState.GONE


def test_the_earlier_incarnation_of_a_restarted_host_is_gone_at_once(network, hosts):
    """A job whose owner restarted must be answered as lost, not as pending."""
    old, zone_peer = hosts[:2]
    del network.views[old]
    new = replace(old, incarnation=2)
    network.start(new)
    network.run(2 * STEP)
    view = network.views[zone_peer]
    assert view.owner_state(old) is OwnerState.GONE
    assert view.latest_incarnation(old.zone, old.name) == new
    stale = Heartbeat(old, 10**9, True, False, 7, 0, 0, 0.0)
    view.record_heartbeat(stale, network.now)
    assert not view.is_live(old) and view.is_live(new)


def test_a_starting_host_uses_no_more_than_its_configured_share(network, hosts):
    """A starting host must not use all slots of the zone before it knows its peers."""
    view = View(hosts[0], 0.0)
    view.set_cluster_spec(network.cluster_spec, 0.0)
    assert len(view.slot_holders()) == 2 and not view.settled
    view.tick(1.0)
    assert view.slot_holders() == (hosts[0],) and view.settled


def test_a_host_ignores_signals_from_before_a_pause(network, hosts):
    """A host paused for 20 s must not use its view from before the pause.

    The other host of its zone has taken over all slots. When it resumes, it counts no
    peer as live, shares slots as if all configured hosts of its zone were live, and
    sends heartbeats at once.
    """
    paused, zone_peer = hosts[:2]
    network.paused.add(paused)
    network.run(20)
    assert network.views[zone_peer].slot_holders() == (zone_peer,)
    network.paused.clear()
    view = network.views[paused]
    assert view.reset_after_pause(network.now, 20.0)
    assert view.peers() == () and not view.settled
    assert view.slot_holders() == (paused, zone_peer)
    network.run(3 * STEP)
    assert (
        network.views[zone_peer].slot_holders()
        == view.slot_holders()
        == (paused, zone_peer)
    )
    assert view.owner_state(zone_peer) is OwnerState.LIVE


def test_a_partitioned_zone_is_unreachable_but_its_owners_are_not_gone(network, hosts):
    """The jobs of a partitioned zone go on, and can be polled after the partition.

    Both sides must detect the partition within seconds, and must not report the owners
    of submissions as gone.
    """
    inside, outside = hosts[4], hosts[0]
    network.partitioned.add(inside.zone)
    partitioned_at = network.now
    while network.views[outside].unreachable_zones(network.now) != (inside.zone,):
        network.run(STEP)
        assert network.now - partitioned_at < 6.0
    network.run(120)
    assert network.views[outside].owner_state(inside) is OwnerState.UNHEARD
    assert network.views[inside].zone_peers() == (hosts[5],)
    network.partitioned.clear()
    network.run(5)
    for host in hosts:
        assert network.views[host].unreachable_zones(network.now) == ()
    network.run(15)
    assert set(network.views[inside].peers()) == set(hosts) - {inside}


def test_other_zones_stay_known_when_a_linked_host_dies(network, hosts):
    """One of the two hosts linked to other zones dies, and the other one suffices.

    No zone may become unreachable, and hosts of other zones must no longer count the
    dead host as live after half a minute.
    """
    network.paused.add(hosts[0])
    for _ in range(30):
        network.run(1)
        assert network.views[hosts[1]].unreachable_zones(network.now) == ()
        assert network.views[hosts[5]].unreachable_zones(network.now) == ()
    assert not network.views[hosts[5]].is_live(hosts[0])


def test_a_leaving_upstream_gets_no_tasks_although_the_list_lags(network, hosts):
    """An upstream that shuts down must get no tasks, although the list contains it.

    It refuses a start of one host with "leaving". That host reports it by heartbeat. A
    stale list or stale usage must not revert it.
    """
    first, zone_peer = (network.views[host] for host in hosts[:2])
    first.mark_leaving(LEAVING, network.now)
    stale = ListedHost(LEAVING.zone, LEAVING.name, HostRole.UPSTREAM)
    reported_at = network.now
    for view in (first, zone_peer):
        view.record_host_list((stale,), network.now)
    first.clear_leaving(LEAVING, network.now + 1)
    while (
        not zone_peer.is_upstream_leaving(LEAVING) and network.now - reported_at <= 0.3
    ):
        network.run(STEP)
    assert zone_peer.is_upstream_leaving(LEAVING) and network.now - reported_at <= 0.3
    network.run(30)
    assert first.is_upstream_leaving(LEAVING) and zone_peer.is_upstream_leaving(LEAVING)


def test_a_pause_shorter_than_the_timeout_changes_nothing(network, hosts):
    """A pause shorter than the timeout must not affect the division of slots.

    If the other hosts dropped the paused one, or it dropped its own view, slots would
    be moved without need and starts would be refused.
    """
    paused, zone_peer = hosts[:2]
    network.paused.add(paused)
    network.run(RESUME_GAP - 2 * STEP)
    assert network.views[zone_peer].slot_holders() == (paused, zone_peer)
    network.paused.clear()
    assert not network.views[paused].reset_after_pause(network.now, RESUME_GAP - STEP)
    network.run(STEP)
    for host in (paused, zone_peer):
        assert network.views[host].slot_holders() == (paused, zone_peer)
        assert network.views[host].is_live(zone_peer) and network.views[host].settled


@pytest.mark.parametrize(("ready", "draining"), [(False, False), (False, True)])
def test_a_host_without_configuration_hides_no_version(network, hosts, ready, draining):
    """The version in force must stay visible for operators when a host starts.

    A host that starts, or drains before it has read the configuration, reports -1. It
    starts no task, so the version of the other host is in force in the zone.
    """
    view = network.views[hosts[0]]
    network.run(2 * STEP)
    new = replace(hosts[1], incarnation=2)
    view.record_heartbeat(
        Heartbeat(new, 1, ready, draining, -1, 0, 0, 0.0), network.now
    )
    assert view.zone_summary(hosts[0].zone).version == 7


def test_an_upstream_that_returned_is_used_again(network, hosts):
    first, zone_peer = (network.views[host] for host in hosts[:2])
    first.mark_leaving(LEAVING, network.now)
    network.run(11)
    first.clear_leaving(LEAVING, network.now)
    assert not first.is_upstream_leaving(LEAVING)
    network.run(16)
    assert not zone_peer.is_upstream_leaving(LEAVING)


def test_an_outdated_heartbeat_changes_nothing(network, hosts):
    view = network.views[hosts[0]]
    heartbeat = Heartbeat(hosts[1], 10**6, True, True, 7, 0, 0, 0.0)
    view.record_heartbeat(heartbeat, network.now)
    view.record_heartbeat(
        replace(heartbeat, sequence=10**6 - 1, draining=False), network.now
    )
    assert view.ready_hosts(hosts[1].zone) == ()


@pytest.mark.parametrize(("zones", "size"), [(4, 2), (9, 6)])
def test_real_heartbeats_stay_in_the_byte_budget(zones, size):
    """Longer intervals must limit traffic, which grows with the square of the hosts."""
    network = build(zones, size)
    network.usage = tuple(CustomerUsage(f"team-{n}", n, n) for n in range(140))
    network.cluster_spec = replace(network.cluster_spec, customers=tuple(range(140)))
    for view in network.views.values():
        view.set_cluster_spec(network.cluster_spec, 0.0)
    network.run(10)
    network.sent.clear()
    network.received.clear()
    network.run(60)
    rates = [
        (network.sent[host] + network.received[host]) / 60 for host in network.views
    ]
    assert max(rates) < 9000


@pytest.mark.parametrize("size", [1, 2, 6, 12, 20])
def test_the_intervals_keep_the_design_size_in_budget(size):
    cost = heartbeat_bandwidth(zones=18, hosts=size, customers=140)
    assert cost.sent + cost.received < 9000
