"""Message bodies of the HTTP/JSON interfaces of upstreams, log and host list."""

from jackdawspur.wire._hostlist import HostBody, HostsBody
from jackdawspur.wire._log import AppendReply, ReadReply, RecordBody, TrimmedReply
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
    "AppendReply",
    "HostBody",
    "HostsBody",
    "OutcomeBody",
    "ReadReply",
    "RecordBody",
    "StartBody",
    "StartsReply",
    "StartsRequest",
    "StatusReply",
    "StatusRequest",
    "StopRequest",
    "TrimmedReply",
    "UsageReply",
    "VerdictBody",
]
