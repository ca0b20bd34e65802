"""Whole hosts under several faults at once, drawn from seeds, in virtual time."""

from dataclasses import replace

import pytest

from jackdawspur.callers import HttpResponse
from jackdawspur.front.tests.drawn import LAYOUTS, Play, play
from jackdawspur.front.tests.virtual_parts import Life
from jackdawspur.leases import Resources

# Seeds that broke a rule once, each of its layout.
BROKE = (
    ("at the limit", 3209),
    ("two groups", 3210),
    ("at the limit", 3061),
    ("one group", 3213),
    ("one group", 3290),
    ("two groups", 20121),
    ("two groups", 30773),
    ("one group", 1030),
    ("one group", 2027),
    ("roaming callers", 730037),
    ("roaming in one group", 730130),
)
# Above all fences of hosts.
HIGHEST = 1 << 61
FIRST, BEYOND = 1, 4
DRAWN = tuple((layout, seed) for layout in LAYOUTS for seed in range(FIRST, BEYOND))


@pytest.mark.parametrize(("layout", "seed"), BROKE + DRAWN)
def test_no_rule_is_broken(monkeypatch, layout: str, seed: int):
    assert play(monkeypatch, layout, seed) == []


# What breaks each rule on purpose, so that a check which can't fail is found.


def open_call(played: Play) -> tuple[Life, int]:
    """Return a call that waits, of a job that runs."""
    world = played.world
    return next(
        (life, number)
        for (life, number), asked in world._calls.items()
        if any(world.counters.running_by_task.get(task) for task in asked.caller.tasks)
    )


def start_twice(played: Play, _seconds: float) -> None:
    world = played.world
    run = next(run for one in world.upstreams.values() for run in one._tasks)
    other = next(one for one in world.upstreams.values() if run not in one._tasks)
    until_ms = other.clock_ms(world.now) + 1000
    other.start(run, until_ms, HIGHEST, world.demand_of(run.task), world.now)


def shrink_upstreams(played: Play, _seconds: float) -> None:
    for one in played.world.upstreams.values():
        one.entry = replace(one.entry, capacity=Resources(1))


def refuse_what_runs(played: Play, _seconds: float) -> None:
    played.world.replied(*open_call(played), HttpResponse(429, b""))


def complete_what_runs(played: Play, _seconds: float) -> None:
    played.world.replied(*open_call(played), HttpResponse(200, b""))


def fail_what_runs(played: Play, _seconds: float) -> None:
    played.world.replied(*open_call(played), HttpResponse(200, b'{"state":"failed"}'))


def lose_an_answer(played: Play, _seconds: float) -> None:
    life, lost = open_call(played)
    reply = life.process._web.reply

    def lossy(number: int, answer: HttpResponse) -> None:
        if number != lost:
            reply(number, answer)

    life.process._web.reply = lossy


def deafen_a_host(played: Play, _seconds: float) -> None:
    life = next(iter(played.world.lives.values()))
    life.process.callers.handle_call = lambda call: None


@pytest.mark.parametrize(
    ("rule", "break_it"),
    [
        ("TWICE", start_twice),
        ("LIMIT", shrink_upstreams),
        ("REFUSED", refuse_what_runs),
        ("COMPLETED", complete_what_runs),
        ("FAILED", fail_what_runs),
        ("ANSWER", lose_an_answer),
        ("SERVES", deafen_a_host),
    ],
)
def test_a_broken_rule_is_found(monkeypatch, rule: str, break_it):
    found = Play(monkeypatch, "one group", 1).run([(2.0, break_it)])
    assert rule in {one.rule for one in found}


def test_no_rule_is_broken_without_faults(monkeypatch):
    assert Play(monkeypatch, "one group", 1).run([]) == []
