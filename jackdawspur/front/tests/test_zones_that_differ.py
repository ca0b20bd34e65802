"""Zones that join, split or have different lists serve callers, each task once."""

from collections import Counter
from types import SimpleNamespace

import pytest

from jackdawspur.front.tests.test_between_groups import leader_of, start_all
from jackdawspur.front.tests.virtual import Asked, World
from jackdawspur.group import Group


def two_zones(monkeypatch, most: int, first: int, second: int) -> World:
    world = World(monkeypatch, most_upstreams=most)
    world.add_upstreams("z1", first)
    world.add_upstreams("z2", second)
    start_all(world)
    return world


def alive(world: World, zone: str | None = None) -> list[str]:
    return [
        name
        for name, life in world.lives.items()
        if not life.dead and zone in (None, world.zones[name])
    ]


def ask(
    world: World,
    seconds: float,
    run_s: float = 0.25,
    hosts: list[str] | None = None,
    every_s: float = 0.1,
) -> list[Asked]:
    asked: list[Asked] = []
    end = world.now + seconds
    while world.now < end:
        asked += [world.submit(name, run_s) for name in hosts or alive(world)]
        world.run(every_s)
    return asked


def statuses(asked: list[Asked]) -> Counter:
    return Counter(one.reply.status for one in asked if one.reply is not None)


def drain(world: World, name: str) -> None:
    process = world.lives[name].process
    process._on_signal(SimpleNamespace(stop=lambda: None), 15, None)


def group_of(world: World, name: str) -> Group:
    return world.lives[name].process.group


def in_use(world: World, name: str) -> set[str]:
    """Return the zones whose upstreams a leading host has."""
    held = world.lives[name].process.leader_driver.dispatcher.upstream_pool.upstreams
    return {one.entry.id.zone for one in held}


def running_in(world: World, zone: str) -> int:
    upstreams = world.upstreams.items()
    return sum(
        len(up.report(world.now).running) for id_, up in upstreams if id_.zone == zone
    )


def test_groups_join_while_entries_lapse(monkeypatch):
    # One order is carried out twice at one time, run 1 in z2 and run 17 in z1. Entries
    # of z2 lapse in the store though their upstreams are up, and the list is so short
    # that the groups join. The leading host of z2 gives up its runs without stopping
    # them. That of z1 starts their tasks at once: it holds all of its list, and of the
    # upstreams that lapsed, which it never had on its list, it does not know.
    world = two_zones(monkeypatch, 6, 3, 6)
    world.kill(leader_of(world, "z1"))
    world.run(3.0)
    assert group_of(world, leader_of(world, "z1")).fence == max(
        group_of(world, name).fence for name in world.leaders()
    )
    ask(world, 2.0)
    world.listed = world.listed[:4]
    ask(world, 4.0)
    world.run(2.0)
    assert world.counters.two_at_once == 0


def test_zones_that_are_told_apart_use_their_own_upstreams(monkeypatch):
    # One order is carried out twice at one time while its leading host drains. Zones
    # were cut off, z1 started anew and took all zones for one group. When it hears z2
    # again it says that it has z1 alone, but goes on with the upstreams of both (only
    # a new list changes these). So its jobs count as run in z1; the next leading host
    # of z1 starts them at once while z2 still runs them.
    world = two_zones(monkeypatch, 8, 3, 7)
    world.listed = world.listed[:7]
    world.run(4.0)
    world.cut.add(frozenset(("z1", "z2")))
    hosts = alive(world, "z1")
    for name in hosts:
        world.kill(name)
    world.run(3.0)
    for name in hosts:
        world.start(name, "z1")
    world.run(4.0)
    world.cut.clear()
    ask(world, 0.36, 0.8, hosts, 0.05)
    drain(world, leader_of(world, "z1"))
    world.run(2.5)
    assert world.counters.two_at_once == 0


def test_zones_that_join_use_the_upstreams_of_all(monkeypatch):
    # Callers are refused beside a zone that stands idle, without end. Upstreams leave;
    # z1 starts anew and has the new list at once, z2 half a second later. The leading
    # host of z1 says so of all zones as soon as that of z2 does, and leads these, but
    # on the upstreams of z1 alone until some entry of the list changes.
    world = two_zones(monkeypatch, 8, 3, 7)
    for name in alive(world, "z1"):
        world.kill(name)
    world.run(3.0)
    late = set(alive(world, "z2"))
    world.storeless |= late
    world.listed = world.listed[:6]
    for name in ("a1", "a2"):
        world.start(name, "z1")
        world.run(0.01)
    world.run(0.6)
    world.storeless -= late
    world.run(10.0)
    (leader,) = world.leaders()
    assert group_of(world, leader).covers("z2")
    assert in_use(world, leader) == {"z1", "z2"}


