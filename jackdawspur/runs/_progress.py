"""What the progress of running tasks says of their ends."""

from dataclasses import dataclass
from enum import Enum

from jackdawspur.leases import Run
from jackdawspur.runs._job import Job
from jackdawspur.runs._order import objective, useful_until

__all__ = [
    "LEAST_PERCENT",
    "Projection",
    "Verdict",
    "ends_in_time_anew",
    "judge",
    "may_be_late",
    "project",
]

MS_PER_S = 1000.0
# Progress is told in whole percent: below this it says too little to project from.
LEAST_PERCENT = 8.0
# A run with less tells something too after this share of its expected time.
STALLED_SHARE = 0.5
# Whole percent are cut off, half of one on average.
CUT_OFF = 0.5
# A projected end is believed when it is beyond the limit by this share and by the share
# that one percent is of the progress so far.
BEYOND = 0.02
# A run is given up for a new one elsewhere only if that would take less than half.
WORTH_RESTART = 2.0
# Until a stop is acknowledged and the next run has begun.
RESTART_S = 0.03


class Verdict(Enum):
    """Say what to do with a run under way."""

    GO_ON = "go on"
    RESTART = "restart"
    GIVE_UP = "give up"


@dataclass(frozen=True, slots=True)
class Projection:
    """Tell how long a run takes in all, in seconds, and when it ends."""

    whole_s: float
    end: float


def project(run: Run, expected_ms: float) -> Projection | None:
    """Return what a run's progress says of its end, None while it says too little.

    Only reports count: an upstream that is silent may still be working. A run that
    another leading host started is known since it was found, with some of it done.
    """
    passed = run.reported_at - run.since
    gained = run.percent - run.initial_percent
    stalled = passed * MS_PER_S > STALLED_SHARE * expected_ms
    if passed <= 0 or (gained < LEAST_PERCENT and not stalled):
        return None
    second_a_percent = passed / (gained + CUT_OFF)
    left_s = (100.0 - run.percent) * second_a_percent
    return Projection(100.0 * second_a_percent, run.reported_at + left_s)


def may_be_late(run: Run, job: Job, expected_ms: float) -> bool:
    """Tell whether a run ends too late if its progress is believed as it is."""
    projected = project(run, expected_ms)
    return projected is not None and projected.end > useful_until(job)


def ends_in_time_anew(
    run: Run, job: Job, expected_ms: float, faster: float, now: float
) -> bool:
    """Tell whether a run would be in time if it began anew on a faster upstream.

    `faster` is the share of its time that it takes there.
    """
    projected = project(run, expected_ms)
    if projected is None:
        return False
    return now + RESTART_S + projected.whole_s * faster <= useful_until(job)


def judge(run: Run, job: Job, expected_ms: float, restarts: int, now: float) -> Verdict:
    """Tell whether a run should go on, start again elsewhere, or end its job.

    A job that can't end in time is given up at once: its caller can turn elsewhere,
    and its room goes to jobs that can.
    """
    projected = project(run, expected_ms)
    if projected is None:
        return Verdict.GO_ON
    elsewhere_s = expected_ms / MS_PER_S
    elsewhere_end = now + RESTART_S + elsewhere_s
    slower = projected.whole_s > WORTH_RESTART * elsewhere_s and not restarts
    for limit in (objective(job), useful_until(job)):
        if slower and _misses(projected, run, limit) and elsewhere_end < limit:
            return Verdict.RESTART
    if _misses(projected, run, useful_until(job)):
        return Verdict.GIVE_UP
    return Verdict.GO_ON


def _misses(projected: Projection, run: Run, limit: float) -> bool:
    doubt = BEYOND + 1.0 / max(1.0, run.percent - run.initial_percent)
    return run.since + (projected.end - run.since) / (1.0 + doubt) > limit
