"""Tests of the division of slots and of the slot pool of one host."""

from collections import Counter

from hypothesis import given, settings, strategies as st

from jackdawspur.model import HostId, Upstream, UpstreamId
from jackdawspur.sharing import SlotPool, divide

SLOTS = st.lists(st.integers(0, 20), min_size=1, max_size=30)


@settings(derandomize=True, max_examples=100)
@given(SLOTS, st.integers(1, 14), st.randoms(use_true_random=False))
def test_every_slot_has_one_holder_and_shares_are_even(slots, host_count, rng):
    """No slot may have two holders, which causes refused starts, or none.

    Hosts get upstreams and the hosts of the zone in different orders and incarnations.
    """
    upstreams = [
        Upstream(UpstreamId("z", f"up-{n}"), "", slots=count)
        for n, count in enumerate(slots)
    ]
    hosts = [HostId("z", f"entry-{n}", rng.randrange(9)) for n in range(host_count)]
    pools = []
    for host in hosts:
        rng.shuffle(upstreams)
        pool = SlotPool(host)
        pool.set_members(upstreams, rng.sample(hosts, host_count), 0.0)
        pools.append(pool)
    shares = divide(upstreams, hosts)
    for upstream in upstreams:
        held = [shares[host][upstream.id] for host in hosts]
        assert sum(held) == upstream.slots
        assert max(held) - min(held) <= 1
    totals = [pool.capacity() for pool in pools]
    assert totals == [sum(shares[host].values()) for host in hosts]
    assert max(totals) - min(totals) <= 1


def test_tasks_spread_over_upstreams_and_racks(upstreams, hosts):
    pool = SlotPool(hosts[0])
    pool.set_members(upstreams, hosts, 0.0)
    chosen_upstreams = []
    for _ in range(8):
        chosen_upstreams.extend(pool.select_slots(1, 0.0))
        pool.acquire(chosen_upstreams[-1], 0.0)
    counts = Counter(chosen_upstreams)
    assert len(counts) == 8
    racks = {upstream.id: upstream.rack for upstream in upstreams}
    assert Counter(racks[name] for name in chosen_upstreams[:4]) == {"r0": 2, "r1": 2}


def test_packing_uses_few_upstreams_to_save_messages(upstreams, hosts):
    pool = SlotPool(hosts[0])
    pool.set_members(upstreams, hosts, 0.0)
    assert len(set(pool.select_slots(8, 0.0, pack=True))) == 2
    assert len(set(pool.select_slots(8, 0.0))) == 8


def test_excluded_and_limited_upstreams_are_respected(upstreams, hosts):
    pool = SlotPool(hosts[0])
    pool.set_members(upstreams, hosts, 0.0)
    excluded_upstream, slow = upstreams[0].id, upstreams[1].id
    pool.acquire(slow, 0.0)
    chosen = Counter(
        pool.select_slots(100, 0.0, excluded={excluded_upstream}, limits={slow: 2})
    )
    assert chosen[excluded_upstream] == 0
    assert chosen[slow] == 1
    assert chosen.total() == 6 * 4 + 1


def test_running_tasks_keep_their_slots_when_a_host_joins(upstreams, hosts):
    """A host that joins must not start tasks on slots in use by another host.

    The other host occupies all slots. It keeps its running tasks, starts no more, and
    reaches its new share as tasks end.
    """
    pool = SlotPool(hosts[0])
    pool.set_members(upstreams, hosts[:1], 0.0)
    taken = pool.select_slots(64, 0.0)
    for upstream in taken:
        pool.acquire(upstream, 0.0)
    pool.set_members(upstreams, hosts, 1.0)
    assert (pool.free(1.0), pool.busy()) == (0, 64)
    for upstream in taken[:32]:
        pool.release(upstream)
    assert pool.free(1.0) == 0
    pool.release(taken[32])
    assert pool.free(1.0) == 1


def test_the_backoff_of_a_full_upstream_grows(upstreams, hosts):
    pool = SlotPool(hosts[0])
    pool.set_members(upstreams, hosts, 0.0)
    full = upstreams[0].id
    pool.start_backoff(full, 0.0)
    assert full not in pool.select_slots(100, 0.04)
    assert full in pool.select_slots(100, 0.06)
    pool.start_backoff(full, 0.06)
    assert full not in pool.select_slots(100, 0.15)
    pool.reset_backoff(full)
    assert full in pool.select_slots(100, 0.15)
