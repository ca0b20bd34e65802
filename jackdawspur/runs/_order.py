"""In which order waiting jobs get room, and when one is given up."""

from jackdawspur.runs._job import Job

__all__ = ["HOPELESS_S", "Standing", "last_start", "objective", "order_key", "standing"]

from enum import IntEnum

MS_PER_S = 1000.0
# Answers take this long from here to their callers and requests as long to get here:
# a few milliseconds each way, and a pass of the loop on two hosts.
TRAVEL_S = 0.014
# A task that starts later than this before its deadline can't be answered in time.
HOPELESS_S = 0.010


class Standing(IntEnum):
    """Say what a job can still be, lower ones are served first."""

    ON_TIME = 0
    LATE = 1
    HOPELESS = 2


def objective(job: Job) -> float:
    """Return when a job's answer must leave to be on time."""
    route = job.request.route
    longest = _chain_ms(job)
    aimed_ms = route.stretch * longest + route.margin_ms
    return job.offer.arrived + aimed_ms / MS_PER_S - TRAVEL_S


def last_start(job: Job) -> float:
    """Return the last moment at which its tasks can start to be on time."""
    return objective(job) - job.left_ms() / MS_PER_S


def standing(job: Job, now: float) -> Standing:
    """Tell what the job can still be when its tasks start now."""
    end = now + job.left_ms() / MS_PER_S
    if end > job.offer.deadline - HOPELESS_S:
        return Standing.HOPELESS
    return Standing.ON_TIME if end <= objective(job) else Standing.LATE


def order_key(job: Job, now: float) -> tuple[int, int, float]:
    """Return the key whose lowest is served first.

    Jobs that still make their objective go before those that don't, jobs under way
    before new ones: a job half done that waits wastes what it has used.
    """
    return (standing(job, now), not job.started, last_start(job))


def _chain_ms(job: Job) -> float:
    chain: list[float] = []
    for number, step in enumerate(job.request.steps):
        before = max((chain[n] for n in step.after), default=0.0)
        chain.append(before + job.expected_ms[number])
    return max(chain)
