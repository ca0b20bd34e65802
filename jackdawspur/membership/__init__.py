"""Membership: live hosts, by their heartbeats, and upstreams reported as leaving."""

from jackdawspur.membership._intervals import (
    HeartbeatBandwidth,
    HeartbeatIntervals,
    heartbeat_bandwidth,
    heartbeat_intervals,
)
from jackdawspur.membership._limits import GONE_AFTER, RESUME_GAP
from jackdawspur.membership._liveness import OwnerState
from jackdawspur.membership._view import View
from jackdawspur.membership._zones import OutgoingHeartbeat, ZoneSummary

__all__ = [
    "OutgoingHeartbeat",
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
