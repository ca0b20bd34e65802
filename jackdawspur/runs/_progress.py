"""What the progress of running tasks says of their ends."""

from dataclasses import dataclass
from enum import Enum

from jackdawspur.leases import Run
from jackdawspur.runs._job import Job
from jackdawspur.runs._order import objective, useful_until

__all__ = [
    "MIN_PERCENT",
    "Projection",
    "Verdict",
    "restart_meets_deadline",
    "judge",
    "may_be_late",
    "project",
]

MS_PER_S = 1000.0
# Progress is told in whole percent: below this it says too little to project from.
MIN_PERCENT = 8.0
# A run with less tells something too after this share of its expected time.
STALLED_FRACTION = 0.5
# Whole percent are cut off, half of one on average.
ROUNDING_PERCENT = 0.5
# A projected end is believed when it is beyond the limit by this share and by the share
# that one percent is of the progress so far.
PROJECTION_MARGIN = 0.02
# A run is given up for a new one elsewhere only if that would take less than half.
RESTART_FACTOR = 2.0
# Until a stop is acknowledged and the next run has begun.
RESTART_DELAY_S = 0.03


class Verdict(Enum):
    """Say what to do with a run under way."""

    GO_ON = "go on"
    RESTART = "restart"
    GIVE_UP = "give up"


@dataclass(frozen=True, slots=True)
class Projection:
    """Tell how long a run takes in all, in seconds, and when it ends."""

    total_s: float
    end: float


def project(run: Run, expected_ms: float) -> Projection | None:
    """Return what a run's progress says of its end, None while it says too little.

    Only reports count: an upstream that is silent may still be working. A run that
    another leading host started is known since it was found, with some of it done.
    """
    elapsed_s = run.reported_at - run.since
    capacity_freed = run.percent - run.initial_percent
    stalled = elapsed_s * MS_PER_S > STALLED_FRACTION * expected_ms
    if elapsed_s <= 0 or (capacity_freed < MIN_PERCENT and not stalled):
        return None
    s_per_percent = elapsed_s / (capacity_freed + ROUNDING_PERCENT)
    left_s = (100.0 - run.percent) * s_per_percent
    return Projection(100.0 * s_per_percent, run.reported_at + left_s)


def may_be_late(run: Run, job: Job, expected_ms: float) -> bool:
    """Tell whether a run ends too late if its progress is believed as it is."""
    projected = project(run, expected_ms)
    return projected is not None and projected.end > useful_until(job)


def restart_meets_deadline(
    run: Run, job: Job, expected_ms: float, time_ratio: float, now: float
) -> bool:
    """Tell whether a run would be in time if it began anew on a faster upstream.

    `time_ratio` is the share of its time that it takes there.
    """
    projected = project(run, expected_ms)
    if projected is None:
        return False
    return now + RESTART_DELAY_S + projected.total_s * time_ratio <= useful_until(job)


def judge(run: Run, job: Job, expected_ms: float, restarts: int, now: float) -> Verdict:
    """Tell whether a run should go on, start again elsewhere, or end its job.

    A job that can't end in time is given up at once: its caller can turn elsewhere,
    and its room goes to jobs that can.
    """
    projected = project(run, expected_ms)
    if projected is None:
        return Verdict.GO_ON
    restart_run_s = expected_ms / MS_PER_S
    restart_end = now + RESTART_DELAY_S + restart_run_s
    slower = projected.total_s > RESTART_FACTOR * restart_run_s and not restarts
    for limit in (objective(job), useful_until(job)):
        if slower and _exceeds(projected, run, limit) and restart_end < limit:
            return Verdict.RESTART
    if _exceeds(projected, run, useful_until(job)):
        return Verdict.GIVE_UP
    return Verdict.GO_ON


def _exceeds(projected: Projection, run: Run, limit: float) -> bool:
    margin = PROJECTION_MARGIN + 1.0 / max(1.0, run.percent - run.initial_percent)
    return run.since + (projected.end - run.since) / (1.0 + margin) > limit
