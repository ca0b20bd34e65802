"""Slots lent to other entry hosts."""

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass

from jackdawspur.messages import SlotGrant, SlotRequest, SlotReturn, UpstreamSlots
from jackdawspur.model import HostId, UpstreamId
from jackdawspur.sharing._limits import LOAN_MARGIN, LOAN_TERM, MAX_LOAN_TIME

__all__ = ["OutgoingReturn", "OutgoingGrant", "Lending", "sorted_slots"]

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class OutgoingGrant:
    """Grant of slots to send to a host."""

    to: HostId
    grant: SlotGrant


@dataclass(frozen=True, slots=True)
class OutgoingReturn:
    """Return of slots to send to a host."""

    to: HostId
    message: SlotReturn


@dataclass(slots=True)
class _Loan:
    borrower: HostId
    slots: Counter[UpstreamId]
    reclaim_at: float
    term_end: float


class Lending:
    """Slots lent by this host, which it can't use until returned or reclaimed."""

    def __init__(self) -> None:
        self._next = 1
        self._grants: dict[int, _Loan] = {}
        self.lent_slots: Counter[UpstreamId] = Counter()

    def grant(
        self, to: HostId, request: SlotRequest, slots: Counter[UpstreamId], now: float
    ) -> SlotGrant:
        """Lend the slots for one term, and return the grant."""
        number = self._next
        self._next += 1
        term_end = now + LOAN_TERM + LOAN_MARGIN
        self._grants[number] = _Loan(to, +slots, now + MAX_LOAN_TIME, term_end)
        self.lent_slots += slots
        return SlotGrant(
            number, LOAN_TERM * MS_PER_S, sorted_slots(slots), request.number
        )

    def accept_return(self, sender: HostId, message: SlotReturn) -> Counter[UpstreamId]:
        """Accept returned slots, and report which of them were still lent."""
        returned: Counter[UpstreamId] = Counter()
        loan = self._grants.get(message.grant)
        if loan is None or loan.borrower != sender:
            return returned
        for item in message.slots:
            count = max(0, min(item.slots, loan.slots[item.upstream]))
            loan.slots[item.upstream] -= count
            returned[item.upstream] += count
        loan.slots = +loan.slots
        self.lent_slots -= returned
        if not loan.slots:
            del self._grants[message.grant]
        return returned

    def reclaim_expired(
        self, members: Collection[HostId], now: float
    ) -> Counter[UpstreamId]:
        """Reclaim and return the slots of dead borrowers and of lost returns."""
        returned: Counter[UpstreamId] = Counter()
        for number, loan in list(self._grants.items()):
            # A borrower that was only paused starts no task after its term. So the
            # slots of a borrower that is no longer live can be reused after the term.
            dead = loan.borrower not in members and now >= loan.term_end
            if dead or now >= loan.reclaim_at:
                returned += loan.slots
                del self._grants[number]
        self.lent_slots -= returned
        return returned


def sorted_slots(slots: Counter[UpstreamId]) -> tuple[UpstreamSlots, ...]:
    """Return the slots in the order of their upstreams."""
    return tuple(UpstreamSlots(*item) for item in sorted((+slots).items()))
