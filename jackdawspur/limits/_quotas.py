"""Hold a customer's quota over all zones without a coordinator."""

from collections import deque
from collections.abc import Collection, Iterable, Mapping

from jackdawspur.limits._reach import Place, Reach
from jackdawspur.limits._shares import base_shares, divide
from jackdawspur.messages import CustomerUsage
from jackdawspur.model import ClusterSpec, HostId

__all__ = ["Quotas"]

# Part of its even share that a host keeps even when others could use it, so that the
# first tasks of a customer start without waiting for a heartbeat.
KEPT_PART = 0.25
# Seconds for which a need above the even share must have been told before it counts
# here: by then the others have heard it, and their own need was heard here.
SETTLED_AFTER = 1.0
# Seconds for which an advertised usage is told again instead of counted anew.
ADVERTISE_EVERY = 0.1
# Seconds between two divisions of one customer's quota.
DIVIDE_EVERY = 0.1


class _CustomerUse:
    """Keep one customer's numbers here and what other hosts reported."""

    __slots__ = (
        "divided_at",
        "kept",
        "others",
        "quota",
        "reports",
        "reachable",
        "running",
        "share",
        "stale",
        "told",
        "unbounded",
    )

    def __init__(self) -> None:
        self.quota = 0
        self.unbounded = False
        self.running = 0
        self.share = 0
        self.kept = 0
        self.reachable = 0
        self.stale = True
        self.divided_at = float("-inf")
        self.others = 0
        self.reports: dict[Place, CustomerUsage] = {}
        # Each need with the time since which at least that much was told, both rising.
        self.told: deque[tuple[float, int]] = deque([(float("-inf"), 0)])

    def tell(self, need: int, now: float) -> None:
        """Note the need that other hosts are told."""
        since = now
        while self.told and self.told[-1][1] > need:
            since = self.told.pop()[0]
        if not self.told or self.told[-1][1] < need:
            self.told.append((since, need))

    def settled(self, now: float) -> int:
        """Return the least need that was told for long enough to be known."""
        while len(self.told) > 1 and self.told[1][0] <= now - SETTLED_AFTER:
            self.told.popleft()
        return self.told[0][1]


