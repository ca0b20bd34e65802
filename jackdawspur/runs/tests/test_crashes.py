"""A job whose task crashes upstreams is given up; other jobs there continue."""

import pytest

from jackdawspur.leases import CallOutcome, RunResult
from jackdawspur.model import UpstreamId
from jackdawspur.runs import JobEnd, Progress, TaskFailureCounts
from jackdawspur.runs._crashes import LOSS_TTL_S, Crashes
from jackdawspur.runs.tests.conftest import LONG_TIMEOUT, Leader

UPSTREAM_IDS = [UpstreamId("z1", f"u{n}") for n in range(8)]
CRASHING, HEALTHY, OTHER = "bad.0.0.0", "good.0.0.0", "good.0.0.1"
# Longer than a lease and the polls before it expires.
EXPIRY_S = 1.2


@pytest.fixture
def crashes() -> Crashes:
    return Crashes()


def gives_up(crashes: Crashes, *tasks: str) -> bool:
    """Return whether the job of these tasks is given up."""
    job = tasks[0].split(".", 1)[0]
    return crashes.reason_to_give_up(job, tasks) is not None


def test_a_task_is_given_up_after_two_crashes(crashes: Crashes):
    crashes.record_crash(UPSTREAM_IDS[0], {CRASHING, HEALTHY}, 1.0)
    assert not gives_up(crashes, CRASHING)
    crashes.record_crash(UPSTREAM_IDS[1], {CRASHING, OTHER}, 9.0)
    assert gives_up(crashes, CRASHING)
    assert not gives_up(crashes, HEALTHY, OTHER)


def test_two_crashes_of_one_upstream_count_twice(crashes: Crashes):
    # Guards against a task that crashes the same upstream repeatedly.
    for time_s in (1.0, 9.0):
        crashes.record_crash(UPSTREAM_IDS[0], {CRASHING}, time_s)
    assert gives_up(crashes, CRASHING)


def test_an_upstream_that_replies_again_did_not_crash(crashes: Crashes):
    # Guards against failing a job for crashes that happened before its starts arrived.
    for number in range(3):
        crashes.record_loss(UPSTREAM_IDS[number], {HEALTHY}, 5.0 * number)
        crashes.record_reply(UPSTREAM_IDS[number])
    assert not gives_up(crashes, HEALTHY)
    assert not crashes.must_wait(HEALTHY)


def test_an_unresponsive_upstream_crashed_if_its_incarnation_changes(
    crashes: Crashes,
):
    crashes.record_loss(UPSTREAM_IDS[0], {CRASHING}, 1.0)
    crashes.record_loss(UPSTREAM_IDS[1], {CRASHING}, 3.0)
    assert not gives_up(crashes, CRASHING)
    assert crashes.must_wait(CRASHING)
    for upstream_id in UPSTREAM_IDS[:2]:
        crashes.record_crash(upstream_id, (), 6.0)
    assert gives_up(crashes, CRASHING)


def test_a_lost_rack_is_attributed_to_no_task(crashes: Crashes):
    # Guards against failing jobs that lost two upstreams together with a rack.
    for number, upstream_id in enumerate(UPSTREAM_IDS[:4]):
        tasks = {f"j{number}.0.0.0", *([HEALTHY] if number % 2 else [])}
        crashes.record_crash(upstream_id, tasks, 1.0 + 0.2 * number)
    assert not gives_up(crashes, HEALTHY)


def test_a_job_that_crashes_many_upstreams_at_once_is_given_up(crashes: Crashes):
    for number, upstream_id in enumerate(UPSTREAM_IDS):
        crashes.record_crash(
            upstream_id, {f"bad.0.0.{number}", f"j{number}.0.0.0"}, 1.0
        )
    assert gives_up(crashes, *(f"bad.0.0.{number}" for number in range(8)))
    assert not gives_up(crashes, "j0.0.0.0")


def test_old_crashes_are_removed(crashes: Crashes):
    crashes.record_crash(UPSTREAM_IDS[0], {CRASHING}, 1.0)
    crashes.forget_old(1.0 + LOSS_TTL_S)
    assert not crashes.is_suspect(CRASHING)


def test_an_upstream_lost_long_ago_may_reply(crashes: Crashes):
    crashes.record_loss(UPSTREAM_IDS[0], {CRASHING}, 1.0)
    crashes.forget_old(1.0 + LOSS_TTL_S)
    crashes.record_reply(UPSTREAM_IDS[0])
    crashes.record_loss(UPSTREAM_IDS[0], {CRASHING}, 2.0 + LOSS_TTL_S)
    assert crashes.is_suspect(CRASHING)


def test_upstreams_that_never_reply_again_are_removed(crashes: Crashes):
    # Guards against state that grows with each upstream that is replaced.
    crashes.record_loss(UPSTREAM_IDS[0], {CRASHING}, 1.0)
    assert crashes.may_have_crashed(UPSTREAM_IDS[0])
    crashes.forget_old(1.0 + LOSS_TTL_S)
    assert not crashes.may_have_crashed(UPSTREAM_IDS[0])


