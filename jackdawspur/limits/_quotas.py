"""Enforcement of customers' quotas over all zones without a coordinator."""

from collections import deque
from collections.abc import Collection, Iterable, Mapping

from jackdawspur.limits._reach import HostKey, PeerReachability
from jackdawspur.limits._shares import divide, even_shares
from jackdawspur.messages import CustomerUsage
from jackdawspur.model import ClusterSpec, HostId

__all__ = ["Quotas"]

# Fraction of its even share that a host keeps even when others could use it, so that
# the first tasks of a customer start without waiting for a heartbeat.
GUARANTEED_FRACTION = 0.25
# Seconds for which a need above the even share must have been advertised before this
# host uses it: after that time the other hosts have received it, and this host has
# received theirs.
SETTLING_TIME_S = 1.0
# Seconds for which the last advertised usage is returned instead of computed again.
ADVERTISE_INTERVAL_S = 0.1
# Seconds between two divisions of one customer's quota.
DIVIDE_INTERVAL_S = 0.1


class _CustomerState:
    """One customer's counts on this host and the usage that other hosts reported."""

    __slots__ = (
        "divided_at",
        "guaranteed",
        "running_elsewhere",
        "quota",
        "reports",
        "reachable",
        "running",
        "share",
        "stale",
        "advertised_needs",
        "unbounded",
    )

    def __init__(self) -> None:
        self.quota = 0
        self.unbounded = False
        self.running = 0
        self.share = 0
        self.guaranteed = 0
        self.reachable = 0
        self.stale = True
        self.divided_at = float("-inf")
        self.running_elsewhere = 0
        self.reports: dict[HostKey, CustomerUsage] = {}
        # Pairs (time, need): at least this need has been advertised since this time.
        # Both increase.
        self.advertised_needs: deque[tuple[float, int]] = deque([(float("-inf"), 0)])

    def record_advertised_need(self, need: int, now: float) -> None:
        """Record a need that is advertised to the other hosts."""
        since = now
        while self.advertised_needs and self.advertised_needs[-1][1] > need:
            since = self.advertised_needs.pop()[0]
        if not self.advertised_needs or self.advertised_needs[-1][1] < need:
            self.advertised_needs.append((since, need))

    def settled_need(self, now: float) -> int:
        """Return the largest need advertised throughout the settling time."""
        while (
            len(self.advertised_needs) > 1
            and self.advertised_needs[1][0] <= now - SETTLING_TIME_S
        ):
            self.advertised_needs.popleft()
        return self.advertised_needs[0][1]


