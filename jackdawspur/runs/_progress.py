"""What the progress of running tasks says of their ends."""

from dataclasses import dataclass
from enum import Enum

from jackdawspur.leases import Run
from jackdawspur.runs._job import Job
from jackdawspur.runs._order import objective, useful_until

__all__ = ["Verdict", "judge", "projected_s"]

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
class _Ends:
    here: float
    elsewhere: float


def projected_s(run: Run, expected_ms: float) -> float | None:
    """Return how long the run will take in all, None while that can't be told.

    Only reports count: an upstream that is silent may still be working.
    """
    passed = run.reported_at - run.since
    stalled = passed * MS_PER_S > STALLED_SHARE * expected_ms
    if run.percent < LEAST_PERCENT and not stalled:
        return None
    return passed * 100.0 / (run.percent + CUT_OFF)


def judge(run: Run, job: Job, expected_ms: float, restarts: int, now: float) -> Verdict:
    """Tell whether a run should go on, start again elsewhere, or end its job.

    A job that can't end in time is given up at once: its caller can turn elsewhere,
    and its room goes to jobs that can.
    """
    whole_s = projected_s(run, expected_ms)
    if whole_s is None:
        return Verdict.GO_ON
    elsewhere_s = expected_ms / MS_PER_S
    ends = _Ends(run.since + whole_s, now + RESTART_S + elsewhere_s)
    slower = whole_s > WORTH_RESTART * elsewhere_s and not restarts
    for limit in (objective(job), useful_until(job)):
        if _misses(ends.here, run, limit) and ends.elsewhere < limit and slower:
            return Verdict.RESTART
    if _misses(ends.here, run, useful_until(job)):
        return Verdict.GIVE_UP
    return Verdict.GO_ON


def _misses(end: float, run: Run, limit: float) -> bool:
    doubt = BEYOND + 1.0 / max(1.0, run.percent)
    return run.since + (end - run.since) / (1.0 + doubt) > limit
