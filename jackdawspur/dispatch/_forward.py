"""Forwarding of calls to the owner of their submission."""

from jackdawspur.dispatch._answers import answer_call
from jackdawspur.dispatch._effects import SendPeerMessage
from jackdawspur.dispatch._events import CancelRequested, Polled, Submitted
from jackdawspur.dispatch._state import PendingForward, RemoteCall, State
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

# Forwards are idempotent at the owner, so one without an answer is sent again.
FORWARD_RETRY_S = 0.5
FORWARD_TIMEOUT_S = 30.0
MS_PER_S = 1000.0


def forward_request(
    state: State, event: Submitted, submission: SubmissionId, now: float
) -> None:
    """Forward a submission to the host that owns its id."""
    request = event.request
    message = Forward(event.call, request.customer, submission, event.wait, request)
    deadline = now + request.deadline_ms / MS_PER_S
    _forward(state, event.call, submission, message, deadline, now)


def forward_poll(state: State, event: Polled, now: float) -> None:
    """Forward a request for the state of a submission to its owner."""
    message = Forward(event.call, event.customer, event.submission, event.wait)
    _forward(state, event.call, event.submission, message, now + FORWARD_TIMEOUT_S, now)


def forward_cancel(state: State, event: CancelRequested, now: float) -> None:
    """Forward a cancellation to the owner of the submission."""
    message = CancelForward(event.call, event.customer, event.submission)
    _forward(state, event.call, event.submission, message, now + FORWARD_TIMEOUT_S, now)


def _forward(
    state: State,
    call: int,
    submission: SubmissionId,
    message: Forward | CancelForward,
    deadline: float,
    now: float,
) -> None:
    state.pending_forwards[call] = PendingForward(submission, message, deadline)
    _send_forward(state, call, now)


def _send_forward(state: State, call: int, now: float) -> None:
    """Send or repeat a forward, or end it if the owner is gone.

    A dead or restarted owner has lost its state. Whether the job ran can no longer be
    determined, so the answer states just that, and the job does not run again.
    """
    forwarded = state.pending_forwards.get(call)
    if forwarded is None:
        return
    owner = forwarded.submission.owner
    if state.view.owner_state(owner) is OwnerState.GONE:
        _fail_forward(
            state, call, FailureCode.OWNER_LOST, "the owner of this id is gone"
        )
    elif now >= forwarded.deadline:
        text = "the owner of this id did not answer in time"
        _fail_forward(state, call, FailureCode.OUTCOME_UNKNOWN, text)
    else:
        state.emit(SendPeerMessage(owner, forwarded.message))
        retry_at = min(now + FORWARD_RETRY_S, forwarded.deadline)
        state.schedule(retry_at, lambda at: _send_forward(state, call, at))


def _fail_forward(state: State, call: int, code: FailureCode, text: str) -> None:
    forwarded = state.pending_forwards.pop(call)
    text = f"{text}; whether its tasks ran is unknown"
    answer = Answer(JobState.FAILED, forwarded.submission, code=code, message=text)
    answer_call(state, call, answer)


def receive_forward_answer(
    state: State, sender: HostId, message: ForwardAnswer
) -> None:
    """Pass the answer of the owner to the caller; ignore repeated answers."""
    forwarded = state.pending_forwards.get(message.call)
    if forwarded is None or forwarded.submission.owner != sender:
        return
    del state.pending_forwards[message.call]
    answer_call(state, message.call, message.answer)


def open_remote_call(state: State, host: HostId, call: int) -> int | None:
    """Return a new local call for a call of a peer, or None if that is open already."""
    remote = RemoteCall(host, call)
    if remote in state.remote_calls.values():
        return None
    local_call = state.next_remote_call()
    state.remote_calls[local_call] = remote
    return local_call
