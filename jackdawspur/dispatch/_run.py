"""Sending starts to upstreams and processing their replies."""

from collections import defaultdict
from collections.abc import Iterable

from jackdawspur.dispatch._effects import StartTasks
from jackdawspur.dispatch._ends import end_task, requeue_task
from jackdawspur.dispatch._events import (
    ResultsReplied,
    StartRequestFailed,
    StartsReplied,
)
from jackdawspur.dispatch._in_flight import add_in_flight, record_incarnation
from jackdawspur.dispatch._job import TaskPhase
from jackdawspur.dispatch._resolve import query_task_status
from jackdawspur.dispatch._state import InFlightTask, Reservation, State
from jackdawspur.external import RefusalReason, StartVerdict, TaskStart
from jackdawspur.health import UNLIMITED
from jackdawspur.model import JobRequest, TaskId, UpstreamId
from jackdawspur.scheduling import NextTask

__all__ = [
    "handle_start_failure",
    "handle_results",
    "handle_start_reply",
    "start_waiting_tasks",
]

MS_PER_S = 1000.0
# A probe of an ejected upstream may fail its job, so only small jobs are used.
MAX_PROBE_TASKS = 4


def start_waiting_tasks(state: State, now: float) -> None:
    """Send waiting tasks to the slots that this host may use now."""
    if not state.queue.waiting() or now < state.starts_held_until:
        return
    batches: dict[UpstreamId, list[TaskStart]] = defaultdict(list)
    open_slots = _open_slots(state, now)
    probes = _probes(state, now)
    while open_slots:
        next_task = _next_task(state, open_slots, now)
        if next_task is None:
            break
        request = state.jobs[next_task.job.submission].request
        if probes and _can_be_probe(request):
            upstream = probes.pop()
        else:
            upstream = state.resource_tracker.first_fit(open_slots, next_task.spec)
            open_slots.remove(upstream)
        batches[upstream].append(_commit_start(state, next_task, upstream, now))
    for upstream, starts in batches.items():
        state.counters.starts += len(starts)
        state.emit(StartTasks(upstream, tuple(starts)))


def _open_slots(state: State, now: float) -> list[UpstreamId]:
    """Return the slots to fill in order of preference, one entry per slot."""
    count = min(state.queue.waiting(), state.slots.free(now))
    if count <= 0:
        return []
    excluded = _reserved_upstreams(state, now)
    limits = {}
    for upstream in state.slots.available_slots(now):
        limit = state.health.concurrency_limit(upstream, now)
        if state.view.is_upstream_leaving(upstream) or limit == 0:
            excluded.add(upstream)
        elif limit < UNLIMITED:
            limits[upstream] = limit
    return list(state.slots.select_slots(count, now, excluded, limits, state.pack))


def _reserved_upstreams(state: State, now: float) -> set[UpstreamId]:
    """Return the upstream reserved for a large task that fits nowhere, if any.

    Without a reservation, small tasks would occupy all memory that becomes free, and
    the large one would wait until its deadline. The same upstream stays reserved until
    the task fits.
    """
    wanted = state.queue.reservation(now)
    if wanted is None:
        state.reservation = None
        return set()
    reservation = state.reservation
    if reservation is None or reservation.submission != wanted.job.submission:
        upstreams = [
            upstream
            for upstream in state.resource_tracker.upstreams()
            if upstream.zone == state.local_id.zone
            and state.health.concurrency_limit(upstream, now) == UNLIMITED
            and not state.view.is_upstream_leaving(upstream)
        ]
        least_utilized = state.resource_tracker.least_utilized(upstreams, wanted.spec)
        if least_utilized is None:
            return set()
        reservation = state.reservation = Reservation(
            wanted.job.submission, least_utilized
        )
    if state.resource_tracker.fits(reservation.upstream, wanted.spec):
        state.queue.capacity_changed()
        return set()
    return {reservation.upstream}


def _probes(state: State, now: float) -> list[UpstreamId]:
    """Return one ejected upstream to probe with a task, if any is due."""
    ejected = state.health.ejected()
    due = {u for u in ejected if state.health.probe_allowed(u, now)}
    if not due:
        return []
    return list(
        state.slots.select_slots(1, now, set(state.resource_tracker.upstreams()) - due)
    )


def _can_be_probe(request: JobRequest) -> bool:
    """Return whether the job may be a probe, as its repeat is harmless and cheap."""
    return request.idempotent and len(request.tasks) <= MAX_PROBE_TASKS


