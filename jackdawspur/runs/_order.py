"""In which order waiting jobs get room, and when one is given up."""

from enum import IntEnum

from jackdawspur.runs._job import Job

__all__ = [
    "Standing",
    "latest_start",
    "objective",
    "order_key",
    "spare_s",
    "standing",
    "useful_until",
]

MS_PER_S = 1000.0
# Answers take this long from here to their callers and requests as long to get here:
# a few milliseconds each way, and a pass of the loop on two hosts.
NETWORK_LATENCY_S = 0.014
# The contract: an answer later than this many times its objective is worth nothing.
LATE_FACTOR = 3.0
# Tasks may well take this much longer than expected: one that has plenty of time to its
# objective but little to its caller's limit must not wait until the last moment.
REMAINING_SAFETY_FACTOR = 1.6
# A job that would not end in time if it took this much longer than expected goes after
# the others: one begun in vain takes room from them.
START_SAFETY_FACTOR = 1.15
# A job that found no room is refused once it would be too late even if it took only
# this share of what is expected: estimates are off by a third, and the progress of its
# runs tells soon and surely.
MIN_DURATION_FACTOR = 0.7


class Standing(IntEnum):
    """Say what a job can still be, lower ones are served first."""

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


def standing(job: Job, now: float) -> Standing:
    """Tell what the job can still be when its tasks start now."""
    left_s = job.left_ms() / MS_PER_S
    if now + left_s * (1.0 if job.started else START_SAFETY_FACTOR) > useful_until(job):
        return Standing.HOPELESS
    return Standing.ON_TIME if now + left_s <= objective(job) else Standing.LATE


def latest_start(job: Job) -> float:
    """Return when a new job must have started to have a chance to be in time."""
    return useful_until(job) - MIN_DURATION_FACTOR * job.left_ms() / MS_PER_S


def spare_s(job: Job, now: float) -> float:
    """Return how long a job can wait, though it may take longer than expected."""
    return useful_until(job) - now - REMAINING_SAFETY_FACTOR * job.left_ms() / MS_PER_S


def order_key(job: Job, now: float) -> tuple[bool, bool, int, float]:
    """Return the key whose lowest is served first.

    Jobs under way go before new ones: a job half done that waits wastes what it has
    used. Then jobs that still make their objective go before those that don't, the
    one with the least time to spare first.
    """
    left_s = job.left_ms() / MS_PER_S
    spare = min(
        objective(job) - left_s, useful_until(job) - REMAINING_SAFETY_FACTOR * left_s
    )
    return (not job.started, job.deferred, standing(job, now), spare)


def _objective_s(job: Job) -> float:
    route = job.request.route
    return (route.stretch * job.critical_path_ms + route.margin_ms) / MS_PER_S
