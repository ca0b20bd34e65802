"""Slots lent to and borrowed from other entry hosts."""

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass

from jackdawspur.messages import SlotGrant, SlotRequest, SlotReturn, UpstreamSlots
from jackdawspur.model import HostId, UpstreamId
from jackdawspur.sharing._limits import LEND_MARGIN, LEND_TERM, LONGEST_HOLD

__all__ = ["GiveBack", "Lend", "Lending", "listed"]

MS = 1000.0


@dataclass(frozen=True, slots=True)
class Lend:
    """Address a grant of slots."""

    to: HostId
    grant: SlotGrant


@dataclass(frozen=True, slots=True)
class GiveBack:
    """Address a return of slots."""

    to: HostId
    message: SlotReturn


@dataclass(slots=True)
class _Lent:
    borrower: HostId
    slots: Counter[UpstreamId]
    reclaim_at: float
    term_end: float


class Lending:
    """Keep what this host lent; it uses none of it until it is back."""

    def __init__(self) -> None:
        self._next = 1
        self._grants: dict[int, _Lent] = {}
        self.out: Counter[UpstreamId] = Counter()

    def grant(
        self, to: HostId, request: SlotRequest, slots: Counter[UpstreamId], now: float
    ) -> SlotGrant:
        """Lend the slots for one term."""
        number = self._next
        self._next += 1
        term_end = now + LEND_TERM + LEND_MARGIN
        self._grants[number] = _Lent(to, +slots, now + LONGEST_HOLD, term_end)
        self.out += slots
        return SlotGrant(number, LEND_TERM * MS, listed(slots), request.number)

    def returned(self, sender: HostId, message: SlotReturn) -> Counter[UpstreamId]:
        """Take slots back and return them; no more than is still lent."""
        back: Counter[UpstreamId] = Counter()
        lent = self._grants.get(message.grant)
        if lent is None or lent.borrower != sender:
            return back
        for item in message.slots:
            count = max(0, min(item.slots, lent.slots[item.upstream]))
            lent.slots[item.upstream] -= count
            back[item.upstream] += count
        lent.slots = +lent.slots
        self.out -= back
        if not lent.slots:
            del self._grants[message.grant]
        return back

    def expire(self, members: Collection[HostId], now: float) -> Counter[UpstreamId]:
        """Take back and return what a dead borrower or a lost return would keep."""
        back: Counter[UpstreamId] = Counter()
        for number, lent in list(self._grants.items()):
            # A borrower that only paused starts nothing after its term, so slots
            # of one that fell out of the view are safe once the term has passed.
            dead = lent.borrower not in members and now >= lent.term_end
            if dead or now >= lent.reclaim_at:
                back += lent.slots
                del self._grants[number]
        self.out -= back
        return back


def listed(slots: Counter[UpstreamId]) -> tuple[UpstreamSlots, ...]:
    """Return the slots in the order of their upstreams."""
    return tuple(UpstreamSlots(*item) for item in sorted((+slots).items()))
