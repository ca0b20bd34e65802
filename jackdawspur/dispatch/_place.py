"""Where an admitted job waits: here, or whole at another entry host."""

from jackdawspur.dispatch._answers import give_up
from jackdawspur.dispatch._delegate import delegate_job
from jackdawspur.dispatch._job import Job
from jackdawspur.dispatch._loads import TASK_GUESS_MS
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
# Later jobs that are more urgent start first, so work ahead counts this much.
OVERTAKING = 4.0
# Work elsewhere that counts as ahead of a job, at most, as a multiple of its own.
MOST_AHEAD = 20.0
# Part of what waits elsewhere that is ahead of a job when nothing waits here.
UNKNOWN_PART = 0.5


def enqueue(state: State, job: Job, now: float) -> None:
    """Queue a job here, hand it to a host that is less busy, or refuse it."""
    request = job.request
    customer = state.customers[request.customer]
    estimates = state.run_times.estimates_ms(
        request.customer, request.job_class, request.tasks
    )
    job.queued = _queued(job, customer, estimates)
    load = _load(state, job.queued, now)
    verdict = state.admission.evaluate(request, estimates, customer, load)
    if _moved(state, job, customer, estimates, verdict, now):
        return
    if isinstance(verdict, Refuse):
        retry = verdict.retry_after_ms
        give_up(state, job, verdict.code, verdict.message, now, retry)
        return
    state.queue.add(job.queued)
    state.limits.queued(job.customer, len(job.request.tasks))


def _queued(job: Job, customer: Customer, estimates: tuple[float, ...]) -> QueuedJob:
    return QueuedJob(
        job.submission,
        job.customer,
        job.request.tasks,
        estimates,
        job.arrived,
        job.deadline,
        customer.contract,
    )


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
    move = state.peer_selector.choose(estimates, wait, refused, objective, now)
    if move is None or not state.view.is_live(move.host):
        return False
    delegate_job(state, job, move.host, now)
    return True


def _load(state: State, job: QueuedJob, now: float) -> LocalLoad:
    """Describe the slots that a job may meet, and the work that starts before it."""
    queue = state.queue
    weight = queue.weight(job.customer)
    competing = queue.active_weight()
    if not queue.waiting(job.customer):
        competing += weight
    ahead_ms = queue.ahead_ms(job)
    backlog_ms = queue.backlog_ms()
    part = ahead_ms / backlog_ms if backlog_ms else UNKNOWN_PART
    # What waits elsewhere is taken to be as urgent as what waits here.
    waiting = state.waiting_elsewhere()
    # Few large jobs can make up most of what waits, and they come after small ones.
    most_ms = MOST_AHEAD * sum(job.estimates_ms)
    elsewhere_ms = min(part * waiting * TASK_GUESS_MS, most_ms)
    ahead_ms += elsewhere_ms
    fair_share = weight / competing
    own_ms = queue.ahead_ms(job, job.customer)
    own_ms += fair_share * elsewhere_ms
    return LocalLoad(
        slots=state.pool_slots(),
        free_slots=state.slots.free(now) + sum(state.spare(now).values()),
        waiting_tasks=queue.waiting() + waiting,
        backlog_ms=OVERTAKING * ahead_ms,
        customer_backlog_ms=OVERTAKING * own_ms,
        customer_slots=state.quotas.share(job.customer, now),
        fair_share=fair_share,
    )
