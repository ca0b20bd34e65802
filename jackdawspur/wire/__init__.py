"""Bodies of the HTTP/JSON interfaces of upstreams, log and host list."""

from jackdawspur.wire._upstream import (
    OutcomeBody,
    StartBody,
    StartsReply,
    StartsRequest,
    StatusReply,
    StatusRequest,
    StopRequest,
    UsageReply,
    VerdictBody,
)

__all__ = [
    "OutcomeBody",
    "StartBody",
    "StartsReply",
    "StartsRequest",
    "StatusReply",
    "StatusRequest",
    "StopRequest",
    "UsageReply",
    "VerdictBody",
]
