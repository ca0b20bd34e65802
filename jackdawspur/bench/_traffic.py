"""Message counts by purpose."""

from dataclasses import dataclass

from jackdawspur.dispatch import Effect, SendPeerMessage
from jackdawspur.messages import (
    CancelForward,
    Delegate,
    DelegateAnswer,
    Forward,
    ForwardAnswer,
    SlotGrant,
    SlotRequest,
    SlotReturn,
)

__all__ = ["Traffic"]

LENDING = (SlotRequest, SlotGrant, SlotReturn)
FORWARDING = (Forward, ForwardAnswer, CancelForward, Delegate, DelegateAnswer)


@dataclass(slots=True)
class Traffic:
    """Message counts of all hosts; starts and refused starts are counted per task."""

    starts: int = 0
    refused_starts: int = 0
    status_queries: int = 0
    stops: int = 0
    duplicates: int = 0
    lending: int = 0
    forwarding: int = 0
    other_peer: int = 0
    appends: int = 0

    @property
    def wasted(self) -> int:
        """Return the number of messages that advanced no job."""
        return self.refused_starts + self.status_queries + self.stops + self.duplicates

    def count_peer(self, effect: Effect) -> None:
        """Count a message to another entry host by its type."""
        if not isinstance(effect, SendPeerMessage):
            return
        if isinstance(effect.message, LENDING):
            self.lending += 1
        elif isinstance(effect.message, FORWARDING):
            self.forwarding += 1
        else:
            self.other_peer += 1
