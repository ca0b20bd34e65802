"""A task on a slow upstream that makes its job late restarts on a fast one in time."""

import pytest

from jackdawspur.model import UpstreamId
from jackdawspur.runs import JobEnd
from jackdawspur.runs.tests.conftest import LONG_TIMEOUT, Leader
from jackdawspur.runs.tests.test_slow_upstreams import (
    FAST,
    MIDDLE,
    SLOW,
    fill_fast,
    learn_slowdown,
)

SLOW_FACTOR = 1.4
# Expected to take 0.2 s, the task takes 0.32 s, and 0.448 s on the slow upstream.
TASK_S = 0.32
DEADLINE_S = 0.44
# Much shorter than a tenth of the task's time, like the latency of a report.
STEP_S = 0.001
SLOWDOWNS = {FAST: 1.0, MIDDLE: 1.0, SLOW: SLOW_FACTOR}


@pytest.fixture
def leader() -> Leader:
    """Return the leader of three upstreams with capacity for two tasks each."""
    new_leader = Leader(upstreams=3)
    new_leader.lead()
    return new_leader


def run_task(leader: Leader, task: str, seconds: float) -> list[UpstreamId]:
    """Run a task at its upstreams' speed, and return these upstreams in order."""
    locations: list[UpstreamId] = []
    end_at = leader.now + seconds
    started_at = leader.now
    while leader.now < end_at - 1e-9:
        for upstream_id in leader.running().get(task, ()):
            if locations[-1:] != [upstream_id]:
                locations.append(upstream_id)
                started_at = leader.now
            duration_s = TASK_S * SLOWDOWNS[upstream_id]
            done = 100.0 * (leader.now - started_at) / duration_s
            leader.upstreams[upstream_id].percent[task] = int(min(99.0, done))
            if leader.now - started_at >= duration_s - 1e-9:
                leader.upstreams[upstream_id].end(task)
                leader.settle()
        leader.advance(STEP_S, STEP_S)
    return locations


def test_a_task_restarts_on_a_fast_upstream_while_that_meets_the_deadline(
    leader: Leader,
):
    # Guards against giving up a job on a slow upstream while a fast one has capacity.
    learn_slowdown(leader, SLOW_FACTOR)
    fill_fast(leader)
    leader.offer("aa", route=LONG_TIMEOUT, deadline=leader.now + DEADLINE_S)
    leader.settle()
    assert leader.running()["aa.0.0.0"] == [SLOW]
    for fast in (FAST, MIDDLE):
        for task in list(leader.upstreams[fast].running):
            leader.upstreams[fast].end(task)
    leader.settle()
    locations = run_task(leader, "aa.0.0.0", DEADLINE_S)
    assert locations in ([SLOW, FAST], [SLOW, MIDDLE])
    (answer,) = [a for a in leader.answers if a.job == "aa"]
    assert answer.outcome.end is JobEnd.COMPLETE
