"""What the leading host learned lasts when another host leads."""

from collections.abc import Callable

import pytest

from jackdawspur.front.tests.test_between_groups import leader_of
from jackdawspur.front.tests.test_zones_that_differ import alive, drain
from jackdawspur.front.tests.virtual import World
from jackdawspur.group import HostHeartbeat, decode_message, encode_message
from jackdawspur.model import UpstreamId
from jackdawspur.runs import Dispatcher

SLOW = UpstreamId("z1", "u0")
SLOW_PACE = 3.0
TASKS = 8
RUN_S = 0.2
# Smaller changes are not told.
ROUNDED = 0.08


class HeartbeatSizes:
    """Keep how many bytes each heartbeat has, and how many for what was learned."""

    def __init__(self, world: World) -> None:
        self.sizes: list[tuple[str, str, int, int]] = []
        self._carry = world.carry
        world.carry = self.carry

    def carry(self, sender, name: str, data: bytes) -> None:
        message = decode_message(data)
        if isinstance(message, HostHeartbeat):
            learned = message.learned
            bare = encode_message(_without(message)) if learned else data
            self.sizes.append((sender.name, name, len(data), len(data) - len(bare)))
        self._carry(sender, name, data)


def _without(heartbeat: HostHeartbeat) -> HostHeartbeat:
    values = {name: getattr(heartbeat, name) for name in heartbeat.__struct_fields__}
    return HostHeartbeat(**values | {"learned": None})


@pytest.fixture
def world(monkeypatch) -> World:
    """Return a zone of three hosts, one of whose upstreams is slow."""
    world = World(monkeypatch, most_upstreams=64)
    world.add_upstreams("z1", 6)
    world.upstreams[SLOW].pace = SLOW_PACE
    for name in ("a1", "a2", "a3"):
        world.start(name, "z1")
    world.run(3.0)
    return world


def dispatcher_of(world: World, name: str) -> Dispatcher:
    return world.lives[name].process.leader_driver.dispatcher


def pace(world: World, name: str) -> float:
    return dispatcher_of(world, name).estimates.slowdown(SLOW)


def work(world: World, seconds: float) -> None:
    """Let callers send wide jobs that reach the slow upstream too."""
    for _ in range(round(seconds / 0.4)):
        world.submit(alive(world)[-1], RUN_S, TASKS)
        world.run(0.4)


def change_the_lead(world: World, leave: Callable[[World, str], None]) -> str:
    """Let the leading host go, and return the next one once it holds upstreams."""
    former = leader_of(world, "z1")
    leave(world, former)
    world.run_until(lambda: set(world.leaders()) - {former}, 3.0)
    world.run(0.3)
    (leader,) = set(world.leaders()) - {former}
    return leader


def die(world: World, name: str) -> None:
    world.kill(name)


@pytest.mark.parametrize("leave", [die, drain])
def test_the_next_leading_host_knows_the_paces(world, leave):
    # Guards against long jobs that start on slow upstreams after each change of lead.
    work(world, 8.0)
    world.run(1.5)
    known = pace(world, leader_of(world, "z1"))
    assert known > 1.5
    leader = change_the_lead(world, leave)
    assert pace(world, leader) == pytest.approx(known, rel=ROUNDED)


def test_paces_last_over_several_changes_of_the_lead(world):
    # Guards against what was learned that lasts for one change only.
    work(world, 8.0)
    world.run(1.5)
    known = pace(world, leader_of(world, "z1"))
    for _ in range(2):
        world.run(1.5)
        leader = change_the_lead(world, die)
    assert known > 1.5
    assert pace(world, leader) == pytest.approx(known, rel=2 * ROUNDED)


def test_a_host_that_starts_learns_what_is_known(world):
    # Guards against a lead that goes to a host which started after all was told.
    work(world, 8.0)
    leader = leader_of(world, "z1")
    for name in set(alive(world)) - {leader}:
        world.kill(name)
        world.run(0.5)
        world.start(name, "z1")
    world.run(15.0)
    known = pace(world, leader)
    assert known > 1.5
    next_one = change_the_lead(world, die)
    assert next_one != leader
    assert pace(world, next_one) == pytest.approx(known, rel=ROUNDED)


def test_other_groups_are_told_nothing(monkeypatch):
    # Guards against a zone that judges its upstreams by another zone's words.
    world = World(monkeypatch, most_upstreams=2)
    for zone in ("z1", "z2"):
        world.add_upstreams(zone, 3)
    for name, zone in (("a1", "z1"), ("b1", "z2"), ("a2", "z1"), ("b2", "z2")):
        world.start(name, zone)
    world.run(3.0)
    heartbeats = HeartbeatSizes(world)
    for _ in range(10):
        world.submit("a1", RUN_S, 4)
        world.run(0.5)
    told = {(sender, name) for sender, name, _, extra in heartbeats.sizes if extra}
    assert told
    assert {(world.zones[one], world.zones[other]) for one, other in told} == {
        ("z1", "z1")
    }


def test_what_another_groups_host_tells_is_left(world):
    # Guards against values of hosts that this one does not follow.
    work(world, 8.0)
    leader = leader_of(world, "z1")
    follower, other = sorted(set(alive(world)) - {leader})
    leader_driver = world.lives[follower].process.leader_driver
    heard = []
    leader_driver.dispatcher.estimates.merge_update = lambda learned, _now: (
        heard.append(learned)
    )
    heartbeat = world.lives[leader].process._heartbeats._common(world.now)
    told = dispatcher_of(world, leader).estimates.next_update(world.now + 20.0)
    values = {name: getattr(heartbeat, name) for name in heartbeat.__struct_fields__}
    strange = {"host": world.announced[other], "learned": told}
    leader_driver.record_learned(HostHeartbeat(**values | strange), world.now)
    assert heard == []
    leader_driver.record_learned(HostHeartbeat(**values | {"learned": told}), world.now)
    assert heard == [told]


def test_heartbeats_take_few_bytes_for_what_was_learned(world):
    # Guards against a host's control that spends its bytes on what it learned.
    heartbeats = HeartbeatSizes(world)
    began = world.now
    work(world, 20.0)
    to_one = [
        extra for _, name, _, extra in heartbeats.sizes if name == alive(world)[-1]
    ]
    assert sum(to_one) / (world.now - began) < 320
    assert max(to_one) <= 174
