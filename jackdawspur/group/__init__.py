"""The group of hosts that work under one leading host."""

from jackdawspur.group._carried import HostLimits
from jackdawspur.group._group import (
    BEAT_S,
    FOLLOWER_SILENCE_S,
    SILENCE_S,
    Group,
)
from jackdawspur.group._lateness import is_late
from jackdawspur.group._messages import (
    ConfigurationPassed,
    GroupMessage,
    HostAddress,
    HostBeat,
    JobAnswered,
    JobDropped,
    JobOffered,
    JobPassedOn,
    JobProgress,
    RoomOffered,
    UnreadableGroupMessage,
    UpstreamsPassed,
    decode_message,
    encode_message,
)
from jackdawspur.group._terms import Term

__all__ = [
    "BEAT_S",
    "ConfigurationPassed",
    "FOLLOWER_SILENCE_S",
    "Group",
    "GroupMessage",
    "HostAddress",
    "HostBeat",
    "HostLimits",
    "JobAnswered",
    "JobDropped",
    "JobOffered",
    "JobPassedOn",
    "JobProgress",
    "RoomOffered",
    "SILENCE_S",
    "Term",
    "UnreadableGroupMessage",
    "UpstreamsPassed",
    "decode_message",
    "encode_message",
    "is_late",
]
