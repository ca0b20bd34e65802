"""Sending starts and taking in what upstreams say of them."""

from collections import defaultdict
from collections.abc import Iterable

from jackdawspur.dispatch._effects import StartTasks
from jackdawspur.dispatch._ends import end_task, take_back
from jackdawspur.dispatch._events import (
    ResultsReplied,
    StartRequestFailed,
    StartsReplied,
)
from jackdawspur.dispatch._in_flight import launch, note_incarnation
from jackdawspur.dispatch._job import TaskPhase
from jackdawspur.dispatch._resolve import query_task_status
from jackdawspur.dispatch._state import InFlightTask, Reserved, State
from jackdawspur.external import RefusalReason, StartVerdict, TaskStart
from jackdawspur.health import UNLIMITED
from jackdawspur.model import JobRequest, TaskId, UpstreamId
from jackdawspur.scheduling import NextTask

__all__ = ["lose_starts", "reply_results", "reply_starts", "start_waiting"]

MS_PER_S = 1000.0
# A probe of an ejected upstream may cost the job, so only small ones are used.
MAX_PROBE_TASKS = 4


def start_waiting(state: State, now: float) -> None:
    """Send as many waiting tasks as there are slots this host may use."""
    if not state.queue.waiting() or now < state.hold_until:
        return
    batches: dict[UpstreamId, list[TaskStart]] = defaultdict(list)
    open_slots = _open_slots(state, now)
    probes = _probes(state, now)
    while open_slots:
        found = _next(state, open_slots, now)
        if found is None:
            break
        request = state.jobs[found.job.submission].request
        if probes and _suits_probe(request):
            upstream = probes.pop()
        else:
            upstream = state.resource_tracker.first_fit(open_slots, found.spec)
            open_slots.remove(upstream)
        batches[upstream].append(_send(state, found, upstream, now))
    for upstream, starts in batches.items():
        state.counters.starts += len(starts)
        state.emit(StartTasks(upstream, tuple(starts)))


def _open_slots(state: State, now: float) -> list[UpstreamId]:
    """Return the slots to fill in order of preference, one entry a slot."""
    count = min(state.queue.waiting(), state.slots.free(now))
    if count <= 0:
        return []
    excluded = _reserved(state, now)
    limits = {}
    for upstream in state.slots.available_slots(now):
        limit = state.health.concurrency_limit(upstream, now)
        if state.view.is_upstream_leaving(upstream) or limit == 0:
            excluded.add(upstream)
        elif limit < UNLIMITED:
            limits[upstream] = limit
    return list(state.slots.select_slots(count, now, excluded, limits, state.pack))


def _reserved(state: State, now: float) -> set[UpstreamId]:
    """Return the upstream that is left to empty for a task that fits nowhere.

    Small tasks would take each bit of memory that becomes free, and the large one
    would wait until its deadline. The same upstream stays reserved until it fits.
    """
    wanted = state.queue.reservation(now)
    if wanted is None:
        state.reserved = None
        return set()
    kept = state.reserved
    if kept is None or kept.submission != wanted.job.submission:
        upstreams = [
            upstream
            for upstream in state.resource_tracker.upstreams()
            if upstream.zone == state.own.zone
            and state.health.concurrency_limit(upstream, now) == UNLIMITED
            and not state.view.is_upstream_leaving(upstream)
        ]
        emptiest = state.resource_tracker.emptiest(upstreams, wanted.spec)
        if emptiest is None:
            return set()
        kept = state.reserved = Reserved(wanted.job.submission, emptiest)
    if state.resource_tracker.fits(kept.upstream, wanted.spec):
        state.queue.capacity_changed()
        return set()
    return {kept.upstream}


def _probes(state: State, now: float) -> list[UpstreamId]:
    """Return ejected upstreams that may be given one task to try them out."""
    ejected = state.health.ejected()
    due = {u for u in ejected if state.health.probe_allowed(u, now)}
    if not due:
        return []
    return list(
        state.slots.select_slots(1, now, set(state.resource_tracker.upstreams()) - due)
    )


