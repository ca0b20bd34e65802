"""Runs that can't end in time are restarted elsewhere, or their job is given up."""

from jackdawspur.runs import JobEnd, JobStep
from jackdawspur.runs.tests.conftest import ROUTE, TASK_RESOURCES, Leader


def set_progress(leader: Leader, task: str, percent: float) -> None:
    """Set the progress that the upstream of a task reports."""
    (upstream_id,) = leader.running()[task]
    leader.upstreams[upstream_id].percent[task] = percent


def test_a_task_restarts_elsewhere_if_its_upstream_becomes_slow(
    leader: Leader,
):
    # An answer was too late for its caller: the task was started on an upstream that
    # had just become six times slower, and stayed there.
    leader.offer("aa")
    leader.settle()
    (slow_upstream,) = leader.running()["aa.0.0.0"]
    set_progress(leader, "aa.0.0.0", 10.0)
    leader.advance(0.2)
    (other,) = leader.running()["aa.0.0.0"]
    assert other != slow_upstream
    assert not leader.answers


def test_a_task_without_any_progress_restarts_elsewhere(leader: Leader):
    # A client got no answer: its task hung on an upstream that seemed healthy.
    leader.offer("aa")
    leader.settle()
    (hung_upstream,) = leader.running()["aa.0.0.0"]
    set_progress(leader, "aa.0.0.0", 0.0)
    leader.advance(0.4)
    (other,) = leader.running()["aa.0.0.0"]
    assert other != hung_upstream


def test_a_job_that_cannot_end_in_time_is_given_up_at_once(leader: Leader):
    # A caller waited until its deadline for a job that was known to be far too long,
    # and the capacity that the job used made others late.
    leader.offer("aa", deadline=leader.now + 0.9)
    leader.settle()
    leader.dispatcher.job_of("aa.0.0.0").by_name["aa.0.0.0"].restarts = 1
    set_progress(leader, "aa.0.0.0", 10.0)
    leader.advance(0.25)
    (answer,) = leader.answers
    assert answer.outcome.end is JobEnd.OUT_OF_TIME
    assert not answer.outcome.not_run
    leader.settle()
    assert not leader.running()


def test_a_task_with_steady_progress_continues(leader: Leader):
    leader.offer("aa")
    leader.settle()
    (upstream_id,) = leader.running()["aa.0.0.0"]
    for percent in (25.0, 50.0, 75.0):
        set_progress(leader, "aa.0.0.0", percent)
        leader.advance(0.05)
    assert leader.running()["aa.0.0.0"] == [upstream_id]
    assert not leader.answers


def test_jobs_given_up_do_not_make_the_next_ones_seem_short(leader: Leader):
    # The fraction of jobs given up grew until hardly one was served: only short ones
    # were learned from, and each later job was compared with their run times.
    for number in range(60):
        job = f"{number:02x}"
        leader.offer(job)
        leader.settle()
        name = f"{job}.0.0.0"
        (upstream_id,) = leader.running()[name]
        leader.advance(0.1 if number % 2 else 0.6)
        if number % 2:
            leader.upstreams[upstream_id].end(name)
        leader.settle()
        leader.dispatcher.drop("h2", job, 1, leader.now)
        leader.settle()
    step = JobStep(1, TASK_RESOURCES, 200.0)
    (expected,) = leader.dispatcher.estimates.expected_ms(ROUTE, (step,))
    assert expected > 90.0


def test_an_adopted_run_is_judged_from_its_discovery():
    # Callers got errors for jobs that were nearly done: the next leader counted all
    # progress of a run as made since it found the run, and therefore estimated the job
    # as tiny and long overdue.
    leader = Leader()
    upstream = next(iter(leader.upstreams.values()))
    upstream.running["aa.0.0.0"] = 1
    upstream.percent["aa.0.0.0"] = 60.0
    leader.lead()
    leader.offer("aa", handovers=1)
    leader.settle()
    for percent in (70.0, 80.0, 90.0):
        upstream.percent["aa.0.0.0"] = percent
        leader.advance(0.05)
    assert not leader.answers
    assert leader.running() == {"aa.0.0.0": [upstream.id]}
