"""Jobs that have missed their objective, beside a steady stream of new ones.

Two upstreams have capacity for four tasks of 0.2 s, which is 20 tasks per second; new
jobs arrive at 20 per second and can wait for 0.8 s. The late job's answer was on time
within 0.38 s, and is useful within 1.14 s.
"""

from dataclasses import replace

import pytest

from jackdawspur.runs import JobEnd
from jackdawspur.runs._service_shedding import ServiceShedding
from jackdawspur.runs.tests.conftest import LONG_TIMEOUT, ROUTE, TASK_MS, Leader

PRIORITIES = {"roster": frozenset({0, 2})}
STEP_S = 0.0125
ARRIVAL_INTERVAL_S = 1.0 / 20.0
PATIENT = replace(LONG_TIMEOUT, stretch=5.0, priority=2)
# The late job's objective and a third of its useful time are over.
MISSED_S = 0.45


@pytest.fixture
def leader(leader: Leader) -> Leader:
    """Return a leader whose service has routes of different priorities."""
    leader.dispatcher.load_tracker.set_priorities(PRIORITIES)
    # The first jobs of a term are a backlog, to which other rules apply.
    leader.offer("first")
    leader.settle()
    leader.advance(TASK_MS / 1000)
    end_one_task(leader)
    leader.advance(0.2)
    return leader


def serve_stream(leader: Leader, seconds: float) -> dict[str, float]:
    """Offer new jobs, end tasks after their 0.2 s; return when jobs were complete."""
    started_at: dict[str, float] = {}
    completed_at: dict[str, float] = {}
    begin, count = leader.now, 0
    while leader.now < begin + seconds:
        while count * ARRIVAL_INTERVAL_S <= leader.now - begin:
            job, call = f"new{count:03d}", 100 + count
            leader.offer(job, route=PATIENT, call=call, deadline=leader.now + 5.0)
            count += 1
        leader.advance(STEP_S, STEP_S)
        leader.end_tasks(started_at, TASK_MS / 1000)
        leader.settle(2)
        for answer in leader.answers:
            if answer.outcome.end is JobEnd.COMPLETE:
                completed_at.setdefault(answer.job, leader.now)
    return completed_at


def test_a_late_job_does_not_starve_behind_new_ones(leader: Leader):
    # Its caller waited until a late answer was worth nothing, and was refused: each new
    # job that could still be on time went before it.
    use_all_capacity(leader)
    offer_late(leader, "late")
    completed_at = serve_stream(leader, 1.5)
    assert "late" in completed_at
    new = [job for job in completed_at if job.startswith("new")]
    assert len(new) >= 19


def test_new_jobs_that_would_be_late_go_before_a_late_one_that_can_wait(leader: Leader):
    # Guards against a queue of late jobs that makes every later job late as well.
    use_all_capacity(leader)
    offer_late(leader, "late")
    leader.offer("new", call=3)
    leader.advance(0.025, 0.025)
    end_one_task(leader)
    assert any(task.startswith("new.") for task in leader.running())
    assert not any(task.startswith("late.") for task in leader.running())


def test_a_late_urgent_job_goes_before_a_long_one_that_can_wait(leader: Leader):
    # Guards against refusing short jobs while long ones start that have time to spare.
    use_all_capacity(leader)
    leader.offer("long", route=PATIENT, call=3, deadline=leader.now + 5.0)
    offer_late(leader, "late")
    leader.advance(0.025, 0.025)
    end_one_task(leader)
    assert any(task.startswith("late.") for task in leader.running())


def test_a_late_job_yields_to_all_others_under_overload(leader: Leader, monkeypatch):
    # Guards against a longer overload in which each late job makes another one late.
    overloaded = property(lambda _shedding: True)
    monkeypatch.setattr(ServiceShedding, "exceeds_capacity", overloaded)
    use_all_capacity(leader)
    leader.offer("long", route=PATIENT, call=3, deadline=leader.now + 5.0)
    offer_late(leader, "late")
    leader.advance(0.025, 0.025)
    end_one_task(leader)
    assert any(task.startswith("long.") for task in leader.running())


def use_all_capacity(leader: Leader) -> None:
    leader.offer("aa", tasks=4, route=LONG_TIMEOUT)
    leader.settle()
    assert len(leader.running()) == 4


def offer_late(leader: Leader, job: str) -> None:
    """Offer a job that can only be late."""
    arrived = leader.now - MISSED_S
    leader.offer(job, route=ROUTE, call=2, arrived=arrived, deadline=arrived + 3.0)


def end_one_task(leader: Leader) -> None:
    task, (upstream,) = next(iter(leader.running().items()))
    leader.upstreams[upstream].end(task)
    leader.settle()
