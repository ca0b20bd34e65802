"""Tests of assumptions about unresponsive hosts while a job is handed over."""

import pytest

from jackdawspur.front.tests.faulty import FaultyWorld

ZONES = ("z1", "z2")
PARTITION = frozenset(ZONES)


def make(monkeypatch, most_upstreams: int, count: int) -> FaultyWorld:
    """Return two zones with two hosts and `count` upstreams each."""
    world = FaultyWorld(monkeypatch, most_upstreams, seed=1)
    for zone in ZONES:
        world.add_upstreams(zone, count)
    for number in range(2):
        for zone in ZONES:
            world.start(f"{zone}-h{number}", zone)
    world.run(3.0)
    return world


def hosts_of(world: FaultyWorld, zone: str) -> tuple[str, str]:
    """Return the leader and the follower of a zone."""
    leaders = world.leaders()
    names = [name for name, host_zone in world.zones.items() if host_zone == zone]
    return tuple(sorted(names, key=lambda name: name not in leaders))


# At several moments between two heartbeats.
@pytest.mark.parametrize("phase_s", [0.0, 0.025, 0.05, 0.075])
def test_a_job_whose_cancellation_is_lost_does_not_run_in_two_zones(
    monkeypatch, phase_s: float
):
    # Guards against reporting only once that a job is cancelled.
    world = make(monkeypatch, most_upstreams=2, count=3)
    world.run(phase_s)
    leader, host = hosts_of(world, "z1")
    caller = world.ask("z1", 1.4, 1, world.nodes[host])
    world.run(0.1)
    assert caller.tasks == world.counters.started
    world.silent_links.add((host, leader))
    (call,) = world.open_calls
    world.reset(*call)
    caller.zone = "z2"
    world.run(3.0)
    assert world.counters.two_at_once == 0


@pytest.mark.parametrize("down_s", [0.1, 0.25, 0.35, 0.6])
def test_a_job_of_a_restarted_host_does_not_run_in_two_zones(
    monkeypatch, down_s: float
):
    # Guards against mistaking a restarted host for the one whose callers waited.
    world = make(monkeypatch, most_upstreams=2, count=3)
    _, host = hosts_of(world, "z1")
    caller = world.ask("z1", 1.4, 1, world.nodes[host])
    world.run(0.1)
    assert caller.tasks == world.counters.started
    world.kill(host)
    world.run(down_s)
    world.start(host, "z1")
    caller.zone = "z2"
    world.run(3.0)
    assert world.counters.two_at_once == 0


# At several moments between two reads of the list.
@pytest.mark.parametrize("phase_s", [0.0, 0.1, 0.2, 0.3, 0.4])
def test_an_upstream_replaced_during_a_partition_is_noticed_after_it(
    monkeypatch, phase_s: float
):
    # Guards against mistaking a list of the same length as others for the same list.
    world = make(monkeypatch, most_upstreams=64, count=2)
    ((_, zone),) = world.leaders().items()
    remote_hosts = {
        name for name, host_zone in world.zones.items() if host_zone != zone
    }
    world.partitions.add(PARTITION)
    world.storeless |= remote_hosts
    world.run(0.5)
    replaced = next(entry.id for entry in world.listed if entry.id.zone == zone)
    world.crash(replaced, 0.05)
    world.run(4.6 + phase_s)
    _, host = hosts_of(world, zone)
    for seconds in (0.2, 0.2, 0.8, 0.8):
        # The first two fill the upstream that all hosts know.
        world.ask(zone, seconds, 1, world.nodes[host])
        world.run(0.005)
    world.run(0.2)
    world.partitions.clear()
    world.storeless.clear()
    world.run(3.0)
    assert world.counters.two_at_once == 0


@pytest.mark.parametrize("phase_s", [0.05, 0.15])
def test_an_offer_to_a_host_never_heard_starts_no_run_seconds_later(
    monkeypatch, phase_s: float
):
    # Guards against offers that never count as late, because no heartbeat of the leader
    # has arrived yet.
    world = FaultyWorld(monkeypatch, most_upstreams=2, seed=1)
    world.late_messages = True
    world.add_upstreams("z1", 1)
    world.add_upstreams("z2", 6)
    for number in range(2):
        for zone in ZONES:
            world.start(f"{zone}-h{number}", zone)
    world.run(3.0)
    _, host = hosts_of(world, "z1")
    world.kill(host)
    world.run(1.0)
    world.partitions.add(PARTITION)
    world.start(host, "z1")
    world.run(phase_s)
    for _ in range(3):
        world.ask("z1", 0.9, 2, world.nodes[host])
    world.run(2.95)
    world.partitions.discard(PARTITION)
    world.run(3.0)
    assert world.counters.two_at_once == 0
