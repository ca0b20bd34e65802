"""Tasks between their start being sent and their end being known."""

from jackdawspur.dispatch._answers import give_up
from jackdawspur.dispatch._job import Job, Placement, Stage, TaskPhase
from jackdawspur.dispatch._state import InFlightTask, State
from jackdawspur.model import FailureCode, TaskId, UpstreamId

__all__ = ["land", "launch", "note_incarnation"]

# After a lease the upstream stops the task by itself; its slot is free then.
RECLAIM_AFTER_LEASE_S = 1.0


def launch(
    state: State, job: Job, index: int, upstream: UpstreamId, now: float
) -> None:
    """Count a task as sent, before its bytes leave."""
    incarnation = state.incarnations.get(upstream)
    placement = Placement(upstream, now, incarnation, TaskPhase.SENT)
    job.placements[index] = placement
    task = job.task(index)
    flight = InFlightTask(job, index, placement)
    state.flights[task] = flight
    state.in_flight_by_upstream.setdefault(upstream, set()).add(task)
    state.slots.acquire(upstream, now)
    state.resource_tracker.take(upstream, job.spec(index))
    state.health.started(upstream)
    state.quotas.started(job.customer)
    state.retries.started(job.customer, now)
    state.limits.started(job.customer, 1, now)
    reclaim_at = job.deadline + RECLAIM_AFTER_LEASE_S
    state.schedule(reclaim_at, lambda at: _reclaim(state, task, flight, at))


def land(state: State, task: TaskId, flight: InFlightTask) -> None:
    """Free what a task occupied."""
    del state.flights[task]
    upstream = flight.placement.upstream
    state.in_flight_by_upstream[upstream].discard(task)
    state.slots.release(upstream)
    state.resource_tracker.release(upstream, flight.job.spec(flight.index))
    state.quotas.ended(flight.job.customer)
    state.queue.capacity_changed()


def _reclaim(state: State, task: TaskId, flight: InFlightTask, now: float) -> None:
    """Free the slot of a task whose lease lapsed without a word from the upstream.

    Without this a dead upstream's tasks would keep their slots and quota for ever.
    """
    if state.flights.get(task) is flight:
        state.health.lost(flight.placement.upstream, now)
        land(state, task, flight)


def note_incarnation(
    state: State, upstream: UpstreamId, incarnation: int, now: float
) -> None:
    """Fail the jobs whose tasks ran on an upstream that has restarted.

    A restarted upstream has forgotten them: it would call them "never started",
    although they may have run. So they are neither waited for nor sent again.
    """
    known = state.incarnations.get(upstream)
    if known == incarnation:
        return
    if known is not None and incarnation < known:
        # A reply of the earlier run that was overtaken by one of the later run.
        return
    state.incarnations[upstream] = incarnation
    if known is None:
        return
    for task in sorted(state.in_flight_by_upstream.get(upstream, ())):
        flight = state.flights[task]
        if flight.placement.phase is TaskPhase.SENT:
            continue
        _lose(state, task, flight, now)


def _lose(state: State, task: TaskId, flight: InFlightTask, now: float) -> None:
    state.health.lost(flight.placement.upstream, now)
    land(state, task, flight)
    job = flight.job
    if job.stage is not Stage.ENDED:
        where = f"task {flight.index} on upstream {flight.placement.upstream}"
        text = f"{where} was lost when the upstream restarted"
        give_up(state, job, FailureCode.OUTCOME_UNKNOWN, text, now)
