"""A task whose slow upstream makes its job late begins anew on a fast one in time."""

import pytest

from jackdawspur.model import UpstreamId
from jackdawspur.runs import JobEnd
from jackdawspur.runs.tests.conftest import PATIENT, Leading
from jackdawspur.runs.tests.test_slow_upstreams import (
    FAST,
    MIDDLE,
    SLOW,
    fill_fast,
    teach,
)

SLOWER = 1.4
# Expected to take 0.2 s, the task takes 0.32 s, and 0.448 s on the slow upstream.
WORK_S = 0.32
LIMIT_S = 0.44
# Small beside what a tenth of the work takes, as the way of a report is.
STEP_S = 0.001
PACES = {FAST: 1.0, MIDDLE: 1.0, SLOW: SLOWER}


@pytest.fixture
def leading() -> Leading:
    """Return a host that leads three upstreams with room for two tasks each."""
    one = Leading(upstreams=3)
    one.lead()
    return one


def work(leading: Leading, task: str, seconds: float) -> list[UpstreamId]:
    """Let a task work as its upstreams do; return where it began, in order."""
    places: list[UpstreamId] = []
    until = leading.now + seconds
    began = leading.now
    while leading.now < until - 1e-9:
        for place in leading.running().get(task, ()):
            if places[-1:] != [place]:
                places.append(place)
                began = leading.now
            took_s = WORK_S * PACES[place]
            done = 100.0 * (leading.now - began) / took_s
            leading.upstreams[place].percent[task] = int(min(99.0, done))
            if leading.now - began >= took_s - 1e-9:
                leading.upstreams[place].end(task)
                leading.settle()
        leading.advance(STEP_S, STEP_S)
    return places


def test_a_task_on_a_slow_upstream_begins_anew_while_a_fast_one_makes_it_in_time(
    leading: Leading,
):
    # Guards against giving a job up for a slow upstream beside a fast one with room.
    teach(leading, SLOWER)
    fill_fast(leading)
    leading.offer("aa", route=PATIENT, deadline=leading.now + LIMIT_S)
    leading.settle()
    assert leading.running()["aa.0.0.0"] == [SLOW]
    for fast in (FAST, MIDDLE):
        for task in list(leading.upstreams[fast].running):
            leading.upstreams[fast].end(task)
    leading.settle()
    places = work(leading, "aa.0.0.0", LIMIT_S)
    assert places in ([SLOW, FAST], [SLOW, MIDDLE])
    (answer,) = [one for one in leading.answers if one.job == "aa"]
    assert answer.outcome.end is JobEnd.COMPLETE