@pytest.mark.parametrize("wait_s", [0.06, 0.3, 0.6, 1.0])
def test_a_job_whose_leading_host_took_all_zones_unheard(monkeypatch, wait_s: float):
    # One order is carried out twice at one time. Zones join; the leading host starts a
    # job on an upstream of the other zone, and its heartbeats to the job's host are
    # lost. Then it drains, and the job's host leads, by an older list, its own zone
    # alone. It takes the job for one that ran in its own zone only.
    world = two_zones(monkeypatch, 8, 4, 5)
    world.kill(leader_of(world, "z1"))
    world.run(3.0)
    world.start("a3", "z1")
    world.run(4.0)
    leader = leader_of(world, "z1")
    (other,) = set(alive(world, "z1")) - {leader}
    for name in alive(world, "z2"):
        world.kill(name)
    world.run(1.0)
    for _ in range(8):
        world.submit(other, 0.35)
    world.run(0.012)
    for _ in range(4):
        world.submit(other, 0.8)
    world.run(0.003)
    world.silent_links.add((leader, other))
    world.storeless.add(other)
    world.listed = world.listed[:6]
    world.lives[leader].process.views.on_upstreams(world.listed)
    for _ in range(4):
        world.run(wait_s / 4)
        world.submit(other, 0.8)
    drain(world, leader)
    world.run(2.5)
    assert world.counters.two_at_once == 0


def test_a_zone_that_the_store_refuses_while_groups_join(monkeypatch):
    # Callers of z1 are refused for a minute. Upstreams die, so that the zones are to be
    # one group, but the store refuses the hosts of z2. No host passes the new list on,
    # since the two groups differ in what they take for one. Both claim z2's upstreams;
    # the host of z1 counts the hosts of z2 as lost, and yields, longer each time.
    world = two_zones(monkeypatch, 8, 5, 5)
    world.kill(leader_of(world, "z1"))
    world.run(3.0)
    ask(world, 2.0)
    world.storeless |= set(alive(world, "z2"))
    for entry in world.listed[1:5]:
        world.upstreams[entry.id].silent = True
    world.listed = world.listed[:1] + world.listed[5:]
    ask(world, 10.0)
    asked = ask(world, 50.0, hosts=alive(world, "z1"))
    world.run(2.0)
    assert statuses(asked)[200] > 0.8 * len(asked)


def test_jobs_under_way_are_taken_over_after_a_split(monkeypatch):
    # Each job of the zone is answered "out of time" at once. A group splits and its
    # leading host drains. The next one of the zone is told that the jobs could run in
    # other zones too, reckons that it may start them 1.1 s later, finds that too late,
    # and gives them up before a look tells it that half of them run in its own zone.
    world = two_zones(monkeypatch, 8, 4, 4)
    world.run(1.0)
    ((leader, zone),) = world.leaders().items()
    (other,) = set(alive(world, zone)) - {leader}
    asked = [world.submit(other, 0.7) for _ in range(16)]
    world.run(0.1)
    world.add_upstreams("z2", 1)
    for name in alive(world):
        world.lives[name].process.views.on_upstreams(world.listed)
    world.run(0.05)
    here = running_in(world, zone)
    assert here == 8
    drain(world, leader)
    world.run(3.0)
    assert statuses(asked)[200] >= here


def test_a_host_without_a_list_has_its_callers_served(monkeypatch):
    # All callers of a zone are refused as long as the store is away, beside a zone that
    # works. The zone's hosts were restarted one after the other during the outage, and
    # lists older than 2 s are not passed on, so that none of them can lead, nor follow.
    world = two_zones(monkeypatch, 2, 2, 2)
    world.storeless |= set(world.lives)
    leader = leader_of(world, "z2")
    (other,) = set(alive(world, "z2")) - {leader}
    world.run(3.0)
    world.kill(other)
    world.run(1.0)
    world.start(other, "z2")
    world.run(2.0)
    world.kill(leader)
    world.run(2.0)
    asked = ask(world, 5.0, hosts=[other])
    world.run(2.0)
    assert statuses(asked)[200] > 0.8 * len(asked)


def test_own_upstreams_that_lapse_as_groups_join_count_as_vanished(monkeypatch):
    # One order is carried out twice at one time. Entries of z1 lapse in the store but
    # their upstreams are up, the list is so short that the groups join, and the leading
    # host of z1 drains. The next one starts the tasks of the runs that go on there at
    # once: it forgot its list when its zones changed, so that nothing vanished from it.
    world = two_zones(monkeypatch, 6, 6, 3)
    world.kill(leader_of(world, "z1"))
    world.run(3.0)
    leader = leader_of(world, "z1")
    world.start("a3", "z1")
    world.run(4.0)
    (other,) = set(alive(world, "z1")) - {leader}
    for _ in range(12):
        world.submit(other, 0.5)
    world.run(0.1)
    world.listed = world.listed[5:]
    for name in (leader, *alive(world)):
        world.lives[name].process.views.on_upstreams(world.listed)
        world.run(0.01)
    drain(world, leader)
    world.run(2.5)
    assert world.counters.two_at_once == 0
