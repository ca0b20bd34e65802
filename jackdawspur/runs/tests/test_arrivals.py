"""Large jobs that arrive while there is capacity, here or in another group."""

import pytest

from jackdawspur.runs import JobRequest, JobStep, Offer, RemoteLeader, SpareCapacity
from jackdawspur.runs.tests.conftest import FENCE, LONG_TIMEOUT, TASK_RESOURCES, Leader

TIMEOUT_S = 1.545
TICK_S = 0.025
# Half of the spare time of the longest jobs that can be served.
SHORT_WAIT_S = 0.01
REMOTE_LEADER = RemoteLeader("far", FENCE * 2)


def offer_long_job(leader: Leader, estimate_ms: float, tasks: int) -> None:
    """Offer a job that is expected to take nearly all time until its deadline."""
    step = JobStep(tasks, TASK_RESOURCES, estimate_ms)
    request = JobRequest("aa", "spec", (step,), LONG_TIMEOUT)
    offer = Offer(request, "h2", 1, leader.now, leader.now + TIMEOUT_S)
    leader.dispatcher.offer(offer, leader.now)


@pytest.mark.parametrize("estimate_ms", [1439.0, 1519.0])
def test_a_long_job_arriving_with_a_tick_starts_on_idle_upstreams(
    leader: Leader, estimate_ms: float
):
    # Guards against refusing a job in the pass of a tick while upstreams are idle.
    offer_long_job(leader, estimate_ms, tasks=1)
    leader.dispatcher.tick(leader.now)
    leader.settle()
    assert not leader.answers
    assert list(leader.running()) == ["aa.0.0.0"]


@pytest.mark.parametrize("estimate_ms", [1335.0, 1427.0])
def test_a_long_job_without_capacity_here_is_redirected(
    leader: Leader, estimate_ms: float
):
    # Guards against refusing a job before it is offered to another zone.
    leader.offer("full", tasks=4, route=LONG_TIMEOUT, deadline=leader.now + 5.0)
    leader.settle()
    capacity = {"roster": SpareCapacity((14_000, 14_000, 28_000, 28_000))}
    leader.dispatcher.update_offered_capacity(REMOTE_LEADER, capacity, leader.now)
    offer_long_job(leader, estimate_ms, tasks=4)
    leader.settle()
    leader.advance(TICK_S, TICK_S)
    assert not leader.answers
    assert [effect.job for effect in leader.redirects] == ["aa"]


def test_a_long_job_leaves_a_full_zone_in_time(
    leader: Leader,
):
    # Guards against a wait in a full zone that exceeds the job's spare time.
    leader.offer("full", tasks=4, route=LONG_TIMEOUT, deadline=leader.now + 5.0)
    leader.settle()
    capacity = {"roster": SpareCapacity((14_000, 14_000, 28_000, 28_000))}
    leader.dispatcher.update_offered_capacity(REMOTE_LEADER, capacity, leader.now)
    offer_long_job(leader, 853.0, tasks=4)
    leader.settle()
    leader.advance(SHORT_WAIT_S, SHORT_WAIT_S)
    assert [effect.job for effect in leader.redirects] == ["aa"]
