"""Groups of hosts: liveness, leader election and the messages between hosts."""

from jackdawspur.group._group import (
    FOLLOWER_TIMEOUT_S,
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_TIMEOUT_S,
    Group,
)
from jackdawspur.group._host_limits import HostLimits
from jackdawspur.group._messages import (
    CapacityOffer,
    ConfigurationUpdate,
    GroupMessage,
    GroupMessageDecodeError,
    GroupMessageEncodeError,
    HostAddress,
    HostHeartbeat,
    JobCancellation,
    JobOffer,
    JobProgress,
    JobRedirect,
    JobResult,
    UpstreamListUpdate,
    decode_message,
    encode_message,
)
from jackdawspur.group._staleness import is_stale_message
from jackdawspur.group._terms import Term

__all__ = [
    "CapacityOffer",
    "ConfigurationUpdate",
    "FOLLOWER_TIMEOUT_S",
    "Group",
    "GroupMessage",
    "GroupMessageDecodeError",
    "GroupMessageEncodeError",
    "HEARTBEAT_INTERVAL_S",
    "HEARTBEAT_TIMEOUT_S",
    "HostAddress",
    "HostHeartbeat",
    "HostLimits",
    "JobCancellation",
    "JobOffer",
    "JobProgress",
    "JobRedirect",
    "JobResult",
    "Term",
    "UpstreamListUpdate",
    "decode_message",
    "encode_message",
    "is_stale_message",
]
