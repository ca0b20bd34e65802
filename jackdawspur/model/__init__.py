"""Objects of the dispatcher's world: hosts, zones, customers, jobs and answers."""

from jackdawspur.model._answer import (
    Answer,
    FailureCode,
    JobState,
    TaskOutcome,
    TaskState,
)
from jackdawspur.model._cluster_spec import (
    Contract,
    Customer,
    Ejection,
    EntryHost,
    Objective,
    Upstream,
    World,
)
from jackdawspur.model._ids import (
    HostId,
    InvalidId,
    ModelError,
    SubmissionId,
    TaskId,
    UpstreamId,
)
from jackdawspur.model._job import MAX_TASKS, JobRequest, TaskSpec
from jackdawspur.model._rendezvous import rendezvous

__all__ = [
    "MAX_TASKS",
    "Answer",
    "Contract",
    "Customer",
    "Ejection",
    "EntryHost",
    "FailureCode",
    "HostId",
    "InvalidId",
    "JobRequest",
    "JobState",
    "ModelError",
    "Objective",
    "SubmissionId",
    "TaskId",
    "TaskOutcome",
    "TaskSpec",
    "TaskState",
    "Upstream",
    "UpstreamId",
    "World",
    "rendezvous",
]
