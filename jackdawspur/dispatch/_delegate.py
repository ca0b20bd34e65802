"""Delegation of whole jobs, before any task is sent, to another entry host."""

from jackdawspur.dispatch._answers import abort_job, end_job
from jackdawspur.dispatch._effects import SendPeerMessage
from jackdawspur.dispatch._job import Job, Stage
from jackdawspur.dispatch._state import State
from jackdawspur.membership import OwnerState
from jackdawspur.messages import CancelForward, Delegate, DelegateAnswer
from jackdawspur.model import FailureCode, HostId

__all__ = ["cancel_delegated", "delegate_job", "receive_delegate_answer"]

DELEGATE_RETRY_S = 0.5
MS_PER_S = 1000.0


def delegate_job(state: State, job: Job, to: HostId, now: float) -> None:
    """Delegate a job before any of its tasks is sent, and wait for the answer.

    From now on only this incarnation of that host may start its tasks. The message is
    repeated to that host only; the submission id makes it idempotent there.
    """
    state.queue.remove(job.submission)
    job.stage = Stage.DELEGATED
    job.delegate = to
    state.counters.delegated += 1
    _send_delegate(state, job, now)


def _send_delegate(state: State, job: Job, now: float) -> None:
    if job.stage is not Stage.DELEGATED or job.delegate is None:
        return
    if state.view.owner_state(job.delegate) is OwnerState.GONE:
        text = f"entry host {job.delegate} ended while it ran this job"
        abort_job(state, job, FailureCode.OUTCOME_UNKNOWN, text, now)
        return
    remaining_ms = (job.deadline - now) * MS_PER_S
    message = Delegate(job.submission, job.request, remaining_ms)
    state.emit(SendPeerMessage(job.delegate, message))
    state.schedule(now + DELEGATE_RETRY_S, lambda at: _send_delegate(state, job, at))


def cancel_delegated(state: State, job: Job) -> None:
    """Request cancellation from the delegate, whose answer ends the job here."""
    message = CancelForward(0, job.customer, job.submission)
    state.emit(SendPeerMessage(job.delegate, message))


def receive_delegate_answer(
    state: State, sender: HostId, message: DelegateAnswer, now: float
) -> Job | None:
    """End a delegated job, or return it if the delegate ran none of its tasks."""
    job = state.jobs.get(message.submission)
    if job is None or job.stage is not Stage.DELEGATED or job.delegate != sender:
        return None
    answer = message.answer
    if not answer.not_run:
        end_job(state, job, answer, now)
        return None
    job.delegate = None
    job.no_delegation = True
    if answer.code is FailureCode.CANCELLED or now >= job.deadline:
        abort_job(state, job, answer.code, answer.message, now)
        return None
    job.stage = Stage.QUEUED
    return job
