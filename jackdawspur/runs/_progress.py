"""Projection of when running tasks end, from their progress."""

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
# Progress is reported in whole percent: below this it is too little to project from.
MIN_PERCENT = 8.0
# After this fraction of its expected time, a run with less progress is projected too.
STALLED_FRACTION = 0.5
# Reported progress is truncated to whole percent, by half of one on average.
ROUNDING_PERCENT = 0.5
# A projected end counts as late when it exceeds the limit by this fraction plus the
# fraction that one percent is of the progress so far.
PROJECTION_MARGIN = 0.02
# `judge` has a run restarted elsewhere only if the new one would take less than half
# as long.
RESTART_FACTOR = 2.0
# Time until a stop is acknowledged and the next run has started.
RESTART_DELAY_S = 0.03


class Verdict(Enum):
    """What to do with a run in progress."""

    GO_ON = "go on"
    RESTART = "restart"
    GIVE_UP = "give up"


@dataclass(frozen=True, slots=True)
class Projection:
    """Total duration of a run in seconds, and its end."""

    total_s: float
    end: float


def project(run: Run, expected_ms: float) -> Projection | None:
    """Return the projected end of a run, None while its progress shows too little.

    Only reports count: an unresponsive upstream may still be working. A run that
    another leader started is known only since it was found, when part of it was done.
    """
    elapsed_s = run.reported_at - run.since
    gained_percent = run.percent - run.initial_percent
    stalled = elapsed_s * MS_PER_S > STALLED_FRACTION * expected_ms
    if elapsed_s <= 0 or (gained_percent < MIN_PERCENT and not stalled):
        return None
    s_per_percent = elapsed_s / (gained_percent + ROUNDING_PERCENT)
    left_s = (100.0 - run.percent) * s_per_percent
    return Projection(100.0 * s_per_percent, run.reported_at + left_s)


def may_be_late(run: Run, job: Job, expected_ms: float) -> bool:
    """Return whether the projected end of a run, without a margin, is too late."""
    projected = project(run, expected_ms)
    return projected is not None and projected.end > useful_until(job)


def restart_meets_deadline(
    run: Run, job: Job, expected_ms: float, time_ratio: float, now: float
) -> bool:
    """Return whether a run would be in time if restarted on a faster upstream.

    `time_ratio` is the fraction of its present time that the run takes there.
    """
    projected = project(run, expected_ms)
    if projected is None:
        return False
    return now + RESTART_DELAY_S + projected.total_s * time_ratio <= useful_until(job)


def judge(run: Run, job: Job, expected_ms: float, restarts: int, now: float) -> Verdict:
    """Return whether a run should continue, restart elsewhere, or be given up.

    A job that can't end in time is given up at once: its caller can retry elsewhere,
    and its capacity is used for jobs that can.
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
