"""The slots that one entry host may use."""

import heapq
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from jackdawspur.messages import SlotGrant, SlotRequest, SlotReturn
from jackdawspur.model import HostId, Upstream, UpstreamId, rendezvous
from jackdawspur.sharing._division import divide
from jackdawspur.sharing._limits import FIRST_BACK_OFF, LONGEST_BACK_OFF, REQUEST_LIFE
from jackdawspur.sharing._loans import Ask, Borrowing, GiveBack, Lend, Lending, refusal

__all__ = ["SlotTable"]

NOBODY: frozenset[UpstreamId] = frozenset()
NO_LIMITS: Mapping[UpstreamId, int] = {}


@dataclass(frozen=True, slots=True)
class _BackOff:
    until: float
    length: float


@dataclass(frozen=True, slots=True)
class _Unmet:
    request: SlotRequest
    until: float


class SlotTable:
    """Count the slots of the own zone's upstreams that this host holds and uses."""

    def __init__(self, own: HostId) -> None:
        self._own = own
        self._members: frozenset[HostId] = frozenset((own,))
        self._upstreams: dict[UpstreamId, Upstream] = {}
        self._base: Mapping[UpstreamId, int] = {}
        self._running: Counter[UpstreamId] = Counter()
        self._rack_running: Counter[str] = Counter()
        self._racks: dict[UpstreamId, str] = {}
        self._back_offs: dict[UpstreamId, _BackOff] = {}
        self._unmet: dict[HostId, _Unmet] = {}
        self._lending = Lending()
        self._borrowing = Borrowing()

    def set_view(
        self, upstreams: Iterable[Upstream], hosts: Iterable[HostId], now: float
    ) -> None:
        """Divide the zone's upstreams among its hosts, own included.

        Running tasks keep their slots until they end.
        """
        self._upstreams = {one.id: one for one in upstreams}
        self._members = frozenset(hosts) | {self._own}
        shares = divide(self._upstreams.values(), self._members)
        self._base = shares[self._own]
        self.expire(now)

    def capacity(self) -> int:
        """Return the slots that the division gives this host."""
        return sum(self._base.values())

    def busy(self) -> int:
        """Return the tasks of this host that occupy slots."""
        return self._running.total()

    def running(self) -> Mapping[UpstreamId, int]:
        """Return the tasks of this host on each upstream."""
        return dict(+self._running)

    def free(self, now: float) -> int:
        """Return the slots on which starts may be sent now."""
        return self._free(now).total()

    def free_own(self, now: float) -> int:
        """Return the free slots that could be lent, for heartbeats."""
        return self._lendable(now).total()

    def pick(
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
        open_slots = self._free(now)
        for name in excluded:
            open_slots.pop(name, None)
        for name, limit in limits.items():
            open_slots[name] = min(open_slots[name], limit - self._running[name])
        if pack:
            return self._packed(count, open_slots)
        return self._spread(count, open_slots)

    def take(self, upstream: UpstreamId) -> None:
        """Occupy a slot, before the start is sent."""
        self._running[upstream] += 1
        self._rack_running[self._rack(upstream)] += 1

    def release(self, upstream: UpstreamId) -> None:
        """Free the slot of a task that ended or was refused."""
        if self._running[upstream] > 0:
            self._running[upstream] -= 1
            self._rack_running[self._rack(upstream)] -= 1

    def refused(self, upstream: UpstreamId, now: float) -> None:
        """Leave an upstream that was full alone for a while, longer each time."""
        last = self._back_offs.get(upstream)
        length = min(LONGEST_BACK_OFF, 2 * last.length) if last else FIRST_BACK_OFF
        self._back_offs[upstream] = _BackOff(now + length, length)

    def accepted(self, upstream: UpstreamId) -> None:
        """Forget earlier refusals of an upstream that started a task."""
        self._back_offs.pop(upstream, None)

    def ask(
        self, waiting: int, free_slots: Mapping[HostId, int], now: float
    ) -> tuple[Ask, ...]:
        """Ask siblings for the slots that `waiting` tasks lack.

        `free_slots` holds what each sibling last said it could lend.
        """
        wanted = waiting - self.free(now)
        asks = []
        likely = sorted(free_slots.items(), key=lambda item: (-item[1], item[0]))
        for sibling, spare in likely:
            if wanted <= 0 or spare <= 0:
                break
            if sibling != self._own and self._borrowing.may_ask(sibling, now):
                asks.append(self._borrowing.ask(sibling, wanted, now))
            wanted -= spare
        return tuple(asks)

    def lend(
        self, sender: HostId, request: SlotRequest, waiting_own: int, now: float
    ) -> SlotGrant | None:
        """Grant a sibling idle slots, half of them at most; None when none is idle.

        A request that got nothing is kept for a short while, see `lend_late`.
        """
        if sender not in self._members:
            return None
        spare = self._lendable(now)
        count = min(request.wanted, (spare.total() - waiting_own + 1) // 2)
        if count <= 0:
            self._unmet[sender] = _Unmet(request, now + REQUEST_LIFE)
            return None
        self._unmet.pop(sender, None)
        chosen = Counter(self._spread(count, spare))
        return self._lending.grant(sender, request, chosen, now)

    def lend_late(self, waiting_own: int, now: float) -> tuple[Lend, ...]:
        """Grant idle slots to siblings whose recent request got none."""
        lends = []
        for sender, unmet in list(self._unmet.items()):
            grant = None
            if now < unmet.until:
                grant = self.lend(sender, unmet.request, waiting_own, now)
            if grant:
                lends.append(Lend(sender, grant))
            elif now < unmet.until:
                # A request that stays unmet must not live longer for each try.
                self._unmet[sender] = unmet
            else:
                del self._unmet[sender]
        return tuple(lends)

    def borrow(
        self, sender: HostId, grant: SlotGrant, now: float
    ) -> tuple[GiveBack, ...]:
        """Take a grant into use, or return it when it comes too late."""
        if self._borrowing.accept(sender, grant, now):
            return ()
        return (refusal(sender, grant),)

    def give_back(self, waiting: int, now: float) -> tuple[GiveBack, ...]:
        """Return borrowed slots that are no longer needed or allowed."""
        in_use = self._running - self._owned()
        return self._borrowing.give_back(in_use, now, waiting > 0)

    def returned(self, sender: HostId, message: SlotReturn) -> None:
        """Take lent slots back."""
        self._lending.returned(sender, message)

    def expire(self, now: float) -> None:
        """Take back slots that dead borrowers keep."""
        self._lending.expire(self._members, now)

    def _owned(self) -> Counter[UpstreamId]:
        return Counter(self._base) - self._lending.out

    def _free(self, now: float) -> Counter[UpstreamId]:
        free = self._owned() + self._borrowing.usable(now) - self._running
        return self._without_back_offs(free, now)

    def _lendable(self, now: float) -> Counter[UpstreamId]:
        borrowed = self._borrowing.held()
        spare = self._owned() - self._running
        own = Counter({name: n for name, n in spare.items() if name not in borrowed})
        return self._without_back_offs(own, now)

    def _without_back_offs(
        self, slots: Counter[UpstreamId], now: float
    ) -> Counter[UpstreamId]:
        for upstream, back_off in self._back_offs.items():
            if now < back_off.until:
                slots.pop(upstream, None)
        return slots

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
        order = sorted(open_slots, key=lambda name: (-open_slots[name], name))
        chosen: list[UpstreamId] = []
        for name in order:
            if len(chosen) >= count:
                break
            chosen.extend([name] * min(open_slots[name], count - len(chosen)))
        return tuple(chosen)

    def _load(self, upstream: UpstreamId, added: int) -> tuple[int, int, int]:
        # Equal loads are told apart by hash: by name, all hosts would favour one.
        running = self._running[upstream] + added
        rack = self._rack_running[self._rack(upstream)]
        return running, rack, rendezvous(self._own.name, str(upstream))

    def _rack(self, upstream: UpstreamId) -> str:
        # Kept apart from the configuration, which may drop an upstream or move it
        # to another rack while tasks run there.
        known = self._upstreams.get(upstream)
        return self._racks.setdefault(upstream, known.rack if known else "")
