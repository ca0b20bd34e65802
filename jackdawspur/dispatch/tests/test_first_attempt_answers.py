"""Answers to the first attempt of a request, for every kind of request.

One test per case and kind. "Not run" must not be answered once the task may run.
"""

from dataclasses import replace

import pytest

from jackdawspur.dispatch import (
    CallClosed,
    CancelRequested,
    DrainRequested,
    Polled,
    StatusQueryFailed,
    Submitted,
)
from jackdawspur.dispatch.tests.answer_cases import (
    COMPLETE,
    FAILED,
    REFUSED,
    REQUEST_KINDS,
    UNKNOWN,
    Case,
    ExpectedAnswer,
    check_last_answer,
    finish,
    lose_start_reply,
    reply_to_status_query,
    start_job,
    wait_in_queue,
)
from jackdawspur.dispatch.tests.conftest import (
    SECOND_INCARNATION,
    make_request,
    starts_in,
)
from jackdawspur.external import RefusalReason
from jackdawspur.model import (
    FailureCode,
    TaskState,
)


def accepted_and_done(harness, kind):
    finish(harness, start_job(harness, kind)[1])


def task_fails(harness, kind):
    _, start = start_job(harness, kind)
    harness.reply_to_starts(start)
    harness.report_results(start, TaskState.FAILED)


def refused_then_accepted(harness, kind):
    _, start = start_job(harness, kind)
    again = harness.reply_to_starts(start, RefusalReason.FULL) + harness.wait(0.5)
    finish(harness, starts_in(again)[0])


def reply_lost_but_done(harness, kind):
    _, start = start_job(harness, kind)
    lose_start_reply(harness, start)
    reply_to_status_query(harness, start, TaskState.DONE)


def reply_lost_and_no_status(harness, kind):
    _, start = start_job(harness, kind)
    lose_start_reply(harness, start)
    tasks = tuple(s.task for s in start.starts)
    harness.send_event(StatusQueryFailed(start.upstream, tasks))
    harness.wait(6.0)


def sealed_then_sent_again(harness, kind):
    # A seal proves something only if the upstream's incarnation was known before, so
    # both upstreams run a job first.
    (first_start,) = starts_in(harness.send_event(Submitted(60, make_request(1))))
    finish(harness, first_start)
    (second_start,) = starts_in(harness.send_event(Submitted(61, make_request(1))))
    finish(harness, second_start)
    _, start = start_job(harness, kind)
    lose_start_reply(harness, start)
    again = reply_to_status_query(harness, start, TaskState.SEALED)
    finish(harness, starts_in(again)[0])


def sealed_by_later_incarnation(harness, kind):
    _, start = start_job(harness, kind)
    lose_start_reply(harness, start)
    reply_to_status_query(harness, start, TaskState.SEALED, SECOND_INCARNATION)


def unknown_to_upstream(harness, kind):
    _, start = start_job(harness, kind)
    lose_start_reply(harness, start)
    reply_to_status_query(harness, start, TaskState.UNKNOWN)


def upstream_restarts(harness, kind):
    _, start = start_job(harness, kind)
    harness.reply_to_starts(start)
    harness.report_results(replace(start, starts=()), incarnation=SECOND_INCARNATION)


def not_sent_then_accepted(harness, kind):
    _, start = start_job(harness, kind)
    again = lose_start_reply(harness, start, maybe_sent=False) + harness.wait(0.5)
    finish(harness, starts_in(again)[0])


def cancelled_before(harness, kind):
    request, submission = wait_in_queue(harness, kind)
    harness.send_event(CancelRequested(2, "roster", submission))
    harness.wait(1.0)


def cancelled_during(harness, kind):
    _, start = start_job(harness, kind)
    harness.reply_to_starts(start)
    harness.send_event(CancelRequested(2, "roster", start.starts[0].task.submission))
    harness.report_results(start)


def cancelled_after(harness, kind):
    _, start = start_job(harness, kind)
    finish(harness, start)
    harness.send_event(CancelRequested(2, "roster", start.starts[0].task.submission))


def deadline_before_start(harness, kind):
    wait_in_queue(harness, kind)
    harness.wait(6.0)


