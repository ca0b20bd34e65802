"""Jobs as hosts hand them to each other."""

from dataclasses import dataclass
from enum import Enum

from jackdawspur.leases import Resources

__all__ = [
    "JobEnd",
    "JobOutcome",
    "JobRequest",
    "JobStep",
    "Offer",
    "Progress",
    "Route",
    "TaskFailureCounts",
]

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class Route:
    """Say how the jobs of one queue are to be run; times in milliseconds.

    A job is on time within `stretch` times its longest chain of work and `margin_ms`
    more. A task that failed `max_attempts` times fails its job. `timeout_ms`, None if
    not stated, is how long callers wait that say nothing themselves.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: float | None
    margin_ms: float
    stretch: float
    priority: int
    max_attempts: int

    @property
    def timeout_s(self) -> float | None:
        """Return the time-out in seconds."""
        return None if self.timeout_ms is None else self.timeout_ms / MS_PER_S


@dataclass(frozen=True, slots=True)
class JobStep:
    """Describe equal tasks; `after` are numbers of steps that must be done first.

    `label` must be one of the upstream's, `near` is a label that it had better have.
    `most_per_upstream` zero sets no bound.
    """

    count: int
    resources: Resources
    estimate_ms: float
    after: tuple[int, ...] = ()
    label: str = ""
    near: str = ""
    most_per_upstream: int = 0


@dataclass(frozen=True, slots=True)
class JobRequest:
    """Ask for all tasks of one job to run."""

    id: str
    spec: str
    steps: tuple[JobStep, ...]
    route: Route


@dataclass(frozen=True, slots=True)
class TaskFailureCounts:
    """Count how often a task failed, and the upstreams that crashed under it."""

    task: str
    failures: int
    crashes: int


@dataclass(frozen=True, slots=True)
class Progress:
    """Tell what the next leading host must know of a job's tasks."""

    done: tuple[str, ...] = ()
    troubles: tuple[TaskFailureCounts, ...] = ()


@dataclass(frozen=True, slots=True)
class Offer:
    """Carry a job and who waits for it; times in seconds of the leading host's clock.

    `call` names the waiting request on `host`. `handovers` counts earlier hand-overs
    and `progress` is what became of its tasks under them. `from_other_group` tells that
    the host belongs to another group. `attempt` counts the offers of the job. `zone` is
    the host's; `all_zones` tells that an earlier leading host could run the job on
    upstreams of others too, `outranked` that one had a higher fence.
    """

    request: JobRequest
    host: str
    call: int
    arrived: float
    deadline: float
    handovers: int = 0
    progress: Progress = Progress()
    from_other_group: bool = False
    attempt: int = 0
    zone: str = ""
    all_zones: bool = False
    outranked: bool = False


class JobEnd(Enum):
    """Say how a job ended for its caller."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"
    OUT_OF_TIME = "out_of_time"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class JobOutcome:
    """Tell a caller the end; `not_run` says that no task was started.

    `retry_after_s` is when to ask again, zero where that makes no sense.
    """

    end: JobEnd
    not_run: bool
    retry_after_s: float = 0.0
    reason: str = ""
