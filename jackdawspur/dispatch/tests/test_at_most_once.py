"""Tests that no task starts twice, and that "not run" is answered only if true."""

import pytest

from jackdawspur.dispatch import (
    CancelRequested,
    QueryTaskStatus,
    StartRequestFailed,
    StatusQueryFailed,
    StatusReplied,
    StopTasks,
)
from jackdawspur.dispatch.tests.conftest import (
    FIRST_INCARNATION,
    SECOND_INCARNATION,
    answers_in,
    make_request,
    starts_in,
)
from jackdawspur.external import RefusalReason, UpstreamReply
from jackdawspur.model import FailureCode, JobState, TaskOutcome, TaskState


def lose_start_reply(harness, start, maybe_sent):
    tasks = tuple(s.task for s in start.starts)
    return harness.send_event(StartRequestFailed(start.upstream, tasks, maybe_sent))


def reply_to_status_query(harness, start, state, incarnation=FIRST_INCARNATION):
    outcomes = tuple(TaskOutcome(s.task, state, "late") for s in start.starts)
    reply = UpstreamReply(start.upstream, incarnation, outcomes=outcomes)
    return harness.send_event(StatusReplied(reply))


def test_whole_job_is_answered_in_order(harness):
    starts = harness.submit(make_request(5))
    for start in reversed(starts):
        harness.reply_to_starts(start)
    effects = [e for start in reversed(starts) for e in harness.report_results(start)]
    (answer,) = answers_in(effects)
    assert answer.state is JobState.COMPLETE
    assert answer.outputs == tuple(f"out-{n}" for n in range(5))


def test_start_with_lost_reply_is_queried_and_not_sent_again(harness):
    """A start whose reply was lost must not be sent again, or the task runs twice.

    The upstream accepted the start, but the entry host got no reply to it.
    """
    (start,) = harness.submit(make_request(1))
    effects = lose_start_reply(harness, start, maybe_sent=True)
    assert not starts_in(effects)
    assert [type(e) for e in effects] == [QueryTaskStatus]
    harness.wait(1.0)
    effects = reply_to_status_query(harness, start, TaskState.DONE)
    assert answers_in(effects)[0].outputs == ("late",)
    assert len(harness.started) == 1


def test_start_that_was_not_sent_is_sent_again(harness):
    (start,) = harness.submit(make_request(1))
    lose_start_reply(harness, start, maybe_sent=False)
    harness.wait(0.5)
    assert len(harness.started) == 2


def test_start_sealed_by_the_same_incarnation_is_sent_again(harness):
    (first,) = harness.submit(make_request(1), call=1)
    harness.reply_to_starts(first)
    harness.report_results(first)
    others = harness.submit(make_request(2), call=2)
    known = next(s for s in others if s.upstream == first.upstream)
    lose_start_reply(harness, known, maybe_sent=True)
    effects = reply_to_status_query(harness, known, TaskState.SEALED)
    effects += harness.wait(0.5)
    assert [s.task for e in starts_in(effects) for s in e.starts] == [
        s.task for s in known.starts
    ]


def test_repeated_status_reply_of_earlier_upstream_releases_nothing(harness):
    """A repeated status reply must not be attributed to another upstream.

    The first upstream sealed the task, which now runs on the second one. The reply of
    the first arrives again and would mark the running task as never started.
    """
    # A seal proves something only if the incarnation of the upstream was known before.
    for call in (1, 2):
        (known,) = harness.submit(make_request(1), call=call)
        harness.reply_to_starts(known)
    (first,) = harness.submit(make_request(1), call=3)
    lose_start_reply(harness, first, maybe_sent=True)
    again = reply_to_status_query(harness, first, TaskState.SEALED) + harness.wait(0.5)
    (second,) = starts_in(again)
    assert second.upstream != first.upstream
    harness.reply_to_starts(second)
    before = len(harness.started)
    reply_to_status_query(harness, first, TaskState.SEALED)
    (answer,) = answers_in(harness.report_results(second) + harness.wait(4.0))
    assert answer.state is JobState.COMPLETE
    assert len(harness.started) == before


@pytest.mark.parametrize("state", [TaskState.SEALED, TaskState.UNKNOWN])
def test_restarted_upstream_proves_nothing(harness, state):
    """The status reply of a restarted upstream must not count as "never started".

    The upstream starts the task and restarts, and its reply is lost. The new
    incarnation does not know the task, and a second start would run it twice.
    """
    (start,) = harness.submit(make_request(1))
    harness.reply_to_starts(start)
    (second,) = harness.submit(make_request(1), call=2)
    lose_start_reply(harness, second, maybe_sent=True)
    effects = reply_to_status_query(
        harness, second, state, incarnation=SECOND_INCARNATION
    )
    effects += harness.wait(1.0)
    codes = {a.code for a in answers_in(harness.effects)}
    assert FailureCode.OUTCOME_UNKNOWN in codes
    assert not any(a.not_run for a in answers_in(harness.effects))
    assert len(harness.started) == 2