def _suits_probe(request: JobRequest) -> bool:
    """Tell whether a job may be risked: a repeat of it must be harmless and cheap."""
    return request.idempotent and len(request.tasks) <= MAX_PROBE_TASKS


def _next(state: State, open_slots: list[UpstreamId], now: float) -> NextTask | None:
    return state.queue.next_task(
        now,
        lambda spec: state.resource_tracker.first_fit(open_slots, spec) is not None,
        lambda customer: state.quotas.may_start(customer, now),
    )


def _send(state: State, found: NextTask, upstream: UpstreamId, now: float) -> TaskStart:
    """Commit to one start of a task; from here on it may have run."""
    job = state.jobs[found.job.submission]
    launch(state, job, found.index, upstream, now)
    spec = found.spec
    lease_ms = max(1.0, (job.deadline - now) * MS_PER_S)
    return TaskStart(
        job.task(found.index),
        spec.payload,
        lease_ms,
        spec.cpus,
        spec.memory_mb,
        spec.accelerators,
    )


def reply_starts(state: State, event: StartsReplied, now: float) -> None:
    """Note which starts an upstream took and let refused ones wait again."""
    reply = event.reply
    note_incarnation(state, reply.upstream, reply.incarnation, now)
    for verdict in reply.verdicts:
        flight = _sent_to(state, verdict.task, reply.upstream)
        if flight is None:
            continue
        if verdict.refusal is None:
            flight.placement.phase = TaskPhase.RUNNING
            flight.placement.incarnation = reply.incarnation
            state.slots.reset_backoff(reply.upstream)
        elif verdict.refusal is RefusalReason.DUPLICATE:
            # It has the id already, so an earlier send may have started it.
            _doubt(state, (verdict.task,), reply.upstream, now)
        else:
            _refused(state, flight, verdict, now)


def _sent_to(state: State, task: TaskId, upstream: UpstreamId) -> InFlightTask | None:
    """Return the flight of a task whose start waits for this upstream's reply.

    A refused task goes to another upstream under the same id. Word of the first one
    that comes late must not free, or send again, what the second one runs.
    """
    flight = state.flights.get(task)
    if flight is None or flight.placement.phase is not TaskPhase.SENT:
        return None
    return flight if flight.placement.upstream == upstream else None


def _refused(
    state: State, flight: InFlightTask, verdict: StartVerdict, now: float
) -> None:
    upstream = flight.placement.upstream
    state.counters.starts_refused += 1
    state.health.record_inconclusive(upstream)
    if verdict.refusal is RefusalReason.LEAVING:
        state.view.mark_leaving(upstream, now)
    else:
        state.slots.start_backoff(upstream, now)
    take_back(state, verdict.task, flight, now)


def lose_starts(state: State, event: StartRequestFailed, now: float) -> None:
    """Resolve starts without a reply; only those that never left go out again."""
    state.counters.starts_lost += len(event.tasks)
    if event.maybe_sent:
        _doubt(state, event.tasks, event.upstream, now)
        return
    state.slots.start_backoff(event.upstream, now)
    for task in event.tasks:
        flight = _sent_to(state, task, event.upstream)
        if flight is not None:
            state.health.lost(event.upstream, now)
            take_back(state, task, flight, now)


def _doubt(
    state: State, tasks: Iterable[TaskId], upstream: UpstreamId, now: float
) -> None:
    """Find out about starts that may have reached the upstream.

    The reply was lost, so the tasks may be running. A second send could run them
    twice; a status query that also bars late starts can't.
    """
    unsure = []
    for task in tasks:
        flight = _sent_to(state, task, upstream)
        if flight is not None:
            flight.placement.phase = TaskPhase.UNSURE
            unsure.append(task)
    if unsure:
        query_task_status(state, upstream, tuple(unsure), 0, now)


def reply_results(state: State, event: ResultsReplied, now: float) -> None:
    """Take in ended tasks; repeats and unknown ones change nothing."""
    reply = event.reply
    note_incarnation(state, reply.upstream, reply.incarnation, now)
    for outcome in reply.outcomes:
        flight = state.flights.get(outcome.task)
        if flight is not None:
            end_task(state, outcome, flight, now)
