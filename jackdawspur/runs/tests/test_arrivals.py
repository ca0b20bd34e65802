"""Large jobs that come while there is room, here or elsewhere."""

import pytest

from jackdawspur.runs import JobRequest, JobStep, Offer, RemoteLeader, SpareCapacity
from jackdawspur.runs.tests.conftest import FENCE, PATIENT, TASK, Leading

PATIENCE_S = 1.545
TICK_S = 0.025
# Half of what the longest jobs that can be served have to spare.
SOON_S = 0.01
PLACE = RemoteLeader("far", FENCE * 2)


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
    # Guards against refusing a job beside idle upstreams in the pass of a tick.
    offer_long(leading, estimate_ms, tasks=1)
    leading.dispatcher.tick(leading.now)
    leading.settle()
    assert not leading.answers
    assert list(leading.running()) == ["aa.0.0.0"]


@pytest.mark.parametrize("estimate_ms", [1335.0, 1427.0])
def test_a_long_job_that_finds_no_room_goes_where_there_is_some(
    leading: Leading, estimate_ms: float
):
    # Guards against refusing a job before another zone is asked.
    leading.offer("full", tasks=4, route=PATIENT, deadline=leading.now + 5.0)
    leading.settle()
    room = {"roster": SpareCapacity((14_000, 14_000, 28_000, 28_000))}
    leading.dispatcher.update_offered_capacity(PLACE, room, leading.now)
    offer_long(leading, estimate_ms, tasks=4)
    leading.settle()
    leading.advance(TICK_S, TICK_S)
    assert not leading.answers
    assert [order.job for order in leading.passed_on] == ["aa"]


def test_a_long_job_is_not_kept_in_a_full_zone_beside_room_elsewhere(
    leading: Leading,
):
    # Guards against a wait in a full zone that is longer than the job can spare.
    leading.offer("full", tasks=4, route=PATIENT, deadline=leading.now + 5.0)
    leading.settle()
    room = {"roster": SpareCapacity((14_000, 14_000, 28_000, 28_000))}
    leading.dispatcher.update_offered_capacity(PLACE, room, leading.now)
    offer_long(leading, 853.0, tasks=4)
    leading.settle()
    leading.advance(SOON_S, SOON_S)
    assert [order.job for order in leading.passed_on] == ["aa"]
