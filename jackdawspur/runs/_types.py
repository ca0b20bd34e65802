"""Jobs, offers and outcomes that hosts send to each other."""

from dataclasses import dataclass
from enum import Enum

from jackdawspur.leases import Resources

__all__ = [
    "JobEnd",
    "JobOutcome",
    "JobRequest",
    "JobStep",
    "JobTiming",
    "Offer",
    "Progress",
    "Route",
    "TaskFailureCounts",
]

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class Route:
    """How the jobs of one queue are run; times in milliseconds.

    A job is on time if it ends within `stretch` times its critical path plus
    `margin_ms` after its arrival. A task that failed `max_attempts` times fails its
    job. `timeout_ms`, None if not given, is the timeout of callers that state none.
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
        """Return the timeout in seconds."""
        return None if self.timeout_ms is None else self.timeout_ms / MS_PER_S


@dataclass(frozen=True, slots=True)
class JobStep:
    """A number of equal tasks; `after` lists the steps that must be done first.

    Upstreams must have the label `label`, and those with the label `near` are
    preferred. `most_per_upstream` limits the tasks of the step that one upstream runs
    at the same time; zero means no limit.
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
    """A request to run all tasks of one job."""

    id: str
    spec: str
    steps: tuple[JobStep, ...]
    route: Route


@dataclass(frozen=True, slots=True)
class TaskFailureCounts:
    """How often a task failed, and how many upstreams crashed while they ran it."""

    task: str
    failures: int
    crashes: int


@dataclass(frozen=True, slots=True)
class Progress:
    """State of a job's tasks for the next leader: done tasks, and failure counts."""

    done: tuple[str, ...] = ()
    troubles: tuple[TaskFailureCounts, ...] = ()


@dataclass(frozen=True, slots=True)
class Offer:
    """A job and the caller that waits for it; times are on the leader's clock, in s.

    `call` identifies the waiting request on `host`. `handovers` counts earlier
    handovers, and `progress` is the state of the job's tasks after them.
    `from_other_group` tells whether the host belongs to another group. `attempt` counts
    the offers of the job. `zone` is the host's zone; `all_zones` tells whether an
    earlier leader could run the job on upstreams of other zones too, and `outranked`
    whether one had a higher fence.
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
    """How a job ended for its caller."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"
    OUT_OF_TIME = "out_of_time"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class JobTiming:
    """Times since a job's arrival in milliseconds, by the clock of the leader.

    The job reached the leader, its first and last initial task were started, and it
    ended. Starts by earlier leaders are not known.
    """

    reached_ms: int
    first_start_ms: int | None
    last_start_ms: int | None
    ended_ms: int


@dataclass(frozen=True, slots=True)
class JobOutcome:
    """Outcome of a job for its caller; `not_run` is true if no task was started.

    `retry_after_s` is the wait before a retry, zero if a retry makes no sense.
    `timing` is missing if no leader ended the job.
    """

    end: JobEnd
    not_run: bool
    retry_after_s: float = 0.0
    reason: str = ""
    timing: JobTiming | None = None
