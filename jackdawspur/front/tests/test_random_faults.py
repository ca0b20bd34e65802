"""Simulations of whole hosts under several random faults at the same time."""

from dataclasses import replace

import pytest

from jackdawspur.callers import HttpResponse
from jackdawspur.front.tests.random_faults import LAYOUTS, FaultScenario, run_seed
from jackdawspur.front.tests.virtual_parts import Node
from jackdawspur.leases import Resources

# Layouts and seeds that once broke a rule.
REGRESSION_SEEDS = (
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
# Higher than any fence of a host.
HIGHEST = 1 << 61
FIRST_SEED, END_SEED = 1, 4
GENERATED_SEEDS = tuple(
    (layout, seed) for layout in LAYOUTS for seed in range(FIRST_SEED, END_SEED)
)


@pytest.mark.parametrize(("layout", "seed"), REGRESSION_SEEDS + GENERATED_SEEDS)
def test_no_rule_is_broken(monkeypatch, layout: str, seed: int):
    assert run_seed(monkeypatch, layout, seed) == []


# Functions that break each rule on purpose, to detect a check that can't fail.


def open_call(scenario: FaultScenario) -> tuple[Node, int]:
    """Return an unanswered call whose job is running."""
    world = scenario.world
    return next(
        (node, number)
        for (node, number), attempt in world._calls.items()
        if any(
            world.counters.running_by_task.get(task) for task in attempt.caller.tasks
        )
    )


def start_twice(scenario: FaultScenario, _seconds: float) -> None:
    world = scenario.world
    run = next(run for upstream in world.upstreams.values() for run in upstream._tasks)
    other = next(up for up in world.upstreams.values() if run not in up._tasks)
    until_ms = other.clock_ms(world.now) + 1000
    other.start(run, until_ms, HIGHEST, world.demand_of(run.task), world.now)


def reduce_capacity(scenario: FaultScenario, _seconds: float) -> None:
    for upstream in scenario.world.upstreams.values():
        upstream.entry = replace(upstream.entry, capacity=Resources(1))


def refuse_what_runs(scenario: FaultScenario, _seconds: float) -> None:
    scenario.world.replied(*open_call(scenario), HttpResponse(429, b""))


def complete_what_runs(scenario: FaultScenario, _seconds: float) -> None:
    scenario.world.replied(*open_call(scenario), HttpResponse(200, b""))


def fail_what_runs(scenario: FaultScenario, _seconds: float) -> None:
    scenario.world.replied(
        *open_call(scenario), HttpResponse(200, b'{"state":"failed"}')
    )


def lose_an_answer(scenario: FaultScenario, _seconds: float) -> None:
    node, lost = open_call(scenario)
    reply = node.process._web.reply

    def lossy(number: int, answer: HttpResponse) -> None:
        if number != lost:
            reply(number, answer)

    node.process._web.reply = lossy


def ignore_calls(scenario: FaultScenario, _seconds: float) -> None:
    node = next(iter(scenario.world.nodes.values()))
    node.process.callers.handle_call = lambda call: None


@pytest.mark.parametrize(
    ("rule", "break_it"),
    [
        ("TWICE", start_twice),
        ("LIMIT", reduce_capacity),
        ("REFUSED", refuse_what_runs),
        ("COMPLETED", complete_what_runs),
        ("FAILED", fail_what_runs),
        ("ANSWER", lose_an_answer),
        ("SERVES", ignore_calls),
    ],
)
def test_a_broken_rule_is_found(monkeypatch, rule: str, break_it):
    found = FaultScenario(monkeypatch, "one group", 1).run([(2.0, break_it)])
    assert rule in {finding.rule for finding in found}


def test_no_rule_is_broken_without_faults(monkeypatch):
    assert FaultScenario(monkeypatch, "one group", 1).run([]) == []
