"""Divide the slots of a zone's upstreams among its entry hosts, and lend them."""

from jackdawspur.sharing._borrowing import Ask, SlotDemand
from jackdawspur.sharing._division import divide
from jackdawspur.sharing._limits import (
    LEND_MARGIN,
    LEND_TERM,
    LONGEST_HOLD,
)
from jackdawspur.sharing._loans import GiveBack, Lend
from jackdawspur.sharing._table import SlotPool

__all__ = [
    "Ask",
    "GiveBack",
    "LEND_MARGIN",
    "LEND_TERM",
    "LONGEST_HOLD",
    "Lend",
    "SlotDemand",
    "SlotPool",
    "divide",
]
