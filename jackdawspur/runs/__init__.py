"""Scheduling of jobs on the leader: their order, placement and runs."""

from jackdawspur.runs._demand_updates import ReceivedDemand, demand_update
from jackdawspur.runs._dispatcher import Dispatcher
from jackdawspur.runs._effects import (
    AnswerJob,
    Decision,
    DecisionRecord,
    DropCause,
    Effect,
    InitialTasksStarted,
    JobEvent,
    JobLost,
    JobNoted,
    LossCause,
    PollUpstream,
    RedirectJob,
    StartRun,
    StopRun,
)
from jackdawspur.runs._job import Job, Task, TaskState
from jackdawspur.runs._job_sizes import (
    MAX_TOTAL_SIZE,
    SIZE_RETRY_S,
    JobSizes,
    job_size,
)
from jackdawspur.runs._learned import LearnedRoute, LearnedStats
from jackdawspur.runs._level_loads import divide_loads
from jackdawspur.runs._load_reports import (
    DemandState,
    LevelLoad,
    RouteDemand,
    ServiceLoad,
)
from jackdawspur.runs._load_tracker import MAX_STATE_AGE_S, LoadTracker
from jackdawspur.runs._offered_capacity import (
    RemoteLeader,
    SpareCapacity,
    split_round_robin,
)
from jackdawspur.runs._overload_policy import DEFAULT_POLICY, OverloadPolicy
from jackdawspur.runs._placer import Placer
from jackdawspur.runs._types import (
    JobEnd,
    JobOutcome,
    JobRequest,
    JobStep,
    Offer,
    Progress,
    Route,
    TaskFailureCounts,
)

__all__ = [
    "DEFAULT_POLICY",
    "AnswerJob",
    "Decision",
    "DecisionRecord",
    "DemandState",
    "Dispatcher",
    "DropCause",
    "Effect",
    "InitialTasksStarted",
    "Job",
    "JobEnd",
    "JobEvent",
    "JobLost",
    "JobNoted",
    "JobOutcome",
    "JobRequest",
    "JobSizes",
    "JobStep",
    "LearnedRoute",
    "LearnedStats",
    "LevelLoad",
    "LoadTracker",
    "LossCause",
    "MAX_STATE_AGE_S",
    "MAX_TOTAL_SIZE",
    "SIZE_RETRY_S",
    "Offer",
    "OverloadPolicy",
    "Placer",
    "PollUpstream",
    "Progress",
    "ReceivedDemand",
    "RedirectJob",
    "RemoteLeader",
    "Route",
    "RouteDemand",
    "ServiceLoad",
    "SpareCapacity",
    "StartRun",
    "StopRun",
    "Task",
    "TaskFailureCounts",
    "TaskState",
    "demand_update",
    "divide_loads",
    "job_size",
    "split_round_robin",
]
