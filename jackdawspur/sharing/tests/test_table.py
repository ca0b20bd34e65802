"""Tests of the division and of one host's slots."""

from collections import Counter

from hypothesis import given, settings, strategies as st

from jackdawspur.model import HostId, Upstream, UpstreamId
from jackdawspur.sharing import SlotPool, divide

SLOTS = st.lists(st.integers(0, 20), min_size=1, max_size=30)


@settings(derandomize=True, max_examples=100)
@given(SLOTS, st.integers(1, 14), st.randoms(use_true_random=False))
def test_every_slot_has_one_holder_and_shares_are_even(slots, host_count, rng):
    """Starts are refused because two hosts hold a slot, or a slot lies idle.

    Hosts learn upstreams and siblings in different orders and incarnations.
    """
    upstreams = [
        Upstream(UpstreamId("z", f"up-{n}"), "", slots=count)
        for n, count in enumerate(slots)
    ]
    hosts = [HostId("z", f"entry-{n}", rng.randrange(9)) for n in range(host_count)]
    tables = []
    for host in hosts:
        rng.shuffle(upstreams)
        table = SlotPool(host)
        table.set_members(upstreams, rng.sample(hosts, host_count), 0.0)
        tables.append(table)
    shares = divide(upstreams, hosts)
    for upstream in upstreams:
        held = [shares[host][upstream.id] for host in hosts]
        assert sum(held) == upstream.slots
        assert max(held) - min(held) <= 1
    totals = [table.capacity() for table in tables]
    assert totals == [sum(shares[host].values()) for host in hosts]
    assert max(totals) - min(totals) <= 1


def test_tasks_spread_over_upstreams_and_racks(upstreams, hosts):
    table = SlotPool(hosts[0])
    table.set_members(upstreams, hosts, 0.0)
    names = []
    for _ in range(8):
        names.extend(table.select_slots(1, 0.0))
        table.acquire(names[-1], 0.0)
    counts = Counter(names)
    assert len(counts) == 8
    racks = {one.id: one.rack for one in upstreams}
    assert Counter(racks[name] for name in names[:4]) == {"r0": 2, "r1": 2}


def test_a_job_packs_into_few_upstreams_when_messages_count(upstreams, hosts):
    table = SlotPool(hosts[0])
    table.set_members(upstreams, hosts, 0.0)
    assert len(set(table.select_slots(8, 0.0, pack=True))) == 2
    assert len(set(table.select_slots(8, 0.0))) == 8


def test_excluded_and_limited_upstreams_are_respected(upstreams, hosts):
    table = SlotPool(hosts[0])
    table.set_members(upstreams, hosts, 0.0)
    bad, slow = upstreams[0].id, upstreams[1].id
    table.acquire(slow, 0.0)
    chosen = Counter(table.select_slots(100, 0.0, excluded={bad}, limits={slow: 2}))
    assert chosen[bad] == 0
    assert chosen[slow] == 1
    assert chosen.total() == 6 * 4 + 1


def test_running_tasks_keep_their_slots_when_the_view_grows(upstreams, hosts):
    """A host joins while its sibling fills all slots; starts must not double up.

    The old host keeps what runs, starts nothing more, and gets to its new share as
    tasks end.
    """
    table = SlotPool(hosts[0])
    table.set_members(upstreams, hosts[:1], 0.0)
    taken = table.select_slots(64, 0.0)
    for upstream in taken:
        table.acquire(upstream, 0.0)
    table.set_members(upstreams, hosts, 1.0)
    assert (table.free(1.0), table.busy()) == (0, 64)
    for upstream in taken[:32]:
        table.release(upstream)
    assert table.free(1.0) == 0
    table.release(taken[32])
    assert table.free(1.0) == 1


def test_a_full_upstream_is_left_alone_for_longer_each_time(upstreams, hosts):
    table = SlotPool(hosts[0])
    table.set_members(upstreams, hosts, 0.0)
    full = upstreams[0].id
    table.start_backoff(full, 0.0)
    assert full not in table.select_slots(100, 0.04)
    assert full in table.select_slots(100, 0.06)
    table.start_backoff(full, 0.06)
    assert full not in table.select_slots(100, 0.15)
    table.reset_backoff(full)
    assert full in table.select_slots(100, 0.15)
