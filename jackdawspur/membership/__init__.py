"""Know which hosts live, from heartbeats first and the lagging list second."""

from jackdawspur.membership._limits import GONE_AFTER, RESUME_GAP
from jackdawspur.membership._liveness import OwnerState
from jackdawspur.membership._pace import Pace, Traffic, pace_of, traffic
from jackdawspur.membership._view import View
from jackdawspur.membership._zones import Addressed, ZoneSummary

__all__ = [
    "Addressed",
    "GONE_AFTER",
    "OwnerState",
    "Pace",
    "RESUME_GAP",
    "Traffic",
    "View",
    "ZoneSummary",
    "pace_of",
    "traffic",
]