def test_unanswered_status_ends_as_unknown(harness):
    """A start without any reply must not be answered as "not run".

    The reply to the start is lost, and the upstream does not respond until the
    deadline, although the task may have run.
    """
    (start,) = harness.submit(make_request(1, deadline_ms=2000.0))
    lose_start_reply(harness, start, maybe_sent=True)
    tasks = tuple(s.task for s in start.starts)
    for _ in range(3):
        harness.send_event(StatusQueryFailed(start.upstream, tasks))
        harness.wait(0.5)
    effects = harness.wait(1.0)
    (answer,) = answers_in(effects) or answers_in(harness.effects)
    assert answer.code is FailureCode.OUTCOME_UNKNOWN
    assert not answer.not_run
    assert len(harness.started) == 1


def test_refused_everywhere_is_not_run(harness):
    starts = harness.submit(make_request(1, deadline_ms=300.0))
    for _ in range(20):
        again = [
            e for s in starts for e in harness.reply_to_starts(s, RefusalReason.FULL)
        ]
        starts = starts_in(again + harness.wait(0.05))
    (answer,) = answers_in(harness.effects)
    assert answer.not_run
    assert answer.state is JobState.REFUSED


def test_failed_task_fails_the_whole_job_at_once(harness):
    """A job with a failed task must not be answered with partial outputs.

    One task fails; the others are stopped, and the answer is a single failure.
    Otherwise a caller could take 359 of 360 outputs for a complete result.
    """
    starts = harness.submit(make_request(4))
    for start in starts:
        harness.reply_to_starts(start)
    effects = harness.report_results(starts[0], TaskState.FAILED)
    (answer,) = answers_in(effects)
    assert answer.code is FailureCode.TASK_FAILED
    assert answer.outputs == ()
    assert any(isinstance(e, StopTasks) for e in effects)
    assert not answers_in(harness.report_results(starts[1]))


def test_cancelled_before_its_start_never_starts(harness):
    """A waiting job cancelled with the answer "not run" must never start."""
    harness.submit(make_request(16), call=1)
    assert not harness.submit(make_request(4), call=2)
    waiting = [j for j in harness.core.state.jobs.values() if j.nothing_sent]
    effects = harness.send_event(CancelRequested(3, "roster", waiting[0].submission))
    assert all(a.not_run for a in answers_in(effects))
    assert len(answers_in(effects)) == 2
    harness.wait(3.0)
    assert all(t.submission != waiting[0].submission for t in harness.started)


def test_cancel_during_a_start_is_not_answered_not_run(harness):
    starts = harness.submit(make_request(1))
    submission = starts[0].starts[0].task.submission
    effects = harness.send_event(CancelRequested(2, "roster", submission))
    assert not any(a.not_run for a in answers_in(effects))


def test_pause_past_the_deadline_starts_nothing(harness):
    """A job must not start after its deadline, when its caller has its failure.

    The host is paused with the job in its queue and resumes after the deadline, with
    its state from before the pause.
    """
    harness.submit(make_request(16), call=1)
    harness.submit(make_request(2, deadline_ms=3000.0), call=2)
    before = len(harness.started)
    harness.now += 20.0
    effects = harness.wait(0.1)
    assert len(harness.started) == before
    assert {a.code for a in answers_in(effects)} == {
        FailureCode.OUTCOME_UNKNOWN,
        FailureCode.DEADLINE,
    }


def test_late_refusal_of_earlier_upstream_releases_nothing(harness):
    """A repeated refusal must not cause a second start.

    The first upstream refuses the task, which is sent to the second one under the same
    id. Then a copy of the refusal, or a report that the start failed, arrives late.
    """
    (first,) = harness.submit(make_request(1))
    (second,) = starts_in(harness.reply_to_starts(first, RefusalReason.FULL))
    assert second.upstream != first.upstream
    effects = harness.reply_to_starts(first, RefusalReason.FULL)
    effects += lose_start_reply(harness, first, maybe_sent=False)
    effects += lose_start_reply(harness, first, maybe_sent=True)
    assert not starts_in(effects)
    assert not any(isinstance(e, QueryTaskStatus) for e in effects)
    harness.reply_to_starts(second)
    assert answers_in(harness.report_results(second))[0].state is JobState.COMPLETE
