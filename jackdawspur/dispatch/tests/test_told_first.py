"""What a first attempt is told, for every kind of request.

One row a case and kind. "Not run" must be false as soon as the task may run.
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
from jackdawspur.dispatch.tests.conftest import (
    SECOND_RUN,
    make_request,
    starts_in,
)
from jackdawspur.dispatch.tests.told import (
    COMPLETE,
    FAILED,
    KINDS,
    REFUSED,
    UNKNOWN,
    Case,
    Told,
    begin,
    check,
    finish,
    lose,
    status,
    wait_in_queue,
)
from jackdawspur.external import RefusalReason
from jackdawspur.model import (
    FailureCode,
    TaskState,
)


def taken_and_done(harness, kind):
    finish(harness, begin(harness, kind)[1])


def task_fails(harness, kind):
    _, start = begin(harness, kind)
    harness.verdicts(start)
    harness.results(start, TaskState.FAILED)


def refused_then_taken(harness, kind):
    _, start = begin(harness, kind)
    again = harness.verdicts(start, RefusalReason.FULL) + harness.wait(0.5)
    finish(harness, starts_in(again)[0])


def reply_lost_but_done(harness, kind):
    _, start = begin(harness, kind)
    lose(harness, start)
    status(harness, start, TaskState.DONE)


def reply_lost_and_silent(harness, kind):
    _, start = begin(harness, kind)
    lose(harness, start)
    tasks = tuple(s.task for s in start.starts)
    harness.send_event(StatusQueryFailed(start.upstream, tasks))
    harness.wait(6.0)


def barred_then_sent_again(harness, kind):
    (known,) = starts_in(harness.send_event(Submitted(60, make_request(1))))
    finish(harness, known)
    (other,) = starts_in(harness.send_event(Submitted(61, make_request(1))))
    finish(harness, other)
    _, start = begin(harness, kind)
    lose(harness, start)
    again = status(harness, start, TaskState.SEALED)
    finish(harness, starts_in(again)[0])


def barred_by_a_later_run(harness, kind):
    _, start = begin(harness, kind)
    lose(harness, start)
    status(harness, start, TaskState.SEALED, SECOND_RUN)


def no_trace(harness, kind):
    _, start = begin(harness, kind)
    lose(harness, start)
    status(harness, start, TaskState.UNKNOWN)


def upstream_restarts(harness, kind):
    _, start = begin(harness, kind)
    harness.verdicts(start)
    harness.results(replace(start, starts=()), run=SECOND_RUN)


def never_left_then_taken(harness, kind):
    _, start = begin(harness, kind)
    again = lose(harness, start, left=False) + harness.wait(0.5)
    finish(harness, starts_in(again)[0])


def cancelled_before(harness, kind):
    request, submission = wait_in_queue(harness, kind)
    harness.send_event(CancelRequested(2, "roster", submission))
    harness.wait(1.0)


def cancelled_during(harness, kind):
    _, start = begin(harness, kind)
    harness.verdicts(start)
    harness.send_event(CancelRequested(2, "roster", start.starts[0].task.submission))
    harness.results(start)


def cancelled_after(harness, kind):
    _, start = begin(harness, kind)
    finish(harness, start)
    harness.send_event(CancelRequested(2, "roster", start.starts[0].task.submission))


def deadline_before_start(harness, kind):
    wait_in_queue(harness, kind)
    harness.wait(6.0)


def deadline_after_start(harness, kind):
    _, start = begin(harness, kind)
    harness.verdicts(start)
    harness.wait(6.0)


def pause_past_deadline(harness, kind):
    begin(harness, kind)
    harness.now += 20.0
    harness.wait(0.6)


def drain_lets_it_end(harness, kind):
    _, start = begin(harness, kind)
    harness.send_event(DrainRequested(4000.0))
    finish(harness, start)


def drain_bound_in_queue(harness, kind):
    wait_in_queue(harness, kind, 60_000.0)
    harness.send_event(DrainRequested(1000.0))
    harness.wait(1.5)


def drain_bound_while_running(harness, kind):
    _, start = begin(harness, kind)
    harness.verdicts(start)
    harness.send_event(DrainRequested(1000.0))
    harness.wait(1.5)


def drain_bound_in_doubt(harness, kind):
    _, start = begin(harness, kind)
    lose(harness, start)
    harness.send_event(DrainRequested(1000.0))
    harness.wait(1.5)


def caller_gone_then_polls(harness, kind):
    _, start = begin(harness, kind)
    harness.send_event(CallClosed(1))
    finish(harness, start)
    harness.send_event(Polled(2, "roster", start.starts[0].task.submission))


FOR_EVERY_KIND = (
    Case(taken_and_done, Told(COMPLETE, starts=1)),
    Case(task_fails, Told(FAILED, FailureCode.TASK_FAILED, starts=1)),
    Case(refused_then_taken, Told(COMPLETE, starts=2)),
    Case(reply_lost_but_done, Told(COMPLETE, starts=1)),
    Case(reply_lost_and_silent, Told(FAILED, UNKNOWN, starts=1)),
    Case(barred_then_sent_again, Told(COMPLETE, starts=4)),
    Case(barred_by_a_later_run, Told(FAILED, UNKNOWN, starts=1)),
    Case(no_trace, Told(FAILED, UNKNOWN, starts=1)),
    Case(upstream_restarts, Told(FAILED, UNKNOWN, starts=1)),
    Case(never_left_then_taken, Told(COMPLETE, starts=2)),
    Case(cancelled_before, Told(REFUSED, FailureCode.CANCELLED, True)),
    Case(cancelled_during, Told(FAILED, FailureCode.CANCELLED, starts=1)),
    Case(cancelled_after, Told(COMPLETE, starts=1)),
    Case(deadline_before_start, Told(REFUSED, FailureCode.DEADLINE, True)),
    Case(deadline_after_start, Told(FAILED, FailureCode.DEADLINE, starts=1)),
    Case(pause_past_deadline, Told(FAILED, UNKNOWN, starts=1)),
    Case(drain_lets_it_end, Told(COMPLETE, starts=1)),
    Case(drain_bound_in_queue, Told(REFUSED, FailureCode.SHUTDOWN, True)),
    Case(drain_bound_while_running, Told(FAILED, FailureCode.SHUTDOWN, starts=1)),
    Case(drain_bound_in_doubt, Told(FAILED, UNKNOWN, starts=1)),
    Case(caller_gone_then_polls, Told(COMPLETE, starts=1)),
)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("case", FOR_EVERY_KIND, ids=lambda case: case.act.__name__)
def test_first_attempt(harness, kind, case):
    """A supervisor's request meets one fault between its arrival and its answer.

    Whatever is lost on the way, its task is sent again only when an upstream's own
    word proves that it never ran.
    """
    case.act(harness, kind)
    check(harness, case.told)