def crash(leader: Leader, task: str) -> None:
    """Let another incarnation reply in place of a task's upstream."""
    (upstream_id,) = leader.running()[task]
    leader.upstreams[upstream_id].running.clear()
    poll = next(poll for poll in leader.polls if poll.upstream == upstream_id)
    leader.polls.remove(poll)
    leader.dispatcher.poll_replied(poll, CallOutcome.GONE, leader.now)


@pytest.fixture
def crashed_twice() -> Leader:
    """Return a leader of which two upstreams crashed while running the same task."""
    leader = Leader(upstreams=4)
    leader.lead()
    leader.offer("bad", route=LONG_TIMEOUT, deadline=leader.now + 20.0)
    leader.settle()
    for _ in range(2):
        crash(leader, CRASHING)
        leader.advance(0.05)
    return leader


def test_a_job_fails_after_the_second_crash_under_its_task(
    crashed_twice: Leader,
):
    # Guards against a task that crashes one upstream after the other.
    (answer,) = crashed_twice.answers
    assert answer.outcome.end is JobEnd.FAILED
    assert not answer.outcome.not_run
    assert CRASHING in answer.outcome.reason
    assert not crashed_twice.running()


def test_a_retried_crashing_job_fails_at_once(crashed_twice: Leader):
    crashed_twice.offer("bad", call=2, host="h3")
    crashed_twice.advance(0.05)
    ends = [answer.outcome.end for answer in crashed_twice.answers]
    assert ends == [JobEnd.FAILED] * 2
    assert not crashed_twice.running()


def test_two_suspects_are_not_placed_together():
    # Guards against attributing a second crash to a healthy task that ran beside the
    # one that caused the first.
    leader = Leader(upstreams=3)
    leader.lead()
    for job in ("bad", "good"):
        leader.offer(job, route=LONG_TIMEOUT, deadline=leader.now + 20.0)
        leader.settle()
    assert leader.running()[CRASHING] == leader.running()[HEALTHY]
    crash(leader, CRASHING)
    leader.settle()
    leader.advance(0.05)
    assert leader.running()[CRASHING] != leader.running()[HEALTHY]


def test_failures_of_a_task_are_kept_on_handover():
    # Guards against an unlimited number of attempts while hosts are restarted in turn.
    leader = Leader(upstreams=1)
    leader.lead()
    failure_counts = (TaskFailureCounts("aa.0.0.0", 2, 0),)
    leader.offer("aa", handovers=1, progress=Progress((), failure_counts))
    leader.settle()
    leader.upstreams[UPSTREAM_IDS[0]].end("aa.0.0.0", RunResult.FAILED)
    leader.settle()
    (answer,) = leader.answers
    assert answer.outcome.end is JobEnd.FAILED


def test_crashes_under_a_task_are_kept_on_handover():
    leader = Leader(upstreams=2)
    leader.lead()
    failure_counts = (TaskFailureCounts(CRASHING, 0, 1),)
    deadline = leader.now + 20.0
    leader.offer("bad", 1, LONG_TIMEOUT, handovers=1, deadline=deadline)
    leader.settle()
    leader.offer(
        "bad",
        1,
        LONG_TIMEOUT,
        handovers=1,
        deadline=deadline,
        progress=Progress((), failure_counts),
    )
    crash(leader, CRASHING)
    leader.advance(0.05)
    (answer,) = leader.answers
    assert answer.outcome.end is JobEnd.FAILED


def test_failures_are_reported_to_the_next_leader():
    leader = Leader(upstreams=1)
    leader.lead()
    leader.offer("aa")
    leader.settle()
    leader.upstreams[UPSTREAM_IDS[0]].end("aa.0.0.0", RunResult.FAILED)
    leader.settle()
    jobs = leader.dispatcher.open_jobs
    progress_by_host = jobs.progress_by_host(leader.dispatcher.upstream_pool.crashes)
    assert progress_by_host["h2"]["aa"].troubles == (
        TaskFailureCounts("aa.0.0.0", 1, 0),
    )


def test_tasks_lost_with_one_upstream_restart_together():
    # Guards against delaying a healthy job by running its tasks one after the other.
    leader = Leader(upstreams=3)
    leader.lead()
    leader.offer("aa", 2, LONG_TIMEOUT, deadline=leader.now + 20.0)
    leader.settle()
    (lost,) = {
        upstream_id
        for upstream_ids in leader.running().values()
        for upstream_id in upstream_ids
    }
    leader.unresponsive.add(lost)
    leader.upstreams[lost].running.clear()
    leader.advance(EXPIRY_S)
    assert set(leader.running()) == {"aa.0.0.0", "aa.0.0.1"}


def test_starts_that_reached_another_incarnation_count_as_no_crash():
    # Guards against failing a healthy job none of whose tasks has run: the upstreams
    # had crashed before its starts arrived, and each refusal counted against the other
    # starts.
    leader = Leader(3)
    leader.lead()
    leader.offer("good", tasks=2, route=LONG_TIMEOUT, deadline=leader.now + 5.0)
    for _ in range(2):
        leader.collect()
        effects, leader.starts = leader.starts, []
        assert len({effect.upstream for effect in effects}) == 1
        for effect in effects:
            leader.dispatcher.start_replied(effect, CallOutcome.GONE, leader.now)
    leader.advance(0.1)
    assert not [a for a in leader.answers if a.outcome.end is JobEnd.FAILED]
    assert set(leader.running()) == {HEALTHY, OTHER}
