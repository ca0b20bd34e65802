"""Hold a customer's quota over all zones without a coordinator."""

from collections.abc import Collection, Iterable, Mapping

from jackdawspur.limits._shares import base_shares, divide
from jackdawspur.messages import CustomerUsage
from jackdawspur.model import HostId, World

__all__ = ["Quotas"]

# Part of its even share that a host keeps even when others could use it, so that the
# first tasks of a customer start without waiting for a heartbeat.
KEPT_PART = 0.25
# A need above the even share counts here once this many heartbeats in a row told it:
# by then every other host has heard it, and its own need was heard here.
SETTLED_AFTER = 3
# Seconds between two divisions of one customer's quota.
DIVIDE_EVERY = 0.1
# Seconds after which a host that sends nothing counts as out of reach.
UNHEARD_AFTER = 3.0

Place = tuple[str, str]


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
        "sent",
        "share",
        "stale",
    )

    def __init__(self) -> None:
        self.quota = 0
        self.running = 0
        self.share = 0
        self.kept = 0
        self.reachable = 0
        self.stale = True
        self.divided_at = float("-inf")
        self.others = 0
        self.reports: dict[Place, CustomerUsage] = {}
        self.sent = [0] * SETTLED_AFTER


class Quotas:
    """Bound the slots that customers have running over all zones.

    Every host divides each quota by the same rule from the needs that heartbeats
    report. A zone out of reach keeps its even share, which the others leave alone.
    """

    def __init__(self, host: HostId) -> None:
        self._place: Place = (host.zone, host.name)
        self._customers: dict[str, _CustomerUse] = {}
        self._configured: list[Place] = [self._place]
        self._live: set[Place] = {self._place}
        self._members: list[Place] = [self._place]
        self._reachable: list[Place] = [self._place]
        self._heard: dict[Place, float] = {}
        self._zones_since: dict[str, float] = {}
        self._advertised: set[str] = set()
        self._reported: dict[Place, set[str]] = {}

    def set_world(self, world: World) -> None:
        """Take the quotas and the configured entry hosts."""
        places = {(entry.zone, entry.name) for entry in world.entry_hosts}
        self._configured = sorted(places | {self._place})
        quotas = {c.name: c.quota_slots for c in world.customers}
        for name in self._customers.keys() | quotas.keys():
            use = self._use(name)
            use.quota = quotas.get(name, 0)
            use.stale = True
            use.divided_at = float("-inf")
        self._find_reachable(float("-inf"))

    def set_view(self, live: Collection[HostId]) -> None:
        """Take the hosts that the membership view holds for live."""
        places = {(host.zone, host.name) for host in live} | {self._place}
        for place in self._live - places:
            self._forget(place)
        self._live = places

    def reported(
        self, host: HostId, usage: Iterable[CustomerUsage], now: float
    ) -> None:
        """Take in the usage of a heartbeat; customers left out use nothing."""
        place = (host.zone, host.name)
        if place == self._place:
            return
        self._heard[place] = now
        self._set_reports(place, {u.customer: u for u in usage})

    def advertise(
        self, waiting: Mapping[str, int], now: float
    ) -> tuple[CustomerUsage, ...]:
        """Return the usage for this host's next heartbeat.

        This host divides by what it told the others, so that all divide alike; call
        it once a heartbeat.
        """
        self._drop_unheard(now)
        self._find_reachable(now)
        names = waiting.keys() | {n for n, u in self._customers.items() if u.running}
        usage = tuple(
            CustomerUsage(name, self._use(name).running, waiting.get(name, 0))
            for name in sorted(names)
        )
        for name in names | self._advertised:
            self._use(name).stale = True
        for name in self._advertised - names:
            self._use(name).sent = [0] * SETTLED_AFTER
        for item in usage:
            use = self._use(item.customer)
            use.sent = [*use.sent[1:], _need(item)]
        self._advertised = names
        return usage

    def may_start(self, customer: str, now: float) -> bool:
        """Tell whether one more task of a customer may start here."""
        use = self._current(customer, now)
        if use is None or use.running >= use.share:
            return False
        # A share that moved here may still be in use where it came from: tasks there
        # count until they are reported ended, but for the part always kept here.
        return use.running < use.kept or use.running + use.others < use.reachable

    def share(self, customer: str, now: float) -> int:
        """Return the slots that a customer may have running here."""
        use = self._current(customer, now)
        return use.share if use else 0

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
        places = self._configured
        split = base_shares(use.quota, len(places), customer)
        base = dict(zip(places, split, strict=True))
        use.reachable = sum(base[place] for place in self._reachable)
        floors = [int(base[place] * KEPT_PART) for place in self._members]
        needs = [_need(use.reports.get(place)) for place in self._members]
        here = self._members.index(self._place)
        # A share is looked up when there is need, so the even share is always claimed.
        # A host that took more before its need was heard, and those of others here,
        # would use what they also take: the sum would exceed the quota.
        claim = max(min(use.sent), base[self._place])
        needs[here] = claim
        use.share = min(claim, divide(use.reachable, needs, floors)[here])
        use.kept = floors[here]
        use.stale = False
        use.divided_at = now

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

    def _drop_unheard(self, now: float) -> None:
        late = [p for p, heard in self._heard.items() if now - heard > UNHEARD_AFTER]
        for place in late:
            self._forget(place)

    def _forget(self, place: Place) -> None:
        self._heard.pop(place, None)
        self._set_reports(place, {})
        del self._reported[place]

    def _find_reachable(self, now: float) -> None:
        """Tell hosts that are dead from those that may be cut off.

        A host missing from a zone that is heard is dead, and the others divide its
        share. A zone of which nothing is heard may be cut off and running on its
        share, so that stays unused; and a host that hears nobody may be the one cut
        off, and takes only its own. When a zone is heard again, its hosts get as long
        to be heard as they had to be missed.
        """
        heard = self._heard.keys() & self._live & set(self._configured)
        zones = {zone for zone, _ in heard}
        if zones:
            zones.add(self._place[0])
        since = {zone: self._zones_since.get(zone, now) for zone in zones}
        whole = {zone for zone in zones if now - since[zone] > UNHEARD_AFTER}
        heard.add(self._place)
        members = [p for p in self._configured if p in heard]
        reachable = [p for p in self._configured if p in heard or p[0] in whole]
        self._zones_since = since
        if (members, reachable) == (self._members, self._reachable):
            return
        self._members = members
        self._reachable = reachable
        for use in self._customers.values():
            use.stale = True

    def _use(self, customer: str) -> _CustomerUse:
        use = self._customers.get(customer)
        if use is None:
            use = self._customers[customer] = _CustomerUse()
        return use


def _need(usage: CustomerUsage | None) -> int:
    return usage.running + usage.waiting if usage else 0
