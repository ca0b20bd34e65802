"""Tests of hosts that resume after a pause with outdated knowledge."""

import pytest

from jackdawspur.front.tests.faulty import FaultyWorld
from jackdawspur.group import FOLLOWER_TIMEOUT_S

ZONES = {"a1": "z1", "b1": "z2", "c1": "z3"}
# Longer than the time for which others still count a host as running.
PAUSE_S = FOLLOWER_TIMEOUT_S + 1.0
LOAD_INTERVAL_S = 0.07
# A vacancy, two ticks and a heartbeat interval.
MAX_TAKEOVER_S = 0.3


def make(monkeypatch, timers_first: bool) -> FaultyWorld:
    """Return one group of three zones with four upstreams."""
    world = FaultyWorld(monkeypatch, most_upstreams=64, seed=1)
    world.timers_first = timers_first
    for zone in ("z1", "z2", "z3", "z1"):
        world.add_upstreams(zone, 1)
    for name, zone in ZONES.items():
        world.start(name, zone)
    world.run(3.0)
    return world


def keep_load(world: FaultyWorld, seconds: float) -> None:
    """Send jobs that use most of the capacity."""
    end = world.now + seconds
    while world.now < end:
        zone = world.rng.choice(sorted(world.zones.values()))
        world.ask(zone, world.rng.choice((0.6, 0.9)), 1)
        world.run(LOAD_INTERVAL_S)


# At several moments between two ticks, with timers handled before messages or after.
@pytest.mark.parametrize("timers_first", [True, False])
@pytest.mark.parametrize("phase_s", [0.0, 0.005, 0.01, 0.015, 0.02])
def test_a_follower_that_resumes_does_not_lead_with_an_old_list(
    monkeypatch, phase_s: float, timers_first: bool
):
    # Guards against taking over because of messages that were not read during a pause:
    # the runs on upstreams that were added meanwhile would be started again.
    world = make(monkeypatch, timers_first)
    (leader,) = world.leaders()
    follower = next(name for name in world.nodes if name != leader)
    keep_load(world, 0.6)
    world.run(phase_s)
    world.freeze(follower, PAUSE_S)
    world.storeless.add(follower)
    world.add_upstreams("z1", 2)
    keep_load(world, PAUSE_S + 1.0)
    world.storeless.clear()
    world.run(3.0)
    assert world.counters.two_at_once == 0
    assert list(world.leaders()) == [leader]


@pytest.mark.parametrize("pause_s", [0.42, 0.46, 0.5, 0.6, 1.0])
def test_another_host_leads_soon_after_the_leader_was_paused(
    monkeypatch, pause_s: float
):
    # Guards against waiting for a host that ranks first, while that host waits for the
    # heartbeats of the others.
    world = make(monkeypatch, timers_first=True)
    (leader,) = world.leaders()
    world.freeze(leader, pause_s)
    world.run(pause_s + 0.05)

    def follow_another_host() -> bool:
        groups = [node.process.group for node in world.nodes.values()]
        names = {group.leader(world.now) for group in groups}
        return len(names) == 1 and not names & {None, leader}

    world.run_until(follow_another_host, MAX_TAKEOVER_S)
