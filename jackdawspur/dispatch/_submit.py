"""Accepting, repeating, polling and cancelling submissions."""

from dataclasses import replace

from jackdawspur.dispatch._answers import (
    answer_call,
    end_job,
    give_up,
    pending,
    refusal,
    without_not_run,
)
from jackdawspur.dispatch._delegate import cancel_delegated
from jackdawspur.dispatch._door import refuse_at_door
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
    "ask_cancel",
    "cancel_job",
    "close_call",
    "end_claim",
    "expire",
    "issue_ids",
    "poll",
    "read_claims",
    "submit",
]

CLAIM_WAIT_S = 1.0
MS_PER_S = 1000.0


def submit(state: State, event: Submitted, now: float) -> None:
    """Accept a job, attach to the one it repeats, or refuse it."""
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
    """Run a job under an id that was issued earlier, at its owner only."""
    if submission.owner != state.own:
        forward_request(state, event, submission, now)
        return
    current = state.latest_attempt(submission)
    known = state.find_job(current)
    if known is not None:
        _repeat(state, event, known, now)
        return
    if state.ids.id_state(submission, event.request.customer, now) is IdState.UNUSED:
        state.ids.mark_used(submission)
        _start_new(state, event, submission, now)
        return
    answer_call(state, event.call, _forgotten(submission))


def _submit_by_key(state: State, event: Submitted, now: float) -> None:
    """Bind the caller's key to one submission through the log, then run it there.

    The claim is read back in log order before any task is sent. So of two hosts that
    got the same key, also when one was paused in between, only the first claim's runs.
    """
    request = event.request
    owner = state.claims.find(request.customer, request.key, now)
    if owner is not None:
        _submit_by_id(state, event, owner, now)
        return
    waiting = state.find_claiming(request.customer, request.key)
    if waiting is not None:
        _repeat(state, event, waiting, now)
        return
    if not state.log_up and request.idempotent:
        # Losing the key's memory is acceptable only because a repeat is harmless.
        _start_new(state, event, state.ids.new_id(), now, unclaimed=True)
        return
    if not state.log_up or state.claims.is_full or now < state.claims_blind_until:
        text = "keys can't be claimed now; use an issued submission id, or retry"
        answer = refusal(FailureCode.LOG_UNAVAILABLE, text, state.log_retry_ms)
        answer_call(state, event.call, without_not_run(answer))
        return
    _claim(state, event, now)


def _claim(state: State, event: Submitted, now: float) -> None:
    request = event.request
    refused = refuse_at_door(state, request, now)
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
        lambda at: _give_up_claim(state, job, at),
    )


def _give_up_claim(state: State, job: Job, now: float) -> None:
    """End a job whose claim was not read back in time; it never starts later.

    A repeat of an idempotent request is harmless, so such a job runs unclaimed.
    """
    if job.stage is not Stage.CLAIMING:
        return
    if job.request.idempotent:
        _admit(state, job, now)
    else:
        text = "the log did not confirm the key in time; retry with the same key"
        code = FailureCode.LOG_UNAVAILABLE
        give_up(state, job, code, text, now, state.log_retry_ms)


def end_claim(state: State, event: ClaimAppendCompleted, now: float) -> None:
    """Note whether the log takes claims; an unknown end waits for the read-back."""
    if event.appended is None:
        return
    state.log_up = event.appended
    job = state.claiming.get(event.claim.submission)
    if job is not None and not event.appended:
        _give_up_claim(state, job, now)


def read_claims(state: State, event: ClaimsRead, now: float) -> None:
    """Fold claims in log order and start the jobs whose claim came first."""
    state.log_up = True
    if event.gap:
        state.claims_blind_until = now + IDEMPOTENCY_KEY_TTL_S
    for claim in event.claims:
        owner = state.claims.apply_claim(
            claim.customer, claim.key, claim.submission, now
        )
        job = state.claiming.get(claim.submission)
        if job is None:
            _clear_late(state, claim, owner)
        elif owner == claim.submission:
            job.unclaimed = False
            _admit(state, job, now)
        else:
            _yield_to(state, job, owner, now)


def _clear_late(state: State, claim: Claim, owner: SubmissionId) -> None:
    """Let a repeat run whose first attempt gave up before its claim was read back.

    The claim turned out to be the key's first, so nothing ran under the key at all.
    """
    job = state.jobs.get(claim.submission)
    if job is None or job.answer is None or owner != claim.submission:
        return
    cancelled = job.answer.code is FailureCode.CANCELLED
    if job.untouched and job.unclaimed and not cancelled:
        job.reusable = True


def _yield_to(state: State, job: Job, owner: SubmissionId, now: float) -> None:
    """Join the callers of a job whose key another submission claimed first."""
    del state.claiming[job.submission]
    state.jobs.pop(job.submission, None)
    job.stage = Stage.ENDED
    for call in state.detach_all(job):
        wait = call not in state.impatient_calls
        state.impatient_calls.discard(call)
        _submit_by_id(state, Submitted(call, job.request, wait), owner, now)


def _start_new(
    state: State,
    event: Submitted,
    submission: SubmissionId,
    now: float,
    unclaimed: bool = False,
) -> None:
    """Start a job, or refuse it for good: also a refusal is its id's final answer."""
    refused = refuse_at_door(state, event.request, now)
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
    state.schedule(deadline, lambda at: expire(state, job, at))
    return job


