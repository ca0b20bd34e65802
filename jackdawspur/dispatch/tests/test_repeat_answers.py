"""Answers to repeated requests, and to requests whose owner, log or claim is lost.

"Not run" must not be answered if an earlier request with the same key or id may have
run.
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
from jackdawspur.dispatch.tests.answer_cases import (
    COMPLETE,
    FAILED,
    REFUSED,
    RESTARTED_ZONE_PEER,
    SHORT_MS,
    UNKNOWN,
    Case,
    ExpectedAnswer,
    check_last_answer,
    claims_in,
    fill_slots,
    finish,
    last_job,
    lose_start_reply,
    reply_to_status_query,
    request_of,
    send,
    start_job,
    wait_in_queue,
)
from jackdawspur.dispatch.tests.conftest import (
    LOCAL_ID,
    ZONE_PEER,
    answers_in,
    make_request,
    messages_in,
    starts_in,
)
from jackdawspur.messages import Forward, ForwardAnswer
from jackdawspur.model import (
    Answer,
    FailureCode,
    HostId,
    SubmissionId,
    TaskState,
)

REPEATABLE_KINDS = ("key_idempotent", "key_once", "issued_id")


def while_pending(harness, kind):
    request, start = start_job(harness, kind)
    send(harness, request, call=2)
    finish(harness, start)


def after_the_answer(harness, kind):
    request, start = start_job(harness, kind)
    finish(harness, start)
    send(harness, request, call=2)


def after_a_failure(harness, kind):
    request, start = start_job(harness, kind)
    harness.reply_to_starts(start)
    harness.report_results(start, TaskState.FAILED)
    send(harness, request, call=2)


def after_unknown_outcome(harness, kind):
    request, start = start_job(harness, kind)
    lose_start_reply(harness, start)
    reply_to_status_query(harness, start, TaskState.UNKNOWN)
    send(harness, request, call=2)


def after_not_run(harness, kind):
    request, submission = wait_in_queue(harness, kind)
    harness.send_event(CancelRequested(2, "roster", submission))
    send(harness, request, call=3)
    harness.wait(1.0)


def with_other_work(harness, kind):
    request, _ = start_job(harness, kind)
    other = make_request(2, idempotent=request.idempotent)
    other = replace(other, key=request.key, submission=request.submission)
    send(harness, other, call=2)


def copies_from_two_hosts(harness, kind):
    request, start = start_job(harness, kind)
    submission = start.starts[0].task.submission
    message = Forward(31, "roster", submission, True, request)
    harness.send_event(PeerMessageReceived(ZONE_PEER, message))
    harness.send_event(PeerMessageReceived(HostId("south", "e1", 5), message))
    finish(harness, start)
    assert len(messages_in(harness.effects, ForwardAnswer)) == 2


REPEAT_CASES = (
    Case(while_pending, ExpectedAnswer(COMPLETE, starts=1)),
    Case(after_the_answer, ExpectedAnswer(COMPLETE, starts=1)),
    Case(after_a_failure, ExpectedAnswer(FAILED, FailureCode.TASK_FAILED, starts=1)),
    Case(after_unknown_outcome, ExpectedAnswer(FAILED, UNKNOWN, starts=1)),
    Case(after_not_run, ExpectedAnswer(REFUSED, FailureCode.CANCELLED, True)),
    Case(
        with_other_work, ExpectedAnswer(REFUSED, FailureCode.CONFLICT, True, starts=1)
    ),
    Case(copies_from_two_hosts, ExpectedAnswer(COMPLETE, starts=1)),
)


@pytest.mark.parametrize("kind", REPEATABLE_KINDS)
@pytest.mark.parametrize("case", REPEAT_CASES, ids=lambda case: case.act.__name__)
def test_repeat_at_the_owner(harness, kind, case):
    """A repeated request must not run again.

    The repeat has the same key or id and must get the answer of the first attempt.
    """
    case.act(harness, kind)
    check_last_answer(harness, case.expected)


def answer_evicted(harness, kind):
    request, start = start_job(harness, "issued_id")
    finish(harness, start)
    harness.wait(700.0, step=0.4)
    send(harness, request, call=2)


def cancelled_before_arrival(harness, kind):
    request = request_of(harness, "issued_id")
    harness.send_event(CancelRequested(2, "roster", request.submission))
    assert answers_in(harness.effects)[-1].not_run
    send(harness, request, call=3)
    harness.wait(1.0)


def polled_before_arrival(harness, kind):
    request = request_of(harness, "issued_id")
    harness.send_event(Polled(2, "roster", request.submission))


def owner_restarted(harness, kind):
    old = SubmissionId(replace(LOCAL_ID, incarnation=LOCAL_ID.incarnation - 1), 4)
    harness.send_event(
        Submitted(1, replace(request_of(harness, "plain"), submission=old))
    )
    harness.wait(1.0)


def owner_paused(harness, kind):
    harness.receive_heartbeat(ZONE_PEER)
    request = replace(
        request_of(harness, "plain"), submission=SubmissionId(ZONE_PEER, 4)
    )
    harness.send_event(Submitted(1, request))
    harness.wait(6.0)


def owner_dead(harness, kind):
    harness.receive_heartbeat(ZONE_PEER)
    request = replace(
        request_of(harness, "plain"), submission=SubmissionId(ZONE_PEER, 4)
    )
    harness.send_event(Submitted(1, request))
    harness.receive_heartbeat(RESTARTED_ZONE_PEER)
    harness.wait(1.0)


def other_host_answers_for_owner(harness, kind):
    harness.receive_heartbeat(ZONE_PEER)
    request = replace(
        request_of(harness, "plain"), submission=SubmissionId(ZONE_PEER, 4)
    )
    (sent,) = messages_in(harness.send_event(Submitted(1, request)), Forward)
    wrong_answer = Answer(COMPLETE, SubmissionId(ZONE_PEER, 5), ("of another caller",))
    harness.send_event(
        PeerMessageReceived(
            HostId("south", "e1", 5), ForwardAnswer(sent.call, wrong_answer)
        )
    )
    assert not answers_in(harness.effects)
    own_answer = Answer(COMPLETE, request.submission, ("mine",))
    harness.send_event(
        PeerMessageReceived(ZONE_PEER, ForwardAnswer(sent.call, own_answer))
    )


def log_down(harness, kind):
    claims = claims_in(harness.send_event(Submitted(1, request_of(harness, kind))))
    harness.send_event(ClaimAppendCompleted(claims[0], False))


def log_down_idempotent(harness, kind):
    log_down(harness, "key_idempotent")
    (start,) = starts_in(harness.effects)
    finish(harness, start)


def log_down_idempotent_refused(harness, kind):
    fill_slots(harness)
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


def claim_read_after_abort(harness, kind):
    request = request_of(harness, kind)
    claims = claims_in(harness.send_event(Submitted(1, request)))
    harness.wait(2.0)
    harness.send_event(ClaimsRead(claims))
    send(harness, request, call=2)
    (start,) = starts_in(harness.effects)
    finish(harness, start)
    harness.send_event(ClaimsRead(claims))
    send(harness, request, call=3)


def claim_lost_to_zone_peer(harness, kind):
    harness.receive_heartbeat(ZONE_PEER)
    claims = claims_in(harness.send_event(Submitted(1, request_of(harness, kind))))
    earlier_claim = Claim("roster", "order-17", SubmissionId(ZONE_PEER, 4))
    (sent,) = messages_in(
        harness.send_event(ClaimsRead((earlier_claim, *claims))), Forward
    )
    done = Answer(COMPLETE, earlier_claim.submission, ("x",))
    harness.send_event(PeerMessageReceived(ZONE_PEER, ForwardAnswer(sent.call, done)))


def claim_lost_to_dead_host(harness, kind):
    harness.receive_heartbeat(ZONE_PEER)
    claims = claims_in(harness.send_event(Submitted(1, request_of(harness, kind))))
    earlier_claim = Claim("roster", "order-17", SubmissionId(ZONE_PEER, 4))
    harness.send_event(ClaimsRead((earlier_claim, *claims)))
    harness.receive_heartbeat(RESTARTED_ZONE_PEER)
    harness.wait(1.0)


OWNER_LOST = ExpectedAnswer(FAILED, FailureCode.OWNER_LOST)
LOG_UNAVAILABLE = ExpectedAnswer(REFUSED, FailureCode.LOG_UNAVAILABLE)
CASES_BY_KIND = (
    (
        "issued_id",
        Case(answer_evicted, ExpectedAnswer(FAILED, FailureCode.NOT_FOUND, starts=1)),
    ),
    (
        "issued_id",
        Case(cancelled_before_arrival, ExpectedAnswer(FAILED, FailureCode.NOT_FOUND)),
    ),
    (
        "issued_id",
        Case(polled_before_arrival, ExpectedAnswer(REFUSED, FailureCode.NOT_FOUND)),
    ),
    ("issued_id", Case(owner_restarted, OWNER_LOST)),
    ("issued_id", Case(owner_paused, ExpectedAnswer(FAILED, UNKNOWN))),
    ("issued_id", Case(owner_dead, OWNER_LOST)),
    ("issued_id", Case(other_host_answers_for_owner, ExpectedAnswer(COMPLETE))),
    ("key_once", Case(log_down, LOG_UNAVAILABLE)),
    ("key_idempotent", Case(log_down_idempotent, ExpectedAnswer(COMPLETE, starts=1))),
    (
        "key_idempotent",
        Case(
            log_down_idempotent_refused, ExpectedAnswer(REFUSED, FailureCode.DEADLINE)
        ),
    ),
    (
        "key_idempotent",
        Case(
            log_down_idempotent_draining, ExpectedAnswer(REFUSED, FailureCode.DRAINING)
        ),
    ),
    ("key_once", Case(log_reply_lost, ExpectedAnswer(COMPLETE, starts=1))),
    ("key_idempotent", Case(log_reply_lost, ExpectedAnswer(COMPLETE, starts=1))),
    ("key_once", Case(claims_read_twice, ExpectedAnswer(COMPLETE, starts=1))),
    (
        "key_once",
        Case(log_slow_past_deadline, ExpectedAnswer(REFUSED, FailureCode.DEADLINE)),
    ),
    (
        "key_once",
        Case(drain_before_claim, ExpectedAnswer(REFUSED, FailureCode.SHUTDOWN)),
    ),
    (
        "key_once",
        Case(cancelled_before_claim, ExpectedAnswer(REFUSED, FailureCode.CANCELLED)),
    ),
    ("key_once", Case(claim_read_after_abort, ExpectedAnswer(COMPLETE, starts=1))),
    ("key_once", Case(claim_lost_to_zone_peer, ExpectedAnswer(COMPLETE))),
    ("key_idempotent", Case(claim_lost_to_zone_peer, ExpectedAnswer(COMPLETE))),
    ("key_once", Case(claim_lost_to_dead_host, OWNER_LOST)),
)


@pytest.mark.parametrize(
    ("kind", "case"), CASES_BY_KIND, ids=lambda v: getattr(v, "act", v) and _name(v)
)
def test_owner_log_and_claim(harness, kind, case):
    """A request whose owner, log or claim is lost must run at most once.

    The owner pauses, dies or restarts; the log is down, slow or loses a reply; the
    claim of another host comes first. A job that may have run is never answered as
    "not run".
    """
    case.act(harness, kind)
    check_last_answer(harness, case.expected)


def _name(value) -> str:
    return value if isinstance(value, str) else value.act.__name__
