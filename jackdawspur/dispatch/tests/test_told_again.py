"""What a repeat is told, and a request whose owner, log or claim is lost.

"Not run" must be false when an earlier request with the same key or id may have run.
"""

from dataclasses import replace

import pytest

from jackdawspur.dispatch import (
    CancelAsked,
    Claim,
    ClaimEnded,
    ClaimsRead,
    DrainAsked,
    PeerReceived,
    Polled,
    Submitted,
)
from jackdawspur.dispatch.tests.conftest import (
    OWN,
    SIBLING,
    answers_in,
    make_request,
    messages_in,
    starts_in,
)
from jackdawspur.dispatch.tests.told import (
    COMPLETE,
    DEAD,
    FAILED,
    REFUSED,
    SHORT_MS,
    UNKNOWN,
    Case,
    Told,
    begin,
    check,
    claims_in,
    fill,
    finish,
    last_job,
    lose,
    request_of,
    send,
    status,
    wait_in_queue,
)
from jackdawspur.messages import Forward, ForwardAnswer
from jackdawspur.model import (
    Answer,
    FailureCode,
    HostId,
    SubmissionId,
    TaskState,
)

IDENTIFIED = ("key_idempotent", "key_once", "issued_id")


def while_pending(bench, kind):
    request, start = begin(bench, kind)
    send(bench, request, call=2)
    finish(bench, start)


def after_the_answer(bench, kind):
    request, start = begin(bench, kind)
    finish(bench, start)
    send(bench, request, call=2)


def after_a_failure(bench, kind):
    request, start = begin(bench, kind)
    bench.verdicts(start)
    bench.results(start, TaskState.FAILED)
    send(bench, request, call=2)


def after_doubt(bench, kind):
    request, start = begin(bench, kind)
    lose(bench, start)
    status(bench, start, TaskState.UNKNOWN)
    send(bench, request, call=2)


def after_not_run(bench, kind):
    request, submission = wait_in_queue(bench, kind)
    bench.do(CancelAsked(2, "roster", submission))
    send(bench, request, call=3)
    bench.wait(1.0)


def with_other_work(bench, kind):
    request, _ = begin(bench, kind)
    other = make_request(2, idempotent=request.idempotent)
    other = replace(other, key=request.key, submission=request.submission)
    send(bench, other, call=2)


def copies_from_two_hosts(bench, kind):
    request, start = begin(bench, kind)
    submission = start.starts[0].task.submission
    message = Forward(31, "roster", submission, True, request)
    bench.do(PeerReceived(SIBLING, message))
    bench.do(PeerReceived(HostId("south", "e1", 5), message))
    finish(bench, start)
    assert len(messages_in(bench.effects, ForwardAnswer)) == 2


REPEATS = (
    Case(while_pending, Told(COMPLETE, starts=1)),
    Case(after_the_answer, Told(COMPLETE, starts=1)),
    Case(after_a_failure, Told(FAILED, FailureCode.TASK_FAILED, starts=1)),
    Case(after_doubt, Told(FAILED, UNKNOWN, starts=1)),
    Case(after_not_run, Told(REFUSED, FailureCode.CANCELLED, True)),
    Case(with_other_work, Told(REFUSED, FailureCode.CONFLICT, True, starts=1)),
    Case(copies_from_two_hosts, Told(COMPLETE, starts=1)),
)


@pytest.mark.parametrize("kind", IDENTIFIED)
@pytest.mark.parametrize("case", REPEATS, ids=lambda case: case.act.__name__)
def test_repeat_at_the_owner(bench, kind, case):
    """A cooperative is billed twice because its app sent the order again.

    The repeat carries the same key or id and must get the first attempt's answer.
    """
    case.act(bench, kind)
    check(bench, case.told)


def answer_dropped(bench, kind):
    request, start = begin(bench, "issued_id")
    finish(bench, start)
    bench.wait(700.0, step=0.4)
    send(bench, request, call=2)