def _attach(state: State, event: Submitted, job: Job) -> None:
    """Let a caller wait for the job, or tell it the id to poll."""
    if event.wait:
        state.attach(event.call, job)
    elif job.stage is Stage.CLAIMING:
        # The id to poll is settled only when the claim was read back.
        state.impatient_calls.add(event.call)
        state.attach(event.call, job)
    else:
        answer_call(state, event.call, pending(job.submission))


def _admit(state: State, job: Job, now: float) -> None:
    state.claiming.pop(job.submission, None)
    if job.stage is Stage.ENDED:
        return
    for call in state.impatient_calls & job.calls:
        state.impatient_calls.discard(call)
        state.detach(call)
        answer_call(state, call, pending(job.submission))
    job.stage = Stage.QUEUED
    enqueue(state, job, now)


def expire(state: State, job: Job, now: float) -> None:
    """End a job at its deadline with what is known of it."""
    if job.stage is Stage.ENDED:
        return
    if job.untouched:
        give_up(state, job, FailureCode.DEADLINE, "no task started in time", now)
        return
    code = FailureCode.OUTCOME_UNKNOWN if job.unsure else FailureCode.DEADLINE
    text = f"{len(job.outputs)} of {len(job.request.tasks)} tasks ended in time"
    give_up(state, job, code, text, now)


def _repeat(state: State, event: Submitted, job: Job, now: float) -> None:
    """Answer a repeated submission from the job that it repeats.

    An answer is final, "not run" too: a repeat may have been under way at a paused
    host when its caller was told so, and must not run the job after all.
    """
    request = event.request
    if job.customer != request.customer:
        answer_call(state, event.call, _unknown())
    elif not _same_work(job.request, request):
        text = "the id or key belongs to another request"
        answer_call(state, event.call, refusal(FailureCode.CONFLICT, text))
    elif job.answer is None:
        _attach(state, event, job)
    elif job.reusable:
        attempt = state.ids.new_id()
        state.retried[job.submission] = attempt
        _start_new(state, event, attempt, now)
    else:
        answer_call(state, event.call, job.answer)


def _same_work(first: JobRequest, second: JobRequest) -> bool:
    return first.tasks == second.tasks and first.job_class == second.job_class


def _unknown() -> Answer:
    return refusal(FailureCode.NOT_FOUND, "no such submission")


def _forgotten(submission: SubmissionId) -> Answer:
    """Say that an id can't be used: whether its job ran is not known any more."""
    return Answer(
        JobState.FAILED,
        submission,
        code=FailureCode.NOT_FOUND,
        message="the id was used or has expired; its answer is no longer kept",
    )


def issue_ids(state: State, event: SubmissionIdsRequested, now: float) -> None:
    """Hand out submission ids for later use."""
    ids = state.ids.issue(event.customer, event.count, now)
    state.emit(IssueIds(event.call, ids))


def poll(state: State, event: Polled, now: float) -> None:
    """Tell a caller how far its submission is, or let it wait for the end."""
    if event.submission.owner != state.own:
        forward_poll(state, event, now)
        return
    job = state.find_job(state.latest_attempt(event.submission))
    if job is None or job.customer != event.customer:
        answer_call(state, event.call, _absent(state, event, now))
    elif job.answer is not None:
        answer_call(state, event.call, job.answer)
    elif event.wait:
        state.attach(event.call, job)
    else:
        answer_call(state, event.call, pending(job.submission))


def _absent(state: State, event: Polled, now: float) -> Answer:
    known = state.ids.id_state(event.submission, event.customer, now)
    if known is IdState.UNUSED:
        # A request under it may be on its way here, so this is no "not run".
        text = "the id was not used yet"
        return replace(refusal(FailureCode.NOT_FOUND, text), not_run=False)
    return _forgotten(event.submission)


def ask_cancel(state: State, event: CancelRequested, now: float) -> None:
    """Cancel a submission: what has not started never will, the rest is stopped."""
    if event.submission.owner != state.own:
        forward_cancel(state, event, now)
        return
    job = state.find_job(state.latest_attempt(event.submission))
    if job is None and _bar_unused(state, event, now):
        return
    if job is None or job.customer != event.customer:
        poll(state, Polled(event.call, event.customer, event.submission), now)
        return
    if job.answer is not None:
        answer_call(state, event.call, job.answer)
        return
    state.attach(event.call, job)
    cancel_job(state, job, now)


def _bar_unused(state: State, event: CancelRequested, now: float) -> bool:
    """Spend an issued id that is cancelled before its request came.

    The request may be under way at a paused host. It would run although its caller
    was told that nothing did, so the id must not start anything any more.
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
    """End a job at its caller's wish, through its delegate if it has one."""
    if job.stage is Stage.DELEGATED:
        cancel_delegated(state, job)
        return
    give_up(state, job, FailureCode.CANCELLED, "cancelled by its caller", now)


def close_call(state: State, event: CallClosed, now: float) -> None:
    """Forget a caller that went away; its job goes on and can be polled."""
    state.impatient_calls.discard(event.call)
    state.pending_forwards.pop(event.call, None)
    state.detach(event.call)
