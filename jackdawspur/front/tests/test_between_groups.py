"""Tests that a job is run by one group only while groups or lists change."""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

import pytest

from jackdawspur.front.tests import virtual
from jackdawspur.front.tests.virtual import Node, SentRequest, World

ZONES = ("z1", "z2")
HOSTS = (("a1", "z1"), ("b1", "z2"), ("a2", "z1"), ("b2", "z2"))
HEARTBEAT_INTERVAL_S = 0.1


def start_all(world: World, pause_s: float = 0.0) -> None:
    for name, zone in HOSTS:
        world.run(pause_s)
        world.start(name, zone)
    world.run(3.0)


@pytest.fixture
def two_groups(monkeypatch) -> World:
    """Return two zones with a leader each; that of z1 has the higher fence."""
    world = World(monkeypatch, most_upstreams=2)
    for zone in ZONES:
        world.add_upstreams(zone, 2)
    start_all(world)
    world.kill(leader_of(world, "z1"))
    world.run(1.0)
    assert sorted(world.leaders().values()) == ["z1", "z2"]
    return world


@pytest.fixture
def at_the_limit(monkeypatch) -> Callable[[int, int, int], World]:
    """Return a function that makes two zones near the limit of one group.

    Its arguments are the number of upstreams in each zone and the pause between starts
    of hosts in steps.
    """

    def make(first: int, second: int, step: int) -> World:
        world = World(monkeypatch, most_upstreams=6)
        world.add_upstreams("z1", first)
        world.add_upstreams("z2", second)
        start_all(world, pause_s=0.07 * step)
        return world

    return make


def leader_of(world: World, zone: str) -> str:
    return next(
        name for name, host_zone in world.leaders().items() if host_zone == zone
    )


def ask_all_hosts(world: World, seconds: float) -> list[SentRequest]:
    """Send jobs of a quarter of a second to all hosts continuously."""
    sent: list[SentRequest] = []
    end = world.now + seconds
    while world.now < end:
        sent += [world.submit(name, 0.25) for name in world.nodes]
        world.run(0.1)
    return sent


def test_a_job_of_a_starting_host_is_run_by_one_group(two_groups: World):
    # A task runs twice at the same time. A host starts during an outage of the store or
    # just after it. Its list of upstreams is empty or lacks most of them, so it assumes
    # one group of all zones and offers its callers' jobs to the leader of another zone.
    # With the whole list it learns that each zone has a group of its own, and hands the
    # jobs over to the leader of its own zone. That one leases all its upstreams, but
    # knows nothing of the runs on the other leader's.
    world = two_groups
    starting = next(
        name
        for name, zone in world.zones.items()
        if zone == "z2" and name not in world.leaders()
    )
    sent: list[SentRequest] = []
    for turn in range(20):
        world.kill(starting)
        # Each time at another moment between two heartbeats of the other zone.
        world.run(1.0 + turn * HEARTBEAT_INTERVAL_S / 2)
        world.list_limits[starting] = turn % 2
        world.start(starting, "z2")
        for _ in range(5):
            world.run(0.02)
            sent.append(world.submit(starting, 0.3))
        world.list_limits.clear()
        world.run(2.5)
    assert world.counters.two_at_once == 0
    assert {request.reply.status for request in sent} <= {200, 503}


@pytest.mark.parametrize(
    ("before", "after", "leading"),
    [((3, 3), 8, 2), ((3, 6), 4, 1)],
    ids=["split", "join"],
)
def test_a_job_is_run_by_one_group_while_groups_change(
    at_the_limit, before: tuple[int, int], after: int, leading: int
):
    # A task runs twice at the same time. Upstreams are added or removed, and hosts
    # learn up to two seconds apart that the zones split into groups, or joined. A host
    # that knows of this hands its jobs over to a leader that does not yet, or that
    # leases other upstreams than the previous leader.
    for step in range(4):
        world = at_the_limit(*before, step)
        sent = ask_all_hosts(world, 2.0)
        world.listed = world.listed[:after]
        world.add_upstreams("z2", after - len(world.listed))
        sent += ask_all_hosts(world, 4.0)
        world.run(2.0)
        assert len(world.leaders()) == leading
        assert world.counters.two_at_once == world.counters.over_capacity == 0
        statuses = Counter(request.reply.status for request in sent)
        assert statuses[200] > 0.8 * len(sent)


