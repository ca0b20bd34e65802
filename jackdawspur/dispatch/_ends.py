"""Ends of single tasks, and what is learnt from them."""

from jackdawspur.dispatch._answers import complete_job, give_up
from jackdawspur.dispatch._in_flight import land
from jackdawspur.dispatch._job import Job, Stage, TaskPhase
from jackdawspur.dispatch._state import InFlightTask, State
from jackdawspur.messages import FailedTask
from jackdawspur.model import FailureCode, TaskId, TaskOutcome, TaskState

__all__ = ["end_task", "take_back"]

MS_PER_S = 1000.0


def take_back(state: State, task: TaskId, flight: InFlightTask, now: float) -> None:
    """Let a task wait again that is known not to have started."""
    land(state, task, flight)
    job = flight.job
    del job.placements[flight.index]
    if job.stage is Stage.ENDED:
        return
    if state.retries.may_retry(job.customer, now):
        state.queue.requeue(job.queued, flight.index)
        return
    text = "upstreams refused its tasks and the retry budget is spent"
    give_up(state, job, FailureCode.OVERLOADED, text, now)


def end_task(
    state: State, outcome: TaskOutcome, flight: InFlightTask, now: float
) -> None:
    """Record the end of a task and, with the last one, of its job."""
    if outcome.state is TaskState.RUNNING:
        return
    job = flight.job
    _learn(state, outcome, flight, now)
    land(state, outcome.task, flight)
    flight.placement.phase = TaskPhase.DONE
    if job.stage is Stage.ENDED:
        return
    if outcome.state is TaskState.DONE:
        job.finish_task(outcome)
        if job.whole:
            complete_job(state, job, now)
        return
    _fail(state, job, outcome, flight, now)


def _fail(
    state: State, job: Job, outcome: TaskOutcome, flight: InFlightTask, now: float
) -> None:
    where = f"task {flight.index} on upstream {flight.placement.upstream}"
    if outcome.state is TaskState.FAILED:
        text = f"{where} failed: {outcome.error or 'no reason given'}"
        give_up(state, job, FailureCode.TASK_FAILED, text, now)
    else:
        text = f"{where} was stopped before its end"
        give_up(state, job, FailureCode.OUTCOME_UNKNOWN, text, now)


def _learn(
    state: State, outcome: TaskOutcome, flight: InFlightTask, now: float
) -> None:
    """Charge the run time and judge the upstream by how the task ended."""
    job = flight.job
    upstream = flight.placement.upstream
    run_ms = (now - flight.placement.sent_at) * MS_PER_S
    name = job.request.job_class
    if outcome.state is TaskState.DONE:
        estimate = max(1.0, job.queued.estimates_ms[flight.index])
        sent_at = flight.placement.sent_at
        state.health.succeeded(upstream, name, run_ms / estimate, now, sent_at)
        spec = job.spec(flight.index)
        state.run_times.observe(job.customer, name, spec, run_ms)
    elif outcome.state is TaskState.FAILED:
        state.health.failed(upstream, job.submission, name, now)
        failed = FailedTask(upstream, job.submission, name)
        state.failed.setdefault(upstream, []).append(failed)
    else:
        state.health.record_inconclusive(upstream)
    state.queue.task_ended(job.queued, flight.index, run_ms)
