"""What an entry host's decisions ask its adapters to do."""

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
    """Send starts to an upstream, once."""

    upstream: UpstreamId
    starts: tuple[TaskStart, ...]


@dataclass(frozen=True, slots=True)
class QueryTaskStatus:
    """Ask an upstream how far tasks are, and bar what it has not started."""

    upstream: UpstreamId
    tasks: tuple[TaskId, ...]


@dataclass(frozen=True, slots=True)
class StopTasks:
    """Stop tasks whose results nobody needs."""

    upstream: UpstreamId
    tasks: tuple[TaskId, ...]


@dataclass(frozen=True, slots=True)
class AnswerCall:
    """Answer a caller; each call is answered once."""

    call: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class IssueIds:
    """Hand submission ids to a caller."""

    call: int
    ids: tuple[SubmissionId, ...]


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to another entry host; it may be lost."""

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