def cancelled_before_it_came(bench, kind):
    request = request_of(bench, "issued_id")
    bench.do(CancelAsked(2, "roster", request.submission))
    assert answers_in(bench.effects)[-1].not_run
    send(bench, request, call=3)
    bench.wait(1.0)


def polled_before_it_came(bench, kind):
    request = request_of(bench, "issued_id")
    bench.do(Polled(2, "roster", request.submission))


def owner_restarted(bench, kind):
    old = SubmissionId(replace(OWN, incarnation=OWN.incarnation - 1), 4)
    bench.do(Submitted(1, replace(request_of(bench, "plain"), submission=old)))
    bench.wait(1.0)


def owner_paused(bench, kind):
    bench.hear(SIBLING)
    asked = replace(request_of(bench, "plain"), submission=SubmissionId(SIBLING, 4))
    bench.do(Submitted(1, asked))
    bench.wait(6.0)


def owner_dead(bench, kind):
    bench.hear(SIBLING)
    asked = replace(request_of(bench, "plain"), submission=SubmissionId(SIBLING, 4))
    bench.do(Submitted(1, asked))
    bench.hear(DEAD)
    bench.wait(1.0)


def stranger_answers_for_owner(bench, kind):
    bench.hear(SIBLING)
    asked = replace(request_of(bench, "plain"), submission=SubmissionId(SIBLING, 4))
    (sent,) = messages_in(bench.do(Submitted(1, asked)), Forward)
    foreign = Answer(COMPLETE, SubmissionId(SIBLING, 5), ("of another caller",))
    bench.do(PeerReceived(HostId("south", "e1", 5), ForwardAnswer(sent.call, foreign)))
    assert not answers_in(bench.effects)
    mine = Answer(COMPLETE, asked.submission, ("mine",))
    bench.do(PeerReceived(SIBLING, ForwardAnswer(sent.call, mine)))


def log_down(bench, kind):
    claims = claims_in(bench.do(Submitted(1, request_of(bench, kind))))
    bench.do(ClaimEnded(claims[0], False))


def log_down_idempotent(bench, kind):
    log_down(bench, "key_idempotent")
    (start,) = starts_in(bench.effects)
    finish(bench, start)


def log_down_idempotent_refused(bench, kind):
    fill(bench)
    log_down(bench, "key_idempotent")
    bench.wait(6.0)


def log_down_idempotent_draining(bench, kind):
    log_down(bench, "key_once")
    bench.do(DrainAsked(1000.0))
    send(bench, request_of(bench, "key_idempotent"), call=2)


def log_reply_lost(bench, kind):
    claims = claims_in(bench.do(Submitted(1, request_of(bench, kind))))
    bench.do(ClaimEnded(claims[0], None))
    (start,) = starts_in(bench.do(ClaimsRead(claims)))
    finish(bench, start)


def claims_read_twice(bench, kind):
    claims = claims_in(bench.do(Submitted(1, request_of(bench, kind))))
    (start,) = starts_in(bench.do(ClaimsRead(claims)))
    bench.do(ClaimsRead(claims))
    finish(bench, start)
    bench.do(ClaimsRead(claims))
    send(bench, request_of(bench, kind), call=2)


def log_slow_past_deadline(bench, kind):
    bench.do(Submitted(1, request_of(bench, kind, SHORT_MS)))
    bench.wait(2.0)


def drain_before_claim(bench, kind):
    bench.do(Submitted(1, request_of(bench, kind)))
    bench.do(DrainAsked(500.0))
    bench.wait(0.7)


def cancelled_before_claim(bench, kind):
    bench.do(Submitted(1, request_of(bench, kind)))
    bench.do(CancelAsked(2, "roster", last_job(bench).submission))


