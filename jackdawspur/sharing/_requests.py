"""Pending requests of other hosts for slots."""

from dataclasses import dataclass

from jackdawspur.messages import SlotRequest
from jackdawspur.model import HostId
from jackdawspur.sharing._limits import REQUEST_TTL

__all__ = ["PendingRequest", "PendingRequests"]

MS_PER_S = 1000.0


@dataclass(slots=True)
class PendingRequest:
    """Part of a request not granted yet; `latest_start` is by this host's clock."""

    sender: HostId
    request: SlotRequest
    wanted: int
    urgent: int
    latest_start: float
    expires_at: float

    def count_granted(self, count: int) -> None:
        """Subtract granted slots, first from those for the most urgent job."""
        self.wanted -= count
        self.urgent = max(0, self.urgent - count)


class PendingRequests:
    """Latest request of each host, until it expires."""

    def __init__(self) -> None:
        self._pending: dict[HostId, PendingRequest] = {}

    def __bool__(self) -> bool:
        return bool(self._pending)

    def add(self, sender: HostId, request: SlotRequest, now: float) -> None:
        """Add a request, unless the pending one of its sender is at least as new."""
        known = self._pending.get(sender)
        if known is not None and known.request.number >= request.number:
            return
        latest_start = now + request.slack_ms / MS_PER_S
        self._pending[sender] = PendingRequest(
            sender,
            request,
            request.wanted,
            request.urgent,
            latest_start,
            now + REQUEST_TTL,
        )

    def by_urgency(self, now: float) -> list[PendingRequest]:
        """Return the pending requests, the most urgent first."""
        self._pending = {
            sender: pending
            for sender, pending in self._pending.items()
            if now < pending.expires_at and pending.wanted > 0
        }
        return sorted(self._pending.values(), key=_urgency)


def _urgency(pending: PendingRequest) -> tuple[bool, float, HostId]:
    return pending.urgent == 0, pending.latest_start, pending.sender
