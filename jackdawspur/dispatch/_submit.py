"""Submitting, repeating, polling and cancelling jobs."""

from dataclasses import replace

from jackdawspur.dispatch._answers import (
    abort_job,
    answer_call,
    end_job,
    pending,
    refusal,
    without_not_run,
)
from jackdawspur.dispatch._delegate import cancel_delegated
from jackdawspur.dispatch._effects import AppendClaim, IssueIds
from jackdawspur.dispatch._events import (
    CallClosed,
    CancelRequested,
    Claim,
    ClaimAppendCompleted,
    ClaimsRead,
    Polled,
    SubmissionIdsRequested,
    Submitted,
)
from jackdawspur.dispatch._forward import forward_cancel, forward_poll, forward_request
from jackdawspur.dispatch._ingress import refuse_at_ingress
from jackdawspur.dispatch._job import Job, Stage
from jackdawspur.dispatch._place import enqueue
from jackdawspur.dispatch._state import State
from jackdawspur.model import (
    Answer,
    FailureCode,
    JobRequest,
    JobState,
    SubmissionId,
)
from jackdawspur.ownership import IDEMPOTENCY_KEY_TTL_S, IdState

__all__ = [
    "request_cancel",
    "cancel_job",
    "close_call",
    "handle_claim_appended",
    "expire_job",
    "issue_ids",
    "poll",
    "handle_claims_read",
    "submit",
]

# Maximum wait until a claim is read back from the log.
CLAIM_WAIT_S = 1.0
MS_PER_S = 1000.0


def submit(state: State, event: Submitted, now: float) -> None:
    """Accept a job, attach the call to the job that it repeats, or refuse it."""
    request = event.request
    if request.submission is not None:
        _submit_by_id(state, event, request.submission, now)
    elif request.key is not None:
        _submit_by_key(state, event, now)
    else:
        _start_new(state, event, state.ids.new_id(), now)


def _submit_by_id(
    state: State, event: Submitted, submission: SubmissionId, now: float
) -> None:
    """Run a job under an id issued earlier, or forward it to the owner of the id."""
    if submission.owner != state.local_id:
        forward_request(state, event, submission, now)
        return
    current = state.latest_attempt(submission)
    known = state.find_job(current)
    if known is not None:
        _answer_repeat(state, event, known, now)
        return
    if state.ids.id_state(submission, event.request.customer, now) is IdState.UNUSED:
        state.ids.mark_used(submission)
        _start_new(state, event, submission, now)
        return
    answer_call(state, event.call, _id_unusable(submission))


def _submit_by_key(state: State, event: Submitted, now: float) -> None:
    """Bind the caller's key to one submission through the log, then run it.

    The claim is read back in log order before any task is sent. So if two hosts get
    the same key, only the submission of the first claim runs, even if a host was
    paused in between.
    """
    request = event.request
    key_submission = state.claims.find(request.customer, request.key, now)
    if key_submission is not None:
        _submit_by_id(state, event, key_submission, now)
        return
    waiting = state.find_claiming(request.customer, request.key)
    if waiting is not None:
        _answer_repeat(state, event, waiting, now)
        return
    if not state.log_up and request.idempotent:
        # The job may run without a claim because a repeat of it is harmless.
        _start_new(state, event, state.ids.new_id(), now, unclaimed=True)
        return
    if not state.log_up or state.claims.is_full or now < state.claims_incomplete_until:
        text = "keys can't be claimed now; use an issued submission id, or retry"
        answer = refusal(FailureCode.LOG_UNAVAILABLE, text, state.log_retry_ms)
        answer_call(state, event.call, without_not_run(answer))
        return
    _claim(state, event, now)


def _claim(state: State, event: Submitted, now: float) -> None:
    request = event.request
    refused = refuse_at_ingress(state, request, now)
    if refused is not None:
        answer_call(state, event.call, without_not_run(refused))
        return
    job = _new_job(state, event, state.ids.new_id(), now)
    job.stage = Stage.CLAIMING
    job.unclaimed = True
    _attach(state, event, job)
    state.claiming[job.submission] = job
    state.emit(AppendClaim(Claim(request.customer, request.key, job.submission)))
    state.schedule(
        min(now + CLAIM_WAIT_S, job.deadline),
        lambda at: _abandon_claim(state, job, at),
    )