def claim_comes_after_giving_up(bench, kind):
    request = request_of(bench, kind)
    claims = claims_in(bench.do(Submitted(1, request)))
    bench.wait(2.0)
    bench.do(ClaimsRead(claims))
    send(bench, request, call=2)
    (start,) = starts_in(bench.effects)
    finish(bench, start)
    bench.do(ClaimsRead(claims))
    send(bench, request, call=3)


def claim_lost_to_sibling(bench, kind):
    bench.hear(SIBLING)
    claims = claims_in(bench.do(Submitted(1, request_of(bench, kind))))
    theirs = Claim("roster", "order-17", SubmissionId(SIBLING, 4))
    (sent,) = messages_in(bench.do(ClaimsRead((theirs, *claims))), Forward)
    done = Answer(COMPLETE, theirs.submission, ("x",))
    bench.do(PeerReceived(SIBLING, ForwardAnswer(sent.call, done)))


def claim_lost_to_dead_host(bench, kind):
    bench.hear(SIBLING)
    claims = claims_in(bench.do(Submitted(1, request_of(bench, kind))))
    theirs = Claim("roster", "order-17", SubmissionId(SIBLING, 4))
    bench.do(ClaimsRead((theirs, *claims)))
    bench.hear(DEAD)
    bench.wait(1.0)


LOST = Told(FAILED, FailureCode.OWNER_LOST)
NO_LOG = Told(REFUSED, FailureCode.LOG_UNAVAILABLE)
BY_KIND = (
    ("issued_id", Case(answer_dropped, Told(FAILED, FailureCode.NOT_FOUND, starts=1))),
    ("issued_id", Case(cancelled_before_it_came, Told(FAILED, FailureCode.NOT_FOUND))),
    ("issued_id", Case(polled_before_it_came, Told(REFUSED, FailureCode.NOT_FOUND))),
    ("issued_id", Case(owner_restarted, LOST)),
    ("issued_id", Case(owner_paused, Told(FAILED, UNKNOWN))),
    ("issued_id", Case(owner_dead, LOST)),
    ("issued_id", Case(stranger_answers_for_owner, Told(COMPLETE))),
    ("key_once", Case(log_down, NO_LOG)),
    ("key_idempotent", Case(log_down_idempotent, Told(COMPLETE, starts=1))),
    (
        "key_idempotent",
        Case(log_down_idempotent_refused, Told(REFUSED, FailureCode.DEADLINE)),
    ),
    (
        "key_idempotent",
        Case(log_down_idempotent_draining, Told(REFUSED, FailureCode.DRAINING)),
    ),
    ("key_once", Case(log_reply_lost, Told(COMPLETE, starts=1))),
    ("key_idempotent", Case(log_reply_lost, Told(COMPLETE, starts=1))),
    ("key_once", Case(claims_read_twice, Told(COMPLETE, starts=1))),
    ("key_once", Case(log_slow_past_deadline, Told(REFUSED, FailureCode.DEADLINE))),
    ("key_once", Case(drain_before_claim, Told(REFUSED, FailureCode.SHUTDOWN))),
    ("key_once", Case(cancelled_before_claim, Told(REFUSED, FailureCode.CANCELLED))),
    ("key_once", Case(claim_comes_after_giving_up, Told(COMPLETE, starts=1))),
    ("key_once", Case(claim_lost_to_sibling, Told(COMPLETE))),
    ("key_idempotent", Case(claim_lost_to_sibling, Told(COMPLETE))),
    ("key_once", Case(claim_lost_to_dead_host, LOST)),
)


@pytest.mark.parametrize(
    ("kind", "case"), BY_KIND, ids=lambda v: getattr(v, "act", v) and _name(v)
)
def test_owner_log_and_claim(bench, kind, case):
    """A clinic gets two crews, or none, because its key or id met a lost owner.

    The owner pauses, dies or restarts; the log is down, slow or loses a reply; another
    host's claim comes first. What may have run is never called "not run".
    """
    case.act(bench, kind)
    check(bench, case.told)


def _name(value) -> str:
    return value if isinstance(value, str) else value.act.__name__
