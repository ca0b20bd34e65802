"""What a repeat is told, and a request whose owner, log or claim is lost.

"Not run" must be false when an earlier request with the same key or id may have run.
"""

from dataclasses import replace

import pytest

from jackdawspur.dispatch import (
    CancelRequested,
    Claim,
    ClaimAppendCompleted,
    ClaimsRead,
    DrainRequested,
    PeerMessageReceived,
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


def while_pending(harness, kind):
    request, start = begin(harness, kind)
    send(harness, request, call=2)
    finish(harness, start)


def after_the_answer(harness, kind):
    request, start = begin(harness, kind)
    finish(harness, start)
    send(harness, request, call=2)


def after_a_failure(harness, kind):
    request, start = begin(harness, kind)
    harness.verdicts(start)
    harness.results(start, TaskState.FAILED)
    send(harness, request, call=2)


def after_doubt(harness, kind):
    request, start = begin(harness, kind)
    lose(harness, start)
    status(harness, start, TaskState.UNKNOWN)
    send(harness, request, call=2)


def after_not_run(harness, kind):
    request, submission = wait_in_queue(harness, kind)
    harness.send_event(CancelRequested(2, "roster", submission))
    send(harness, request, call=3)
    harness.wait(1.0)


def with_other_work(harness, kind):
    request, _ = begin(harness, kind)
    other = make_request(2, idempotent=request.idempotent)
    other = replace(other, key=request.key, submission=request.submission)
    send(harness, other, call=2)


def copies_from_two_hosts(harness, kind):
    request, start = begin(harness, kind)
    submission = start.starts[0].task.submission
    message = Forward(31, "roster", submission, True, request)
    harness.send_event(PeerMessageReceived(SIBLING, message))
    harness.send_event(PeerMessageReceived(HostId("south", "e1", 5), message))
    finish(harness, start)
    assert len(messages_in(harness.effects, ForwardAnswer)) == 2


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
def test_repeat_at_the_owner(harness, kind, case):
    """A cooperative is billed twice because its app sent the order again.

    The repeat carries the same key or id and must get the first attempt's answer.
    """
    case.act(harness, kind)
    check(harness, case.told)


def answer_dropped(harness, kind):
    request, start = begin(harness, "issued_id")
    finish(harness, start)
    harness.wait(700.0, step=0.4)
    send(harness, request, call=2)


def cancelled_before_it_came(harness, kind):
    request = request_of(harness, "issued_id")
    harness.send_event(CancelRequested(2, "roster", request.submission))
    assert answers_in(harness.effects)[-1].not_run
    send(harness, request, call=3)
    harness.wait(1.0)


def polled_before_it_came(harness, kind):
    request = request_of(harness, "issued_id")
    harness.send_event(Polled(2, "roster", request.submission))


def owner_restarted(harness, kind):
    old = SubmissionId(replace(OWN, incarnation=OWN.incarnation - 1), 4)
    harness.send_event(
        Submitted(1, replace(request_of(harness, "plain"), submission=old))
    )
    harness.wait(1.0)


def owner_paused(harness, kind):
    harness.hear(SIBLING)
    asked = replace(request_of(harness, "plain"), submission=SubmissionId(SIBLING, 4))
    harness.send_event(Submitted(1, asked))
    harness.wait(6.0)


def owner_dead(harness, kind):
    harness.hear(SIBLING)
    asked = replace(request_of(harness, "plain"), submission=SubmissionId(SIBLING, 4))
    harness.send_event(Submitted(1, asked))
    harness.hear(DEAD)
    harness.wait(1.0)


def stranger_answers_for_owner(harness, kind):
    harness.hear(SIBLING)
    asked = replace(request_of(harness, "plain"), submission=SubmissionId(SIBLING, 4))
    (sent,) = messages_in(harness.send_event(Submitted(1, asked)), Forward)
    foreign = Answer(COMPLETE, SubmissionId(SIBLING, 5), ("of another caller",))
    harness.send_event(
        PeerMessageReceived(HostId("south", "e1", 5), ForwardAnswer(sent.call, foreign))
    )
    assert not answers_in(harness.effects)
    mine = Answer(COMPLETE, asked.submission, ("mine",))
    harness.send_event(PeerMessageReceived(SIBLING, ForwardAnswer(sent.call, mine)))


def log_down(harness, kind):
    claims = claims_in(harness.send_event(Submitted(1, request_of(harness, kind))))
    harness.send_event(ClaimAppendCompleted(claims[0], False))


def log_down_idempotent(harness, kind):
    log_down(harness, "key_idempotent")
    (start,) = starts_in(harness.effects)
    finish(harness, start)


def log_down_idempotent_refused(harness, kind):
    fill(harness)
    log_down(harness, "key_idempotent")
    harness.wait(6.0)


def log_down_idempotent_draining(harness, kind):
    log_down(harness, "key_once")
    harness.send_event(DrainRequested(1000.0))
    send(harness, request_of(harness, "key_idempotent"), call=2)


def log_reply_lost(harness, kind):
    claims = claims_in(harness.send_event(Submitted(1, request_of(harness, kind))))
    harness.send_event(ClaimAppendCompleted(claims[0], None))
    (start,) = starts_in(harness.send_event(ClaimsRead(claims)))
    finish(harness, start)


def claims_read_twice(harness, kind):
    claims = claims_in(harness.send_event(Submitted(1, request_of(harness, kind))))
    (start,) = starts_in(harness.send_event(ClaimsRead(claims)))
    harness.send_event(ClaimsRead(claims))
    finish(harness, start)
    harness.send_event(ClaimsRead(claims))
    send(harness, request_of(harness, kind), call=2)


def log_slow_past_deadline(harness, kind):
    harness.send_event(Submitted(1, request_of(harness, kind, SHORT_MS)))
    harness.wait(2.0)


def drain_before_claim(harness, kind):
    harness.send_event(Submitted(1, request_of(harness, kind)))
    harness.send_event(DrainRequested(500.0))
    harness.wait(0.7)


def cancelled_before_claim(harness, kind):
    harness.send_event(Submitted(1, request_of(harness, kind)))
    harness.send_event(CancelRequested(2, "roster", last_job(harness).submission))


def claim_comes_after_giving_up(harness, kind):
    request = request_of(harness, kind)
    claims = claims_in(harness.send_event(Submitted(1, request)))
    harness.wait(2.0)
    harness.send_event(ClaimsRead(claims))
    send(harness, request, call=2)
    (start,) = starts_in(harness.effects)
    finish(harness, start)
    harness.send_event(ClaimsRead(claims))
    send(harness, request, call=3)


def claim_lost_to_sibling(harness, kind):
    harness.hear(SIBLING)
    claims = claims_in(harness.send_event(Submitted(1, request_of(harness, kind))))
    theirs = Claim("roster", "order-17", SubmissionId(SIBLING, 4))
    (sent,) = messages_in(harness.send_event(ClaimsRead((theirs, *claims))), Forward)
    done = Answer(COMPLETE, theirs.submission, ("x",))
    harness.send_event(PeerMessageReceived(SIBLING, ForwardAnswer(sent.call, done)))


def claim_lost_to_dead_host(harness, kind):
    harness.hear(SIBLING)
    claims = claims_in(harness.send_event(Submitted(1, request_of(harness, kind))))
    theirs = Claim("roster", "order-17", SubmissionId(SIBLING, 4))
    harness.send_event(ClaimsRead((theirs, *claims)))
    harness.hear(DEAD)
    harness.wait(1.0)


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
def test_owner_log_and_claim(harness, kind, case):
    """A clinic gets two crews, or none, because its key or id met a lost owner.

    The owner pauses, dies or restarts; the log is down, slow or loses a reply; another
    host's claim comes first. What may have run is never called "not run".
    """
    case.act(harness, kind)
    check(harness, case.told)


def _name(value) -> str:
    return value if isinstance(value, str) else value.act.__name__
