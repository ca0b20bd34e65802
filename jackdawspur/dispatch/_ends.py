"""Ends of single tasks, and the statistics updated by them."""

from jackdawspur.dispatch._answers import abort_job, complete_job
from jackdawspur.dispatch._in_flight import remove_in_flight
from jackdawspur.dispatch._job import Job, Stage, TaskPhase
from jackdawspur.dispatch._state import InFlightTask, State
from jackdawspur.messages import FailedTask
from jackdawspur.model import FailureCode, TaskId, TaskOutcome, TaskState

__all__ = ["end_task", "requeue_task"]

MS_PER_S = 1000.0


def requeue_task(
    state: State, task: TaskId, in_flight: InFlightTask, now: float
) -> None:
    """Requeue a task that is known not to have started."""
    remove_in_flight(state, task, in_flight)
    job = in_flight.job
    del job.placements[in_flight.index]
    if job.stage is Stage.ENDED:
        return
    if state.retries.may_retry(job.customer, now):
        state.queue.requeue(job.queued, in_flight.index)
        return
    text = "upstreams refused its tasks and the retry budget is spent"
    abort_job(state, job, FailureCode.OVERLOADED, text, now)


def end_task(
    state: State, outcome: TaskOutcome, in_flight: InFlightTask, now: float
) -> None:
    """Record the end of a task and, with the last one, of its job."""
    if outcome.state is TaskState.RUNNING:
        return
    job = in_flight.job
    _update_statistics(state, outcome, in_flight, now)
    remove_in_flight(state, outcome.task, in_flight)
    in_flight.placement.phase = TaskPhase.DONE
    if job.stage is Stage.ENDED:
        return
    if outcome.state is TaskState.DONE:
        job.record_output(outcome)
        if job.is_complete:
            complete_job(state, job, now)
        return
    _fail_job(state, job, outcome, in_flight, now)


def _fail_job(
    state: State, job: Job, outcome: TaskOutcome, in_flight: InFlightTask, now: float
) -> None:
    where = f"task {in_flight.index} on upstream {in_flight.placement.upstream}"
    if outcome.state is TaskState.FAILED:
        text = f"{where} failed: {outcome.error or 'no reason given'}"
        abort_job(state, job, FailureCode.TASK_FAILED, text, now)
    else:
        text = f"{where} was stopped before its end"
        abort_job(state, job, FailureCode.OUTCOME_UNKNOWN, text, now)


def _update_statistics(
    state: State, outcome: TaskOutcome, in_flight: InFlightTask, now: float
) -> None:
    """Charge the run time and update the health of the upstream."""
    job = in_flight.job
    upstream = in_flight.placement.upstream
    run_ms = (now - in_flight.placement.sent_at) * MS_PER_S
    job_class = job.request.job_class
    if outcome.state is TaskState.DONE:
        estimate = max(1.0, job.queued.estimates_ms[in_flight.index])
        sent_at = in_flight.placement.sent_at
        state.health.succeeded(upstream, job_class, run_ms / estimate, now, sent_at)
        spec = job.spec(in_flight.index)
        state.run_times.observe(job.customer, job_class, spec, run_ms)
    elif outcome.state is TaskState.FAILED:
        state.health.failed(upstream, job.submission, job_class, now)
        failed = FailedTask(upstream, job.submission, job_class)
        state.recent_failures.setdefault(upstream, []).append(failed)
    else:
        state.health.record_inconclusive(upstream)
    state.queue.task_ended(job.queued, in_flight.index, run_ms)
