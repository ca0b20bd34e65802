"""Tests that no run starts in an evacuated zone until it is no longer evacuated."""

import pytest

from jackdawspur.front.tests.virtual import World

# Until the leader has read the list of zones, and calls sent before that have arrived.
READ_S = 0.1
SHORT_S = 0.2
HOSTS = {"a1": "z1", "a2": "z1", "b1": "z2", "b2": "z2"}


@pytest.fixture(params=[64, 2], ids=["one group", "two groups"])
def world(request, monkeypatch) -> World:
    """Return hosts of two zones with two upstreams each."""
    simulation = World(monkeypatch, most_upstreams=request.param)
    for zone in ("z1", "z2"):
        simulation.add_upstreams(zone, 2)
    for name, zone in HOSTS.items():
        simulation.start(name, zone)
    simulation.run(3.0)
    return simulation


def runs_in(world: World, zone: str) -> int:
    """Return the number of runs in a zone."""
    return sum(
        len(upstream.report(world.now).running)
        for upstream_id, upstream in world.upstreams.items()
        if upstream_id.zone == zone
    )


def max_runs_in(world: World, zone: str, seconds: float) -> int:
    """Submit jobs to all hosts; return the greatest number of runs in a zone."""
    highest = 0
    for _ in range(round(seconds / READ_S)):
        for host in HOSTS:
            world.submit(host, SHORT_S)
        world.run(READ_S / 2)
        highest = max(highest, runs_in(world, zone))
        world.run(READ_S / 2)
    return highest


def test_nothing_starts_in_an_evacuated_zone(world: World):
    # Guards against runs in a zone that its operators are about to shut down.
    assert max_runs_in(world, "z1", 1.0) > 0
    world.evacuated.add("z1")
    world.run(READ_S + SHORT_S)
    assert max_runs_in(world, "z1", 1.0) == 0
    assert max_runs_in(world, "z2", 1.0) > 0
    world.evacuated.clear()
    world.run(READ_S)
    assert max_runs_in(world, "z1", 1.0) > 0


def test_a_run_in_an_evacuated_zone_completes(world: World):
    sent = [world.submit(host, 4 * SHORT_S) for host in HOSTS]
    world.run(READ_S)
    starts = world.counters.starts
    world.evacuated.add("z1")
    world.run(8 * SHORT_S)
    assert {request.reply.status for request in sent} == {200}
    assert world.counters.starts == starts


def test_callers_of_an_evacuated_zone_are_served_by_the_other(world: World):
    # Guards against refusing all callers of a zone while another has free capacity.
    world.evacuated.add("z1")
    world.run(READ_S + SHORT_S)
    sent = []
    for _ in range(5):
        sent.append(world.submit("a1", SHORT_S))
        world.run(SHORT_S)
    world.run(1.0)
    assert [request.reply.status for request in sent] == [200] * 5


def test_a_host_without_the_store_learns_of_evacuated_zones(world: World):
    # Guards against a leader that can't read the store and so knows no evacuated zone.
    world.evacuated.add("z1")
    world.run(READ_S + SHORT_S)
    for name in HOSTS:
        world.storeless.add(name)
    world.kill("b1")
    world.start("b1", "z2")
    world.run(5.0)
    assert world.nodes["b1"].process.view.evacuated == {"z1"}


@pytest.fixture
def two_groups(monkeypatch) -> World:
    """Return hosts of two zones that are groups of their own, z1 being evacuated."""
    simulation = World(monkeypatch, most_upstreams=2)
    for zone in ("z1", "z2"):
        simulation.add_upstreams(zone, 2)
    for name, zone in HOSTS.items():
        simulation.start(name, zone)
    simulation.run(3.0)
    simulation.evacuated.add("z1")
    simulation.run(1.0)
    return simulation


def ready_hosts(world: World) -> set[str]:
    return {
        name
        for name, node in world.nodes.items()
        if not node.dead and node.process.ready
    }


def partition(world: World, seconds: float) -> None:
    """Partition the two zones from each other for a time."""
    world.partitions.add(frozenset(("z1", "z2")))
    world.run(seconds)


def test_hosts_without_upstreams_and_other_groups_get_no_new_callers(two_groups):
    # The balancer goes on sending callers to a ready host; those of an evacuated zone
    # that is partitioned from the others were all refused for as long as that lasted.
    assert ready_hosts(two_groups) == set(HOSTS)
    partition(two_groups, 1.5)
    assert ready_hosts(two_groups) == {"b1", "b2"}
    two_groups.partitions.clear()
    two_groups.run(1.5)
    assert ready_hosts(two_groups) == set(HOSTS)


def test_a_new_leader_keeps_such_hosts_from_getting_callers(two_groups):
    # Guards against hosts that become ready for each change of leader.
    partition(two_groups, 1.5)
    (leader,) = (n for n, zone in two_groups.leaders().items() if zone == "z1")
    two_groups.kill(leader)
    two_groups.run(2.0)
    assert ready_hosts(two_groups) == {"b1", "b2"}


def test_hosts_stay_ready_during_a_short_partition(two_groups):
    # Guards against hosts that are not ready for a second after each lost message.
    partition(two_groups, 0.4)
    two_groups.partitions.clear()
    for _ in range(20):
        two_groups.run(0.1)
        assert ready_hosts(two_groups) == set(HOSTS)


def test_partitioned_hosts_with_upstreams_stay_ready(two_groups):
    # Guards against refusing callers whose zone can serve them by itself.
    two_groups.evacuated.clear()
    two_groups.run(1.0)
    partition(two_groups, 2.0)
    assert ready_hosts(two_groups) == set(HOSTS)


def test_hosts_without_other_zones_stay_ready(monkeypatch):
    # Guards against callers that reach no host at all, and learn no time to retry.
    simulation = World(monkeypatch, most_upstreams=1)
    simulation.add_upstreams("z1", 2)
    for name in ("a1", "a2"):
        simulation.start(name, "z1")
    simulation.run(3.0)
    simulation.evacuated.add("z1")
    simulation.run(2.0)
    assert simulation.nodes["a1"].process.group.by_zone
    assert ready_hosts(simulation) == {"a1", "a2"}


def test_callers_of_such_hosts_are_refused_at_once_as_not_run(two_groups):
    # Guards against callers that wait for upstreams which their zone does not have.
    partition(two_groups, 1.5)
    request = two_groups.submit("a1", SHORT_S)
    two_groups.run(0.1)
    assert request.reply.status == 429
    assert b'"not_run":true' in request.reply.body
    assert request.reply.retry_after_s >= 1
