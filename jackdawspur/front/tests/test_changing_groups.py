"""Tests of zones whose groups join or split, or whose lists differ."""

from collections import Counter
from types import SimpleNamespace

import pytest

from jackdawspur.front.tests.test_between_groups import leader_of, start_all
from jackdawspur.front.tests.virtual import SentRequest, World
from jackdawspur.group import Group


def two_zones(monkeypatch, limit: int, first: int, second: int) -> World:
    world = World(monkeypatch, most_upstreams=limit)
    world.add_upstreams("z1", first)
    world.add_upstreams("z2", second)
    start_all(world)
    return world


def alive(world: World, zone: str | None = None) -> list[str]:
    return [
        name
        for name, node in world.nodes.items()
        if not node.dead and zone in (None, world.zones[name])
    ]


def ask(
    world: World,
    seconds: float,
    run_s: float = 0.25,
    hosts: list[str] | None = None,
    every_s: float = 0.1,
) -> list[SentRequest]:
    sent: list[SentRequest] = []
    end = world.now + seconds
    while world.now < end:
        sent += [world.submit(name, run_s) for name in hosts or alive(world)]
        world.run(every_s)
    return sent


def statuses(sent: list[SentRequest]) -> Counter:
    return Counter(
        request.reply.status for request in sent if request.reply is not None
    )


def drain(world: World, name: str) -> None:
    process = world.nodes[name].process
    process._on_signal(SimpleNamespace(stop=lambda: None), 15, None)


def group_of(world: World, name: str) -> Group:
    return world.nodes[name].process.group


def in_use(world: World, name: str) -> set[str]:
    """Return the zones of the upstreams in a leader's pool."""
    pooled = world.nodes[name].process.leader_driver.dispatcher.upstream_pool.upstreams
    return {leased.entry.id.zone for leased in pooled}


def running_in(world: World, zone: str) -> int:
    upstreams = world.upstreams.items()
    return sum(
        len(up.report(world.now).running) for id_, up in upstreams if id_.zone == zone
    )


def test_groups_join_while_entries_expire(monkeypatch):
    # A task runs twice at the same time, as run 1 in z2 and run 17 in z1. Entries of z2
    # expire in the store although their upstreams are up, and the list is so short that
    # the groups join. The leader of z2 gives up its runs without stopping them. That of
    # z1 starts their tasks immediately: it leases all upstreams on its list, and does
    # not know the expired ones, which it never had on its list.
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


def test_zones_that_split_after_a_partition_use_their_own_upstreams(monkeypatch):
    # A task runs twice at the same time while its leader drains. Zones were
    # partitioned, z1 restarted and assumed one group of all zones. When its leader
    # gets heartbeats of z2 again, it reports a group of z1 only, but continues with the
    # upstreams of both (only a new list changes these). So its jobs count as run in z1,
    # and the next leader of z1 starts them at once while z2 still runs them.
    world = two_zones(monkeypatch, 8, 3, 7)
    world.listed = world.listed[:7]
    world.run(4.0)
    world.partitions.add(frozenset(("z1", "z2")))
    hosts = alive(world, "z1")
    for name in hosts:
        world.kill(name)
    world.run(3.0)
    for name in hosts:
        world.start(name, "z1")
    world.run(4.0)
    world.partitions.clear()
    ask(world, 0.36, 0.8, hosts, 0.05)
    drain(world, leader_of(world, "z1"))
    world.run(2.5)
    assert world.counters.two_at_once == 0


