"""A quota holds over all zones and reaches the host that needs it."""

import pytest
from hypothesis import given, strategies as st

from jackdawspur.limits import Quotas
from jackdawspur.limits._shares import base_shares, divide
from jackdawspur.messages import CustomerUsage
from jackdawspur.model import (
    ClusterSpec,
    Customer,
    EntryHost,
    HostId,
    Upstream,
    UpstreamId,
)

QUOTA = 120
HOSTS = 6


def test_unused_share_moves_to_the_need_within_two_seconds(make_hosts):
    hosts = make_hosts(QUOTA)
    hosts.hosts[0].wanted = 500
    hosts.run(0.1)
    assert hosts.running >= QUOTA // HOSTS
    hosts.run(1.9)
    # The other five keep a quarter of their even shares of 20 for their first tasks.
    assert hosts.running == QUOTA - 5 * 5


def test_burst_everywhere_at_once_stays_within_the_quota(make_hosts):
    """A customer runs several times its quota when all hosts get its jobs at once.

    Each believes that the others use nothing, as their last heartbeats say.
    """
    hosts = make_hosts(QUOTA)
    for host in hosts.hosts:
        host.wanted = 500
    hosts.run(10.0)
    assert hosts.most <= QUOTA
    assert hosts.running == QUOTA


def test_need_that_moves_overshoots_by_no_more_than_even_shares(make_hosts):
    """The customer's load jumps from one host to another and both use its quota.

    The first holds most of the quota; before it hears of the other's need, that one
    starts on its own share. The excess is bounded and gone within two seconds.
    """
    hosts = make_hosts(QUOTA)
    hosts.hosts[0].wanted = 500
    hosts.run(5.0)
    hosts.hosts[5].wanted = 500
    hosts.run(2.0)
    assert hosts.most <= QUOTA + QUOTA // HOSTS
    hosts.run(3.0)
    assert hosts.most <= QUOTA
    hosts.hosts[0].wanted = 0
    hosts.run(3.0)
    assert hosts.most <= QUOTA
    assert hosts.hosts[5].running == QUOTA - 5 * 5


