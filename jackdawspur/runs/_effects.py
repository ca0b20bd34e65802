"""What the leading host's decisions ask for."""

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
    "JobLost",
    "LossCause",
    "PollUpstream",
    "RedirectJob",
    "StartRun",
    "StopRun",
]


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run; `lease_until_ms` is the lease's end on the upstream's clock.

    `lease_id` names, here and below, the time for which the upstream is held; a call
    ends after `timeout_s` without a reply.
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
    """Ask for all runs, and prolong the lease unless `lease_until_ms` is None.

    `number` orders the looks at an upstream; ends up to `last_seen` are taken note of.
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
    """Tell a job's host how it ended; `handovers` tells which offer is answered."""

    host: str
    call: int
    handovers: int
    job: str
    outcome: JobOutcome


@dataclass(frozen=True, slots=True)
class RedirectJob:
    """Tell a job's host to offer it to the leading host of another group.

    `attempt` names the offer that is replied to.
    """

    host: str
    call: int
    attempt: int
    job: str
    remote_leader: RemoteLeader


class Decision(Enum):
    """Name what was decided or believed, for the log."""

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


class LossCause(Enum):
    """Say why a job is lost, by what is known then; a usual upstream has a pace of 1.

    By its progress it was too long for any usual upstream, would have ended on a usual
    one, would have ended if begun at once, had a run that began again or one that
    hardly told any progress, or was in time.
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
    FAILED = "failed"


class DropCause(Enum):
    """Say for the log why a host's jobs are dropped."""

    SILENT = "its host is silent"
    HANDED_ON = "its host follows a later lead"
    NOT_REPEATED = "its host, of another group, offers it no more"


@dataclass(frozen=True, slots=True)
class DecisionRecord:
    """Explain one decision; `inputs` are what decided it."""

    decision: Decision
    job: str
    upstream: str
    inputs: tuple[tuple[str, str | int | float], ...] = ()


@dataclass(frozen=True, slots=True)
class InitialTasksStarted:
    """Tell that all tasks of a job have started that wait for no other step."""

    job: str
    route: str
    last_start_ms: float


@dataclass(frozen=True, slots=True)
class JobLost:
    """Tell why a job is lost; milliseconds count from its coming, None: not known.

    Starts are first ones under this lead, of tasks that wait for no other step;
    `not_begun` counts those without. `longest_ms` is what the longest task takes at a
    pace of 1, `told_ms` how long ago its run told that.
    """

    job: str
    route: str
    cause: LossCause
    first_start_ms: int | None = None
    last_start_ms: int | None = None
    not_begun: int = 0
    longest_ms: int | None = None
    told_ms: int | None = None


Effect = (
    StartRun
    | StopRun
    | PollUpstream
    | AnswerJob
    | RedirectJob
    | DecisionRecord
    | InitialTasksStarted
    | JobLost
)
