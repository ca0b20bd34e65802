"""Tests of messages that arrive seconds late, after a network partition has ended."""

from types import SimpleNamespace

import pytest

from jackdawspur.front._clock import now_s
from jackdawspur.front._views import StoreView
from jackdawspur.front.tests.faulty import FaultyWorld
from jackdawspur.group import Group, HostAddress, UpstreamListUpdate
from jackdawspur.leases import Resources, UpstreamEntry
from jackdawspur.model import UpstreamId

ZONES = ("z1", "z2")
PARTITION = frozenset(ZONES)
SENT_AT = 50.0
ENTRY = UpstreamEntry(
    UpstreamId("z1", "u1"), "s", "127.0.0.1:1", Resources(8), (), False
)


@pytest.fixture
def two_groups(monkeypatch) -> FaultyWorld:
    """Return two zones with a leader each; z1 has little capacity."""
    world = FaultyWorld(monkeypatch, most_upstreams=2, seed=1)
    world.late_messages = True
    world.add_upstreams("z1", 1)
    world.add_upstreams("z2", 6)
    for number in range(2):
        for zone in ZONES:
            world.start(f"{zone}-h{number}", zone)
    world.run(3.0)
    return world


def test_an_offer_delayed_by_a_partition_starts_no_run(
    two_groups: FaultyWorld,
):
    # A task runs twice at the same time. A job is redirected to another zone, which is
    # partitioned at that moment, so the offer stays in the connection. The caller gets
    # the answer that the outcome is unknown, retries 1.3 s later, and its own zone
    # starts the job. Then the partition ends, the offer arrives, and the other zone
    # starts it too.
    world = two_groups
    for turn in range(10):
        for _ in range(4):
            world.ask("z1", 0.5, 2)
        world.run(0.02 + 0.005 * turn)
        world.partitions.add(PARTITION)
        world.run(1.8)
        world.partitions.discard(PARTITION)
        world.run(4.0)
    assert world.counters.two_at_once == 0


@pytest.fixture
def view() -> StoreView:
    """Return the view of a host that has not read the store."""
    group = Group(HostAddress("h", "z1", "127.0.0.1:2", 1), now_s())
    return StoreView(SimpleNamespace(upstreams_changed=lambda: None, group=group))


@pytest.mark.parametrize(("latency_s", "accepted"), [(0.01, True), (2.0, False)])
def test_a_list_delayed_by_a_partition_is_ignored(
    view: StoreView, latency_s: float, accepted: bool
):
    # Guards against a leader that uses a list which is older than its stated age.
    update = UpstreamListUpdate(SENT_AT, 0.1, (ENTRY,))
    view.on_upstream_update(update, SENT_AT + latency_s)
    assert bool(view.entries) is accepted


def test_a_list_that_was_not_read_during_a_pause_is_as_old_as_it(
    view: StoreView,
):
    # Guards against stating to a leader that this host knows the newest upstreams.
    pauses = view._owner.group.pauses
    pauses.update(now_s() - 3.0)
    view.on_upstreams((ENTRY,))
    assert view.age_s(now_s()) >= 3.0
    pauses.update(now_s())
    view.on_upstreams((ENTRY,))
    assert view.age_s(now_s()) >= 3.0