def test_quota_holds_across_a_cut_between_zones(make_hosts):
    """Zones lose each other and a customer runs its quota once on each side.

    Neither side hears the other's use. Each keeps to the even shares of the hosts it
    can hear, from three seconds after the last heartbeat on; then they meet again.
    """
    hosts = make_hosts(QUOTA)
    for host in hosts.hosts[2:]:
        host.wanted = 500
    hosts.run(3.0)
    hosts.cut = {"z0"}
    hosts.run(5.0)
    for host in hosts.hosts[:2]:
        host.wanted = 500
    hosts.run(5.0)
    assert hosts.most <= QUOTA
    sides = [
        sum(h.running for h in part) for part in (hosts.hosts[:2], hosts.hosts[2:])
    ]
    assert sides == [QUOTA // 3, QUOTA * 2 // 3]
    hosts.cut = set()
    hosts.run(5.0)
    assert hosts.most <= QUOTA


def test_dead_host_leaves_its_share_to_the_others(make_hosts):
    hosts = make_hosts(QUOTA)
    for host in hosts.hosts[1:]:
        host.wanted = 500
    dead = hosts.hosts[0]
    dead.alive = False
    hosts.run(5.0)
    assert hosts.running == QUOTA


def test_host_that_hears_nobody_keeps_its_even_share(make_hosts):
    hosts = make_hosts(QUOTA, zones=6, in_zone=1)
    hosts.cut = {"z0"}
    hosts.hosts[0].wanted = 500
    hosts.run(6.0)
    assert hosts.running == QUOTA // HOSTS


def test_small_quota_is_reached_by_any_host(make_hosts):
    hosts = make_hosts(3)
    hosts.hosts[4].wanted = 10
    hosts.run(2.0)
    assert hosts.running == 3


def test_unknown_customer_and_lowered_quota_start_nothing():
    quotas = Quotas(HostId("z0", "e0", 1))
    entries = (EntryHost("z0", "e0", "", ""),)
    quotas.set_cluster_spec(ClusterSpec(1, (Customer("a", 2),), entries))
    assert quotas.may_start("a", 0.0)
    assert not quotas.may_start("b", 0.0)
    quotas.started("a")
    quotas.set_cluster_spec(ClusterSpec(2, (Customer("a", 1),), entries))
    assert not quotas.may_start("a", 0.2)
    quotas.set_cluster_spec(ClusterSpec(3, (), entries))
    quotas.ended("a")
    assert not quotas.may_start("a", 0.4)


def test_heartbeat_touches_active_customers_only():
    """Heartbeats of many hosts use up a core although few customers are active."""
    quotas = Quotas(HostId("z0", "e0", 1))
    entries = (EntryHost("z0", "e0", "", ""), EntryHost("z1", "e1", "", ""))
    customers = tuple(Customer(f"c{n}", 10) for n in range(140))
    quotas.set_cluster_spec(ClusterSpec(1, customers, entries))
    for customer in customers:
        quotas.may_start(customer.name, 0.0)
    sender = HostId("z1", "e1", 1)
    quotas.update_peer_usage(sender, (), 0.5)
    for customer in customers:
        quotas.may_start(customer.name, 1.0)
    quotas.update_peer_usage(sender, (CustomerUsage("c7", 3, 0),), 1.0)
    stale = [name for name, use in quotas._customers.items() if use.stale]
    assert stale == ["c7"]


@given(
    st.integers(0, 500),
    st.lists(st.integers(0, 400), min_size=1, max_size=12),
    st.sampled_from(["a", "b", "c"]),
)
def test_shares_never_exceed_the_quota(quota, needs, salt):
    base = base_shares(quota, len(needs), salt)
    assert sum(base) == quota
    floors = [share // 4 for share in base]
    shares = divide(quota, needs, floors)
    assert sum(shares) <= quota
    assert all(s >= f for s, f in zip(shares, floors, strict=True))
    if sum(needs) >= quota:
        assert sum(shares) == quota


@pytest.mark.parametrize("needs", [[500, 0, 0, 0], [0, 500, 500, 0]])
def test_what_others_do_not_need_goes_where_it_is_needed(needs):
    shares = divide(100, needs, [0, 0, 0, 0])
    assert [share > 0 for share in shares] == [need > 0 for need in needs]


def test_burst_on_all_hosts_but_the_borrower_is_bounded(make_hosts):
    """A customer runs more than its quota when five hosts need it back at once.

    One host borrowed all but the kept parts. The others claim their even shares of
    20, kept parts of 5 in them, before the borrower has heard of their need.
    """
    hosts = make_hosts(QUOTA)
    hosts.hosts[0].wanted = 500
    hosts.run(5.0)
    for host in hosts.hosts[1:]:
        host.wanted = 500
    hosts.run(1.0)
    assert hosts.most <= QUOTA + 5 * (20 - 5)
    hosts.run(3.0)
    assert hosts.most <= QUOTA
    assert hosts.running == QUOTA


def test_cut_at_the_moment_of_a_burst_ends_within_the_quota(make_hosts):
    """A customer runs over its quota for as long as a cut lasts.

    Four hosts borrowed what a zone of two did not need. At the moment that the zone is
    cut off it needs its share, and the borrowers cannot hear of it.
    """
    hosts = make_hosts(QUOTA)
    for host in hosts.hosts[2:]:
        host.wanted = 500
    hosts.run(3.0)
    borrowed = hosts.running - QUOTA * 2 // 3
    hosts.cut = {"z0"}
    for host in hosts.hosts[:2]:
        host.wanted = 500
    hosts.run(4.5)
    assert hosts.most <= QUOTA + borrowed
    hosts.run(5.0)
    assert hosts.most <= QUOTA


@pytest.mark.parametrize(("slots", "most"), [(QUOTA, QUOTA), (QUOTA + 1, QUOTA // 2)])
def test_a_quota_of_all_slots_keeps_no_wide_job_waiting(slots, most):
    """A wide job waits a second beside idle slots that its customer may use.

    Its host held a share of a quota which no number of tasks could exceed. A quota
    of one slot less than there are is divided as ever.
    """
    host = HostId("z1", "e1", 1)
    world = ClusterSpec(
        1,
        customers=(Customer("maps", QUOTA),),
        entry_hosts=(EntryHost("z1", "e1", "", ""), EntryHost("z2", "e1", "", "")),
        upstreams=(Upstream(UpstreamId("z1", "u1"), "", slots=slots),),
    )
    quotas = Quotas(host)
    quotas.set_cluster_spec(world)
    assert quotas.share("maps", 0.0) == quotas.headroom("maps", 0.0) == most
    quotas.started("maps", most)
    assert not quotas.may_start("maps", 0.0)
