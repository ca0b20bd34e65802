"""What is known of one upstream."""

import enum
from dataclasses import dataclass, field

from jackdawspur.health._limits import RAMP_LIMIT, SMOOTHING
from jackdawspur.model import HostId, SubmissionId

__all__ = ["Condition", "FailedJob", "Record"]


class Condition(enum.StrEnum):
    """Tell how far an upstream is trusted."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    RETURNING = "returning"


@dataclass(frozen=True, slots=True)
class FailedJob:
    """Name a job that failed on an upstream, and its class."""

    submission: SubmissionId
    job_class: str


@dataclass(slots=True)
class Record:
    """Keep the evidence on one upstream.

    `times_ejected` counts since it last proved healthy; each doubles the wait.
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
    pace: float = 1.0
    reports: dict[HostId, float] = field(default_factory=dict)

    def observe(self, ratio: float) -> None:
        """Fold in the run time of a task over the time expected of it."""
        self.samples += 1
        self.pace += SMOOTHING * (ratio - self.pace)
