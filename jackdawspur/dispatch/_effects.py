"""Effects: actions that the dispatch logic requests from the adapters."""

from dataclasses import dataclass

from jackdawspur.dispatch._events import Claim
from jackdawspur.external import TaskStart
from jackdawspur.messages import Message
from jackdawspur.model import Answer, HostId, SubmissionId, TaskId, UpstreamId

__all__ = [
    "AnswerCall",
    "AppendClaim",
    "Effect",
    "IssueIds",
    "QueryTaskStatus",
    "SendPeerMessage",
    "StartTasks",
    "StopTasks",
]


@dataclass(frozen=True, slots=True)
class StartTasks:
    """Send starts to an upstream, without retries."""

    upstream: UpstreamId
    starts: tuple[TaskStart, ...]


@dataclass(frozen=True, slots=True)
class QueryTaskStatus:
    """Query the status of tasks, and seal those that the upstream has not started.

    Sealing tombstones a task id, so that the task can never start.
    """

    upstream: UpstreamId
    tasks: tuple[TaskId, ...]


@dataclass(frozen=True, slots=True)
class StopTasks:
    """Stop tasks whose results are no longer needed."""

    upstream: UpstreamId
    tasks: tuple[TaskId, ...]


@dataclass(frozen=True, slots=True)
class AnswerCall:
    """Answer a call of a caller; each call is answered once."""

    call: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class IssueIds:
    """Answer a call for submission ids."""

    call: int
    ids: tuple[SubmissionId, ...]


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to another entry host; delivery is not guaranteed."""

    to: HostId
    message: Message


@dataclass(frozen=True, slots=True)
class AppendClaim:
    """Append a claim of an idempotency key to the log."""

    claim: Claim


Effect = (
    StartTasks
    | QueryTaskStatus
    | StopTasks
    | AnswerCall
    | IssueIds
    | SendPeerMessage
    | AppendClaim
)
