"""Eject upstreams that fail what they start, and let them back by a trickle."""

from jackdawspur.health._health import UpstreamHealth
from jackdawspur.health._limits import (
    FIRST_BACK_OFF,
    LONGEST_BACK_OFF,
    UNLIMITED,
)
from jackdawspur.health._record import Condition

__all__ = [
    "Condition",
    "FIRST_BACK_OFF",
    "LONGEST_BACK_OFF",
    "UNLIMITED",
    "UpstreamHealth",
]
