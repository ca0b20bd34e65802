"""Tests that many large jobs leave the leader memory and time for others."""

import pytest

from jackdawspur.runs import JobRequest, JobSizes, JobStep, Offer, job_size
from jackdawspur.runs._job_sizes import (
    LARGE_INTERVAL_S,
    MAX_LARGE_SIZE,
    MAX_TOTAL_SIZE,
    SMALL_SIZE,
)
from jackdawspur.runs.tests.conftest import ROUTE, TASK_RESOURCES, Leader

# The largest job of the design size has 360 tasks, the largest accepted one 10,000.
DESIGN_TASKS = 360
MAX_TASKS = 10_000


@pytest.fixture
def sizes() -> JobSizes:
    return JobSizes()


def steps_request(job: str, steps: int) -> JobRequest:
    step = JobStep(1, TASK_RESOURCES, 200.0)
    return JobRequest(job, "spec", (step,) * steps, ROUTE)


def offer(leader: Leader, request: JobRequest, **changes) -> None:
    values = {"host": "h2", "call": 1, "arrived": leader.now}
    values["deadline"] = leader.now + 60.0
    leader.dispatcher.offer(Offer(request, **{**values, **changes}), leader.now)


def test_the_size_includes_tasks_steps_and_edges():
    first = JobStep(5, TASK_RESOURCES, 200.0)
    second = JobStep(2, TASK_RESOURCES, 200.0, after=(0,) * 16)
    assert job_size(JobRequest("aa", "spec", (first, second), ROUTE)) == 5 + 2 + 2 + 2


def test_the_largest_job_is_accepted_alone(sizes):
    assert sizes.max_admitted(0.0) >= 2 * MAX_TASKS


def test_small_jobs_are_accepted_beside_large_ones(sizes):
    sizes.add("a", 2 * MAX_TASKS, 0.0)
    assert sizes.max_admitted(0.0) == SMALL_SIZE
    assert SMALL_SIZE >= 2 * DESIGN_TASKS


def test_a_second_large_job_gets_half_of_what_the_first_leaves(sizes):
    sizes.add("a", 2 * MAX_TASKS, 0.0)
    later = 2 * MAX_TASKS * LARGE_INTERVAL_S
    assert sizes.max_admitted(later) == (MAX_LARGE_SIZE - 2 * MAX_TASKS) // 2


def test_large_jobs_that_end_soon_follow_each_other_at_intervals(sizes):
    """Guards against large jobs that are refused one by one after they were read."""
    sizes.add("a", 2 * MAX_TASKS, 0.0)
    sizes.remove("a")
    assert sizes.total == 0
    assert sizes.max_admitted(0.0) == SMALL_SIZE
    assert sizes.max_admitted(2 * MAX_TASKS * LARGE_INTERVAL_S) == MAX_TOTAL_SIZE


def test_jobs_above_the_design_size_may_follow_each_other_at_once(sizes):
    """Guards against limits for crowds that refuse a few callers with larger jobs."""
    for number in range(6):
        assert sizes.max_admitted(0.0) >= 2000
        sizes.add(number, 2000, 0.0)


def test_the_total_is_bounded(sizes):
    for number in range(MAX_TOTAL_SIZE // DESIGN_TASKS):
        assert sizes.max_admitted(0.0) >= DESIGN_TASKS
        sizes.add(number, DESIGN_TASKS, 0.0)
    assert sizes.max_admitted(0.0) < DESIGN_TASKS


def test_a_leader_refuses_large_jobs_beside_others_as_not_run(leader):
    """Guards against a leader that ends for what its followers accepted."""
    offer(leader, steps_request("aa", MAX_TASKS))
    offer(leader, steps_request("bb", MAX_TASKS))
    offer(leader, steps_request("cc", 2))
    assert set(leader.dispatcher.open_jobs) == {"aa", "cc"}
    leader.collect()
    (answer,) = leader.answers
    assert (answer.job, answer.outcome.not_run) == ("bb", True)
    assert answer.outcome.retry_after_s >= 1.0


def test_a_job_that_was_handed_over_is_never_refused_for_its_size(leader):
    """Guards against a refusal as not run of a job that an earlier leader started."""
    offer(leader, steps_request("aa", MAX_TASKS))
    offer(leader, steps_request("bb", MAX_TASKS), handovers=1)
    assert set(leader.dispatcher.open_jobs) == {"aa", "bb"}


def test_ended_jobs_make_room_for_others(leader):
    offer(leader, steps_request("aa", 2))
    leader.dispatcher.drop("h2", "aa", 1, leader.now)
    assert leader.dispatcher.open_jobs.sizes.total == 0


def test_tasks_without_capacity_needs_start_up_to_a_bound(leader):
    """Guards against thousands of starts that wait until their replies are overdue."""
    free_step = JobStep(MAX_TASKS, type(TASK_RESOURCES)(0, 0, 0), 200.0)
    offer(leader, JobRequest("aa", "spec", (free_step,), ROUTE))
    leader.dispatcher.tick(leader.now)
    leader.collect()
    assert len(leader.starts) == 512
    leader.advance(0.3)
    assert len(leader.running()) == 1024


def test_many_refusals_in_one_pass_name_the_wait_of_each(leader):
    """Guards against work for each refusal that grows with the open jobs."""
    for number in range(200):
        leader.offer(f"{number:02x}", tasks=8)
    leader.dispatcher.tick(leader.now)
    leader.collect()
    assert len(leader.answers) > 100
    waits = [answer.outcome.retry_after_s for answer in leader.answers]
    assert min(waits) >= 1.0
    assert waits == sorted(waits, reverse=True)
