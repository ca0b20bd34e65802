"""Large jobs that come while there is room, here or elsewhere."""

import pytest

from jackdawspur.runs import JobRequest, JobStep, Offer, Place, SpareRoom
from jackdawspur.runs.tests.conftest import FENCE, PATIENT, TASK, Leading

PATIENCE_S = 1.545
TICK_S = 0.025
# Half of what the longest jobs that can be served have to spare.
SOON_S = 0.01
PLACE = Place("far", FENCE * 2)


def offer_long(leading: Leading, estimate_ms: float, tasks: int) -> None:
    """Offer a job that its caller thinks takes nearly all of the caller's time."""
    step = JobStep(tasks, TASK, estimate_ms)
    request = JobRequest("aa", "spec", (step,), PATIENT)
    offer = Offer(request, "h2", 1, leading.now, leading.now + PATIENCE_S)
    leading.dispatcher.offer(offer, leading.now)


@pytest.mark.parametrize("estimate_ms", [1439.0, 1519.0])
def test_a_long_job_that_comes_with_a_tick_begins_on_idle_upstreams(
    leading: Leading, estimate_ms: float
):
    # A planner's largest jobs are refused beside idle upstreams, but only if a tick
    # falls into the pass in which they come: estimates are off by half either way.
    offer_long(leading, estimate_ms, tasks=1)
    leading.dispatcher.tick(leading.now)
    leading.settle()
    assert not leading.answers
    assert list(leading.running()) == ["aa.0.0.0"]


@pytest.mark.parametrize("estimate_ms", [1335.0, 1427.0])
def test_a_long_job_that_finds_no_room_goes_where_there_is_some(
    leading: Leading, estimate_ms: float
):
    # A planner's largest jobs are refused at the first tick while they wait for room in
    # a full zone, though another zone has room for all their tasks: nobody asks that
    # one before the wait is over.
    leading.offer("full", tasks=4, route=PATIENT, deadline=leading.now + 5.0)
    leading.settle()
    room = {"roster": SpareRoom((14_000, 14_000, 28_000, 28_000))}
    leading.dispatcher.room_offered(PLACE, room, leading.now)
    offer_long(leading, estimate_ms, tasks=4)
    leading.settle()
    leading.advance(TICK_S, TICK_S)
    assert not leading.answers
    assert [order.job for order in leading.passed_on] == ["aa"]


def test_a_long_job_is_not_kept_in_a_full_zone_beside_room_elsewhere(
    leading: Leading,
):
    # A planner's job of 1.52 s, which its caller thought to take 0.85 s, has 0.02 s to
    # spare: it waits longer than that in a full zone, before another is asked.
    leading.offer("full", tasks=4, route=PATIENT, deadline=leading.now + 5.0)
    leading.settle()
    room = {"roster": SpareRoom((14_000, 14_000, 28_000, 28_000))}
    leading.dispatcher.room_offered(PLACE, room, leading.now)
    offer_long(leading, 853.0, tasks=4)
    leading.settle()
    leading.advance(SOON_S, SOON_S)
    assert [order.job for order in leading.passed_on] == ["aa"]
