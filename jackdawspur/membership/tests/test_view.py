"""Tests of the view: deaths, pauses, partitions, lagging lists."""

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


def test_every_host_knows_every_other(net, hosts):
    for host in hosts:
        assert set(net.views[host].peers()) == set(hosts) - {host}
        assert net.views[host].unreachable_zones(net.now) == ()
        assert net.views[host].zone_summary("zone-02").version == 7


def test_a_dead_sibling_gives_up_its_slots_within_a_second(net, hosts):
    """A host dies and its share of the slots lies idle until siblings notice.

    Its heartbeats just stop; the platform's list still shows it live.
    """
    dead, sibling = hosts[:2]
    net.paused.add(dead)
    listed = ListedHost(dead.zone, dead.name, HostRole.ENTRY)
    net.views[sibling].record_host_list((listed,), net.now)
    died = net.now
    while dead in net.views[sibling].slot_holders():
        net.run(STEP)
    assert net.now - died <= 1.0
    assert net.views[sibling].owner_state(dead) is OwnerState.UNHEARD
    net.run(GONE_AFTER)
    assert net.views[sibling].owner_state(dead) is OwnerState.GONE


def test_a_restarted_host_makes_its_former_run_gone_at_once(net, hosts):
    """A caller polls a job whose owner was restarted: it is lost, not pending."""
    old, sibling = hosts[:2]
    del net.views[old]
    new = replace(old, incarnation=2)
    net.start(new)
    net.run(2 * STEP)
    view = net.views[sibling]
    assert view.owner_state(old) is OwnerState.GONE
    assert view.latest_incarnation(old.zone, old.name) == new
    stale = Heartbeat(old, 10**9, True, False, 7, 0, 0, 0.0)
    view.record_heartbeat(stale, net.now)
    assert not view.is_live(old) and view.is_live(new)


def test_a_starting_host_claims_no_more_than_its_configured_share(net, hosts):
    """A host starts and, having heard nobody, would take all slots of the zone."""
    view = View(hosts[0], 0.0)
    view.set_cluster_spec(net.world, 0.0)
    assert len(view.slot_holders()) == 2 and not view.settled
    view.tick(1.0)
    assert view.slot_holders() == (hosts[0],) and view.settled


def test_a_paused_host_wakes_without_old_beliefs(net, hosts):
    """A host stops for 20 s and wakes; it must not act on what it knew.

    Its sibling took over all slots meanwhile. On waking it counts nobody as live,
    shares as if all configured siblings lived, and speaks up at once.
    """
    paused, sibling = hosts[:2]
    net.paused.add(paused)
    net.run(20)
    assert net.views[sibling].slot_holders() == (sibling,)
    net.paused.clear()
    view = net.views[paused]
    assert view.reset_after_pause(net.now, 20.0)
    assert view.peers() == () and not view.settled
    assert view.slot_holders() == (paused, sibling)
    net.run(3 * STEP)
    assert net.views[sibling].slot_holders() == view.slot_holders() == (paused, sibling)
    assert view.owner_state(sibling) is OwnerState.LIVE


def test_a_cut_off_zone_is_unreachable_but_its_owners_are_not_gone(net, hosts):
    """A zone loses the others for an hour; its jobs go on and can be asked for later.

    Both sides must see the cut within seconds, and neither may call owners dead.
    """
    inside, outside = hosts[4], hosts[0]
    net.cut.add(inside.zone)
    cut_at = net.now
    while net.views[outside].unreachable_zones(net.now) != (inside.zone,):
        net.run(STEP)
        assert net.now - cut_at < 6.0
    net.run(120)
    assert net.views[outside].owner_state(inside) is OwnerState.UNHEARD
    assert net.views[inside].siblings() == (hosts[5],)
    net.cut.clear()
    net.run(5)
    for host in hosts:
        assert net.views[host].unreachable_zones(net.now) == ()
    net.run(15)
    assert set(net.views[inside].peers()) == set(hosts) - {inside}


def test_other_zones_stay_known_when_a_linked_host_dies(net, hosts):
    """One of the two hosts that talk to the other zones dies; its sibling takes over.

    No zone may look cut off, and hosts of other zones forget it within half a minute.
    """
    net.paused.add(hosts[0])
    for _ in range(30):
        net.run(1)
        assert net.views[hosts[1]].unreachable_zones(net.now) == ()
        assert net.views[hosts[5]].unreachable_zones(net.now) == ()
    assert not net.views[hosts[5]].is_live(hosts[0])


