"""Know which hosts live, from heartbeats first and the lagging list second."""

from jackdawspur.membership._limits import GONE_AFTER, RESUME_GAP
from jackdawspur.membership._liveness import OwnerState
from jackdawspur.membership._pace import (
    HeartbeatBandwidth,
    HeartbeatIntervals,
    heartbeat_bandwidth,
    heartbeat_intervals,
)
from jackdawspur.membership._view import View
from jackdawspur.membership._zones import Addressed, ZoneSummary

__all__ = [
    "Addressed",
    "GONE_AFTER",
    "HeartbeatBandwidth",
    "HeartbeatIntervals",
    "OwnerState",
    "RESUME_GAP",
    "View",
    "ZoneSummary",
    "heartbeat_bandwidth",
    "heartbeat_intervals",
]
