"""Jobs on the leading host: their order, their places and their runs."""

from jackdawspur.runs._dispatcher import Dispatcher
from jackdawspur.runs._effects import (
    AnswerJob,
    Decision,
    DropCause,
    Effect,
    JobBegun,
    JobLost,
    LookAt,
    LossCause,
    Note,
    PassJobOn,
    StartRun,
    StopRun,
)
from jackdawspur.runs._job import Job, Task, TaskState
from jackdawspur.runs._learned import Learned, LearnedRoute
from jackdawspur.runs._offered_capacity import Place, SpareRoom, deal
from jackdawspur.runs._placer import Placer
from jackdawspur.runs._types import (
    JobEnd,
    JobOutcome,
    JobRequest,
    JobStep,
    Offer,
    Progress,
    Route,
    TaskTrouble,
)

__all__ = [
    "AnswerJob",
    "Decision",
    "Dispatcher",
    "DropCause",
    "Effect",
    "Job",
    "JobBegun",
    "JobEnd",
    "JobLost",
    "JobOutcome",
    "JobRequest",
    "JobStep",
    "Learned",
    "LearnedRoute",
    "LookAt",
    "LossCause",
    "Note",
    "Offer",
    "PassJobOn",
    "Place",
    "Placer",
    "Progress",
    "Route",
    "SpareRoom",
    "StartRun",
    "StopRun",
    "Task",
    "TaskState",
    "TaskTrouble",
    "deal",
]