def test_zones_that_join_use_the_upstreams_of_all(monkeypatch):
    # Callers are refused indefinitely while another zone is idle. Upstreams leave; z1
    # restarts and has the new list at once, z2 half a second later. The leader of z1
    # reports a group of all zones as soon as that of z2 does, and leads them, but uses
    # the upstreams of z1 only until an entry of the list changes.
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
def test_a_job_whose_host_does_not_know_that_its_group_joined(
    monkeypatch, wait_s: float
):
    # A task runs twice at the same time. Zones join; the leader starts a job on an
    # upstream of the other zone, and its heartbeats to the job's host are lost. Then it
    # drains, and the job's host, with an older list, leads its own zone only. It
    # assumes that the job ran in its own zone only.
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
    world.nodes[leader].process.view.on_upstreams(world.listed)
    for _ in range(4):
        world.run(wait_s / 4)
        world.submit(other, 0.8)
    drain(world, leader)
    world.run(2.5)
    assert world.counters.two_at_once == 0


def test_a_zone_without_the_store_while_groups_join(monkeypatch):
    # Callers of z1 are refused for a minute. Upstreams die, so that the zones should
    # join, but the hosts of z2 can't read the store. No host sends them the new list,
    # since the two sides disagree on which hosts are in the group. Both leaders contend
    # for the upstreams of z2; that of z1 counts the hosts of z2 as lost and backs off,
    # for longer each time.
    world = two_zones(monkeypatch, 8, 5, 5)
    world.kill(leader_of(world, "z1"))
    world.run(3.0)
    ask(world, 2.0)
    world.storeless |= set(alive(world, "z2"))
    for entry in world.listed[1:5]:
        world.upstreams[entry.id].silent = True
    world.listed = world.listed[:1] + world.listed[5:]
    ask(world, 10.0)
    sent = ask(world, 50.0, hosts=alive(world, "z1"))
    world.run(2.0)
    assert statuses(sent)[200] > 0.8 * len(sent)


def test_running_jobs_are_taken_over_after_a_split(monkeypatch):
    # Each job of the zone is answered "out of time" immediately. A group splits and its
    # leader drains. The next leader of the zone learns that the jobs could run in other
    # zones too, estimates that it may start them 1.1 s later, which is too late, and
    # gives them up before a poll shows that half of them run in its own zone.
    world = two_zones(monkeypatch, 8, 4, 4)
    world.run(1.0)
    ((leader, zone),) = world.leaders().items()
    (other,) = set(alive(world, zone)) - {leader}
    sent = [world.submit(other, 0.7) for _ in range(16)]
    world.run(0.1)
    world.add_upstreams("z2", 1)
    for name in alive(world):
        world.nodes[name].process.view.on_upstreams(world.listed)
    world.run(0.05)
    running_here = running_in(world, zone)
    assert running_here == 8
    drain(world, leader)
    world.run(3.0)
    assert statuses(sent)[200] >= running_here


def test_a_host_without_a_list_has_its_callers_served(monkeypatch):
    # All callers of a zone are refused during an outage of the store, while another
    # zone works. The zone's hosts were restarted one after the other during the outage,
    # and lists older than 2 s are not sent to peers, so none of them can lead or
    # follow.
    world = two_zones(monkeypatch, 2, 2, 2)
    world.storeless |= set(world.nodes)
    leader = leader_of(world, "z2")
    (other,) = set(alive(world, "z2")) - {leader}
    world.run(3.0)
    world.kill(other)
    world.run(1.0)
    world.start(other, "z2")
    world.run(2.0)
    world.kill(leader)
    world.run(2.0)
    sent = ask(world, 5.0, hosts=[other])
    world.run(2.0)
    assert statuses(sent)[200] > 0.8 * len(sent)


def test_upstreams_whose_entries_expire_as_groups_join_count_as_vanished(monkeypatch):
    # A task runs twice at the same time. Entries of z1 expire in the store although
    # their upstreams are up, the list is so short that the groups join, and the leader
    # of z1 drains. The next leader starts the tasks of runs that go on there at once:
    # it dropped its list when its zones changed, so no upstream counted as vanished.
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
        world.nodes[name].process.view.on_upstreams(world.listed)
        world.run(0.01)
    drain(world, leader)
    world.run(2.5)
    assert world.counters.two_at_once == 0
