"""What one entry host borrowed from others, and whom it asked."""

from collections import Counter
from dataclasses import dataclass, field

from jackdawspur.messages import SlotGrant, SlotRequest, SlotReturn
from jackdawspur.model import HostId, UpstreamId
from jackdawspur.sharing._limits import (
    ASK_AGAIN,
    IDLE_BEFORE_RETURN,
    LEND_TERM,
    LONGEST_HOLD,
    REPLY_WAIT,
)
from jackdawspur.sharing._loans import GiveBack, listed

__all__ = ["Ask", "Borrowing"]

MS = 1000.0

LoanId = tuple[HostId, int]


@dataclass(frozen=True, slots=True)
class Ask:
    """Address a request for slots."""

    to: HostId
    request: SlotRequest


@dataclass(slots=True)
class _Loan:
    """Keep the slots of a grant: `fresh` ones are unused, `busy` ones run a task."""

    fresh: Counter[UpstreamId]
    term_end: float
    got_at: float
    busy: Counter[UpstreamId] = field(default_factory=Counter)


@dataclass(slots=True)
class _Asked:
    at: float
    wanted: int


class Borrowing:
    """Use each borrowed slot for one task, then give it back.

    Kept longer, slots would run what is urgent here while the lender, or a third
    host, has something more urgent.
    """

    def __init__(self) -> None:
        self._next = 1
        self._asked: dict[HostId, _Asked] = {}
        self._requests: dict[tuple[HostId, int], float] = {}
        self._loans: dict[LoanId, _Loan] = {}
        self._known: dict[LoanId, float] = {}
        self._done: dict[LoanId, Counter[UpstreamId]] = {}
        self._usable: Counter[UpstreamId] = Counter()
        self._usable_until = float("inf")
        self._pruned_at = 0.0

    def may_ask(self, host: HostId, wanted: int, now: float) -> bool:
        """Tell whether no recent request for as much is open there."""
        asked = self._asked.get(host)
        return asked is None or now - asked.at >= ASK_AGAIN or wanted > asked.wanted

    def awaited(self, now: float) -> int:
        """Return how many slots may be on their way."""
        recent = (one for one in self._asked.values() if now - one.at < REPLY_WAIT)
        return sum(one.wanted for one in recent)

    def ask(self, host: HostId, wanted: int, slack_ms: float, now: float) -> Ask:
        """Ask a host for slots."""
        number = self._next
        self._next += 1
        self._asked[host] = _Asked(now, wanted)
        self._requests[host, number] = now
        return Ask(host, SlotRequest(wanted, number, slack_ms))

    def accept(self, sender: HostId, grant: SlotGrant, now: float) -> bool:
        """Take a grant; false when it is late or unknown, and must go back."""
        loan_id = (sender, grant.grant)
        if loan_id in self._known:
            # A repeat: handing it back would free slots on which tasks run.
            return True
        asked_at = self._requests.get((sender, grant.request))
        if asked_at is None:
            return False
        self._known[loan_id] = now
        # The term counts from the request, which is before the lender granted, so
        # a grant that was long on its way, or read after a pause, ends in time.
        term_end = asked_at + grant.term_ms / MS
        slots = Counter({item.upstream: item.slots for item in grant.slots})
        self._loans[loan_id] = _Loan(slots, term_end, now)
        self._usable_until = float("-inf")
        self._answered(sender, slots.total())
        return True

    def usable(self, now: float) -> Counter[UpstreamId]:
        """Return borrowed slots on which a start may be sent now."""
        if now < self._usable_until:
            return self._usable
        self._usable = Counter()
        self._usable_until = float("inf")
        for loan in self._loans.values():
            if loan.fresh and now < loan.term_end:
                self._usable += loan.fresh
                self._usable_until = min(self._usable_until, loan.term_end)
        return self._usable

    def take(self, upstream: UpstreamId, now: float) -> bool:
        """Use a borrowed slot, if there is one."""
        usable = [
            loan
            for loan in self._loans.values()
            if loan.fresh[upstream] and now < loan.term_end
        ]
        if not usable:
            return False
        loan = min(usable, key=lambda one: one.term_end)
        loan.fresh[upstream] -= 1
        loan.busy[upstream] += 1
        self._usable_until = float("-inf")
        return True

    def release(self, upstream: UpstreamId) -> bool:
        """Let go of a borrowed slot whose task ended, if there is one."""
        for loan_id, loan in self._loans.items():
            if loan.busy[upstream]:
                loan.busy[upstream] -= 1
                self._done.setdefault(loan_id, Counter())[upstream] += 1
                return True
        return False

    def give_back(self, now: float, waiting: bool) -> tuple[GiveBack, ...]:
        """Return used slots, and unused ones that nobody needs here."""
        for loan_id, loan in self._loans.items():
            idle = +loan.fresh
            old = now >= loan.term_end or now - loan.got_at >= IDLE_BEFORE_RETURN
            if idle and (old or not waiting):
                self._done.setdefault(loan_id, Counter()).update(idle)
                loan.fresh = Counter()
                self._usable_until = float("-inf")
        if not self._done:
            return ()
        done, self._done = self._done, {}
        for loan_id in done:
            loan = self._loans[loan_id]
            if not +loan.fresh and not +loan.busy:
                del self._loans[loan_id]
        self._prune(now)
        return tuple(
            GiveBack(lender, SlotReturn(number, listed(slots)))
            for (lender, number), slots in done.items()
        )

    def forget_asked(self) -> None:
        """Treat every host as not asked, once nothing waits any more."""
        self._asked.clear()

    def _answered(self, sender: HostId, slots: int) -> None:
        asked = self._asked.get(sender)
        if asked is not None:
            asked.wanted -= slots
            if asked.wanted <= 0:
                del self._asked[sender]

    def _prune(self, now: float) -> None:
        if now - self._pruned_at < LEND_TERM:
            return
        self._pruned_at = now
        self._requests = {
            key: at for key, at in self._requests.items() if now - at < LEND_TERM
        }
        # The lender has taken back what is older, so a repeat can do no harm.
        self._known = {
            key: at for key, at in self._known.items() if now - at < LONGEST_HOLD
        }