def _next_task(
    state: State, open_slots: list[UpstreamId], now: float
) -> NextTask | None:
    return state.queue.next_task(
        now,
        lambda spec: state.resource_tracker.first_fit(open_slots, spec) is not None,
        lambda customer: state.quotas.may_start(customer, now),
    )


def _commit_start(
    state: State, next_task: NextTask, upstream: UpstreamId, now: float
) -> TaskStart:
    """Record the start of a task and return it; from now on the task may have run."""
    job = state.jobs[next_task.job.submission]
    add_in_flight(state, job, next_task.index, upstream, now)
    spec = next_task.spec
    lease_ms = max(1.0, (job.deadline - now) * MS_PER_S)
    return TaskStart(
        job.task(next_task.index),
        spec.payload,
        lease_ms,
        spec.cpus,
        spec.memory_mb,
        spec.accelerators,
    )


def handle_start_reply(state: State, event: StartsReplied, now: float) -> None:
    """Record which starts an upstream accepted, and requeue the refused ones."""
    reply = event.reply
    record_incarnation(state, reply.upstream, reply.incarnation, now)
    for verdict in reply.verdicts:
        in_flight = _awaiting_reply(state, verdict.task, reply.upstream)
        if in_flight is None:
            continue
        if verdict.refusal is None:
            in_flight.placement.phase = TaskPhase.RUNNING
            in_flight.placement.incarnation = reply.incarnation
            state.slots.reset_backoff(reply.upstream)
        elif verdict.refusal is RefusalReason.DUPLICATE:
            # The upstream knows the id, so an earlier start may have reached it.
            _query_unconfirmed_starts(state, (verdict.task,), reply.upstream, now)
        else:
            _handle_refusal(state, in_flight, verdict, now)


def _awaiting_reply(
    state: State, task: TaskId, upstream: UpstreamId
) -> InFlightTask | None:
    """Return the in-flight task whose start waits for a reply of this upstream.

    A refused task is sent to another upstream under the same id. A late reply of the
    first upstream must neither release nor resend the task that the second one runs.
    """
    in_flight = state.in_flight_tasks.get(task)
    if in_flight is None or in_flight.placement.phase is not TaskPhase.SENT:
        return None
    return in_flight if in_flight.placement.upstream == upstream else None


def _handle_refusal(
    state: State, in_flight: InFlightTask, verdict: StartVerdict, now: float
) -> None:
    upstream = in_flight.placement.upstream
    state.counters.starts_refused += 1
    state.health.record_inconclusive(upstream)
    if verdict.refusal is RefusalReason.LEAVING:
        state.view.mark_leaving(upstream, now)
    else:
        state.slots.start_backoff(upstream, now)
    requeue_task(state, verdict.task, in_flight, now)


def handle_start_failure(state: State, event: StartRequestFailed, now: float) -> None:
    """Handle starts without a reply; only those certainly not sent are requeued."""
    state.counters.starts_lost += len(event.tasks)
    if event.maybe_sent:
        _query_unconfirmed_starts(state, event.tasks, event.upstream, now)
        return
    state.slots.start_backoff(event.upstream, now)
    for task in event.tasks:
        in_flight = _awaiting_reply(state, task, event.upstream)
        if in_flight is not None:
            state.health.lost(event.upstream, now)
            requeue_task(state, task, in_flight, now)


def _query_unconfirmed_starts(
    state: State, tasks: Iterable[TaskId], upstream: UpstreamId, now: float
) -> None:
    """Query the status of starts that may have reached the upstream.

    The reply was lost or reported a duplicate, so the tasks may be running. A second
    start could run them twice; a status query, which also seals tasks against late
    starts, can't.
    """
    unconfirmed = []
    for task in tasks:
        in_flight = _awaiting_reply(state, task, upstream)
        if in_flight is not None:
            in_flight.placement.phase = TaskPhase.UNSURE
            unconfirmed.append(task)
    if unconfirmed:
        query_task_status(state, upstream, tuple(unconfirmed), 0, now)


def handle_results(state: State, event: ResultsReplied, now: float) -> None:
    """Process reported ends of tasks; ignore repeated and unknown ones."""
    reply = event.reply
    record_incarnation(state, reply.upstream, reply.incarnation, now)
    for outcome in reply.outcomes:
        in_flight = state.in_flight_tasks.get(outcome.task)
        if in_flight is not None:
            end_task(state, outcome, in_flight, now)