class Quotas:
    """Bound the slots that customers have running over all zones.

    Every host divides each quota by the same rule from the needs that heartbeats
    report. A zone out of reach keeps its even share, which the others leave alone.
    """

    def __init__(self, host: HostId) -> None:
        self._place: Place = (host.zone, host.name)
        self._customers: dict[str, _CustomerUse] = {}
        self._reach = Reach(self._place)
        self._advertised: dict[str, CustomerUsage] = {}
        self._advertised_at = float("-inf")
        self._reported: dict[Place, set[str]] = {}

    def set_cluster_spec(self, world: ClusterSpec) -> None:
        """Take the quotas and the configured entry hosts."""
        places = [(entry.zone, entry.name) for entry in world.entry_hosts]
        self._reach.configure(places, self._advertised_at)
        quotas = {c.name: c.quota_slots for c in world.customers}
        slots = sum(upstream.slots for upstream in world.upstreams)
        for name in self._customers.keys() | quotas.keys():
            use = self._use(name)
            use.quota = quotas.get(name, 0)
            # No more tasks can run than there are slots: such a quota bounds nothing,
            # and dividing it would only keep wide jobs waiting beside idle slots.
            use.unbounded = 0 < slots <= use.quota
            use.stale = True
            use.divided_at = float("-inf")

    def set_live_hosts(self, live: Collection[HostId]) -> None:
        """Take the hosts that the membership view holds for live."""
        for place in self._reach.set_live([(h.zone, h.name) for h in live]):
            self._forget(place)

    def update_peer_usage(
        self, host: HostId, usage: Iterable[CustomerUsage], now: float
    ) -> None:
        """Take in the usage of a heartbeat; customers left out use nothing."""
        place = (host.zone, host.name)
        if place == self._place:
            return
        self._reach.hear(place, now)
        self._set_reports(place, {u.customer: u for u in usage})

    def advertise(
        self, waiting: Mapping[str, int], now: float
    ) -> tuple[CustomerUsage, ...]:
        """Return the usage for this host's next heartbeat.

        This host divides by what it told the others, so that all divide alike; call
        it with each heartbeat, or more often.
        """
        if now - self._advertised_at < ADVERTISE_EVERY:
            return tuple(self._advertised.values())
        for place in self._reach.drop_unheard(now):
            self._forget(place)
        if self._reach.update(now):
            self._divide_all()
        names = waiting.keys() | {n for n, u in self._customers.items() if u.running}
        usage = tuple(
            CustomerUsage(name, self._use(name).running, waiting.get(name, 0))
            for name in sorted(names)
        )
        for name in self._advertised.keys() - names:
            self._tell(name, 0, now)
        for item in usage:
            self._tell(item.customer, _need(item), now)
        self._advertised = {item.customer: item for item in usage}
        self._advertised_at = now
        return usage

    def may_start(self, customer: str, now: float) -> bool:
        """Tell whether one more task of a customer may start here."""
        return self.headroom(customer, now) > 0

    def headroom(self, customer: str, now: float) -> int:
        """Return how many more tasks of a customer may start here."""
        use = self._current(customer, now)
        if use is None:
            return 0
        if use.unbounded:
            return max(0, use.quota - use.running)
        # A share that moved here may still be in use where it came from: tasks there
        # count until they are reported ended, but for the part always kept here.
        free = max(use.kept, use.reachable - use.others)
        return max(0, min(use.share, free) - use.running)

    def share(self, customer: str, now: float) -> int:
        """Return the slots that a customer may have running here."""
        use = self._current(customer, now)
        if use is None:
            return 0
        return use.quota if use.unbounded else use.share

    def running(self, customer: str) -> int:
        """Return the tasks that a customer has running from here."""
        use = self._customers.get(customer)
        return use.running if use else 0

    def started(self, customer: str, tasks: int = 1) -> None:
        """Count tasks that were sent to an upstream."""
        self._use(customer).running += tasks

    def ended(self, customer: str, tasks: int = 1) -> None:
        """Count tasks off that ended or were refused."""
        use = self._use(customer)
        use.running = max(0, use.running - tasks)

    def _current(self, customer: str, now: float) -> _CustomerUse | None:
        use = self._customers.get(customer)
        if use and use.stale and now - use.divided_at >= DIVIDE_EVERY:
            self._divide(customer, use, now)
        return use

    def _divide(self, customer: str, use: _CustomerUse, now: float) -> None:
        places = self._reach.configured
        split = base_shares(use.quota, len(places), customer)
        base = dict(zip(places, split, strict=True))
        members = self._reach.members
        use.reachable = sum(base[place] for place in self._reach.reachable)
        floors = [int(base[place] * KEPT_PART) for place in members]
        needs = [_need(use.reports.get(place)) for place in members]
        here = members.index(self._place)
        # A share is looked up when there is need, so the even share is always claimed.
        # A host that took more before its need was heard, and those of others here,
        # would use what they also take: the sum would exceed the quota.
        claim = max(use.settled(now), base[self._place])
        needs[here] = claim
        use.share = min(claim, divide(use.reachable, needs, floors)[here])
        use.kept = floors[here]
        use.stale = False
        use.divided_at = now

    def _tell(self, name: str, need: int, now: float) -> None:
        use = self._use(name)
        use.tell(need, now)
        use.stale = True

    def _set_reports(self, place: Place, usage: dict[str, CustomerUsage]) -> None:
        for name in self._reported.get(place, set()) - usage.keys():
            self._set_report(place, name, None)
        for name, report in usage.items():
            self._set_report(place, name, report)
        self._reported[place] = set(usage)

    def _set_report(self, place: Place, name: str, new: CustomerUsage | None) -> None:
        use = self._use(name)
        old = use.reports.pop(place, None)
        if new is not None:
            use.reports[place] = new
        use.others += (new.running if new else 0) - (old.running if old else 0)
        use.stale = use.stale or _need(old) != _need(new)

    def _forget(self, place: Place) -> None:
        self._set_reports(place, {})
        del self._reported[place]

    def _divide_all(self) -> None:
        for use in self._customers.values():
            use.stale = True

    def _use(self, customer: str) -> _CustomerUse:
        use = self._customers.get(customer)
        if use is None:
            use = self._customers[customer] = _CustomerUse()
        return use


def _need(usage: CustomerUsage | None) -> int:
    return usage.running + usage.waiting if usage else 0
