"""Slots borrowed from other entry hosts, and requests for them."""

from collections import Counter
from dataclasses import dataclass

from jackdawspur.messages import SlotGrant, SlotRequest, SlotReturn
from jackdawspur.model import HostId, UpstreamId
from jackdawspur.sharing._limits import (
    IDLE_BEFORE_RETURN,
    LOAN_TERM,
    MAX_LOAN_TIME,
    REPEAT_REQUEST_AFTER,
    REPLY_TIMEOUT,
    URGENCY_MARGIN,
)
from jackdawspur.sharing._loans import OutgoingReturn, sorted_slots

__all__ = ["OutgoingRequest", "Borrowing", "SlotDemand"]

MS_PER_S = 1000.0

# Lender, and the number of its grant.
LoanId = tuple[HostId, int]


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """Request for slots to send to a host."""

    to: HostId
    request: SlotRequest


@dataclass(frozen=True, slots=True)
class SlotDemand:
    """Latest start of the most urgent waiting job, and the number of its tasks.

    `latest_start` is in seconds on the clock of this host.
    """

    latest_start: float = 0.0
    tasks: int = 0


@dataclass(frozen=True, slots=True)
class _BorrowedSlot:
    """Borrowed slot that no task has used yet."""

    loan: LoanId
    upstream: UpstreamId
    term_end: float
    received_at: float

    def must_return(self, now: float) -> bool:
        """Return whether the slot must be returned unused."""
        return now >= self.term_end or now - self.received_at >= IDLE_BEFORE_RETURN


@dataclass(slots=True)
class _SentRequest:
    at: float
    wanted: int
    urgent: int
    latest_start: float


class Borrowing:
    """Borrowed slots; each is used for a single task and then returned.

    If slots were kept longer, they would run local tasks even when the lender or a
    third host has more urgent ones.
    """

    def __init__(self) -> None:
        self._next = 1
        self._sent_requests: dict[HostId, _SentRequest] = {}
        self._request_times: dict[tuple[HostId, int], float] = {}
        self._accepted_grants: dict[LoanId, float] = {}
        self._idle: dict[UpstreamId, list[_BorrowedSlot]] = {}
        self._busy: dict[UpstreamId, list[LoanId]] = {}
        self._to_return: dict[LoanId, Counter[UpstreamId]] = {}
        self._pruned_at = 0.0

    def should_request(
        self, host: HostId, wanted: int, demand: SlotDemand, now: float
    ) -> bool:
        """Return whether no recent request to the host is as large and as urgent."""
        sent = self._sent_requests.get(host)
        if (
            sent is None
            or now - sent.at >= REPEAT_REQUEST_AFTER
            or wanted > sent.wanted
        ):
            return True
        if demand.tasks and sent.urgent <= 0:
            return True
        return demand.latest_start < sent.latest_start - URGENCY_MARGIN

    def pending_slots(self, now: float) -> int:
        """Return the number of slots requested recently and not granted yet."""
        recent = (
            request
            for request in self._sent_requests.values()
            if now - request.at < REPLY_TIMEOUT
        )
        return sum(request.wanted for request in recent)

    def create_request(
        self, host: HostId, wanted: int, demand: SlotDemand, now: float
    ) -> OutgoingRequest:
        """Create a request for slots to a host, and record it."""
        number = self._next
        self._next += 1
        urgent = min(wanted, demand.tasks)
        self._sent_requests[host] = _SentRequest(
            now, wanted, urgent, demand.latest_start
        )
        slack_ms = (demand.latest_start - now) * MS_PER_S
        self._request_times[host, number] = now
        return OutgoingRequest(host, SlotRequest(wanted, number, slack_ms, urgent))

    def accept(self, sender: HostId, grant: SlotGrant, now: float) -> bool:
        """Accept a grant; return False if it must be returned as late or unknown."""
        loan_id = (sender, grant.grant)
        if loan_id in self._accepted_grants:
            # A repeated grant: returning it would free slots on which tasks run.
            return True
        requested_at = self._request_times.get((sender, grant.request))
        if requested_at is None:
            return False
        self._accepted_grants[loan_id] = now
        # The term counts from the request, which was sent before the lender granted it.
        # So a grant that was delayed, or read after a pause, ends in time.
        term_end = requested_at + grant.term_ms / MS_PER_S
        for item in grant.slots:
            slot = _BorrowedSlot(loan_id, item.upstream, term_end, now)
            self._idle.setdefault(item.upstream, []).extend([slot] * item.slots)
        self._count_granted(sender, sum(item.slots for item in grant.slots))
        return True

    def usable(self, now: float) -> dict[UpstreamId, int]:
        """Return the borrowed slots that may be used for a start now."""
        return {
            upstream: sum(now < slot.term_end for slot in slots)
            for upstream, slots in self._idle.items()
        }

    def acquire(self, upstream: UpstreamId, now: float) -> bool:
        """Acquire a borrowed slot, and return whether there was one."""
        slots = self._idle.get(upstream, [])
        for index, slot in enumerate(slots):
            if now < slot.term_end:
                del slots[index]
                self._busy.setdefault(upstream, []).append(slot.loan)
                return True
        return False

    def release(self, upstream: UpstreamId) -> bool:
        """Release a borrowed slot whose task ended; return whether there was one."""
        loans = self._busy.get(upstream)
        if not loans:
            return False
        self._queue_return(loans.pop(), upstream)
        return True

    def take_returns(self, now: float, waiting: bool) -> tuple[OutgoingReturn, ...]:
        """Return messages that give back used slots, and expired or unneeded ones."""
        if self._idle:
            self._return_idle(now, waiting)
        if not self._to_return:
            return ()
        to_return, self._to_return = self._to_return, {}
        self._prune(now)
        return tuple(
            OutgoingReturn(lender, SlotReturn(number, sorted_slots(slots)))
            for (lender, number), slots in to_return.items()
        )

    def _return_idle(self, now: float, waiting: bool) -> None:
        retained: dict[UpstreamId, list[_BorrowedSlot]] = {}
        for upstream, slots in self._idle.items():
            for slot in slots:
                if waiting and not slot.must_return(now):
                    retained.setdefault(upstream, []).append(slot)
                else:
                    self._queue_return(slot.loan, upstream)
        self._idle = retained

    def _queue_return(self, loan: LoanId, upstream: UpstreamId) -> None:
        self._to_return.setdefault(loan, Counter())[upstream] += 1

    def clear_requests(self) -> None:
        """Drop all sent requests, as no task waits any more."""
        self._sent_requests.clear()

    def _count_granted(self, sender: HostId, slots: int) -> None:
        sent = self._sent_requests.get(sender)
        if sent is not None:
            sent.wanted -= slots
            sent.urgent -= slots
            if sent.wanted <= 0:
                del self._sent_requests[sender]

    def _prune(self, now: float) -> None:
        if now - self._pruned_at < LOAN_TERM:
            return
        self._pruned_at = now
        self._request_times = {
            key: at for key, at in self._request_times.items() if now - at < LOAN_TERM
        }
        # The lender has reclaimed the slots of older grants, so a repeat is harmless.
        self._accepted_grants = {
            key: at
            for key, at in self._accepted_grants.items()
            if now - at < MAX_LOAN_TIME
        }