def test_a_leaving_upstream_gets_nothing_new_though_the_list_lags(net, hosts):
    """A worker shuts down and still gets tasks, because the list shows it live.

    One host is refused with "leaving"; its sibling knows by heartbeat, and a stale
    list or stale usage does not undo that.
    """
    first, sibling = (net.views[host] for host in hosts[:2])
    first.mark_leaving(LEAVING, net.now)
    stale = ListedHost(LEAVING.zone, LEAVING.name, HostRole.UPSTREAM)
    told_at = net.now
    for view in (first, sibling):
        view.record_host_list((stale,), net.now)
    first.clear_leaving(LEAVING, net.now + 1)
    while not sibling.is_upstream_leaving(LEAVING) and net.now - told_at <= 0.3:
        net.run(STEP)
    assert sibling.is_upstream_leaving(LEAVING) and net.now - told_at <= 0.3
    net.run(30)
    assert first.is_upstream_leaving(LEAVING) and sibling.is_upstream_leaving(LEAVING)


def test_a_pause_shorter_than_the_silence_limit_changes_nothing(net, hosts):
    """A host stops for less time than its siblings wait before they take its slots.

    Were it dropped, or did it drop what it knows, slots would change hands for
    nothing and starts be refused.
    """
    paused, sibling = hosts[:2]
    net.paused.add(paused)
    net.run(RESUME_GAP - 2 * STEP)
    assert net.views[sibling].slot_holders() == (paused, sibling)
    net.paused.clear()
    assert not net.views[paused].reset_after_pause(net.now, RESUME_GAP - STEP)
    net.run(STEP)
    for host in (paused, sibling):
        assert net.views[host].slot_holders() == (paused, sibling)
        assert net.views[host].is_live(sibling) and net.views[host].settled


@pytest.mark.parametrize(("ready", "draining"), [(False, False), (False, True)])
def test_a_host_without_configuration_hides_no_version(net, hosts, ready, draining):
    """Operators see a version that is in force vanish from a zone for a while.

    A host that starts, or is stopped before it read the configuration, reports -1.
    It starts no task, so what its sibling has in force is in force in the zone.
    """
    view = net.views[hosts[0]]
    net.run(2 * STEP)
    new = replace(hosts[1], incarnation=2)
    view.record_heartbeat(Heartbeat(new, 1, ready, draining, -1, 0, 0, 0.0), net.now)
    assert view.zone_summary(hosts[0].zone).version == 7


def test_an_upstream_that_came_back_is_used_again(net, hosts):
    first, sibling = (net.views[host] for host in hosts[:2])
    first.mark_leaving(LEAVING, net.now)
    net.run(11)
    first.clear_leaving(LEAVING, net.now)
    assert not first.is_upstream_leaving(LEAVING)
    net.run(16)
    assert not sibling.is_upstream_leaving(LEAVING)


def test_an_old_heartbeat_changes_nothing(net, hosts):
    view = net.views[hosts[0]]
    beat = Heartbeat(hosts[1], 10**6, True, True, 7, 0, 0, 0.0)
    view.record_heartbeat(beat, net.now)
    view.record_heartbeat(replace(beat, sequence=10**6 - 1, draining=False), net.now)
    assert view.ready_hosts(hosts[1].zone) == ()


@pytest.mark.parametrize(("zones", "size"), [(4, 2), (9, 6)])
def test_real_heartbeats_stay_in_the_byte_budget(zones, size):
    """Control traffic grows with the square of the hosts unless the pace follows."""
    net = build(zones, size)
    net.usage = tuple(CustomerUsage(f"team-{n}", n, n) for n in range(140))
    net.world = replace(net.world, customers=tuple(range(140)))
    for view in net.views.values():
        view.set_cluster_spec(net.world, 0.0)
    net.run(10)
    net.sent.clear()
    net.received.clear()
    net.run(60)
    rates = [(net.sent[host] + net.received[host]) / 60 for host in net.views]
    assert max(rates) < 9000


@pytest.mark.parametrize("size", [1, 2, 6, 12, 20])
def test_the_pace_keeps_the_design_size_in_budget(size):
    cost = heartbeat_bandwidth(zones=18, hosts=size, customers=140)
    assert cost.sent + cost.received < 9000
