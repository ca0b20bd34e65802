"""Data classes of the dispatcher: hosts, zones, customers, jobs and answers."""

from jackdawspur.model._answer import (
    Answer,
    FailureCode,
    JobState,
    TaskOutcome,
    TaskState,
)
from jackdawspur.model._cluster_spec import (
    ClusterSpec,
    Contract,
    Customer,
    EjectionPolicy,
    EntryHost,
    Objective,
    Upstream,
)
from jackdawspur.model._ids import (
    HostId,
    InvalidId,
    ModelError,
    SubmissionId,
    TaskId,
    UpstreamId,
)
from jackdawspur.model._job import MAX_TASKS_PER_JOB, JobRequest, TaskSpec
from jackdawspur.model._rendezvous import rendezvous_hash

__all__ = [
    "MAX_TASKS_PER_JOB",
    "Answer",
    "ClusterSpec",
    "Contract",
    "Customer",
    "EjectionPolicy",
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
    "rendezvous_hash",
]
