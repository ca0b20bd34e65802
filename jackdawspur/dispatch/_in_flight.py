"""In-flight tasks: their start was sent and their end is not known yet."""

from jackdawspur.dispatch._answers import abort_job
from jackdawspur.dispatch._job import Job, Placement, Stage, TaskPhase
from jackdawspur.dispatch._state import InFlightTask, State
from jackdawspur.model import FailureCode, TaskId, UpstreamId

__all__ = ["remove_in_flight", "add_in_flight", "record_incarnation"]

# An upstream stops a task when its lease ends; the slot is reclaimed this much later.
RECLAIM_AFTER_LEASE_S = 1.0


def add_in_flight(
    state: State, job: Job, index: int, upstream: UpstreamId, now: float
) -> None:
    """Record a task as in flight, before its start is sent."""
    incarnation = state.incarnations.get(upstream)
    placement = Placement(upstream, now, incarnation, TaskPhase.SENT)
    job.placements[index] = placement
    task = job.task(index)
    in_flight = InFlightTask(job, index, placement)
    state.in_flight_tasks[task] = in_flight
    state.in_flight_by_upstream.setdefault(upstream, set()).add(task)
    state.slots.acquire(upstream, now)
    state.resource_tracker.acquire(upstream, job.spec(index))
    state.health.started(upstream)
    state.quotas.started(job.customer)
    state.retries.started(job.customer, now)
    state.limits.started(job.customer, 1, now)
    reclaim_at = job.deadline + RECLAIM_AFTER_LEASE_S
    state.schedule(reclaim_at, lambda at: _reclaim(state, task, in_flight, at))


def remove_in_flight(state: State, task: TaskId, in_flight: InFlightTask) -> None:
    """Release the slot, resources and quota of a task."""
    del state.in_flight_tasks[task]
    upstream = in_flight.placement.upstream
    state.in_flight_by_upstream[upstream].discard(task)
    state.slots.release(upstream)
    state.resource_tracker.release(upstream, in_flight.job.spec(in_flight.index))
    state.quotas.ended(in_flight.job.customer)
    state.queue.capacity_changed()


def _reclaim(state: State, task: TaskId, in_flight: InFlightTask, now: float) -> None:
    """Release a task whose lease expired without a report from the upstream.

    Otherwise the tasks of a dead upstream would occupy slots and quota forever.
    """
    if state.in_flight_tasks.get(task) is in_flight:
        state.health.lost(in_flight.placement.upstream, now)
        remove_in_flight(state, task, in_flight)


def record_incarnation(
    state: State, upstream: UpstreamId, incarnation: int, now: float
) -> None:
    """Record the incarnation of an upstream; fail jobs whose tasks a restart lost.

    A restarted upstream has lost its tasks and would report them as never started,
    although they may have run. So they are neither waited for nor sent again.
    """
    known = state.incarnations.get(upstream)
    if known == incarnation:
        return
    if known is not None and incarnation < known:
        # A delayed reply of the earlier incarnation.
        return
    state.incarnations[upstream] = incarnation
    if known is None:
        return
    for task in sorted(state.in_flight_by_upstream.get(upstream, ())):
        in_flight = state.in_flight_tasks[task]
        if in_flight.placement.phase is TaskPhase.SENT:
            continue
        _abort_lost_task(state, task, in_flight, now)


def _abort_lost_task(
    state: State, task: TaskId, in_flight: InFlightTask, now: float
) -> None:
    state.health.lost(in_flight.placement.upstream, now)
    remove_in_flight(state, task, in_flight)
    job = in_flight.job
    if job.stage is not Stage.ENDED:
        where = f"task {in_flight.index} on upstream {in_flight.placement.upstream}"
        text = f"{where} was lost when the upstream restarted"
        abort_job(state, job, FailureCode.OUTCOME_UNKNOWN, text, now)
