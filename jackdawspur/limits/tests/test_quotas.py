"""Tests that quotas hold over all zones and shares move to hosts that need them."""

import pytest
from hypothesis import given, strategies as st

from jackdawspur.limits import Quotas
from jackdawspur.limits._shares import divide, even_shares
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


def test_unused_share_moves_to_host_in_need_within_two_seconds(make_hosts):
    hosts = make_hosts(QUOTA)
    hosts.hosts[0].wanted = 500
    hosts.run(0.1)
    assert hosts.running >= QUOTA // HOSTS
    hosts.run(1.9)
    # The other five keep a quarter of their even shares of 20 for their first tasks.
    assert hosts.running == QUOTA - 5 * 5


def test_burst_everywhere_at_once_stays_within_the_quota(make_hosts):
    """A customer exceeds its quota several times when all hosts get its jobs at once.

    Each host assumes that the others use nothing, as their last heartbeats reported.
    """
    hosts = make_hosts(QUOTA)
    for host in hosts.hosts:
        host.wanted = 500
    hosts.run(10.0)
    assert hosts.max_running <= QUOTA
    assert hosts.running == QUOTA


def test_need_that_moves_overshoots_by_no_more_than_even_shares(make_hosts):
    """Two hosts use a customer's quota when its load moves from one to the other.

    The first host uses most of the quota. Before it learns of the other's need, the
    other starts tasks on its own share. The excess must be bounded and end within two
    seconds.
    """
    hosts = make_hosts(QUOTA)
    hosts.hosts[0].wanted = 500
    hosts.run(5.0)
    hosts.hosts[5].wanted = 500
    hosts.run(2.0)
    assert hosts.max_running <= QUOTA + QUOTA // HOSTS
    hosts.run(3.0)
    assert hosts.max_running <= QUOTA
    hosts.hosts[0].wanted = 0
    hosts.run(3.0)
    assert hosts.max_running <= QUOTA
    assert hosts.hosts[5].running == QUOTA - 5 * 5


def test_quota_holds_across_a_partition_between_zones(make_hosts):
    """A customer uses its quota once on each side of a network partition.

    Neither side receives the other's usage. From three seconds after the last heartbeat
    each must stay within the even shares of the hosts it can reach. Then the partition
    ends.
    """
    hosts = make_hosts(QUOTA)
    for host in hosts.hosts[2:]:
        host.wanted = 500
    hosts.run(3.0)
    hosts.partitioned_zones = {"z0"}
    hosts.run(5.0)
    for host in hosts.hosts[:2]:
        host.wanted = 500
    hosts.run(5.0)
    assert hosts.max_running <= QUOTA
    sides = [
        sum(h.running for h in side) for side in (hosts.hosts[:2], hosts.hosts[2:])
    ]
    assert sides == [QUOTA // 3, QUOTA * 2 // 3]
    hosts.partitioned_zones = set()
    hosts.run(5.0)
    assert hosts.max_running <= QUOTA


def test_dead_host_leaves_its_share_to_the_others(make_hosts):
    hosts = make_hosts(QUOTA)
    for host in hosts.hosts[1:]:
        host.wanted = 500
    dead = hosts.hosts[0]
    dead.alive = False
    hosts.run(5.0)
    assert hosts.running == QUOTA


def test_host_that_receives_no_heartbeats_keeps_its_even_share(make_hosts):
    hosts = make_hosts(QUOTA, zones=6, hosts_per_zone=1)
    hosts.partitioned_zones = {"z0"}
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
    """Heartbeats of many hosts keep a core busy although few customers are active."""
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
    stale = [name for name, state in quotas._customers.items() if state.stale]
    assert stale == ["c7"]


@given(
    st.integers(0, 500),
    st.lists(st.integers(0, 400), min_size=1, max_size=12),
    st.sampled_from(["a", "b", "c"]),
)
def test_shares_never_exceed_the_quota(quota, needs, salt):
    even = even_shares(quota, len(needs), salt)
    assert sum(even) == quota
    floors = [share // 4 for share in even]
    shares = divide(quota, needs, floors)
    assert sum(shares) <= quota
    assert all(s >= f for s, f in zip(shares, floors, strict=True))
    if sum(needs) >= quota:
        assert sum(shares) == quota


@pytest.mark.parametrize("needs", [[500, 0, 0, 0], [0, 500, 500, 0]])
def test_slots_that_others_do_not_need_go_to_hosts_in_need(needs):
    shares = divide(100, needs, [0, 0, 0, 0])
    assert [share > 0 for share in shares] == [need > 0 for need in needs]


def test_burst_on_all_hosts_but_the_borrower_is_bounded(make_hosts):
    """A customer exceeds its quota when five hosts need their shares back at once.

    One host borrowed all but the guaranteed minimums. The others claim their even
    shares of 20, of which 5 are guaranteed, before the borrower learns of their need.
    """
    hosts = make_hosts(QUOTA)
    hosts.hosts[0].wanted = 500
    hosts.run(5.0)
    for host in hosts.hosts[1:]:
        host.wanted = 500
    hosts.run(1.0)
    assert hosts.max_running <= QUOTA + 5 * (20 - 5)
    hosts.run(3.0)
    assert hosts.max_running <= QUOTA
    assert hosts.running == QUOTA


def test_partition_during_a_burst_ends_within_the_quota(make_hosts):
    """A customer exceeds its quota for as long as a network partition lasts.

    Four hosts borrowed slots that a zone of two hosts didn't need. When the zone is
    partitioned it needs its share, and the borrowers can't learn of that.
    """
    hosts = make_hosts(QUOTA)
    for host in hosts.hosts[2:]:
        host.wanted = 500
    hosts.run(3.0)
    borrowed = hosts.running - QUOTA * 2 // 3
    hosts.partitioned_zones = {"z0"}
    for host in hosts.hosts[:2]:
        host.wanted = 500
    hosts.run(4.5)
    assert hosts.max_running <= QUOTA + borrowed
    hosts.run(5.0)
    assert hosts.max_running <= QUOTA


@pytest.mark.parametrize(
    ("slots", "max_running"), [(QUOTA, QUOTA), (QUOTA + 1, QUOTA // 2)]
)
def test_wide_job_does_not_wait_for_a_quota_of_all_slots(slots, max_running):
    """A wide job waits a second while slots that its customer may use are idle.

    Its host used only its share of a quota that no number of tasks could exceed. A
    quota that is one slot smaller than the number of slots is still divided.
    """
    host = HostId("z1", "e1", 1)
    cluster_spec = ClusterSpec(
        1,
        customers=(Customer("maps", QUOTA),),
        entry_hosts=(EntryHost("z1", "e1", "", ""), EntryHost("z2", "e1", "", "")),
        upstreams=(Upstream(UpstreamId("z1", "u1"), "", slots=slots),),
    )
    quotas = Quotas(host)
    quotas.set_cluster_spec(cluster_spec)
    assert quotas.share("maps", 0.0) == quotas.headroom("maps", 0.0) == max_running
    quotas.started("maps", max_running)
    assert not quotas.may_start("maps", 0.0)
