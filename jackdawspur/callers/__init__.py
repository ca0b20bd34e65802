"""The callers' interface: request bodies, answers and status codes."""

from jackdawspur.callers._bodies import (
    BodyError,
    IdsBody,
    JobBody,
    Standing,
    TaskBody,
    read_ids_body,
    read_job_body,
    to_request,
)
from jackdawspur.callers._replies import (
    HttpReply,
    reply_answer,
    reply_ids,
    reply_refusal,
)

__all__ = [
    "BodyError",
    "HttpReply",
    "IdsBody",
    "JobBody",
    "Standing",
    "TaskBody",
    "read_ids_body",
    "read_job_body",
    "reply_answer",
    "reply_ids",
    "reply_refusal",
    "to_request",
]
