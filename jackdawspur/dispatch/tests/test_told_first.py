"""What a first attempt is told, for every kind of request.

One row a case and kind. "Not run" must be false as soon as the task may run.
"""

from dataclasses import replace

import pytest

from jackdawspur.dispatch import (
    CallClosed,
    CancelAsked,
    DrainAsked,
    Polled,
    StatusLost,
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


def taken_and_done(bench, kind):
    finish(bench, begin(bench, kind)[1])


def task_fails(bench, kind):
    _, start = begin(bench, kind)
    bench.verdicts(start)
    bench.results(start, TaskState.FAILED)


def refused_then_taken(bench, kind):
    _, start = begin(bench, kind)
    again = bench.verdicts(start, RefusalReason.FULL) + bench.wait(0.5)
    finish(bench, starts_in(again)[0])


def reply_lost_but_done(bench, kind):
    _, start = begin(bench, kind)
    lose(bench, start)
    status(bench, start, TaskState.DONE)


def reply_lost_and_silent(bench, kind):
    _, start = begin(bench, kind)
    lose(bench, start)
    tasks = tuple(s.task for s in start.starts)
    bench.do(StatusLost(start.upstream, tasks))
    bench.wait(6.0)


def barred_then_sent_again(bench, kind):
    (known,) = starts_in(bench.do(Submitted(60, make_request(1))))
    finish(bench, known)
    (other,) = starts_in(bench.do(Submitted(61, make_request(1))))
    finish(bench, other)
    _, start = begin(bench, kind)
    lose(bench, start)
    again = status(bench, start, TaskState.SEALED)
    finish(bench, starts_in(again)[0])


def barred_by_a_later_run(bench, kind):
    _, start = begin(bench, kind)
    lose(bench, start)
    status(bench, start, TaskState.SEALED, SECOND_RUN)


def no_trace(bench, kind):
    _, start = begin(bench, kind)
    lose(bench, start)
    status(bench, start, TaskState.UNKNOWN)


def upstream_restarts(bench, kind):
    _, start = begin(bench, kind)
    bench.verdicts(start)
    bench.results(replace(start, starts=()), run=SECOND_RUN)


def never_left_then_taken(bench, kind):
    _, start = begin(bench, kind)
    again = lose(bench, start, left=False) + bench.wait(0.5)
    finish(bench, starts_in(again)[0])


def cancelled_before(bench, kind):
    request, submission = wait_in_queue(bench, kind)
    bench.do(CancelAsked(2, "roster", submission))
    bench.wait(1.0)


def cancelled_during(bench, kind):
    _, start = begin(bench, kind)
    bench.verdicts(start)
    bench.do(CancelAsked(2, "roster", start.starts[0].task.submission))
    bench.results(start)


def cancelled_after(bench, kind):
    _, start = begin(bench, kind)
    finish(bench, start)
    bench.do(CancelAsked(2, "roster", start.starts[0].task.submission))


def deadline_before_start(bench, kind):
    wait_in_queue(bench, kind)
    bench.wait(6.0)


def deadline_after_start(bench, kind):
    _, start = begin(bench, kind)
    bench.verdicts(start)
    bench.wait(6.0)


def pause_past_deadline(bench, kind):
    begin(bench, kind)
    bench.now += 20.0
    bench.wait(0.6)


def drain_lets_it_end(bench, kind):
    _, start = begin(bench, kind)
    bench.do(DrainAsked(4000.0))
    finish(bench, start)


def drain_bound_in_queue(bench, kind):
    wait_in_queue(bench, kind, 60_000.0)
    bench.do(DrainAsked(1000.0))
    bench.wait(1.5)


def drain_bound_while_running(bench, kind):
    _, start = begin(bench, kind)
    bench.verdicts(start)
    bench.do(DrainAsked(1000.0))
    bench.wait(1.5)


def drain_bound_in_doubt(bench, kind):
    _, start = begin(bench, kind)
    lose(bench, start)
    bench.do(DrainAsked(1000.0))
    bench.wait(1.5)


def caller_gone_then_polls(bench, kind):
    _, start = begin(bench, kind)
    bench.do(CallClosed(1))
    finish(bench, start)
    bench.do(Polled(2, "roster", start.starts[0].task.submission))


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
def test_first_attempt(bench, kind, case):
    """A supervisor's request meets one fault between its arrival and its answer.

    Whatever is lost on the way, its task is sent again only when an upstream's own
    word proves that it never ran.
    """
    case.act(bench, kind)
    check(bench, case.told)
