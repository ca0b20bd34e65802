"""Ending jobs and answering each of their callers once."""

from collections import defaultdict
from dataclasses import replace

from jackdawspur.dispatch._effects import AnswerCall, SendPeerMessage, StopTasks
from jackdawspur.dispatch._job import Job, Stage, TaskPhase
from jackdawspur.dispatch._state import State
from jackdawspur.messages import DelegateAnswer, ForwardAnswer
from jackdawspur.model import Answer, FailureCode, JobState, SubmissionId

__all__ = [
    "answer_call",
    "complete_job",
    "end_job",
    "failure",
    "abort_job",
    "pending",
    "refusal",
    "without_not_run",
]


def refusal(
    code: FailureCode,
    message: str,
    retry_after_ms: float = 0.0,
    submission: SubmissionId | None = None,
) -> Answer:
    """Return an answer which states that nothing has run or will run."""
    return Answer(
        JobState.REFUSED,
        submission,
        code=code,
        message=message,
        not_run=True,
        retry_after_ms=retry_after_ms,
    )


def failure(code: FailureCode, message: str, submission: SubmissionId) -> Answer:
    """Return the answer of a failed job, tasks of which may have run."""
    return Answer(JobState.FAILED, submission, code=code, message=message)


def without_not_run(answer: Answer) -> Answer:
    """Return a refusal without "not run", for a request whose key was not claimed.

    This attempt started nothing. However, an earlier one with the same key may have
    run at another host whose claim has not been read here, so "not run" may be false.
    """
    text = f"{answer.message}; an earlier request with this key may have run"
    return replace(answer, not_run=False, message=text)


def pending(submission: SubmissionId) -> Answer:
    """Return the answer for a job that has not ended."""
    return Answer(JobState.PENDING, submission)


def answer_call(state: State, call: int, answer: Answer) -> None:
    """Answer a call, through the host that forwarded it if there is one."""
    remote = state.remote_calls.pop(call, None)
    if remote is None:
        state.emit(AnswerCall(call, answer))
        return
    state.emit(SendPeerMessage(remote.host, ForwardAnswer(remote.call, answer)))


def complete_job(state: State, job: Job, now: float) -> None:
    """End a job of which every task has its output."""
    outputs = tuple(job.outputs[i] for i in range(len(job.request.tasks)))
    end_job(state, job, Answer(JobState.COMPLETE, job.submission, outputs), now)


def abort_job(
    state: State,
    job: Job,
    code: FailureCode,
    message: str,
    now: float,
    retry_after_ms: float = 0.0,
) -> None:
    """End a job without its result, as "not run" only if nothing was sent."""
    if job.nothing_sent:
        answer = refusal(code, message, retry_after_ms, job.submission)
        if job.unclaimed:
            answer = without_not_run(answer)
    else:
        answer = failure(code, message, job.submission)
    end_job(state, job, answer, now)


def end_job(state: State, job: Job, answer: Answer, now: float) -> None:
    """Set the answer of a job, stop its running tasks and answer all its callers."""
    if job.stage is Stage.ENDED:
        return
    job.stage = Stage.ENDED
    job.answer = answer
    state.queue.remove(job.submission)
    state.claiming.pop(job.submission, None)
    _stop_running(state, job)
    state.store_answer(job, now)
    if job.origin is not None:
        state.emit(SendPeerMessage(job.origin, DelegateAnswer(job.submission, answer)))
    for call in state.detach_all(job):
        answer_call(state, call, answer)
    state.counters.count_end(job, now)


def _stop_running(state: State, job: Job) -> None:
    tasks = defaultdict(list)
    for index, placement in job.placements.items():
        if placement.phase is not TaskPhase.DONE:
            tasks[placement.upstream].append(job.task(index))
    for upstream, stopped in tasks.items():
        state.emit(StopTasks(upstream, tuple(stopped)))