def _abandon_claim(state: State, job: Job, now: float) -> None:
    """End a job whose claim was not read back in time, so that it never starts.

    An idempotent job runs without its claim instead, as a repeat of it is harmless.
    """
    if job.stage is not Stage.CLAIMING:
        return
    if job.request.idempotent:
        _admit(state, job, now)
    else:
        text = "the log did not confirm the key in time; retry with the same key"
        code = FailureCode.LOG_UNAVAILABLE
        abort_job(state, job, code, text, now, state.log_retry_ms)


def handle_claim_appended(
    state: State, event: ClaimAppendCompleted, now: float
) -> None:
    """Record whether the log accepts claims; an unknown outcome changes nothing.

    In the unknown case the claim may still be read back.
    """
    if event.appended is None:
        return
    state.log_up = event.appended
    job = state.claiming.get(event.claim.submission)
    if job is not None and not event.appended:
        _abandon_claim(state, job, now)


def handle_claims_read(state: State, event: ClaimsRead, now: float) -> None:
    """Apply claims in log order, and start the jobs whose claim came first."""
    state.log_up = True
    if event.gap:
        state.claims_incomplete_until = now + IDEMPOTENCY_KEY_TTL_S
    for claim in event.claims:
        key_submission = state.claims.apply_claim(
            claim.customer, claim.key, claim.submission, now
        )
        job = state.claiming.get(claim.submission)
        if job is None:
            _allow_rerun(state, claim, key_submission)
        elif key_submission == claim.submission:
            job.unclaimed = False
            _admit(state, job, now)
        else:
            _attach_to_key_submission(state, job, key_submission, now)


def _allow_rerun(state: State, claim: Claim, key_submission: SubmissionId) -> None:
    """Allow a repeat of a job that ended before its claim was read back.

    Its claim is the first one of the key, so nothing has run under the key.
    """
    job = state.jobs.get(claim.submission)
    if job is None or job.answer is None or key_submission != claim.submission:
        return
    cancelled = job.answer.code is FailureCode.CANCELLED
    if job.nothing_sent and job.unclaimed and not cancelled:
        job.may_rerun = True


def _attach_to_key_submission(
    state: State, job: Job, key_submission: SubmissionId, now: float
) -> None:
    """Move the callers of a job to the submission that claimed its key first."""
    del state.claiming[job.submission]
    state.jobs.pop(job.submission, None)
    job.stage = Stage.ENDED
    for call in state.detach_all(job):
        wait = call not in state.no_wait_calls
        state.no_wait_calls.discard(call)
        _submit_by_id(state, Submitted(call, job.request, wait), key_submission, now)


def _start_new(
    state: State,
    event: Submitted,
    submission: SubmissionId,
    now: float,
    unclaimed: bool = False,
) -> None:
    """Start a job or refuse it; a refusal is final for its id like any other answer."""
    refused = refuse_at_ingress(state, event.request, now)
    job = _new_job(state, event, submission, now)
    job.unclaimed = unclaimed
    if refused is not None:
        answer = replace(refused, submission=submission)
        answer = without_not_run(answer) if unclaimed else answer
        end_job(state, job, answer, now)
        answer_call(state, event.call, answer)
        return
    _attach(state, event, job)
    _admit(state, job, now)


def _new_job(
    state: State, event: Submitted, submission: SubmissionId, now: float
) -> Job:
    deadline = now + event.request.deadline_ms / MS_PER_S
    job = Job(submission, event.request, now, deadline)
    state.jobs[submission] = job
    state.schedule(deadline, lambda at: expire_job(state, job, at))
    return job


def _attach(state: State, event: Submitted, job: Job) -> None:
    """Let a call wait for the job, or answer it with the id to poll."""
    if event.wait:
        state.attach(event.call, job)
    elif job.stage is Stage.CLAIMING:
        # The id to poll is known only after the claim was read back.
        state.no_wait_calls.add(event.call)
        state.attach(event.call, job)
    else:
        answer_call(state, event.call, pending(job.submission))


def _admit(state: State, job: Job, now: float) -> None:
    state.claiming.pop(job.submission, None)
    if job.stage is Stage.ENDED:
        return
    for call in state.no_wait_calls & job.calls:
        state.no_wait_calls.discard(call)
        state.detach(call)
        answer_call(state, call, pending(job.submission))
    job.stage = Stage.QUEUED
    enqueue(state, job, now)


def expire_job(state: State, job: Job, now: float) -> None:
    """End a job at its deadline; the answer depends on what is known of its tasks."""
    if job.stage is Stage.ENDED:
        return
    if job.nothing_sent:
        abort_job(state, job, FailureCode.DEADLINE, "no task started in time", now)
        return
    code = FailureCode.OUTCOME_UNKNOWN if job.outcome_unknown else FailureCode.DEADLINE
    text = f"{len(job.outputs)} of {len(job.request.tasks)} tasks ended in time"
    abort_job(state, job, code, text, now)


