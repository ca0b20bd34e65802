"""A task that crashes upstreams is given up; what ran beside it goes on."""

import pytest

from jackdawspur.leases import CallOutcome, RunResult
from jackdawspur.model import UpstreamId
from jackdawspur.runs import JobEnd, Progress, TaskFailureCounts
from jackdawspur.runs._crashes import LOSS_TTL_S, Crashes
from jackdawspur.runs.tests.conftest import PATIENT, Leading

PLACES = [UpstreamId("z1", f"u{n}") for n in range(8)]
BAD, GOOD, OTHER = "bad.0.0.0", "good.0.0.0", "good.0.0.1"
# Longer than a lease, and the looks that go before.
SILENT_S = 1.2


@pytest.fixture
def crashes() -> Crashes:
    return Crashes()


def gives_up(crashes: Crashes, *tasks: str) -> bool:
    """Tell whether the job of some tasks is given up."""
    job = tasks[0].split(".", 1)[0]
    return crashes.reason_to_give_up(job, tasks) is not None


def test_a_task_is_given_up_after_two_crashes(crashes: Crashes):
    crashes.crashed(PLACES[0], {BAD, GOOD}, 1.0)
    assert not gives_up(crashes, BAD)
    crashes.crashed(PLACES[1], {BAD, OTHER}, 9.0)
    assert gives_up(crashes, BAD)
    assert not gives_up(crashes, GOOD, OTHER)


def test_two_crashes_of_one_upstream_count_twice(crashes: Crashes):
    # Guards against a task that crashes the same upstream again and again.
    for at in (1.0, 9.0):
        crashes.crashed(PLACES[0], {BAD}, at)
    assert gives_up(crashes, BAD)


def test_an_upstream_that_answers_again_did_not_crash(crashes: Crashes):
    # Guards against failing a job for crashes before its starts came.
    for number in range(3):
        crashes.lost(PLACES[number], {GOOD}, 5.0 * number)
        crashes.answered(PLACES[number])
    assert not gives_up(crashes, GOOD)
    assert not crashes.must_wait(GOOD)


def test_an_upstream_that_is_silent_is_a_crash_once_another_boot_is_seen(
    crashes: Crashes,
):
    crashes.lost(PLACES[0], {BAD}, 1.0)
    crashes.lost(PLACES[1], {BAD}, 3.0)
    assert not gives_up(crashes, BAD)
    assert crashes.must_wait(BAD)
    for place in PLACES[:2]:
        crashes.crashed(place, (), 6.0)
    assert gives_up(crashes, BAD)


def test_a_rack_that_is_lost_blames_no_task(crashes: Crashes):
    # Guards against failing the jobs that lost two upstreams with a rack.
    for number, place in enumerate(PLACES[:4]):
        tasks = {f"j{number}.0.0.0", *([GOOD] if number % 2 else [])}
        crashes.crashed(place, tasks, 1.0 + 0.2 * number)
    assert not gives_up(crashes, GOOD)


def test_a_job_that_crashes_many_upstreams_at_once_is_given_up(crashes: Crashes):
    for number, place in enumerate(PLACES):
        crashes.crashed(place, {f"bad.0.0.{number}", f"j{number}.0.0.0"}, 1.0)
    assert gives_up(crashes, *(f"bad.0.0.{number}" for number in range(8)))
    assert not gives_up(crashes, "j0.0.0.0")


def test_crashes_are_forgotten_after_a_while(crashes: Crashes):
    crashes.crashed(PLACES[0], {BAD}, 1.0)
    crashes.forget_old(1.0 + LOSS_TTL_S)
    assert not crashes.is_suspect(BAD)


def test_an_upstream_lost_long_ago_may_answer(crashes: Crashes):
    crashes.lost(PLACES[0], {BAD}, 1.0)
    crashes.forget_old(1.0 + LOSS_TTL_S)
    crashes.answered(PLACES[0])
    crashes.lost(PLACES[0], {BAD}, 2.0 + LOSS_TTL_S)
    assert crashes.is_suspect(BAD)


def test_upstreams_that_never_answer_again_are_forgotten(crashes: Crashes):
    # Guards against state that grows with each upstream that is replaced.
    crashes.lost(PLACES[0], {BAD}, 1.0)
    assert crashes.may_have_crashed(PLACES[0])
    crashes.forget_old(1.0 + LOSS_TTL_S)
    assert not crashes.may_have_crashed(PLACES[0])


def crash(leading: Leading, task: str) -> None:
    """Let another boot answer in the place of the upstream of a task."""
    (place,) = leading.running()[task]
    leading.upstreams[place].running.clear()
    look = next(one for one in leading.looks if one.upstream == place)
    leading.looks.remove(look)
    leading.dispatcher.poll_replied(look, CallOutcome.GONE, leading.now)


