"""Finding out about starts whose reply was lost."""

from jackdawspur.dispatch._answers import give_up
from jackdawspur.dispatch._effects import QueryTaskStatus
from jackdawspur.dispatch._ends import end_task, take_back
from jackdawspur.dispatch._events import StatusQueryFailed, StatusReplied
from jackdawspur.dispatch._in_flight import land, note_incarnation
from jackdawspur.dispatch._job import Stage, TaskPhase
from jackdawspur.dispatch._state import InFlightTask, State
from jackdawspur.model import (
    FailureCode,
    TaskId,
    TaskOutcome,
    TaskState,
    UpstreamId,
)

__all__ = ["lose_status", "query_task_status", "reply_status"]

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
    """Ask how far tasks are, if some job still needs to know."""
    open_tasks = tuple(task for task in tasks if _is_unsure(state, task))
    if not open_tasks:
        return
    state.attempts[upstream] = attempt
    state.counters.status_queries += 1
    state.emit(QueryTaskStatus(upstream, open_tasks))


def lose_status(state: State, event: StatusQueryFailed, now: float) -> None:
    """Ask again after a growing wait; the job's deadline ends it."""
    attempt = min(state.attempts.get(event.upstream, 0) + 1, MAX_DOUBLINGS)
    wait = min(MAX_RETRY_S, FIRST_RETRY_S * 2**attempt)
    state.schedule(
        now + wait,
        lambda at: query_task_status(state, event.upstream, event.tasks, attempt, at),
    )


def reply_status(state: State, event: StatusReplied, now: float) -> None:
    """Take in the answer to a status query or a stop."""
    reply = event.reply
    same_run = state.incarnations.get(reply.upstream) == reply.incarnation
    for outcome in reply.outcomes:
        flight = state.flights.get(outcome.task)
        # Word of an earlier send elsewhere must not free a task that was sent again.
        if flight is not None and flight.placement.upstream == reply.upstream:
            _settle(state, outcome, flight, same_run, now)
    note_incarnation(state, reply.upstream, reply.incarnation, now)


def _settle(
    state: State, outcome: TaskOutcome, flight: InFlightTask, same_run: bool, now: float
) -> None:
    placement = flight.placement
    if outcome.state is TaskState.RUNNING:
        if placement.phase is TaskPhase.UNSURE:
            placement.phase = TaskPhase.RUNNING
    elif outcome.state in (TaskState.SEALED, TaskState.UNKNOWN):
        _never_started(state, outcome, flight, same_run, now)
    else:
        end_task(state, outcome, flight, now)


def _never_started(
    state: State, outcome: TaskOutcome, flight: InFlightTask, same_run: bool, now: float
) -> None:
    """Let a barred task wait again, if the answer proves that it never ran.

    It proves it only when the run of the upstream that answers is the one that was
    there when the start was sent: a later run has forgotten what an earlier one did.
    """
    placement = flight.placement
    proven = (
        outcome.state is TaskState.SEALED
        and same_run
        and placement.incarnation is not None
        and state.incarnations.get(placement.upstream) == placement.incarnation
    )
    if proven:
        state.health.lost(placement.upstream, now)
        take_back(state, outcome.task, flight, now)
        return
    state.health.lost(placement.upstream, now)
    land(state, outcome.task, flight)
    job = flight.job
    if job.stage is not Stage.ENDED:
        text = (
            f"task {flight.index}: upstream {placement.upstream} has no trace of it "
            "and may have restarted"
        )
        give_up(state, job, FailureCode.OUTCOME_UNKNOWN, text, now)


def _is_unsure(state: State, task: TaskId) -> bool:
    flight = state.flights.get(task)
    if flight is None or flight.job.stage is Stage.ENDED:
        return False
    return flight.placement.phase is TaskPhase.UNSURE
