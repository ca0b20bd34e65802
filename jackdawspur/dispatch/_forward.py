"""Passing calls on to the owner of their submission."""

from jackdawspur.dispatch._answers import answer_call
from jackdawspur.dispatch._effects import SendPeerMessage
from jackdawspur.dispatch._events import CancelRequested, Polled, Submitted
from jackdawspur.dispatch._state import Forwarded, RemoteCall, State
from jackdawspur.membership import OwnerState
from jackdawspur.messages import CancelForward, Forward, ForwardAnswer
from jackdawspur.model import Answer, FailureCode, HostId, JobState, SubmissionId

__all__ = [
    "forward_cancel",
    "forward_poll",
    "forward_request",
    "open_remote_call",
    "receive_forward_answer",
]

# Forwards are idempotent at the owner, so one that got no answer is sent again.
FORWARD_RETRY_S = 0.5
FORWARD_LIMIT_S = 30.0
MS_PER_S = 1000.0


def forward_request(
    state: State, event: Submitted, submission: SubmissionId, now: float
) -> None:
    """Pass a submission on to the host that owns its id."""
    request = event.request
    message = Forward(event.call, request.customer, submission, event.wait, request)
    limit = now + request.deadline_ms / MS_PER_S
    _forward(state, event.call, submission, message, limit, now)


def forward_poll(state: State, event: Polled, now: float) -> None:
    """Pass a question for the state of a submission on to its owner."""
    message = Forward(event.call, event.customer, event.submission, event.wait)
    _forward(state, event.call, event.submission, message, now + FORWARD_LIMIT_S, now)


def forward_cancel(state: State, event: CancelRequested, now: float) -> None:
    """Pass a cancellation on to the owner of the submission."""
    message = CancelForward(event.call, event.customer, event.submission)
    _forward(state, event.call, event.submission, message, now + FORWARD_LIMIT_S, now)


def _forward(
    state: State,
    call: int,
    submission: SubmissionId,
    message: Forward | CancelForward,
    limit: float,
    now: float,
) -> None:
    state.pending_forwards[call] = Forwarded(submission, message, limit)
    _send(state, call, now)


def _send(state: State, call: int, now: float) -> None:
    """Send or repeat a forward, or end it when the owner is gone.

    A dead or restarted owner took its memory with it. Whether the job ran can't be
    known any more, so the caller is told just that and nothing runs again.
    """
    forwarded = state.pending_forwards.get(call)
    if forwarded is None:
        return
    owner = forwarded.submission.owner
    if state.view.owner_state(owner) is OwnerState.GONE:
        _lose(state, call, FailureCode.OWNER_LOST, "the owner of this id is gone")
    elif now >= forwarded.limit:
        text = "the owner of this id did not answer in time"
        _lose(state, call, FailureCode.OUTCOME_UNKNOWN, text)
    else:
        state.emit(SendPeerMessage(owner, forwarded.message))
        again = min(now + FORWARD_RETRY_S, forwarded.limit)
        state.schedule(again, lambda at: _send(state, call, at))


def _lose(state: State, call: int, code: FailureCode, text: str) -> None:
    forwarded = state.pending_forwards.pop(call)
    text = f"{text}; whether its tasks ran is unknown"
    answer = Answer(JobState.FAILED, forwarded.submission, code=code, message=text)
    answer_call(state, call, answer)


def receive_forward_answer(
    state: State, sender: HostId, message: ForwardAnswer
) -> None:
    """Hand the owner's answer to the caller; repeats find no caller left."""
    forwarded = state.pending_forwards.get(message.call)
    if forwarded is None or forwarded.submission.owner != sender:
        return
    del state.pending_forwards[message.call]
    answer_call(state, message.call, message.answer)


def open_remote_call(state: State, host: HostId, call: int) -> int | None:
    """Return a call of our own for a peer's; None when that is open already."""
    remote = RemoteCall(host, call)
    if remote in state.remote_calls.values():
        return None
    own_call = state.next_remote_call()
    state.remote_calls[own_call] = remote
    return own_call
