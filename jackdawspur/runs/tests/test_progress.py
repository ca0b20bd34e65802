"""Runs that can't end in time are restarted elsewhere or end their job."""

from jackdawspur.runs import JobEnd, JobStep
from jackdawspur.runs.tests.conftest import ROUTE, TASK, Leading


def progress(leading: Leading, task: str, percent: float) -> None:
    """Let the upstream of a task report its progress."""
    (place,) = leading.running()[task]
    leading.upstreams[place].percent[task] = percent


def test_a_task_on_an_upstream_that_turned_slow_starts_again_elsewhere(
    leading: Leading,
):
    # A crew's confirmation comes after the guard has locked it out: its task was given
    # to an upstream that had just become six times slower, and stayed there.
    leading.offer("aa")
    leading.settle()
    (slow,) = leading.running()["aa.0.0.0"]
    progress(leading, "aa.0.0.0", 10.0)
    leading.advance(0.2)
    (other,) = leading.running()["aa.0.0.0"]
    assert other != slow
    assert not leading.answers


def test_a_task_without_any_progress_starts_again_elsewhere(leading: Leading):
    # A client waits in vain: its task hangs on an upstream that looks healthy.
    leading.offer("aa")
    leading.settle()
    (hung,) = leading.running()["aa.0.0.0"]
    progress(leading, "aa.0.0.0", 0.0)
    leading.advance(0.4)
    (other,) = leading.running()["aa.0.0.0"]
    assert other != hung


def test_a_job_that_cannot_end_in_time_is_given_up_at_once(leading: Leading):
    # A caller waits to its limit for a job that its host knows is far too long, and the
    # room it takes makes others late.
    leading.offer("aa", deadline=leading.now + 0.9)
    leading.settle()
    leading.dispatcher.job_of("aa.0.0.0").by_name["aa.0.0.0"].restarts = 1
    progress(leading, "aa.0.0.0", 10.0)
    leading.advance(0.25)
    (answer,) = leading.answers
    assert answer.outcome.end is JobEnd.OUT_OF_TIME
    assert not answer.outcome.not_run
    leading.settle()
    assert not leading.running()


def test_a_task_that_makes_steady_progress_goes_on(leading: Leading):
    leading.offer("aa")
    leading.settle()
    (place,) = leading.running()["aa.0.0.0"]
    for percent in (25.0, 50.0, 75.0):
        progress(leading, "aa.0.0.0", percent)
        leading.advance(0.05)
    assert leading.running()["aa.0.0.0"] == [place]
    assert not leading.answers


def test_jobs_given_up_do_not_make_the_next_ones_seem_short(leading: Leading):
    # The share of jobs given up grows until hardly one is served: only short ones were
    # learned from, and each of the next was measured against what those had taken.
    for number in range(60):
        job = f"{number:02x}"
        leading.offer(job)
        leading.settle()
        name = f"{job}.0.0.0"
        (place,) = leading.running()[name]
        leading.advance(0.1 if number % 2 else 0.6)
        if number % 2:
            leading.upstreams[place].end(name)
        leading.settle()
        leading.dispatcher.drop("h2", job, 1, leading.now)
        leading.settle()
    step = JobStep(1, TASK, 200.0)
    (expected,) = leading.dispatcher.estimates.expected_ms(ROUTE, (step,))
    assert expected > 90.0


def test_a_run_that_was_taken_over_is_judged_from_then_on():
    # Callers get errors for jobs that were nearly done: the next leading host counted
    # all the progress of a run as made since it found it, and took its job for a tiny
    # one that was long overdue.
    leading = Leading()
    upstream = next(iter(leading.upstreams.values()))
    upstream.running["aa.0.0.0"] = 1
    upstream.percent["aa.0.0.0"] = 60.0
    leading.lead()
    leading.offer("aa", handovers=1)
    leading.settle()
    for percent in (70.0, 80.0, 90.0):
        upstream.percent["aa.0.0.0"] = percent
        leading.advance(0.05)
    assert not leading.answers
    assert leading.running() == {"aa.0.0.0": [upstream.id]}