class Quotas:
    """Limits on the slots that each customer uses over all zones.

    Every host divides each quota by the same rule, from the needs that heartbeats
    report. An unreachable zone keeps its even share, which the others don't use.
    """

    def __init__(self, host: HostId) -> None:
        self._local_key: HostKey = (host.zone, host.name)
        self._customers: dict[str, _CustomerState] = {}
        self._reachability = PeerReachability(self._local_key)
        self._advertised: dict[str, CustomerUsage] = {}
        self._advertised_at = float("-inf")
        self._customers_by_peer: dict[HostKey, set[str]] = {}

    def set_cluster_spec(self, cluster_spec: ClusterSpec) -> None:
        """Apply the quotas and the configured entry hosts."""
        host_keys = [(entry.zone, entry.name) for entry in cluster_spec.entry_hosts]
        self._reachability.configure(host_keys, self._advertised_at)
        quotas = {c.name: c.quota_slots for c in cluster_spec.customers}
        slots = sum(upstream.slots for upstream in cluster_spec.upstreams)
        for name in self._customers.keys() | quotas.keys():
            state = self._state_of(name)
            state.quota = quotas.get(name, 0)
            # No more tasks can run than there are slots. A quota of at least that many
            # limits nothing, and dividing it would only make wide jobs wait while slots
            # are idle.
            state.unbounded = 0 < slots <= state.quota
            state.stale = True
            state.divided_at = float("-inf")

    def set_live_hosts(self, live: Collection[HostId]) -> None:
        """Set the hosts that the membership view considers live."""
        for host_key in self._reachability.set_live([(h.zone, h.name) for h in live]):
            self._forget_peer(host_key)

    def update_peer_usage(
        self, host: HostId, usage: Iterable[CustomerUsage], now: float
    ) -> None:
        """Record the usage in a heartbeat; omitted customers use nothing."""
        host_key = (host.zone, host.name)
        if host_key == self._local_key:
            return
        self._reachability.record_heartbeat(host_key, now)
        self._set_all_peer_usage(host_key, {u.customer: u for u in usage})

    def advertise(
        self, waiting: Mapping[str, int], now: float
    ) -> tuple[CustomerUsage, ...]:
        """Return the usage for this host's next heartbeat.

        This host divides quotas by the usage that it advertised, so that all hosts
        compute the same shares. Call it for each heartbeat, or more often.
        """
        if now - self._advertised_at < ADVERTISE_INTERVAL_S:
            return tuple(self._advertised.values())
        for host_key in self._reachability.drop_timed_out(now):
            self._forget_peer(host_key)
        if self._reachability.update(now):
            self._mark_all_stale()
        names = waiting.keys() | {n for n, u in self._customers.items() if u.running}
        usage = tuple(
            CustomerUsage(name, self._state_of(name).running, waiting.get(name, 0))
            for name in sorted(names)
        )
        for name in self._advertised.keys() - names:
            self._record_advertised_need(name, 0, now)
        for customer_usage in usage:
            self._record_advertised_need(
                customer_usage.customer, _need(customer_usage), now
            )
        self._advertised = {
            customer_usage.customer: customer_usage for customer_usage in usage
        }
        self._advertised_at = now
        return usage

    def may_start(self, customer: str, now: float) -> bool:
        """Return whether one more task of a customer may start here."""
        return self.headroom(customer, now) > 0

    def headroom(self, customer: str, now: float) -> int:
        """Return how many more tasks of a customer may start here."""
        state = self._updated_state(customer, now)
        if state is None:
            return 0
        if state.unbounded:
            return max(0, state.quota - state.running)
        # A share that moved here may still be in use on its previous host: tasks there
        # count until their end is reported. They don't reduce the guaranteed minimum.
        free = max(state.guaranteed, state.reachable - state.running_elsewhere)
        return max(0, min(state.share, free) - state.running)

    def share(self, customer: str, now: float) -> int:
        """Return the number of slots that a customer may use here."""
        state = self._updated_state(customer, now)
        if state is None:
            return 0
        return state.quota if state.unbounded else state.share

    def running(self, customer: str) -> int:
        """Return the number of running tasks that this host started for a customer."""
        state = self._customers.get(customer)
        return state.running if state else 0

    def started(self, customer: str, tasks: int = 1) -> None:
        """Count tasks that were sent to upstreams."""
        self._state_of(customer).running += tasks

    def ended(self, customer: str, tasks: int = 1) -> None:
        """Remove tasks that ended or were refused from the count."""
        state = self._state_of(customer)
        state.running = max(0, state.running - tasks)

    def _updated_state(self, customer: str, now: float) -> _CustomerState | None:
        state = self._customers.get(customer)
        if state and state.stale and now - state.divided_at >= DIVIDE_INTERVAL_S:
            self._divide(customer, state, now)
        return state

    def _divide(self, customer: str, state: _CustomerState, now: float) -> None:
        host_keys = self._reachability.configured
        shares = even_shares(state.quota, len(host_keys), customer)
        even_share_by_host = dict(zip(host_keys, shares, strict=True))
        members = self._reachability.members
        state.reachable = sum(
            even_share_by_host[host_key] for host_key in self._reachability.reachable
        )
        floors = [
            int(even_share_by_host[host_key] * GUARANTEED_FRACTION)
            for host_key in members
        ]
        needs = [_need(state.reports.get(host_key)) for host_key in members]
        local_index = members.index(self._local_key)
        # The share is only read when the customer has tasks here, so its
        # need is taken as at least the even share. A host that used more before the
        # others received its need, and it received theirs, would use slots that they
        # use too, and the sum would exceed the quota.
        local_need = max(state.settled_need(now), even_share_by_host[self._local_key])
        needs[local_index] = local_need
        state.share = min(
            local_need, divide(state.reachable, needs, floors)[local_index]
        )
        state.guaranteed = floors[local_index]
        state.stale = False
        state.divided_at = now

    def _record_advertised_need(self, name: str, need: int, now: float) -> None:
        state = self._state_of(name)
        state.record_advertised_need(need, now)
        state.stale = True

    def _set_all_peer_usage(
        self, host_key: HostKey, usage: dict[str, CustomerUsage]
    ) -> None:
        for name in self._customers_by_peer.get(host_key, set()) - usage.keys():
            self._set_peer_usage(host_key, name, None)
        for name, report in usage.items():
            self._set_peer_usage(host_key, name, report)
        self._customers_by_peer[host_key] = set(usage)

    def _set_peer_usage(
        self, host_key: HostKey, name: str, new: CustomerUsage | None
    ) -> None:
        state = self._state_of(name)
        old = state.reports.pop(host_key, None)
        if new is not None:
            state.reports[host_key] = new
        state.running_elsewhere += (new.running if new else 0) - (
            old.running if old else 0
        )
        state.stale = state.stale or _need(old) != _need(new)

    def _forget_peer(self, host_key: HostKey) -> None:
        self._set_all_peer_usage(host_key, {})
        del self._customers_by_peer[host_key]

    def _mark_all_stale(self) -> None:
        for state in self._customers.values():
            state.stale = True

    def _state_of(self, customer: str) -> _CustomerState:
        state = self._customers.get(customer)
        if state is None:
            state = self._customers[customer] = _CustomerState()
        return state


def _need(usage: CustomerUsage | None) -> int:
    return usage.running + usage.waiting if usage else 0