@pytest.fixture
def crashed_twice() -> Leading:
    """Return a host that leads, of whose upstreams two crashed under one task."""
    leading = Leading(upstreams=4)
    leading.lead()
    leading.offer("bad", route=PATIENT, deadline=leading.now + 20.0)
    leading.settle()
    for _ in range(2):
        crash(leading, BAD)
        leading.advance(0.05)
    return leading


def test_a_job_whose_task_crashes_upstreams_fails_after_the_second(
    crashed_twice: Leading,
):
    # Guards against one task that takes down one upstream after the other.
    (answer,) = crashed_twice.answers
    assert answer.outcome.end is JobEnd.FAILED
    assert not answer.outcome.not_run
    assert BAD in answer.outcome.reason
    assert not crashed_twice.running()


def test_a_job_that_is_asked_for_again_fails_at_once(crashed_twice: Leading):
    crashed_twice.offer("bad", call=2, host="h3")
    crashed_twice.advance(0.05)
    ends = [one.outcome.end for one in crashed_twice.answers]
    assert ends == [JobEnd.FAILED] * 2
    assert not crashed_twice.running()


def test_two_suspects_are_not_placed_together():
    # Guards against a healthy task that is blamed for a second crash beside the first.
    leading = Leading(upstreams=3)
    leading.lead()
    for job in ("bad", "good"):
        leading.offer(job, route=PATIENT, deadline=leading.now + 20.0)
        leading.settle()
    assert leading.running()[BAD] == leading.running()[GOOD]
    crash(leading, BAD)
    leading.settle()
    leading.advance(0.05)
    assert leading.running()[BAD] != leading.running()[GOOD]


def test_failures_of_a_task_count_on_after_a_hand_over():
    # Guards against attempts without end while hosts are restarted in turn.
    leading = Leading(upstreams=1)
    leading.lead()
    troubles = (TaskFailureCounts("aa.0.0.0", 2, 0),)
    leading.offer("aa", handovers=1, progress=Progress((), troubles))
    leading.settle()
    leading.upstreams[PLACES[0]].end("aa.0.0.0", RunResult.FAILED)
    leading.settle()
    (answer,) = leading.answers
    assert answer.outcome.end is JobEnd.FAILED


def test_crashes_under_a_task_count_on_after_a_hand_over():
    leading = Leading(upstreams=2)
    leading.lead()
    troubles = (TaskFailureCounts(BAD, 0, 1),)
    deadline = leading.now + 20.0
    leading.offer("bad", 1, PATIENT, handovers=1, deadline=deadline)
    leading.settle()
    leading.offer(
        "bad",
        1,
        PATIENT,
        handovers=1,
        deadline=deadline,
        progress=Progress((), troubles),
    )
    crash(leading, BAD)
    leading.advance(0.05)
    (answer,) = leading.answers
    assert answer.outcome.end is JobEnd.FAILED


def test_the_next_leading_host_is_told_of_failures():
    leading = Leading(upstreams=1)
    leading.lead()
    leading.offer("aa")
    leading.settle()
    leading.upstreams[PLACES[0]].end("aa.0.0.0", RunResult.FAILED)
    leading.settle()
    jobs = leading.dispatcher.open_jobs
    told = jobs.progress_by_host(leading.dispatcher.upstream_pool.crashes)
    assert told["h2"]["aa"].troubles == (TaskFailureCounts("aa.0.0.0", 1, 0),)


def test_tasks_lost_with_one_silent_upstream_start_again_at_once():
    # Guards against a healthy job that is late since its tasks run one after the other.
    leading = Leading(upstreams=3)
    leading.lead()
    leading.offer("aa", 2, PATIENT, deadline=leading.now + 20.0)
    leading.settle()
    (lost,) = {place for places in leading.running().values() for place in places}
    leading.silent.add(lost)
    leading.upstreams[lost].running.clear()
    leading.advance(SILENT_S)
    assert set(leading.running()) == {"aa.0.0.0", "aa.0.0.1"}


def test_starts_that_all_reached_other_boots_blame_no_task():
    # Guards against failing a healthy job none of whose tasks has ever run: upstreams
    # had crashed before its starts came, and each refusal blames the other starts.
    leading = Leading(3)
    leading.lead()
    leading.offer("good", tasks=2, route=PATIENT, deadline=leading.now + 5.0)
    for _ in range(2):
        leading.collect()
        orders, leading.starts = leading.starts, []
        assert len({order.upstream for order in orders}) == 1
        for order in orders:
            leading.dispatcher.start_replied(order, CallOutcome.GONE, leading.now)
    leading.advance(0.1)
    assert not [one for one in leading.answers if one.outcome.end is JobEnd.FAILED]
    assert set(leading.running()) == {GOOD, OTHER}