def deadline_after_start(harness, kind):
    _, start = start_job(harness, kind)
    harness.reply_to_starts(start)
    harness.wait(6.0)


def pause_past_deadline(harness, kind):
    start_job(harness, kind)
    harness.now += 20.0
    harness.wait(0.6)


def drain_waits_for_running(harness, kind):
    _, start = start_job(harness, kind)
    harness.send_event(DrainRequested(4000.0))
    finish(harness, start)


def drain_timeout_in_queue(harness, kind):
    wait_in_queue(harness, kind, 60_000.0)
    harness.send_event(DrainRequested(1000.0))
    harness.wait(1.5)


def drain_timeout_while_running(harness, kind):
    _, start = start_job(harness, kind)
    harness.reply_to_starts(start)
    harness.send_event(DrainRequested(1000.0))
    harness.wait(1.5)


def drain_timeout_outcome_unknown(harness, kind):
    _, start = start_job(harness, kind)
    lose_start_reply(harness, start)
    harness.send_event(DrainRequested(1000.0))
    harness.wait(1.5)


def caller_gone_then_polls(harness, kind):
    _, start = start_job(harness, kind)
    harness.send_event(CallClosed(1))
    finish(harness, start)
    harness.send_event(Polled(2, "roster", start.starts[0].task.submission))


FIRST_ATTEMPT_CASES = (
    Case(accepted_and_done, ExpectedAnswer(COMPLETE, starts=1)),
    Case(task_fails, ExpectedAnswer(FAILED, FailureCode.TASK_FAILED, starts=1)),
    Case(refused_then_accepted, ExpectedAnswer(COMPLETE, starts=2)),
    Case(reply_lost_but_done, ExpectedAnswer(COMPLETE, starts=1)),
    Case(reply_lost_and_no_status, ExpectedAnswer(FAILED, UNKNOWN, starts=1)),
    Case(sealed_then_sent_again, ExpectedAnswer(COMPLETE, starts=4)),
    Case(sealed_by_later_incarnation, ExpectedAnswer(FAILED, UNKNOWN, starts=1)),
    Case(unknown_to_upstream, ExpectedAnswer(FAILED, UNKNOWN, starts=1)),
    Case(upstream_restarts, ExpectedAnswer(FAILED, UNKNOWN, starts=1)),
    Case(not_sent_then_accepted, ExpectedAnswer(COMPLETE, starts=2)),
    Case(cancelled_before, ExpectedAnswer(REFUSED, FailureCode.CANCELLED, True)),
    Case(cancelled_during, ExpectedAnswer(FAILED, FailureCode.CANCELLED, starts=1)),
    Case(cancelled_after, ExpectedAnswer(COMPLETE, starts=1)),
    Case(deadline_before_start, ExpectedAnswer(REFUSED, FailureCode.DEADLINE, True)),
    Case(deadline_after_start, ExpectedAnswer(FAILED, FailureCode.DEADLINE, starts=1)),
    Case(pause_past_deadline, ExpectedAnswer(FAILED, UNKNOWN, starts=1)),
    Case(drain_waits_for_running, ExpectedAnswer(COMPLETE, starts=1)),
    Case(drain_timeout_in_queue, ExpectedAnswer(REFUSED, FailureCode.SHUTDOWN, True)),
    Case(
        drain_timeout_while_running,
        ExpectedAnswer(FAILED, FailureCode.SHUTDOWN, starts=1),
    ),
    Case(drain_timeout_outcome_unknown, ExpectedAnswer(FAILED, UNKNOWN, starts=1)),
    Case(caller_gone_then_polls, ExpectedAnswer(COMPLETE, starts=1)),
)


@pytest.mark.parametrize("kind", REQUEST_KINDS)
@pytest.mark.parametrize(
    "case", FIRST_ATTEMPT_CASES, ids=lambda case: case.act.__name__
)
def test_first_attempt(harness, kind, case):
    """One fault occurs between the arrival of a request and its answer.

    Whichever message is lost, its task must be sent again only if the reply of the
    upstream proves that it never ran.
    """
    case.act(harness, kind)
    check_last_answer(harness, case.expected)
