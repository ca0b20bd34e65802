"""Waiting jobs are examined only when one of them may get capacity."""

import pytest

from jackdawspur.runs import Job, Placer
from jackdawspur.runs.tests.conftest import LONG_TIMEOUT, Leader


class CountingPlacer(Placer):
    """Placer that counts its passes over the waiting jobs."""

    passes = 0

    def ordered(self, waiting: list[Job], now: float) -> list[Job]:
        self.passes += 1
        return list(super().ordered(waiting, now))


@pytest.fixture
def placer(leader: Leader) -> CountingPlacer:
    dispatcher = leader.dispatcher
    counting_placer = CountingPlacer(
        dispatcher.upstream_pool,
        dispatcher._starts,
        dispatcher.estimates,
        dispatcher._started_jobs,
        dispatcher._redirector,
    )
    dispatcher._placer = counting_placer
    return counting_placer


def use_all_capacity_but_one(leader: Leader) -> None:
    """Use all capacity except that of one task, and offer five jobs of two tasks."""
    leader.offer("aa", tasks=3)
    leader.settle()
    for number in range(5):
        leader.offer(f"b{number}", tasks=2, route=LONG_TIMEOUT, call=2 + number)
    leader.settle()


def test_replies_that_free_no_capacity_cause_no_pass(leader: Leader, placer):
    # The more jobs waited, the longer they waited: the leader examined all of them with
    # every reply, and under load it had no time for anything else.
    use_all_capacity_but_one(leader)
    before = placer.passes
    leader.now += 0.001
    leader.settle(passes=10)
    assert placer.passes == before


def test_an_end_and_a_tick_cause_a_pass(leader: Leader, placer):
    use_all_capacity_but_one(leader)
    before = placer.passes
    leader.advance(0.05)
    assert placer.passes > before
    before = placer.passes
    name, (upstream_id,) = next(iter(leader.running().items()))
    leader.upstreams[upstream_id].end(name)
    leader.settle()
    assert placer.passes > before
    assert sum(len(u.running) for u in leader.upstreams.values()) == 4


def test_free_capacity_is_computed_only_for_waiting_jobs(
    leader: Leader, placer, monkeypatch: pytest.MonkeyPatch
):
    # A leader of many upstreams was busy without any jobs: it computed the free
    # capacity of all upstreams with each tick.
    calls = []
    with_free_capacity = leader.dispatcher.upstream_pool.with_free_capacity
    monkeypatch.setattr(
        leader.dispatcher.upstream_pool,
        "with_free_capacity",
        lambda now: calls.append(now) or with_free_capacity(now),
    )
    leader.advance(0.5)
    assert not calls
    leader.offer("aa")
    leader.settle()
    assert calls and leader.running()
