"""Tests of messages that a host reads after a pause, long after they were sent."""

import pytest

from jackdawspur.front.tests.faulty import FaultyWorld
from jackdawspur.front.tests.faulty_parts import Caller
from jackdawspur.front.tests.virtual_parts import Node

HOSTS = {"a1": "z1", "b1": "z2", "a2": "z1", "b2": "z2"}
# In each zone; each has capacity for two tasks.
UPSTREAMS = 4
PAUSE_S = 3.5
# Resumes at several moments between the heartbeats of others, which are 0.1 s apart.
PAUSES_S = (3.42, 3.44, 3.46, 3.48, 3.5)
# Longer than the pause, so that the time limit alone ends no request.
PATIENT_S = 13.0
# Time after which a caller without an answer sends its job again.
RESEND_S = 1.3
TASK_S = 0.9
# Callers that leave then have their job run elsewhere when the host resumes.
LEFT_AFTER_S = 1.8
# A connection that its caller closed is recognized by a reset, which takes a probe.
DISCONNECT_NOTICE_S = 0.2


@pytest.fixture(params=[True, False], ids=["timers first", "messages first"])
def world(monkeypatch, request) -> FaultyWorld:
    """Return two zones with a leader each.

    After a pause timers or messages are handled first.
    """
    world = FaultyWorld(monkeypatch, most_upstreams=UPSTREAMS, seed=1)
    world.timers_first = request.param
    world.disconnect_notice_s = DISCONNECT_NOTICE_S
    for zone in ("z1", "z2"):
        world.add_upstreams(zone, UPSTREAMS)
    for name, zone in HOSTS.items():
        world.start(name, zone)
    world.run(3.0)
    assert sorted(world.leaders().values()) == ["z1", "z2"]
    return world


def node_of(world: FaultyWorld, zone: str, leads: bool) -> Node:
    """Return a host of a zone that leads, or one that follows."""
    return next(
        node
        for name, node in world.nodes.items()
        if world.zones[name] == zone and (name in world.leaders()) == leads
    )


def send_elsewhere(world: FaultyWorld, caller: Caller) -> None:
    """Disconnect a caller, which sends its job to the other zone."""
    world.leave(caller)
    caller.left = False
    caller.zone = "z2"
    world.after(RESEND_S, lambda: world._send(caller, node_of(world, "z2", True)))


def assert_run_once(world: FaultyWorld, callers: list[Caller]) -> None:
    """Check that no task had two runs at a time, and that all callers are served."""
    assert world.counters.two_at_once == 0
    assert {caller.attempts[-1].reply.status for caller in callers} == {200}


@pytest.mark.parametrize("pause_s", PAUSES_S)
def test_requests_whose_callers_have_asked_elsewhere_are_not_run(
    world: FaultyWorld, pause_s: float
):
    # Guards against counting a caller's time limit from the moment at which a paused
    # host reads the request: the caller has sent it to another zone since.
    world.retry_unanswered = True
    frozen = node_of(world, "z1", leads=False)
    world.freeze(frozen.name, pause_s)
    caller = world.ask("z1", TASK_S, 2, frozen)
    caller.zone = "z2"
    world.run(PAUSE_S + 3.0)
    assert_run_once(world, [caller])


@pytest.mark.parametrize("leads", [False, True])
@pytest.mark.parametrize("pause_s", PAUSES_S)
def test_requests_of_callers_that_left_early_are_not_run(
    world: FaultyWorld, pause_s: float, leads: bool
):
    # Guards against running a request before it is known that its caller has left.
    frozen = node_of(world, "z1", leads)
    world.freeze(frozen.name, pause_s)
    caller = world.ask("z1", TASK_S, 2, frozen, caller_timeout_s=PATIENT_S)
    world.run(LEFT_AFTER_S)
    send_elsewhere(world, caller)
    world.run(PAUSE_S + 3.0)
    assert_run_once(world, [caller])


@pytest.mark.parametrize("leads", [False, True])
@pytest.mark.parametrize("pause_s", PAUSES_S)
def test_jobs_of_callers_that_left_during_a_pause_are_not_offered_again(
    world: FaultyWorld, pause_s: float, leads: bool
):
    # Guards against running them again before it is read who has left.
    frozen = node_of(world, "z1", leads)
    caller = world.ask("z1", TASK_S, 2, frozen, caller_timeout_s=PATIENT_S)
    world.run(0.1)
    world.freeze(frozen.name, pause_s)
    world.run(LEFT_AFTER_S)
    send_elsewhere(world, caller)
    world.run(PAUSE_S + 3.0)
    assert_run_once(world, [caller])


def test_a_lone_leader_starts_nothing_before_it_has_read_who_left(world: FaultyWorld):
    # Guards against a leader without followers, which remains the leader after a pause
    # and reads first that it has capacity for a waiting job, whose caller has left.
    follower, leader = (node_of(world, "z1", leads) for leads in (False, True))
    world.kill(follower.name)
    world.run(3.0)
    for node in (leader, node_of(world, "z2", leads=True)):
        for _ in range(UPSTREAMS):
            world.ask("z2", 0.5, 2, node, caller_timeout_s=PATIENT_S)
    world.run(0.1)
    caller = world.ask("z1", TASK_S, 2, leader, caller_timeout_s=PATIENT_S)
    world.run(0.37)
    assert not caller.tasks & world.counters.started
    world.freeze(leader.name, PAUSE_S)
    world.run(LEFT_AFTER_S)
    send_elsewhere(world, caller)
    world.run(PAUSE_S + 3.0)
    assert_run_once(world, [caller])


def test_a_caller_that_waits_through_a_pause_is_served(world: FaultyWorld):
    frozen = node_of(world, "z1", leads=False)
    early = world.ask("z1", TASK_S, 1, frozen, caller_timeout_s=PATIENT_S)
    world.run(0.1)
    world.freeze(frozen.name, PAUSE_S)
    unread = world.ask("z1", TASK_S, 1, frozen, caller_timeout_s=PATIENT_S)
    world.run(PAUSE_S + 3.0)
    assert_run_once(world, [early, unread])


def test_a_caller_whose_time_may_be_over_is_refused_at_once(world: FaultyWorld):
    # It may still wait: it is told that nothing ran, and when to retry.
    frozen = node_of(world, "z1", leads=False)
    world.freeze(frozen.name, PAUSE_S)
    world.run(PAUSE_S - 0.2)
    caller = world.ask("z1", TASK_S, 1, frozen)
    world.run(0.3)
    (attempt,) = caller.attempts
    assert attempt.reply.status == 503
    assert attempt.reply.retry_after_s > 0
    assert b'"not_run":true' in attempt.reply.body
    world.run(3.0)
    assert not world.counters.started
