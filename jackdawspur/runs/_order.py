"""Order in which waiting jobs get capacity, and when a job is given up."""

from enum import IntEnum

from jackdawspur.runs._job import Job

__all__ = [
    "Timeliness",
    "due_start",
    "latest_start",
    "may_be_on_time",
    "objective",
    "order_key",
    "spare_s",
    "timeliness",
    "useful_until",
]

MS_PER_S = 1000.0
# Time that answers take from here to their callers, as do requests on their way here: a
# few milliseconds each way, and a pass of the loop on two hosts.
NETWORK_LATENCY_S = 0.014
# By the contract, an answer later than this many times its objective is worthless.
LATE_FACTOR = 3.0
# Tasks may well take this many times as long as expected: a job that has plenty of time
# to its objective but little to its caller's limit must not wait until the last moment.
REMAINING_SAFETY_FACTOR = 1.6
# A new job that would not end in time if it took this many times as long as expected is
# placed after the others: if it misses its deadline, it has used their capacity for
# nothing.
START_SAFETY_FACTOR = 1.15
# A job that found no capacity is refused once it would be too late even if it took only
# this fraction of the expected time: estimates are off by a third, and the progress of
# its runs soon gives a reliable answer.
MIN_DURATION_FACTOR = 0.7


class Timeliness(IntEnum):
    """Best outcome that a job can still reach; lower values are served first."""

    ON_TIME = 0
    LATE = 1
    HOPELESS = 2


def objective(job: Job) -> float:
    """Return when a job's answer must leave to be on time."""
    return job.offer.arrived + _objective_s(job) - NETWORK_LATENCY_S


def useful_until(job: Job) -> float:
    """Return when a job's answer must leave to be worth anything."""
    late = job.offer.arrived + LATE_FACTOR * _objective_s(job) - NETWORK_LATENCY_S
    return min(late, job.offer.deadline)


def timeliness(job: Job, now: float) -> Timeliness:
    """Return the best outcome that a job can reach if its tasks start now."""
    left_s = job.remaining_ms() / MS_PER_S
    if now + left_s * (1.0 if job.started else START_SAFETY_FACTOR) > useful_until(job):
        return Timeliness.HOPELESS
    return Timeliness.ON_TIME if now + left_s <= objective(job) else Timeliness.LATE


def latest_start(job: Job) -> float:
    """Return when a new job must have started to have a chance to be in time."""
    return useful_until(job) - MIN_DURATION_FACTOR * job.remaining_ms() / MS_PER_S


def may_be_on_time(job: Job, now: float) -> bool:
    """Return whether a job would be on time if it took less long than expected."""
    return now <= _last_on_time_start(job)


def due_start(job: Job, now: float) -> float:
    """Return when a new job must start for the outcome that it should still reach.

    That is to be on time, or also to be late if late jobs do not yield to others.
    """
    on_time = objective(job) - job.remaining_ms() / MS_PER_S
    if now <= on_time or job.yields_when_late:
        return on_time
    last_on_time = _last_on_time_start(job)
    return last_on_time if now <= last_on_time else latest_start(job)


def _last_on_time_start(job: Job) -> float:
    return objective(job) - MIN_DURATION_FACTOR * job.remaining_ms() / MS_PER_S


def spare_s(job: Job, now: float) -> float:
    """Return how long a job can wait, even if it takes longer than expected."""
    return (
        useful_until(job)
        - now
        - REMAINING_SAFETY_FACTOR * job.remaining_ms() / MS_PER_S
    )


def order_key(job: Job, now: float) -> tuple[bool, bool, bool, int, float]:
    """Return the sort key of a job; the lowest one is served first.

    Started jobs go before new ones: a half-finished job that waits wastes what it has
    used. Jobs that load shedding does not admit go last. Then jobs that can still meet
    their objective go before those that can't, and among them the one with the least
    spare time; less urgent priorities give way to more urgent ones by `give_way_s`.
    Late jobs that do not yield go by their spare time until they would be worthless.
    """
    left_s = job.remaining_ms() / MS_PER_S
    spare = useful_until(job) - REMAINING_SAFETY_FACTOR * left_s
    best = timeliness(job, now)
    if job.yields_when_late or may_be_on_time(job, now):
        spare = min(spare, objective(job) - left_s)
    if best is Timeliness.LATE and not job.yields_when_late:
        best = Timeliness.ON_TIME
    return (
        not job.goes_first,
        job.is_shed,
        job.deferred,
        best,
        spare + job.give_way_s,
    )


def _objective_s(job: Job) -> float:
    route = job.request.route
    return (route.stretch * job.critical_path_ms + route.margin_ms) / MS_PER_S
