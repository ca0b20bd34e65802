"""What one entry host borrowed from others, and whom it asked."""

from collections import Counter
from dataclasses import dataclass

from jackdawspur.messages import SlotGrant, SlotRequest, SlotReturn
from jackdawspur.model import HostId, UpstreamId
from jackdawspur.sharing._limits import (
    ASK_AGAIN,
    IDLE_BEFORE_RETURN,
    LEND_TERM,
    LONGEST_HOLD,
    MORE_URGENT,
    REPLY_WAIT,
)
from jackdawspur.sharing._loans import GiveBack, listed

__all__ = ["Ask", "Borrowing", "SlotDemand"]

MS = 1000.0

LoanId = tuple[HostId, int]


@dataclass(frozen=True, slots=True)
class Ask:
    """Address a request for slots."""

    to: HostId
    request: SlotRequest


@dataclass(frozen=True, slots=True)
class SlotDemand:
    """Say until when the most urgent job should start, and how many tasks it has.

    `latest_start` in seconds on this host's clock.
    """

    latest_start: float = 0.0
    tasks: int = 0


@dataclass(frozen=True, slots=True)
class _Slot:
    """Keep one borrowed slot that no task has used yet."""

    loan: LoanId
    upstream: UpstreamId
    term_end: float
    got_at: float

    def ends(self, now: float) -> bool:
        """Tell whether it must go back unused."""
        return now >= self.term_end or now - self.got_at >= IDLE_BEFORE_RETURN


@dataclass(slots=True)
class _Asked:
    at: float
    wanted: int
    urgent: int
    latest_start: float


class Borrowing:
    """Use each borrowed slot for one task, then give it back.

    Kept longer, slots would run what is urgent here while the lender, or a third
    host, has something more urgent.
    """

    def __init__(self) -> None:
        self._next = 1
        self._asked: dict[HostId, _Asked] = {}
        self._requests: dict[tuple[HostId, int], float] = {}
        self._known: dict[LoanId, float] = {}
        self._fresh: dict[UpstreamId, list[_Slot]] = {}
        self._busy: dict[UpstreamId, list[LoanId]] = {}
        self._done: dict[LoanId, Counter[UpstreamId]] = {}
        self._pruned_at = 0.0

    def may_ask(self, host: HostId, wanted: int, need: SlotDemand, now: float) -> bool:
        """Tell whether no recent request as large and as urgent is open there."""
        asked = self._asked.get(host)
        if asked is None or now - asked.at >= ASK_AGAIN or wanted > asked.wanted:
            return True
        if need.tasks and asked.urgent <= 0:
            return True
        return need.latest_start < asked.latest_start - MORE_URGENT

    def awaited(self, now: float) -> int:
        """Return how many slots may be on their way."""
        recent = (one for one in self._asked.values() if now - one.at < REPLY_WAIT)
        return sum(one.wanted for one in recent)

    def ask(self, host: HostId, wanted: int, need: SlotDemand, now: float) -> Ask:
        """Ask a host for slots."""
        number = self._next
        self._next += 1
        urgent = min(wanted, need.tasks)
        self._asked[host] = _Asked(now, wanted, urgent, need.latest_start)
        slack_ms = (need.latest_start - now) * MS
        self._requests[host, number] = now
        return Ask(host, SlotRequest(wanted, number, slack_ms, urgent))

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
        for item in grant.slots:
            slot = _Slot(loan_id, item.upstream, term_end, now)
            self._fresh.setdefault(item.upstream, []).extend([slot] * item.slots)
        self._answered(sender, sum(item.slots for item in grant.slots))
        return True

    def usable(self, now: float) -> dict[UpstreamId, int]:
        """Return borrowed slots on which a start may be sent now."""
        return {
            upstream: sum(now < slot.term_end for slot in slots)
            for upstream, slots in self._fresh.items()
        }

    def take(self, upstream: UpstreamId, now: float) -> bool:
        """Use a borrowed slot, if there is one."""
        slots = self._fresh.get(upstream, [])
        for place, slot in enumerate(slots):
            if now < slot.term_end:
                del slots[place]
                self._busy.setdefault(upstream, []).append(slot.loan)
                return True
        return False

    def release(self, upstream: UpstreamId) -> bool:
        """Let go of a borrowed slot whose task ended, if there is one."""
        loans = self._busy.get(upstream)
        if not loans:
            return False
        self._give(loans.pop(), upstream)
        return True

    def give_back(self, now: float, waiting: bool) -> tuple[GiveBack, ...]:
        """Return used slots, and unused ones that nobody needs here."""
        if self._fresh:
            self._give_unused(now, waiting)
        if not self._done:
            return ()
        done, self._done = self._done, {}
        self._prune(now)
        return tuple(
            GiveBack(lender, SlotReturn(number, listed(slots)))
            for (lender, number), slots in done.items()
        )

    def _give_unused(self, now: float, waiting: bool) -> None:
        kept: dict[UpstreamId, list[_Slot]] = {}
        for upstream, slots in self._fresh.items():
            for slot in slots:
                if waiting and not slot.ends(now):
                    kept.setdefault(upstream, []).append(slot)
                else:
                    self._give(slot.loan, upstream)
        self._fresh = kept

    def _give(self, loan: LoanId, upstream: UpstreamId) -> None:
        self._done.setdefault(loan, Counter())[upstream] += 1

    def forget_asked(self) -> None:
        """Treat every host as not asked, once nothing waits any more."""
        self._asked.clear()

    def _answered(self, sender: HostId, slots: int) -> None:
        asked = self._asked.get(sender)
        if asked is not None:
            asked.wanted -= slots
            asked.urgent -= slots
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
