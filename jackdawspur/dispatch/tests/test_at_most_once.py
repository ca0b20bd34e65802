"""No task starts twice, and "not run" is only said when it is true."""

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
    FIRST_RUN,
    SECOND_RUN,
    answers_in,
    make_request,
    starts_in,
)
from jackdawspur.external import RefusalReason, UpstreamReply
from jackdawspur.model import FailureCode, JobState, TaskOutcome, TaskState


def lose(harness, start, left):
    tasks = tuple(s.task for s in start.starts)
    return harness.send_event(StartRequestFailed(start.upstream, tasks, left))


def status(harness, start, state, run=FIRST_RUN):
    outcomes = tuple(TaskOutcome(s.task, state, "late") for s in start.starts)
    reply = UpstreamReply(start.upstream, run, outcomes=outcomes)
    return harness.send_event(StatusReplied(reply))


def test_whole_job_is_answered_in_order(harness):
    starts = harness.submit(make_request(5))
    for start in reversed(starts):
        harness.verdicts(start)
    effects = [e for start in reversed(starts) for e in harness.results(start)]
    (answer,) = answers_in(effects)
    assert answer.state is JobState.COMPLETE
    assert answer.outputs == tuple(f"out-{n}" for n in range(5))


def test_lost_reply_is_asked_after_and_not_sent_again(harness):
    """A crew is sent out twice.

    The upstream takes the start, its reply is lost, the entry host takes the silence
    for a failure and sends the start again.
    """
    (start,) = harness.submit(make_request(1))
    effects = lose(harness, start, left=True)
    assert not starts_in(effects)
    assert [type(e) for e in effects] == [QueryTaskStatus]
    harness.wait(1.0)
    effects = status(harness, start, TaskState.DONE)
    assert answers_in(effects)[0].outputs == ("late",)
    assert len(harness.started) == 1


def test_start_that_never_left_is_sent_again(harness):
    (start,) = harness.submit(make_request(1))
    lose(harness, start, left=False)
    harness.wait(0.5)
    assert len(harness.started) == 2


def test_barred_start_of_the_same_run_is_sent_again(harness):
    (first,) = harness.submit(make_request(1), call=1)
    harness.verdicts(first)
    harness.results(first)
    others = harness.submit(make_request(2), call=2)
    known = next(s for s in others if s.upstream == first.upstream)
    lose(harness, known, left=True)
    effects = status(harness, known, TaskState.SEALED)
    effects += harness.wait(0.5)
    assert [s.task for e in starts_in(effects) for s in e.starts] == [
        s.task for s in known.starts
    ]


def test_old_word_of_another_upstream_frees_nothing(harness):
    """A map order that ran is taken for one that never did.

    The first upstream barred the task, so it went to the second and runs there. A
    repeat of the first one's answer comes in and is taken for the second one's.
    """
    for call in (1, 2):
        (known,) = harness.submit(make_request(1), call=call)
        harness.verdicts(known)
    (first,) = harness.submit(make_request(1), call=3)
    lose(harness, first, left=True)
    again = status(harness, first, TaskState.SEALED) + harness.wait(0.5)
    (second,) = starts_in(again)
    assert second.upstream != first.upstream
    harness.verdicts(second)
    before = len(harness.started)
    status(harness, first, TaskState.SEALED)
    (answer,) = answers_in(harness.results(second) + harness.wait(4.0))
    assert answer.state is JobState.COMPLETE
    assert len(harness.started) == before


@pytest.mark.parametrize("state", [TaskState.SEALED, TaskState.UNKNOWN])
def test_restarted_upstream_proves_nothing(harness, state):
    """A map order is billed twice.

    The upstream starts it, dies and restarts; its reply is lost. Asked, the new run
    knows nothing of the task. Cause: "no trace" is taken for "never started".
    """
    (start,) = harness.submit(make_request(1))
    harness.verdicts(start)
    (second,) = harness.submit(make_request(1), call=2)
    lose(harness, second, left=True)
    effects = status(harness, second, state, run=SECOND_RUN)
    effects += harness.wait(1.0)
    codes = {a.code for a in answers_in(harness.effects)}
    assert FailureCode.OUTCOME_UNKNOWN in codes
    assert not any(a.not_run for a in answers_in(harness.effects))
    assert len(harness.started) == 2


def test_unanswered_status_ends_as_unknown(harness):
    """A dispatcher is told "not run" for a reassignment that did run.

    The reply to the start is lost and the upstream stays silent to the deadline.
    """
    (start,) = harness.submit(make_request(1, deadline_ms=2000.0))
    lose(harness, start, left=True)
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
        again = [e for s in starts for e in harness.verdicts(s, RefusalReason.FULL)]
        starts = starts_in(again + harness.wait(0.05))
    (answer,) = answers_in(harness.effects)
    assert answer.not_run
    assert answer.state is JobState.REFUSED


def test_failed_task_fails_the_whole_job_at_once(harness):
    """A skipper gets 359 of 360 tiles and takes the overlay for complete.

    One task fails; the others are stopped, and the answer is one clear failure.
    """
    starts = harness.submit(make_request(4))
    for start in starts:
        harness.verdicts(start)
    effects = harness.results(starts[0], TaskState.FAILED)
    (answer,) = answers_in(effects)
    assert answer.code is FailureCode.TASK_FAILED
    assert answer.outputs == ()
    assert any(isinstance(e, StopTasks) for e in effects)
    assert not answers_in(harness.results(starts[1]))


def test_cancelled_before_its_start_never_starts(harness):
    """A client cancels, is told "not run", and the task runs after all."""
    harness.submit(make_request(16), call=1)
    assert not harness.submit(make_request(4), call=2)
    waiting = [j for j in harness.core.state.jobs.values() if j.untouched]
    effects = harness.send_event(CancelRequested(3, "roster", waiting[0].submission))
    assert all(a.not_run for a in answers_in(effects))
    assert len(answers_in(effects)) == 2
    harness.wait(3.0)
    assert all(t.submission != waiting[0].submission for t in harness.started)


def test_cancelled_while_a_start_is_on_its_way_is_not_called_not_run(harness):
    starts = harness.submit(make_request(1))
    submission = starts[0].starts[0].task.submission
    effects = harness.send_event(CancelRequested(2, "roster", submission))
    assert not any(a.not_run for a in answers_in(effects))


def test_pause_past_the_deadline_starts_nothing(harness):
    """A reassignment runs although its dispatcher was told that it failed.

    The host is paused with the job in its queue and wakes after the deadline. Cause:
    it goes on with what it believed before the pause.
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


def test_late_word_of_an_earlier_upstream_frees_nothing(harness):
    """A crew is sent out twice after a refusal that came in two copies.

    The first upstream refuses, the second one gets the task under the same id, and a
    late copy of the refusal, or of its loss, comes in.
    """
    (first,) = harness.submit(make_request(1))
    (second,) = starts_in(harness.verdicts(first, RefusalReason.FULL))
    assert second.upstream != first.upstream
    effects = harness.verdicts(first, RefusalReason.FULL)
    effects += lose(harness, first, left=False)
    effects += lose(harness, first, left=True)
    assert not starts_in(effects)
    assert not any(isinstance(e, QueryTaskStatus) for e in effects)
    harness.verdicts(second)
    assert answers_in(harness.results(second))[0].state is JobState.COMPLETE
