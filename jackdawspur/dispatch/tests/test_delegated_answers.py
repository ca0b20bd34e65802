"""Answers to the callers of jobs that were delegated to another host."""

import pytest

from jackdawspur.dispatch import (
    CancelRequested,
    DrainRequested,
    PeerMessageReceived,
    StatusReplied,
    Submitted,
)
from jackdawspur.dispatch.tests.answer_cases import (
    COMPLETE,
    FAILED,
    REFUSED,
    RESTARTED_ZONE_PEER,
    UNKNOWN,
    Case,
    ExpectedAnswer,
)
from jackdawspur.dispatch.tests.conftest import (
    FIRST_INCARNATION,
    LOCAL_ID,
    ZONE_PEER,
    CoreHarness,
    answers_in,
    make_request,
    messages_in,
    starts_in,
)
from jackdawspur.external import UpstreamReply
from jackdawspur.messages import Delegate, DelegateAnswer
from jackdawspur.model import (
    Answer,
    FailureCode,
    SubmissionId,
    TaskOutcome,
    TaskState,
)


def submit_delegated(harness: CoreHarness) -> Delegate:
    """Submit a job that is delegated to an idle host of the zone."""
    # Jobs as small as the delegated one, so that it is queued after them.
    harness.receive_heartbeat(ZONE_PEER, draining=True)
    for call in range(100, 105):
        harness.submit(make_request(4, deadline_ms=60_000.0), call)
    harness.receive_heartbeat(ZONE_PEER, free_slots=8, sequence=10**6)
    (message,) = messages_in(
        harness.send_event(Submitted(1, make_request(4))), Delegate
    )
    return message


def reply_as_delegate(
    harness: CoreHarness, message: Delegate, answer: Answer, sender=ZONE_PEER
) -> list:
    answered = DelegateAnswer(message.submission, answer)
    return harness.send_event(PeerMessageReceived(sender, answered))


def delegate_done(harness):
    message = submit_delegated(harness)
    reply_as_delegate(
        harness, message, Answer(COMPLETE, message.submission, ("a", "b", "c", "d"))
    )


def delegate_dead(harness):
    submit_delegated(harness)
    harness.receive_heartbeat(RESTARTED_ZONE_PEER)
    harness.wait(1.0)


def delegate_unresponsive(harness):
    submit_delegated(harness)
    harness.wait(6.0)


def delegate_refuses(harness):
    message = submit_delegated(harness)
    code = FailureCode.DRAINING
    reply_as_delegate(
        harness, message, Answer(REFUSED, message.submission, code=code, not_run=True)
    )


def delegate_cancels_in_time(harness):
    message = submit_delegated(harness)
    harness.send_event(CancelRequested(2, "roster", message.submission))
    code = FailureCode.CANCELLED
    reply_as_delegate(
        harness, message, Answer(REFUSED, message.submission, code=code, not_run=True)
    )


def delegate_answers_after_refusing(harness):
    message = submit_delegated(harness)
    code = FailureCode.DRAINING
    reply_as_delegate(
        harness, message, Answer(REFUSED, message.submission, code=code, not_run=True)
    )
    reply_as_delegate(
        harness, message, Answer(FAILED, message.submission, code=UNKNOWN)
    )
    assert len(answers_in(harness.effects)) == 1


def delegated_drain(harness):
    submit_delegated(harness)
    harness.send_event(DrainRequested(1000.0))
    harness.wait(1.2)


DELEGATED_CASES = (
    Case(delegate_done, ExpectedAnswer(COMPLETE)),
    Case(delegate_dead, ExpectedAnswer(FAILED, UNKNOWN)),
    Case(delegate_unresponsive, ExpectedAnswer(FAILED, UNKNOWN)),
    Case(delegate_refuses, ExpectedAnswer(REFUSED, FailureCode.OVERLOADED, True)),
    Case(
        delegate_cancels_in_time, ExpectedAnswer(REFUSED, FailureCode.CANCELLED, True)
    ),
    Case(
        delegate_answers_after_refusing,
        ExpectedAnswer(REFUSED, FailureCode.OVERLOADED, True),
    ),
    Case(delegated_drain, ExpectedAnswer(FAILED, UNKNOWN)),
)


@pytest.mark.parametrize("case", DELEGATED_CASES, ids=lambda case: case.act.__name__)
def test_delegated(harness, case):
    """A job is delegated to a host that refuses, dies or does not respond.

    Only the delegate may start it, so the owner answers "not run" only if the delegate
    does.
    """
    case.act(harness)
    answer = answers_in(harness.effects)[-1]
    starts = [t for t in harness.started if t.submission == answer.submission]
    assert (
        ExpectedAnswer(answer.state, answer.code, answer.not_run, len(starts))
        == case.expected
    )


def test_delegate_that_dropped_an_answer_does_not_run_it_again(harness):
    """A delegated job must not run again after its answer was dropped.

    The delegate ends a job whose answer exceeds its memory bound and is dropped at
    once, as with a job of 360 tasks. Its message to the owner is lost, so the owner
    repeats the delegation.
    """
    message = Delegate(SubmissionId(ZONE_PEER, 3), make_request(1), 4000.0)
    (start,) = starts_in(harness.send_event(PeerMessageReceived(ZONE_PEER, message)))
    harness.reply_to_starts(start)
    outcome = TaskOutcome(start.starts[0].task, TaskState.DONE, "x" * 9_000_000)
    harness.send_event(
        StatusReplied(UpstreamReply(start.upstream, FIRST_INCARNATION, (), (outcome,)))
    )
    harness.effects.clear()
    harness.send_event(PeerMessageReceived(ZONE_PEER, message))
    assert not harness.started
    assert not any(
        a.answer.not_run for a in messages_in(harness.effects, DelegateAnswer)
    )


def test_delegation_is_accepted_from_the_owner_only(harness):
    """A delegation that names another host's job must start nothing.

    Otherwise a misdirected message could make a task run at two hosts.
    """
    message = Delegate(SubmissionId(LOCAL_ID, 3), make_request(1), 4000.0)
    assert not starts_in(harness.send_event(PeerMessageReceived(ZONE_PEER, message)))
