"""Count messages by what they were for."""

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
    """Count what all hosts sent and received; starts and verdicts by the task."""

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
        """Return the messages that brought no job forward."""
        return self.refused_starts + self.status_queries + self.stops + self.duplicates

    def count_peer(self, effect: Effect) -> None:
        """Count a message to another entry host by its kind."""
        if not isinstance(effect, SendPeerMessage):
            return
        if isinstance(effect.message, LENDING):
            self.lending += 1
        elif isinstance(effect.message, FORWARDING):
            self.forwarding += 1
        else:
            self.other_peer += 1
