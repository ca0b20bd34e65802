"""Slots that one entry host may use."""

import heapq
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass

from jackdawspur.messages import SlotGrant, SlotRequest, SlotReturn
from jackdawspur.model import HostId, Upstream, UpstreamId, rendezvous_hash
from jackdawspur.sharing._borrowing import Borrowing, OutgoingRequest, SlotDemand
from jackdawspur.sharing._division import divide
from jackdawspur.sharing._limits import MAX_BACKOFF, MIN_BACKOFF
from jackdawspur.sharing._loans import Lending, OutgoingGrant, OutgoingReturn
from jackdawspur.sharing._requests import PendingRequest, PendingRequests

__all__ = ["SlotPool"]

MS_PER_S = 1000.0
NO_UPSTREAMS: frozenset[UpstreamId] = frozenset()
NO_DEMAND = SlotDemand()
NO_LIMITS: Mapping[UpstreamId, int] = {}

NO_DEMAND = SlotDemand()


@dataclass(frozen=True, slots=True)
class _Backoff:
    expires_at: float
    length: float


class SlotPool:
    """Slots that this host holds, borrows, lends and uses.

    Own slots are its share of the slots of its zone. Borrowed ones may belong to
    upstreams of other zones.
    """

    def __init__(self, local_id: HostId) -> None:
        self._local_id = local_id
        self._members: frozenset[HostId] = frozenset((local_id,))
        self._remote_hosts: frozenset[HostId] = frozenset()
        self._upstreams: dict[UpstreamId, Upstream] = {}
        self._share: Mapping[UpstreamId, int] = {}
        self._running: Counter[UpstreamId] = Counter()
        # Tasks on own slots; the rest of `_running` is on borrowed ones.
        self._running_on_own: Counter[UpstreamId] = Counter()
        # Own slots that are neither lent nor used, updated on each change; negative
        # where the share became smaller than the number of running tasks.
        self._own_free: dict[UpstreamId, int] = {}
        self._busy = 0
        self._rack_running: Counter[str] = Counter()
        self._racks: dict[UpstreamId, str] = {}
        self._backoffs: dict[UpstreamId, _Backoff] = {}
        self._requests = PendingRequests()
        self._lending = Lending()
        self._borrowing = Borrowing()

    def set_members(
        self, upstreams: Iterable[Upstream], hosts: Iterable[HostId], now: float
    ) -> None:
        """Divide the upstreams of the zone among its hosts, including this one.

        Running tasks keep their slots until they end.
        """
        self._upstreams = {upstream.id: upstream for upstream in upstreams}
        self._members = frozenset(hosts) | {self._local_id}
        shares = divide(self._upstreams.values(), self._members)
        self._share = shares[self._local_id]
        self._own_free = {
            upstream: count
            - self._lending.lent_slots[upstream]
            - self._running_on_own[upstream]
            for upstream, count in self._share.items()
        }
        self.reclaim_expired(now)

    def set_remote_hosts(self, hosts: Iterable[HostId]) -> None:
        """Set the live hosts of other zones that may borrow slots."""
        self._remote_hosts = frozenset(hosts)

    def capacity(self) -> int:
        """Return the number of slots that the division assigns to this host."""
        return sum(self._share.values())

    def busy(self) -> int:
        """Return the number of tasks of this host that occupy slots."""
        return self._busy

    def running(self) -> Mapping[UpstreamId, int]:
        """Return the number of tasks of this host on each upstream."""
        return dict(+self._running)

    def free(self, now: float) -> int:
        """Return the number of slots that are free for starts now."""
        return sum(self.available_slots(now).values())

    def lendable_count(self, now: float) -> int:
        """Return the number of free slots that could be lent, for heartbeats."""
        return sum(self._lendable(now, NO_UPSTREAMS).values())

    def available_slots(self, now: float) -> dict[UpstreamId, int]:
        """Return the number of slots of each upstream that are free for starts now."""
        free = self._lendable(now, NO_UPSTREAMS)
        for upstream, count in self._borrowing.usable(now).items():
            if not self._is_in_backoff(upstream, now):
                free[upstream] = free.get(upstream, 0) + count
        return free

    def select_slots(
        self,
        count: int,
        now: float,
        excluded: Collection[UpstreamId] = NO_UPSTREAMS,
        limits: Mapping[UpstreamId, int] = NO_LIMITS,
        pack: bool = False,
    ) -> tuple[UpstreamId, ...]:
        """Return the upstreams of up to `count` slots, in order of preference.

        Those of the local zone come first, then the least busy ones. Ties are broken by
        the load of the rack. `limits` bounds the running tasks of this host on some
        upstreams. With `pack`, as few upstreams as possible are filled instead, so that
        fewer batches of starts are sent.
        """
        open_slots = self.available_slots(now)
        for upstream in excluded:
            open_slots.pop(upstream, None)
        for upstream, limit in limits.items():
            if upstream in open_slots:
                headroom = limit - self._running[upstream]
                open_slots[upstream] = min(open_slots[upstream], headroom)
        if pack:
            return self._packed(count, open_slots)
        return self._spread(count, open_slots)

    def acquire(self, upstream: UpstreamId, now: float) -> None:
        """Occupy a slot before the start is sent, preferably one not borrowed."""
        self._busy += 1
        self._running[upstream] += 1
        self._rack_running[self._rack(upstream)] += 1
        own_free = self._own_free.get(upstream, 0) > 0
        if own_free or not self._borrowing.acquire(upstream, now):
            self._running_on_own[upstream] += 1
            self._adjust_free(upstream, -1)

    def release(self, upstream: UpstreamId) -> None:
        """Free the slot of an ended or refused task, preferably a borrowed one."""
        if self._running[upstream] <= 0:
            return
        self._busy -= 1
        self._running[upstream] -= 1
        self._rack_running[self._rack(upstream)] -= 1
        if not self._borrowing.release(upstream):
            self._running_on_own[upstream] -= 1
            self._adjust_free(upstream, 1)

    def start_backoff(self, upstream: UpstreamId, now: float) -> None:
        """Start an exponential backoff of an upstream that refused a start."""
        last = self._backoffs.get(upstream)
        length = min(MAX_BACKOFF, 2 * last.length) if last else MIN_BACKOFF
        self._backoffs[upstream] = _Backoff(now + length, length)

    def reset_backoff(self, upstream: UpstreamId) -> None:
        """Reset the backoff of an upstream that accepted a start."""
        self._backoffs.pop(upstream, None)

    def request_slots(
        self,
        waiting: int,
        spare: Mapping[HostId, int],
        now: float,
        demand: SlotDemand = NO_DEMAND,
    ) -> tuple[OutgoingRequest, ...]:
        """Return requests for the slots that `waiting` tasks lack.

        `spare` holds the slots that each host last reported as lendable. Hosts of the
        local zone come first.
        """
        wanted = waiting - self.free(now) - self._borrowing.pending_slots(now)
        requests = []
        for host in sorted(spare, key=lambda host: self._request_order(host, spare)):
            if wanted <= 0:
                break
            # If no host reports spare slots, all get the request: the first one that
            # has an idle slot lends it.
            count = min(wanted, spare[host]) if spare[host] > 0 else wanted
            if self._borrowing.should_request(host, count, demand, now):
                requests.append(
                    self._borrowing.create_request(host, count, demand, now)
                )
                wanted -= max(0, spare[host])
        return tuple(requests)

    def lend(
        self,
        sender: HostId,
        request: SlotRequest,
        local_waiting: int,
        now: float,
        excluded: Collection[UpstreamId] = NO_UPSTREAMS,
    ) -> SlotGrant | None:
        """Grant idle slots to another host; return None if there are none.

        The rest of the request stays pending, see `grant_pending_requests`.
        """
        if sender not in self._members and sender not in self._remote_hosts:
            return None
        self._requests.add(sender, request, now)
        for pending in self._requests.by_urgency(now):
            if pending.sender == sender:
                return self._grant(
                    pending, pending.wanted, local_waiting, now, excluded
                )
        return None

    def grant_pending_requests(
        self,
        local_waiting: int,
        now: float,
        excluded: Collection[UpstreamId] = NO_UPSTREAMS,
        latest_start: float | None = None,
    ) -> tuple[OutgoingGrant, ...]:
        """Grant idle slots to pending requests, the most urgent first.

        `latest_start` is that of the most urgent local task. If it is given, only more
        urgent requests get slots, but they take precedence over all local tasks.
        """
        grants = []
        for pending in self._requests.by_urgency(now):
            if latest_start is None:
                grant = self._grant(
                    pending, pending.wanted, local_waiting, now, excluded
                )
            elif pending.latest_start < latest_start:
                grant = self._grant(pending, pending.urgent, 0, now, excluded)
            else:
                break
            if grant:
                grants.append(OutgoingGrant(pending.sender, grant))
        return tuple(grants)

    @property
    def has_pending_requests(self) -> bool:
        """Return whether requests of other hosts are pending."""
        return bool(self._requests)

    def accept_grant(
        self, sender: HostId, grant: SlotGrant, now: float
    ) -> tuple[OutgoingReturn, ...]:
        """Accept a grant, or return it if it is late or unknown."""
        if self._borrowing.accept(sender, grant, now):
            return ()
        return (OutgoingReturn(sender, SlotReturn(grant.grant, grant.slots)),)

    def release_idle_slots(
        self, waiting: int, now: float
    ) -> tuple[OutgoingReturn, ...]:
        """Return messages that give back expired and unneeded borrowed slots."""
        if not waiting:
            self._borrowing.clear_requests()
        return self._borrowing.take_returns(now, waiting > 0)

    def accept_return(self, sender: HostId, message: SlotReturn) -> None:
        """Accept the return of lent slots."""
        self._add_free(self._lending.accept_return(sender, message))

    def reclaim_expired(self, now: float) -> None:
        """Reclaim lent slots of dead borrowers and of lost returns."""
        self._add_free(
            self._lending.reclaim_expired(self._members | self._remote_hosts, now)
        )

    def _grant(
        self,
        pending: PendingRequest,
        max_count: int,
        local_waiting: int,
        now: float,
        excluded: Collection[UpstreamId],
    ) -> SlotGrant | None:
        spare = self._lendable(now, excluded)
        count = min(max_count, sum(spare.values()) - local_waiting)
        if count <= 0:
            return None
        pending.count_granted(count)
        chosen = Counter(self._spread(count, spare))
        for upstream, slots in chosen.items():
            self._adjust_free(upstream, -slots)
        return self._lending.grant(pending.sender, pending.request, chosen, now)

    def _add_free(self, slots: Mapping[UpstreamId, int]) -> None:
        for upstream, count in slots.items():
            self._adjust_free(upstream, count)

    def _adjust_free(self, upstream: UpstreamId, count: int) -> None:
        # An upstream that was removed from the configuration has no share.
        if upstream in self._own_free:
            self._own_free[upstream] += count

    def _lendable(
        self, now: float, excluded: Collection[UpstreamId]
    ) -> dict[UpstreamId, int]:
        if not excluded and not self._backoffs:
            return {upstream: n for upstream, n in self._own_free.items() if n > 0}
        return {
            upstream: count
            for upstream, count in self._own_free.items()
            if count > 0
            and upstream not in excluded
            and not self._is_in_backoff(upstream, now)
        }

    def _is_in_backoff(self, upstream: UpstreamId, now: float) -> bool:
        backoff = self._backoffs.get(upstream)
        return backoff is not None and now < backoff.expires_at

    def _request_order(
        self, host: HostId, spare: Mapping[HostId, int]
    ) -> tuple[bool, bool, int, int]:
        is_local = host.zone == self._local_id.zone
        # Ties are broken by a hash that differs by requesting host, or all hosts would
        # send their requests to the same one.
        order = rendezvous_hash(
            self._local_id.name, self._local_id.zone, host.name, host.zone
        )
        return spare[host] <= 0, not is_local, -spare[host], order

    def _spread(
        self, count: int, open_slots: Mapping[UpstreamId, int]
    ) -> tuple[UpstreamId, ...]:
        remaining = dict(open_slots)
        heap = [
            (*self._spread_order(upstream, 0), upstream)
            for upstream, n in remaining.items()
            if n > 0
        ]
        heapq.heapify(heap)
        chosen: list[UpstreamId] = []
        while heap and len(chosen) < count:
            upstream = heapq.heappop(heap)[-1]
            chosen.append(upstream)
            remaining[upstream] -= 1
            if remaining[upstream] > 0:
                added = open_slots[upstream] - remaining[upstream]
                heapq.heappush(heap, (*self._spread_order(upstream, added), upstream))
        return tuple(chosen)

    def _packed(
        self, count: int, open_slots: Mapping[UpstreamId, int]
    ) -> tuple[UpstreamId, ...]:
        order = sorted(open_slots, key=self._pack_order(open_slots))
        chosen: list[UpstreamId] = []
        for upstream in order:
            if len(chosen) >= count:
                break
            chosen.extend([upstream] * min(open_slots[upstream], count - len(chosen)))
        return tuple(chosen)

    def _pack_order(
        self, open_slots: Mapping[UpstreamId, int]
    ) -> Callable[[UpstreamId], tuple[bool, int, UpstreamId]]:
        zone = self._local_id.zone
        return lambda upstream: (upstream.zone != zone, -open_slots[upstream], upstream)

    def _spread_order(
        self, upstream: UpstreamId, added: int
    ) -> tuple[bool, int, int, int]:
        # Ties are broken by a hash that differs by host, or all hosts would prefer the
        # same upstream.
        running = self._running[upstream] + added
        rack = self._rack_running[self._rack(upstream)]
        is_remote = upstream.zone != self._local_id.zone
        return (
            is_remote,
            running,
            rack,
            rendezvous_hash(self._local_id.name, str(upstream)),
        )

    def _rack(self, upstream: UpstreamId) -> str:
        # Cached, as the configuration may remove an upstream or move it to another rack
        # while tasks run there.
        known = self._upstreams.get(upstream)
        return self._racks.setdefault(upstream, known.rack if known else "")
