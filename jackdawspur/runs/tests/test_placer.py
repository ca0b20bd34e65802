"""Waiting jobs are gone through only when one of them may get room."""

import pytest

from jackdawspur.runs import Job, Placer
from jackdawspur.runs.tests.conftest import PATIENT, Leading


class CountingPlacer(Placer):
    """Count the passes over the waiting jobs."""

    passes = 0

    def ordered(self, waiting: list[Job], now: float) -> list[Job]:
        self.passes += 1
        return list(super().ordered(waiting, now))


@pytest.fixture
def placer(leading: Leading) -> CountingPlacer:
    dispatcher = leading.dispatcher
    one = CountingPlacer(
        dispatcher.upstream_pool,
        dispatcher._starts,
        dispatcher.estimates,
        dispatcher._started_jobs,
        dispatcher._redirector,
    )
    dispatcher._placer = one
    return one


def fill(leading: Leading) -> None:
    """Take all room but that of one task, and let jobs of two tasks wait."""
    leading.offer("aa", tasks=3)
    leading.settle()
    for number in range(5):
        leading.offer(f"b{number}", tasks=2, route=PATIENT, call=2 + number)
    leading.settle()


def test_replies_that_free_no_room_cause_no_pass(leading: Leading, placer):
    # Jobs wait longer the more of them wait: the leading host went through all of them
    # with every reply, and under load had no time for anything else.
    fill(leading)
    before = placer.passes
    leading.now += 0.001
    leading.settle(passes=10)
    assert placer.passes == before


def test_an_end_and_a_tick_cause_a_pass(leading: Leading, placer):
    fill(leading)
    before = placer.passes
    leading.advance(0.05)
    assert placer.passes > before
    before = placer.passes
    name, (place,) = next(iter(leading.running().items()))
    leading.upstreams[place].end(name)
    leading.settle()
    assert placer.passes > before
    assert sum(len(u.running) for u in leading.upstreams.values()) == 4


def test_upstreams_are_asked_for_room_only_for_a_job_that_waits(
    leading: Leading, placer, monkeypatch: pytest.MonkeyPatch
):
    # A host that leads many upstreams is busy though no job comes: with each tick it
    # asked all of them for room.
    asked = []
    with_free_capacity = leading.dispatcher.upstream_pool.with_free_capacity
    monkeypatch.setattr(
        leading.dispatcher.upstream_pool,
        "with_free_capacity",
        lambda now: asked.append(now) or with_free_capacity(now),
    )
    leading.advance(0.5)
    assert not asked
    leading.offer("aa")
    leading.settle()
    assert asked and leading.running()
