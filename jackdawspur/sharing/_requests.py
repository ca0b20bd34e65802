"""Requests for slots that other hosts have open here."""

from dataclasses import dataclass

from jackdawspur.messages import SlotRequest
from jackdawspur.model import HostId
from jackdawspur.sharing._limits import REQUEST_LIFE

__all__ = ["OpenRequest", "Requests"]

MS = 1000.0


@dataclass(slots=True)
class OpenRequest:
    """Keep what a host still lacks; `latest_start` by this host's clock."""

    sender: HostId
    request: SlotRequest
    wanted: int
    urgent: int
    latest_start: float
    until: float

    def granted(self, count: int) -> None:
        """Count slots off, those for the most urgent job first."""
        self.wanted -= count
        self.urgent = max(0, self.urgent - count)


class Requests:
    """Keep the latest request of each host for a short while."""

    def __init__(self) -> None:
        self._open: dict[HostId, OpenRequest] = {}

    def __bool__(self) -> bool:
        return bool(self._open)

    def take(self, sender: HostId, request: SlotRequest, now: float) -> None:
        """Note a request, unless a newer one of its sender came before."""
        known = self._open.get(sender)
        if known is not None and known.request.number >= request.number:
            return
        latest_start = now + request.slack_ms / MS
        self._open[sender] = OpenRequest(
            sender,
            request,
            request.wanted,
            request.urgent,
            latest_start,
            now + REQUEST_LIFE,
        )

    def by_urgency(self, now: float) -> list[OpenRequest]:
        """Return the open requests, the most urgent first."""
        self._open = {
            sender: one
            for sender, one in self._open.items()
            if now < one.until and one.wanted > 0
        }
        return sorted(self._open.values(), key=_urgency)


def _urgency(one: OpenRequest) -> tuple[bool, float, HostId]:
    return one.urgent == 0, one.latest_start, one.sender
