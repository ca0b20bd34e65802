"""Resolution of starts whose reply was lost, by status queries."""

from jackdawspur.dispatch._answers import abort_job
from jackdawspur.dispatch._effects import QueryTaskStatus
from jackdawspur.dispatch._ends import end_task, requeue_task
from jackdawspur.dispatch._events import StatusQueryFailed, StatusReplied
from jackdawspur.dispatch._in_flight import record_incarnation, remove_in_flight
from jackdawspur.dispatch._job import Stage, TaskPhase
from jackdawspur.dispatch._state import InFlightTask, State
from jackdawspur.model import (
    FailureCode,
    TaskId,
    TaskOutcome,
    TaskState,
    UpstreamId,
)

__all__ = ["handle_status_failure", "query_task_status", "handle_status_reply"]

FIRST_RETRY_S = 0.1
MAX_RETRY_S = 2.0
MAX_DOUBLINGS = 5


def query_task_status(
    state: State,
    upstream: UpstreamId,
    tasks: tuple[TaskId, ...],
    attempt: int,
    now: float,
) -> None:
    """Query the status of the tasks that are unconfirmed and whose jobs are live."""
    unconfirmed = tuple(task for task in tasks if _is_unconfirmed(state, task))
    if not unconfirmed:
        return
    state.status_attempts[upstream] = attempt
    state.counters.status_queries += 1
    state.emit(QueryTaskStatus(upstream, unconfirmed))


def handle_status_failure(state: State, event: StatusQueryFailed, now: float) -> None:
    """Retry a status query with exponential backoff, until the deadline of the job."""
    attempt = min(state.status_attempts.get(event.upstream, 0) + 1, MAX_DOUBLINGS)
    wait = min(MAX_RETRY_S, FIRST_RETRY_S * 2**attempt)
    state.schedule(
        now + wait,
        lambda at: query_task_status(state, event.upstream, event.tasks, attempt, at),
    )


def handle_status_reply(state: State, event: StatusReplied, now: float) -> None:
    """Process the reply to a status query or a stop."""
    reply = event.reply
    same_incarnation = state.incarnations.get(reply.upstream) == reply.incarnation
    for outcome in reply.outcomes:
        in_flight = state.in_flight_tasks.get(outcome.task)
        # The reply of another upstream concerns an earlier start of the task, and must
        # not release the present one.
        if in_flight is not None and in_flight.placement.upstream == reply.upstream:
            _apply_outcome(state, outcome, in_flight, same_incarnation, now)
    record_incarnation(state, reply.upstream, reply.incarnation, now)


def _apply_outcome(
    state: State,
    outcome: TaskOutcome,
    in_flight: InFlightTask,
    same_incarnation: bool,
    now: float,
) -> None:
    placement = in_flight.placement
    if outcome.state is TaskState.RUNNING:
        if placement.phase is TaskPhase.UNSURE:
            placement.phase = TaskPhase.RUNNING
    elif outcome.state in (TaskState.SEALED, TaskState.UNKNOWN):
        _handle_not_started(state, outcome, in_flight, same_incarnation, now)
    else:
        end_task(state, outcome, in_flight, now)


def _handle_not_started(
    state: State,
    outcome: TaskOutcome,
    in_flight: InFlightTask,
    same_incarnation: bool,
    now: float,
) -> None:
    """Requeue a sealed task if the reply proves that it never ran.

    The reply proves it only if it comes from the incarnation of the upstream to which
    the start was sent: a later incarnation does not know what an earlier one ran.
    """
    placement = in_flight.placement
    proven = (
        outcome.state is TaskState.SEALED
        and same_incarnation
        and placement.incarnation is not None
        and state.incarnations.get(placement.upstream) == placement.incarnation
    )
    if proven:
        state.health.lost(placement.upstream, now)
        requeue_task(state, outcome.task, in_flight, now)
        return
    state.health.lost(placement.upstream, now)
    remove_in_flight(state, outcome.task, in_flight)
    job = in_flight.job
    if job.stage is not Stage.ENDED:
        text = (
            f"task {in_flight.index}: upstream {placement.upstream} has no trace of it "
            "and may have restarted"
        )
        abort_job(state, job, FailureCode.OUTCOME_UNKNOWN, text, now)


def _is_unconfirmed(state: State, task: TaskId) -> bool:
    in_flight = state.in_flight_tasks.get(task)
    if in_flight is None or in_flight.job.stage is Stage.ENDED:
        return False
    return in_flight.placement.phase is TaskPhase.UNSURE
