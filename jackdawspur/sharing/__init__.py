"""Division of a zone's upstream slots among its entry hosts, and lending of slots."""

from jackdawspur.sharing._borrowing import OutgoingRequest, SlotDemand
from jackdawspur.sharing._division import divide
from jackdawspur.sharing._limits import (
    LOAN_MARGIN,
    LOAN_TERM,
    MAX_LOAN_TIME,
)
from jackdawspur.sharing._loans import OutgoingGrant, OutgoingReturn
from jackdawspur.sharing._slot_pool import SlotPool

__all__ = [
    "OutgoingRequest",
    "OutgoingReturn",
    "LOAN_MARGIN",
    "LOAN_TERM",
    "MAX_LOAN_TIME",
    "OutgoingGrant",
    "SlotDemand",
    "SlotPool",
    "divide",
]
