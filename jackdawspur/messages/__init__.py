"""Messages between entry hosts."""

from jackdawspur.messages._messages import (
    CancelForward,
    CustomerUsage,
    Delegate,
    DelegateAnswer,
    Forward,
    ForwardAnswer,
    Heartbeat,
    Message,
    PeerSeen,
    RecordsPassed,
    RecordsWanted,
    SlotGrant,
    SlotRequest,
    SlotReturn,
    SlotsOfUpstream,
    ZoneVersion,
)

__all__ = [
    "CancelForward",
    "CustomerUsage",
    "Delegate",
    "DelegateAnswer",
    "Forward",
    "ForwardAnswer",
    "Heartbeat",
    "Message",
    "PeerSeen",
    "RecordsPassed",
    "RecordsWanted",
    "SlotGrant",
    "SlotRequest",
    "SlotReturn",
    "SlotsOfUpstream",
    "ZoneVersion",
]
