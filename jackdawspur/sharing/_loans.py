"""Slots lent to and borrowed from siblings."""

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field

from jackdawspur.messages import SlotGrant, SlotRequest, SlotReturn, SlotsOfUpstream
from jackdawspur.model import HostId, UpstreamId
from jackdawspur.sharing._limits import (
    ASK_AGAIN,
    IDLE_BEFORE_RETURN,
    LEND_MARGIN,
    LEND_TERM,
    LONGEST_HOLD,
)

__all__ = ["Ask", "Borrowing", "GiveBack", "Lend", "Lending", "refusal"]

MS = 1000.0


@dataclass(frozen=True, slots=True)
class Ask:
    """Address a request for slots."""

    to: HostId
    request: SlotRequest


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
        return SlotGrant(number, LEND_TERM * MS, _listed(slots), request.number)

    def returned(self, sender: HostId, message: SlotReturn) -> None:
        """Take slots back; more than is still lent, or a repeat, has no effect."""
        lent = self._grants.get(message.grant)
        if lent is None or lent.borrower != sender:
            return
        for item in message.slots:
            count = min(item.slots, lent.slots[item.upstream])
            lent.slots[item.upstream] -= count
            self.out[item.upstream] -= count
        lent.slots = +lent.slots
        if not lent.slots:
            del self._grants[message.grant]

    def expire(self, members: Collection[HostId], now: float) -> None:
        """Take back what a dead borrower, or a lost return, would keep for ever."""
        for number, lent in list(self._grants.items()):
            # A borrower that only paused starts nothing after its term, so slots
            # of one that fell out of the view are safe once the term has passed.
            dead = lent.borrower not in members and now >= lent.term_end
            if dead or now >= lent.reclaim_at:
                self.out -= lent.slots
                del self._grants[number]


@dataclass(slots=True)
class _Borrowed:
    lender: HostId
    slots: Counter[UpstreamId]
    term_end: float
    used_at: float


@dataclass(slots=True)
class _Asked:
    number: int
    at: float


@dataclass(slots=True)
class Borrowing:
    """Keep what this host borrowed, and whom it asked."""

    _next: int = 1
    _asked: dict[HostId, _Asked] = field(default_factory=dict)
    _grants: dict[tuple[HostId, int], _Borrowed] = field(default_factory=dict)

    def may_ask(self, sibling: HostId, now: float) -> bool:
        """Tell whether no recent request to the sibling is open."""
        asked = self._asked.get(sibling)
        return asked is None or now - asked.at >= ASK_AGAIN

    def ask(self, sibling: HostId, wanted: int, now: float) -> Ask:
        """Ask the sibling for slots."""
        number = self._next
        self._next += 1
        self._asked[sibling] = _Asked(number, now)
        return Ask(sibling, SlotRequest(wanted, number))

    def accept(self, sender: HostId, grant: SlotGrant, now: float) -> bool:
        """Take a grant; false when it is late or unknown, and must go back."""
        asked = self._asked.get(sender)
        if asked is None or asked.number != grant.request:
            return False
        del self._asked[sender]
        # The term counts from the request, which is before the lender granted, so
        # a grant that was long on its way, or read after a pause, ends in time.
        term_end = asked.at + grant.term_ms / MS
        slots = Counter({item.upstream: item.slots for item in grant.slots})
        self._grants[sender, grant.grant] = _Borrowed(sender, slots, term_end, now)
        return True

    def usable(self, now: float) -> Counter[UpstreamId]:
        """Return borrowed slots on which a start may be sent now."""
        total: Counter[UpstreamId] = Counter()
        for loan in self._grants.values():
            if now < loan.term_end:
                total += loan.slots
        return total

    def held(self) -> Counter[UpstreamId]:
        """Return all borrowed slots that were not returned."""
        total: Counter[UpstreamId] = Counter()
        for loan in self._grants.values():
            total += loan.slots
        return total

    def give_back(
        self, in_use: Counter[UpstreamId], now: float, waiting: bool
    ) -> tuple[GiveBack, ...]:
        """Return idle slots whose term ended or that nobody needed for a while."""
        left = Counter(in_use)
        returns = []
        # The loans that end last keep the slots in use.
        newest_first = sorted(self._grants.items(), key=lambda item: -item[1].term_end)
        for (lender, number), loan in newest_first:
            used = loan.slots & left
            left -= used
            if used or waiting:
                loan.used_at = now
            idle = loan.slots - used
            if idle and _is_over(loan, now):
                message = SlotReturn(number, _listed(idle))
                returns.append(GiveBack(lender, message))
                loan.slots = used
            if not loan.slots:
                del self._grants[lender, number]
        return tuple(returns)


def refusal(sender: HostId, grant: SlotGrant) -> GiveBack:
    """Return a whole grant that came too late."""
    return GiveBack(sender, SlotReturn(grant.grant, grant.slots))


def _is_over(loan: _Borrowed, now: float) -> bool:
    return now >= loan.term_end or now - loan.used_at >= IDLE_BEFORE_RETURN


def _listed(slots: Counter[UpstreamId]) -> tuple[SlotsOfUpstream, ...]:
    return tuple(SlotsOfUpstream(*item) for item in sorted((+slots).items()))
