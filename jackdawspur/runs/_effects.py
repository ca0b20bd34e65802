"""Effects that the dispatcher requests, and records of its decisions."""

from dataclasses import dataclass
from enum import Enum

from jackdawspur.leases import Fence, RunId
from jackdawspur.model import UpstreamId
from jackdawspur.runs._offered_capacity import RemoteLeader
from jackdawspur.runs._types import JobOutcome

__all__ = [
    "AnswerJob",
    "Decision",
    "DecisionRecord",
    "DropCause",
    "Effect",
    "InitialTasksStarted",
    "JobEvent",
    "JobLost",
    "JobNoted",
    "LossCause",
    "PollUpstream",
    "RedirectJob",
    "StartRun",
    "StopRun",
]


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run; `lease_until_ms` is the lease's end on the upstream's clock.

    Here and below, `lease_id` identifies the lease of the upstream, and a call without
    a reply times out after `timeout_s` seconds.
    """

    upstream: UpstreamId
    address: str
    run: RunId
    spec: str
    lease_until_ms: int
    fence: Fence
    lease_id: int
    timeout_s: float


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run."""

    upstream: UpstreamId
    address: str
    run: RunId
    fence: Fence
    lease_id: int
    timeout_s: float


@dataclass(frozen=True, slots=True)
class PollUpstream:
    """Poll all runs, and extend the lease unless `lease_until_ms` is None.

    `number` orders the polls of an upstream; ended runs up to the number `last_seen`
    are acknowledged. The upstream waits up to `wait_ms` for a run to end.
    """

    upstream: UpstreamId
    address: str
    number: int
    fence: Fence
    last_seen: int
    lease_until_ms: int | None
    wait_ms: int
    lease_id: int
    timeout_s: float


@dataclass(frozen=True, slots=True)
class AnswerJob:
    """Send a job's outcome to its host; `handovers` identifies the offer."""

    host: str
    call: int
    handovers: int
    job: str
    outcome: JobOutcome


@dataclass(frozen=True, slots=True)
class RedirectJob:
    """Tell a job's host to offer it to the leader of another group.

    `attempt` identifies the offer that is replied to.
    """

    host: str
    call: int
    attempt: int
    job: str
    remote_leader: RemoteLeader


class Decision(Enum):
    """Decisions and assumptions that are logged."""

    JOB_REFUSED = "job refused"
    JOB_OUT_OF_TIME = "job out of time"
    JOB_HOPELESS = "job can't end in time"
    JOB_FAILED = "job failed"
    JOB_DROPPED = "job dropped"
    JOB_ADOPTED = "job taken over"
    JOB_PASSED_ON = "job passed on to another group"
    RUN_UNSURE = "outcome of a start unknown"
    RUN_LOST = "run lost"
    RUN_RESTARTED = "run stopped to start elsewhere"
    START_REFUSED = "start refused"
    RUN_STOPPED = "run of nobody stopped"
    UPSTREAM_HELD = "upstream held"
    UPSTREAM_SILENT = "upstream silent"
    UPSTREAM_GONE = "upstream gone"
    UPSTREAM_RESTARTED = "upstream started again"
    UPSTREAM_FENCED = "upstream obeys another host"
    SHEDDING_CHANGED = "shedding changed"


class LossCause(Enum):
    """Cause of a lost job, as known when it was lost.

    By its progress, the job was too long even for typical upstreams, which have a
    slowdown of 1 (TOO_LONG). Or it would have been in time on them (SLOW_UPSTREAM) or
    if started at once (LATE_START), had a run that was restarted (RESTARTED) or that
    reported hardly any progress (STALLED), or would have been in time (IN_TIME). With
    NO_PROGRESS no run reported any, and with NEVER_BEGUN no task was started.

    A job was refused because it was too long from its arrival on (REFUSED_TOO_LONG),
    had waited too long (REFUSED_WAITED), or had too much work of other jobs ahead of it
    (REFUSED_FOR_OTHERS), or because load shedding admitted jobs whose loss costs more
    (REFUSED_BY_COST). FAILED jobs had a task that was invalid, failed repeatedly or
    crashed upstreams.
    """

    TOO_LONG = "too_long"
    SLOW_UPSTREAM = "slow_upstream"
    LATE_START = "late_start"
    RESTARTED = "restarted"
    STALLED = "stalled"
    IN_TIME = "in_time"
    NO_PROGRESS = "no_progress"
    NEVER_BEGUN = "never_begun"
    REFUSED_TOO_LONG = "refused_too_long"
    REFUSED_WAITED = "refused_waited"
    REFUSED_FOR_OTHERS = "refused_for_others"
    REFUSED_BY_COST = "refused_by_cost"
    FAILED = "failed"


class DropCause(Enum):
    """Reason for dropping a host's jobs, for the log."""

    SILENT = "its host is silent"
    HANDED_ON = "its host follows a later lead"
    NOT_REPEATED = "its host, of another group, offers it no more"


@dataclass(frozen=True, slots=True)
class DecisionRecord:
    """A decision for the log; `inputs` are what it is based on."""

    decision: Decision
    job: str
    upstream: str
    inputs: tuple[tuple[str, str | int | float], ...] = ()


@dataclass(frozen=True, slots=True)
class InitialTasksStarted:
    """Report that all of a job's tasks without predecessors have started.

    `last_start_ms` is the time from the job's arrival to the last of these starts.
    """

    job: str
    route: str
    last_start_ms: float


@dataclass(frozen=True, slots=True)
class JobLost:
    """Report why a job is lost; times are in ms since its arrival, None if unknown.

    Starts are the first ones under this leader, of tasks without predecessors;
    `not_begun` counts those that have not started. `longest_ms` is what the longest
    task takes at a slowdown of 1, and `told_ms` how long ago its run reported that.
    `refused_after_ms` is how long a refused job had waited, None for other losses.
    """

    job: str
    route: str
    cause: LossCause
    first_start_ms: int | None = None
    last_start_ms: int | None = None
    not_begun: int = 0
    longest_ms: int | None = None
    told_ms: int | None = None
    priority: int = 0
    refused_after_ms: float | None = None


class JobEvent(Enum):
    """Events of jobs that are counted by route and priority."""

    LATE = "late"
    REDIRECTED = "redirected"


@dataclass(frozen=True, slots=True)
class JobNoted:
    """Report an event of a job, for the metrics."""

    event: JobEvent
    route: str
    priority: int


Effect = (
    StartRun
    | StopRun
    | PollUpstream
    | AnswerJob
    | RedirectJob
    | DecisionRecord
    | InitialTasksStarted
    | JobLost
    | JobNoted
)