def _answer_repeat(state: State, event: Submitted, job: Job, now: float) -> None:
    """Answer a repeated submission from the job that it repeats.

    Except with `may_rerun`, every answer is final, including "not run": when the
    caller got it, a repeat may have been in transit at a paused host, and must not run
    the job afterwards.
    """
    request = event.request
    if job.customer != request.customer:
        answer_call(state, event.call, _not_found())
    elif not _is_same_request(job.request, request):
        text = "the id or key belongs to another request"
        answer_call(state, event.call, refusal(FailureCode.CONFLICT, text))
    elif job.answer is None:
        _attach(state, event, job)
    elif job.may_rerun:
        attempt = state.ids.new_id()
        state.newer_attempts[job.submission] = attempt
        _start_new(state, event, attempt, now)
    else:
        answer_call(state, event.call, job.answer)


def _is_same_request(first: JobRequest, second: JobRequest) -> bool:
    return first.tasks == second.tasks and first.job_class == second.job_class


def _not_found() -> Answer:
    return refusal(FailureCode.NOT_FOUND, "no such submission")


def _id_unusable(submission: SubmissionId) -> Answer:
    """Return the answer for an id that was used or expired and whose job is unknown."""
    return Answer(
        JobState.FAILED,
        submission,
        code=FailureCode.NOT_FOUND,
        message="the id was used or has expired; its answer is no longer kept",
    )


def issue_ids(state: State, event: SubmissionIdsRequested, now: float) -> None:
    """Issue submission ids for later use."""
    ids = state.ids.issue(event.customer, event.count, now)
    state.emit(IssueIds(event.call, ids))


def poll(state: State, event: Polled, now: float) -> None:
    """Answer a call with the state of its submission, or let it wait for the end."""
    if event.submission.owner != state.local_id:
        forward_poll(state, event, now)
        return
    job = state.find_job(state.latest_attempt(event.submission))
    if job is None or job.customer != event.customer:
        answer_call(state, event.call, _answer_without_job(state, event, now))
    elif job.answer is not None:
        answer_call(state, event.call, job.answer)
    elif event.wait:
        state.attach(event.call, job)
    else:
        answer_call(state, event.call, pending(job.submission))


def _answer_without_job(state: State, event: Polled, now: float) -> Answer:
    known = state.ids.id_state(event.submission, event.customer, now)
    if known is IdState.UNUSED:
        # A request with this id may be in transit, so "not run" could become false.
        text = "the id was not used yet"
        return replace(refusal(FailureCode.NOT_FOUND, text), not_run=False)
    return _id_unusable(event.submission)


def request_cancel(state: State, event: CancelRequested, now: float) -> None:
    """Cancel a submission: waiting tasks never start, running ones are stopped."""
    if event.submission.owner != state.local_id:
        forward_cancel(state, event, now)
        return
    job = state.find_job(state.latest_attempt(event.submission))
    if job is None and _cancel_unused_id(state, event, now):
        return
    if job is None or job.customer != event.customer:
        poll(state, Polled(event.call, event.customer, event.submission), now)
        return
    if job.answer is not None:
        answer_call(state, event.call, job.answer)
        return
    state.attach(event.call, job)
    cancel_job(state, job, now)


def _cancel_unused_id(state: State, event: CancelRequested, now: float) -> bool:
    """Cancel an issued id whose request has not arrived; return whether it is one.

    The request may be in transit at a paused host. If the id stayed usable, the job
    would run after its caller got the answer that nothing ran.
    """
    known = state.ids.id_state(event.submission, event.customer, now)
    if known is not IdState.UNUSED:
        return False
    state.ids.mark_used(event.submission)
    text = "cancelled by its caller before it was submitted"
    answer = refusal(FailureCode.CANCELLED, text, submission=event.submission)
    answer_call(state, event.call, answer)
    return True


def cancel_job(state: State, job: Job, now: float) -> None:
    """Cancel a job, through its delegate if it has one."""
    if job.stage is Stage.DELEGATED:
        cancel_delegated(state, job)
        return
    abort_job(state, job, FailureCode.CANCELLED, "cancelled by its caller", now)


def close_call(state: State, event: CallClosed, now: float) -> None:
    """Remove a call that was closed; its job goes on and can be polled."""
    state.no_wait_calls.discard(event.call)
    state.pending_forwards.pop(event.call, None)
    state.detach(event.call)
