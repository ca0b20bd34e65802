"""Placement of an accepted job: in the local queue, or at another entry host."""

from jackdawspur.dispatch._answers import abort_job
from jackdawspur.dispatch._delegate import delegate_job
from jackdawspur.dispatch._job import Job
from jackdawspur.dispatch._loads import ASSUMED_TASK_MS
from jackdawspur.dispatch._state import State
from jackdawspur.model import Customer
from jackdawspur.scheduling import (
    Admit,
    LocalLoad,
    QueuedJob,
    Refuse,
)

__all__ = ["enqueue"]

UNKNOWN_WAIT_MS = float("inf")
# Factor on the work ahead of a job, since more urgent later jobs start before it.
OVERTAKING_FACTOR = 4.0
# Bound on the work of other hosts counted as ahead of a job, as a multiple of its own.
MAX_REMOTE_AHEAD_FACTOR = 20.0
# Fraction of the work waiting at other hosts that counts as ahead of a job when no
# local work waits.
DEFAULT_AHEAD_FRACTION = 0.5


def enqueue(state: State, job: Job, now: float) -> None:
    """Queue a job on this host, delegate it to a less busy one, or refuse it."""
    request = job.request
    customer = state.customers[request.customer]
    estimates = state.run_times.estimates_ms(
        request.customer, request.job_class, request.tasks
    )
    job.queued = _to_queued_job(job, customer, estimates)
    load = _local_load(state, job.queued, now)
    verdict = state.admission.evaluate(request, estimates, customer, load)
    if _delegate_if_sooner(state, job, customer, estimates, verdict, now):
        return
    if isinstance(verdict, Refuse):
        retry = verdict.retry_after_ms
        abort_job(state, job, verdict.code, verdict.message, now, retry)
        return
    state.queue.add(job.queued)
    state.limits.queued(job.customer, len(job.request.tasks))


def _to_queued_job(
    job: Job, customer: Customer, estimates: tuple[float, ...]
) -> QueuedJob:
    return QueuedJob(
        job.submission,
        job.customer,
        job.request.tasks,
        estimates,
        job.arrived,
        job.deadline,
        customer.contract,
    )


def _delegate_if_sooner(
    state: State,
    job: Job,
    customer: Customer,
    estimates: tuple[float, ...],
    verdict: Admit | Refuse,
    now: float,
) -> bool:
    """Delegate the job if another host would serve it clearly sooner.

    A job is delegated only once. Otherwise hosts with outdated loads of each other
    could delegate it in a circle.
    """
    if job.origin is not None or job.no_delegation:
        return False
    refused = isinstance(verdict, Refuse)
    wait = UNKNOWN_WAIT_MS if refused else verdict.wait_ms
    objective = customer.contract.objective
    target = state.peer_selector.choose(estimates, wait, refused, objective, now)
    if target is None or not state.view.is_live(target.host):
        return False
    delegate_job(state, job, target.host, now)
    return True


def _local_load(state: State, job: QueuedJob, now: float) -> LocalLoad:
    """Return the slots available to a job, and the work that starts before it."""
    queue = state.queue
    weight = queue.weight(job.customer)
    competing = queue.active_weight()
    if not queue.waiting(job.customer):
        competing += weight
    ahead_ms = queue.ahead_ms(job)
    backlog_ms = queue.backlog_ms()
    fraction = ahead_ms / backlog_ms if backlog_ms else DEFAULT_AHEAD_FRACTION
    # Work waiting at other hosts is assumed to be as urgent as the local work.
    waiting = state.remote_waiting_tasks()
    # A few large jobs can make up most of the waiting work; small jobs start first.
    max_ms = MAX_REMOTE_AHEAD_FACTOR * sum(job.estimates_ms)
    remote_ms = min(fraction * waiting * ASSUMED_TASK_MS, max_ms)
    ahead_ms += remote_ms
    fair_share = weight / competing
    customer_ms = queue.ahead_ms(job, job.customer)
    customer_ms += fair_share * remote_ms
    return LocalLoad(
        slots=state.total_slots(),
        free_slots=state.slots.free(now) + sum(state.spare_slots(now).values()),
        waiting_tasks=queue.waiting() + waiting,
        backlog_ms=OVERTAKING_FACTOR * ahead_ms,
        customer_backlog_ms=OVERTAKING_FACTOR * customer_ms,
        customer_slots=state.quotas.share(job.customer, now),
        fair_share=fair_share,
    )
