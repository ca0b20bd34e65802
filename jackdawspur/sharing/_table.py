"""The slots that one entry host may use."""

import heapq
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass

from jackdawspur.messages import SlotGrant, SlotRequest, SlotReturn
from jackdawspur.model import HostId, Upstream, UpstreamId, rendezvous_hash
from jackdawspur.sharing._borrowing import Ask, Borrowing, SlotDemand
from jackdawspur.sharing._division import divide
from jackdawspur.sharing._limits import FIRST_BACK_OFF, LONGEST_BACK_OFF
from jackdawspur.sharing._loans import GiveBack, Lend, Lending
from jackdawspur.sharing._requests import OpenRequest, Requests

__all__ = ["SlotPool"]

MS = 1000.0
NOBODY: frozenset[UpstreamId] = frozenset()
NO_NEED = SlotDemand()
NO_LIMITS: Mapping[UpstreamId, int] = {}

NO_NEED = SlotDemand()


@dataclass(frozen=True, slots=True)
class _BackOff:
    until: float
    length: float


class SlotPool:
    """Count the slots that this host holds, borrows and uses.

    It holds slots of its own zone's upstreams; borrowed ones may be of other zones.
    """

    def __init__(self, own: HostId) -> None:
        self._own = own
        self._members: frozenset[HostId] = frozenset((own,))
        self._partners: frozenset[HostId] = frozenset()
        self._upstreams: dict[UpstreamId, Upstream] = {}
        self._base: Mapping[UpstreamId, int] = {}
        self._running: Counter[UpstreamId] = Counter()
        # Tasks on own slots; the others of `_running` are on borrowed ones.
        self._on_own: Counter[UpstreamId] = Counter()
        # Own slots neither lent nor used, kept up with each change; negative where
        # the share shrank below what runs.
        self._own_free: dict[UpstreamId, int] = {}
        self._busy = 0
        self._rack_running: Counter[str] = Counter()
        self._racks: dict[UpstreamId, str] = {}
        self._back_offs: dict[UpstreamId, _BackOff] = {}
        self._requests = Requests()
        self._lending = Lending()
        self._borrowing = Borrowing()

    def set_members(
        self, upstreams: Iterable[Upstream], hosts: Iterable[HostId], now: float
    ) -> None:
        """Divide the zone's upstreams among its hosts, own included.

        Running tasks keep their slots until they end.
        """
        self._upstreams = {one.id: one for one in upstreams}
        self._members = frozenset(hosts) | {self._own}
        shares = divide(self._upstreams.values(), self._members)
        self._base = shares[self._own]
        self._own_free = {
            name: count - self._lending.out[name] - self._on_own[name]
            for name, count in self._base.items()
        }
        self.reclaim_expired(now)

    def set_remote_hosts(self, hosts: Iterable[HostId]) -> None:
        """Take the live hosts of other zones that may borrow here."""
        self._partners = frozenset(hosts)

    def capacity(self) -> int:
        """Return the slots that the division gives this host."""
        return sum(self._base.values())

    def busy(self) -> int:
        """Return the tasks of this host that occupy slots."""
        return self._busy

    def running(self) -> Mapping[UpstreamId, int]:
        """Return the tasks of this host on each upstream."""
        return dict(+self._running)

    def free(self, now: float) -> int:
        """Return the slots on which starts may be sent now."""
        return sum(self.available_slots(now).values())

    def lendable_count(self, now: float) -> int:
        """Return the free slots that could be lent, for heartbeats."""
        return sum(self._lendable(now, NOBODY).values())

    def available_slots(self, now: float) -> dict[UpstreamId, int]:
        """Return the slots of each upstream on which starts may be sent now."""
        free = self._lendable(now, NOBODY)
        for name, count in self._borrowing.usable(now).items():
            if not self._is_backed_off(name, now):
                free[name] = free.get(name, 0) + count
        return free

    def select_slots(
        self,
        count: int,
        now: float,
        excluded: Collection[UpstreamId] = NOBODY,
        limits: Mapping[UpstreamId, int] = NO_LIMITS,
        pack: bool = False,
    ) -> tuple[UpstreamId, ...]:
        """Choose up to `count` slots, least busy upstream and rack first.

        `limits` caps this host's running tasks on some upstreams. With `pack` few
        upstreams are filled up instead, so that starts travel together.
        """
        open_slots = self.available_slots(now)
        for name in excluded:
            open_slots.pop(name, None)
        for name, limit in limits.items():
            if name in open_slots:
                room = limit - self._running[name]
                open_slots[name] = min(open_slots[name], room)
        if pack:
            return self._packed(count, open_slots)
        return self._spread(count, open_slots)

    def acquire(self, upstream: UpstreamId, now: float) -> None:
        """Occupy a slot, before the start is sent; an own one if there is one."""
        self._busy += 1
        self._running[upstream] += 1
        self._rack_running[self._rack(upstream)] += 1
        own_free = self._own_free.get(upstream, 0) > 0
        if own_free or not self._borrowing.take(upstream, now):
            self._on_own[upstream] += 1
            self._shift(upstream, -1)

    def release(self, upstream: UpstreamId) -> None:
        """Free the slot of a task that ended or was refused, a borrowed one first."""
        if self._running[upstream] <= 0:
            return
        self._busy -= 1
        self._running[upstream] -= 1
        self._rack_running[self._rack(upstream)] -= 1
        if not self._borrowing.release(upstream):
            self._on_own[upstream] -= 1
            self._shift(upstream, 1)

    def start_backoff(self, upstream: UpstreamId, now: float) -> None:
        """Leave an upstream that was full alone for a while, longer each time."""
        last = self._back_offs.get(upstream)
        length = min(LONGEST_BACK_OFF, 2 * last.length) if last else FIRST_BACK_OFF
        self._back_offs[upstream] = _BackOff(now + length, length)

    def reset_backoff(self, upstream: UpstreamId) -> None:
        """Forget earlier refusals of an upstream that started a task."""
        self._back_offs.pop(upstream, None)

    def request_slots(
        self,
        waiting: int,
        spare: Mapping[HostId, int],
        now: float,
        need: SlotDemand = NO_NEED,
    ) -> tuple[Ask, ...]:
        """Ask others for the slots that `waiting` tasks lack.

        `spare` holds what each host last said it could lend. Hosts of the own zone
        are asked first.
        """
        wanted = waiting - self.free(now) - self._borrowing.awaited(now)
        asks = []
        for host in sorted(spare, key=lambda host: self._preference(host, spare)):
            if wanted <= 0:
                break
            # All are told when nobody has a slot: the first to get one lends it.
            part = min(wanted, spare[host]) if spare[host] > 0 else wanted
            if self._borrowing.may_ask(host, part, need, now):
                asks.append(self._borrowing.ask(host, part, need, now))
                wanted -= max(0, spare[host])
        return tuple(asks)

    def lend(
        self,
        sender: HostId,
        request: SlotRequest,
        waiting_own: int,
        now: float,
        excluded: Collection[UpstreamId] = NOBODY,
    ) -> SlotGrant | None:
        """Grant another host slots that are idle here; None when none is idle.

        What a request lacks stays open for a short while, see `grant_pending_requests`.
        """
        if sender not in self._members and sender not in self._partners:
            return None
        self._requests.take(sender, request, now)
        for one in self._requests.by_urgency(now):
            if one.sender == sender:
                return self._grant(one, one.wanted, waiting_own, now, excluded)
        return None

    def grant_pending_requests(
        self,
        waiting_own: int,
        now: float,
        excluded: Collection[UpstreamId] = NOBODY,
        latest_start: float | None = None,
    ) -> tuple[Lend, ...]:
        """Grant idle slots to open requests, the most urgent first.

        With `latest_start`, that of the most urgent task here, only requests that
        are more urgent get some, but those before any task here.
        """
        lends = []
        for one in self._requests.by_urgency(now):
            if latest_start is None:
                grant = self._grant(one, one.wanted, waiting_own, now, excluded)
            elif one.latest_start < latest_start:
                grant = self._grant(one, one.urgent, 0, now, excluded)
            else:
                break
            if grant:
                lends.append(Lend(one.sender, grant))
        return tuple(lends)

    @property
    def has_pending_requests(self) -> bool:
        """Tell whether another host lacks slots."""
        return bool(self._requests)

    def accept_grant(
        self, sender: HostId, grant: SlotGrant, now: float
    ) -> tuple[GiveBack, ...]:
        """Take a grant into use, or return it when it comes too late."""
        if self._borrowing.accept(sender, grant, now):
            return ()
        return (GiveBack(sender, SlotReturn(grant.grant, grant.slots)),)

    def release_idle_slots(self, waiting: int, now: float) -> tuple[GiveBack, ...]:
        """Return borrowed slots that are no longer needed or allowed."""
        if not waiting:
            self._borrowing.forget_asked()
        return self._borrowing.give_back(now, waiting > 0)

    def accept_return(self, sender: HostId, message: SlotReturn) -> None:
        """Take lent slots back."""
        self._take_in(self._lending.returned(sender, message))

    def reclaim_expired(self, now: float) -> None:
        """Take back slots that dead borrowers keep."""
        self._take_in(self._lending.expire(self._members | self._partners, now))

    def _grant(
        self,
        one: OpenRequest,
        most: int,
        waiting_own: int,
        now: float,
        excluded: Collection[UpstreamId],
    ) -> SlotGrant | None:
        spare = self._lendable(now, excluded)
        count = min(most, sum(spare.values()) - waiting_own)
        if count <= 0:
            return None
        one.granted(count)
        chosen = Counter(self._spread(count, spare))
        for name, slots in chosen.items():
            self._shift(name, -slots)
        return self._lending.grant(one.sender, one.request, chosen, now)

    def _take_in(self, slots: Mapping[UpstreamId, int]) -> None:
        for name, count in slots.items():
            self._shift(name, count)

    def _shift(self, upstream: UpstreamId, count: int) -> None:
        # An upstream that left the configuration has no share to count.
        if upstream in self._own_free:
            self._own_free[upstream] += count

    def _lendable(
        self, now: float, excluded: Collection[UpstreamId]
    ) -> dict[UpstreamId, int]:
        if not excluded and not self._back_offs:
            return {name: n for name, n in self._own_free.items() if n > 0}
        return {
            name: count
            for name, count in self._own_free.items()
            if count > 0 and name not in excluded and not self._is_backed_off(name, now)
        }

    def _is_backed_off(self, upstream: UpstreamId, now: float) -> bool:
        back_off = self._back_offs.get(upstream)
        return back_off is not None and now < back_off.until

    def _preference(
        self, host: HostId, spare: Mapping[HostId, int]
    ) -> tuple[bool, bool, int, int]:
        near = host.zone == self._own.zone
        # Equal hosts in an order of each asker's own, else all would ask the same.
        order = rendezvous_hash(self._own.name, self._own.zone, host.name, host.zone)
        return spare[host] <= 0, not near, -spare[host], order

    def _spread(
        self, count: int, open_slots: Mapping[UpstreamId, int]
    ) -> tuple[UpstreamId, ...]:
        left = dict(open_slots)
        heap = [(*self._load(name, 0), name) for name, n in left.items() if n > 0]
        heapq.heapify(heap)
        chosen: list[UpstreamId] = []
        while heap and len(chosen) < count:
            name = heapq.heappop(heap)[-1]
            chosen.append(name)
            left[name] -= 1
            if left[name] > 0:
                added = open_slots[name] - left[name]
                heapq.heappush(heap, (*self._load(name, added), name))
        return tuple(chosen)

    def _packed(
        self, count: int, open_slots: Mapping[UpstreamId, int]
    ) -> tuple[UpstreamId, ...]:
        order = sorted(open_slots, key=self._pack_order(open_slots))
        chosen: list[UpstreamId] = []
        for name in order:
            if len(chosen) >= count:
                break
            chosen.extend([name] * min(open_slots[name], count - len(chosen)))
        return tuple(chosen)

    def _pack_order(
        self, open_slots: Mapping[UpstreamId, int]
    ) -> Callable[[UpstreamId], tuple[bool, int, UpstreamId]]:
        zone = self._own.zone
        return lambda name: (name.zone != zone, -open_slots[name], name)

    def _load(self, upstream: UpstreamId, added: int) -> tuple[bool, int, int, int]:
        # Equal loads are told apart by hash: by name, all hosts would favour one.
        running = self._running[upstream] + added
        rack = self._rack_running[self._rack(upstream)]
        far = upstream.zone != self._own.zone
        return far, running, rack, rendezvous_hash(self._own.name, str(upstream))

    def _rack(self, upstream: UpstreamId) -> str:
        # Kept apart from the configuration, which may drop an upstream or move it
        # to another rack while tasks run there.
        known = self._upstreams.get(upstream)
        return self._racks.setdefault(upstream, known.rack if known else "")
