"""What hosts say to each other may arrive seconds later, when a cut has healed."""

from types import SimpleNamespace

import pytest

from jackdawspur.front._views import StoreView
from jackdawspur.front.tests.faulty import FaultyWorld
from jackdawspur.group import UpstreamListUpdate
from jackdawspur.leases import Resources, UpstreamEntry
from jackdawspur.model import UpstreamId

ZONES = ("z1", "z2")
CUT = frozenset(ZONES)
SENT_AT = 50.0
ENTRY = UpstreamEntry(
    UpstreamId("z1", "u1"), "s", "127.0.0.1:1", Resources(8), (), False
)


@pytest.fixture
def two_groups(monkeypatch) -> FaultyWorld:
    """Return two zones with a leading host each; z1 has little room."""
    world = FaultyWorld(monkeypatch, most_upstreams=2, seed=1)
    world.late_messages = True
    world.add_upstreams("z1", 1)
    world.add_upstreams("z2", 6)
    for number in range(2):
        for zone in ZONES:
            world.start(f"{zone}-h{number}", zone)
    world.run(3.0)
    return world


def test_an_offer_that_waited_for_the_end_of_a_cut_starts_nothing(
    two_groups: FaultyWorld,
):
    # One order is carried out twice at one time. A job is passed on to another zone,
    # which is cut off at that moment. The offer stays in the connection. The caller is
    # told that the outcome is unknown, asks again 1.3 s later, and its own zone starts
    # the job. Then the cut heals, the offer arrives, and the other zone starts it too.
    world = two_groups
    for turn in range(10):
        for _ in range(4):
            world.ask("z1", 0.5, 2)
        world.run(0.02 + 0.005 * turn)
        world.cut.add(CUT)
        world.run(1.8)
        world.cut.discard(CUT)
        world.run(4.0)
    assert world.counters.two_at_once == 0


@pytest.fixture
def view() -> StoreView:
    """Return what a host knows that has not read the store."""
    return StoreView(SimpleNamespace(upstreams_changed=lambda: None))


@pytest.mark.parametrize(("way_s", "taken"), [(0.01, True), (2.0, False)])
def test_a_list_that_waited_for_the_end_of_a_cut_is_not_new(
    view: StoreView, way_s: float, taken: bool
):
    # Guards against a host that leads by a list which is older than it says.
    passed = UpstreamListUpdate(SENT_AT, 0.1, (ENTRY,))
    view.on_upstream_update(passed, SENT_AT + way_s)
    assert bool(view.entries) is taken
