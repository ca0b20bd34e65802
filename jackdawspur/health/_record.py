"""The health record of one upstream."""

import enum
from dataclasses import dataclass, field

from jackdawspur.health._limits import RAMP_LIMIT, SLOWDOWN_SMOOTHING
from jackdawspur.model import HostId, SubmissionId

__all__ = ["Condition", "FailedJob", "Record"]


class Condition(enum.StrEnum):
    """Health of an upstream, which limits the number of tasks that it may run."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    RETURNING = "returning"


@dataclass(frozen=True, slots=True)
class FailedJob:
    """A job that failed on an upstream, with its class."""

    submission: SubmissionId
    job_class: str


@dataclass(slots=True)
class Record:
    """Counts and times that describe the health of one upstream.

    `ramp` is the limit on running tasks after readmission, and `reports` has the time
    of the last report by each peer that finds the upstream unhealthy. `times_ejected`
    counts ejections since the upstream was last healthy; each doubles the time until
    the next probe.
    """

    running: int = 0
    failed: dict[FailedJob, None] = field(default_factory=dict)
    lost: int = 0
    failed_at: float = float("-inf")
    ejected: bool = False
    probe_at: float = 0.0
    times_ejected: int = 0
    ramp: int = RAMP_LIMIT
    samples: int = 0
    slowdown: float = 1.0
    reports: dict[HostId, float] = field(default_factory=dict)

    def observe(self, ratio: float) -> None:
        """Update the slowdown with a task's run time divided by the expected one."""
        self.samples += 1
        self.slowdown += SLOWDOWN_SMOOTHING * (ratio - self.slowdown)