def test_a_leader_uses_the_upstreams_of_the_zones_of_its_group(
    two_groups: World,
):
    # Upstreams are idle although callers wait: the zones of a group changed between two
    # reads of the list, when the leader of another zone was lost, and the leader kept
    # the upstreams that it had before.
    world = two_groups
    process = world.nodes[leader_of(world, "z1")].process
    for name in [name for name, zone in world.zones.items() if zone == "z2"]:
        world.kill(name)
    world.listed = world.listed[2:3]
    world.run(1.5)
    assert process.group.by_zone
    world.run(2.0)
    assert not process.group.by_zone
    pooled = process.leader_driver.dispatcher.upstream_pool.upstreams
    assert {leased.entry.id for leased in pooled} == {world.listed[0].id}


def test_a_zone_whose_hosts_restart_while_the_store_is_down_is_served(
    two_groups: World,
):
    # Callers of a zone are refused until the store is back. Its hosts were restarted
    # one after the other during the outage. None of them got a list of upstreams, since
    # the lists of the others were too old to be sent to peers, so none could lead.
    world = two_groups
    world.storeless.update(world.nodes)
    world.run(3.0)
    for name in [name for name, zone in world.zones.items() if zone == "z2"]:
        world.kill(name)
        world.run(1.0)
        world.start(name, "z2")
        world.run(3.0)
    sent = [world.submit(name, 0.1) for name in ("b1", "b2")]
    world.run(1.0)
    assert "z2" in world.leaders().values()
    assert [request.reply.status for request in sent] == [200, 200]


class DelayingWorld(World):
    """Delivers messages on a partitioned link when the partition ends, as TCP does."""

    def __init__(self, monkeypatch, most_upstreams: int) -> None:
        self.late_until: dict[frozenset[str], float] = {}
        super().__init__(monkeypatch, most_upstreams)

    def transmit(self, sender: Node, name: str, data: bytes) -> None:
        until = self.late_until.get(frozenset((sender.name, name)), self.now)
        if until > self.now:
            self.after(until - self.now, lambda: self.transmit(sender, name, data))
        else:
            super().transmit(sender, name, data)


def test_groups_join_while_upstreams_without_an_entry_still_run_tasks(monkeypatch):
    # A task runs twice at the same time. So many entries expire that two zones become
    # one group, and the upstreams without an entry continue their runs. The leader of
    # all zones starts the jobs handed over to it at once, since all upstreams that it
    # knows answer. It dropped those of its own zone, or never leased those on which the
    # other zone's leader, with an older list, still starts tasks.
    of_own_zone, of_other_zone = (
        ((3, 3), 4, (0, 1, 3), 0.0),
        ((2, 4), 5, (0, 1, 2), 0.75),
    )
    overlaps = Counter()
    for counts, limit, remaining, late_s in (of_own_zone, of_other_zone):
        for step in range(4):
            world = World(monkeypatch, most_upstreams=limit)
            for zone, count in zip(ZONES, counts, strict=True):
                world.add_upstreams(zone, count)
            start_all(world, pause_s=0.07 * step)
            assert len(world.leaders()) == len(ZONES)
            ask_all_hosts(world, 2.0)
            world.storeless = {name for name, zone in HOSTS if zone == "z2" and late_s}
            world.listed = tuple(world.listed[number] for number in remaining)
            ask_all_hosts(world, late_s)
            world.storeless.clear()
            ask_all_hosts(world, 4.0)
            world.run(2.0)
            assert len(world.leaders()) == 1
            overlaps[remaining] += world.counters.two_at_once
    assert not +overlaps


def test_a_late_offer_does_not_count_as_a_new_job(monkeypatch):
    # A task runs twice at the same time. A group splits, and a job stays with the
    # leader of the other zone. The job's host is partitioned from that leader, which
    # drops the job, and hands it over to its own zone. When the partition ends, offers
    # sent during it arrive, and the other zone's leader takes them for a new job.
    monkeypatch.setattr(virtual, "ROUTE", replace(virtual.ROUTE, timeout_ms=5000.0))
    overlaps = Counter()
    for late_s in (1.3, 1.4, 1.5):
        world = DelayingWorld(monkeypatch, most_upstreams=4)
        for zone in ZONES:
            world.add_upstreams(zone, 2)
        start_all(world)
        ((leader, zone),) = world.leaders().items()
        others = [name for name, host_zone in HOSTS if host_zone != zone]
        for name in others:
            world.submit(name, 1.5)
        world.run(0.1)
        for name in ZONES:
            world.add_upstreams(name, 1)
        world.run(0.6)
        assert len(world.leaders()) == len(ZONES)
        for name in others:
            world.late_until[frozenset((leader, name))] = world.now + late_s
        world.run(5.0)
        overlaps[late_s] += world.counters.two_at_once
    assert not +overlaps
