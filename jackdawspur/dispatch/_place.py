"""Where an admitted job waits: here, or whole at another entry host."""

from jackdawspur.dispatch._answers import give_up
from jackdawspur.dispatch._delegate import delegate_job
from jackdawspur.dispatch._job import Job
from jackdawspur.dispatch._state import State
from jackdawspur.model import Customer
from jackdawspur.scheduling import (
    Admit,
    LocalLoad,
    QueuedJob,
    Refuse,
)

__all__ = ["enqueue"]

NO_WAIT_KNOWN_MS = float("inf")


def enqueue(state: State, job: Job, now: float) -> None:
    """Queue a job here, hand it to a host that is less busy, or refuse it."""
    request = job.request
    customer = state.customers[request.customer]
    estimates = state.run_times.estimates_ms(
        request.customer, request.job_class, request.tasks
    )
    load = _load(state, customer, now)
    verdict = state.admission.judge(request, estimates, customer, load)
    if _moved(state, job, customer, estimates, verdict, now):
        return
    if isinstance(verdict, Refuse):
        retry = verdict.retry_after_ms
        give_up(state, job, verdict.code, verdict.message, now, retry)
        return
    _queue(state, job, customer, estimates)


def _queue(
    state: State, job: Job, customer: Customer, estimates: tuple[float, ...]
) -> None:
    job.queued = QueuedJob(
        job.submission,
        job.customer,
        job.request.tasks,
        estimates,
        job.arrived,
        job.deadline,
        customer.contract,
    )
    state.queue.add(job.queued)
    state.limits.queued(job.customer, len(job.request.tasks))


def _moved(
    state: State,
    job: Job,
    customer: Customer,
    estimates: tuple[float, ...],
    verdict: Admit | Refuse,
    now: float,
) -> bool:
    """Hand the job over if another host serves it clearly sooner.

    A job moves once: hosts that act on the same old loads would pass it round.
    """
    if job.origin is not None or job.no_delegation:
        return False
    refused = isinstance(verdict, Refuse)
    wait = NO_WAIT_KNOWN_MS if refused else verdict.wait_ms
    objective = customer.contract.objective
    move = state.elsewhere.choose(estimates, wait, refused, objective, now)
    if move is None or not state.view.is_live(move.host):
        return False
    delegate_job(state, job, move.host, now)
    return True


def _load(state: State, customer: Customer, now: float) -> LocalLoad:
    queue = state.queue
    weight = queue.weight(customer.name)
    competing = queue.active_weight()
    if not queue.waiting(customer.name):
        competing += weight
    spare = sum(state.spare(now).values())
    return LocalLoad(
        slots=state.slots.capacity() + spare,
        free_slots=state.slots.free(now) + spare,
        waiting_tasks=queue.waiting(),
        backlog_ms=queue.backlog_ms(),
        own_backlog_ms=queue.backlog_ms(customer.name),
        own_slots=state.quotas.share(customer.name, now),
        fair_part=weight / competing,
    )
