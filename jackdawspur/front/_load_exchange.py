"""Exchange of capacity, load and learned values between leaders and their hosts."""

import logging
from typing import Protocol

from msgspec.structs import asdict

from jackdawspur.group import CapacityOffer, Group, HostHeartbeat
from jackdawspur.model import HostId
from jackdawspur.runs import (
    MAX_STATE_AGE_S,
    DemandState,
    Dispatcher,
    LearnedStats,
    ReceivedDemand,
    RemoteLeader,
    ServiceLoad,
    SpareCapacity,
    demand_update,
    divide_loads,
    split_round_robin,
)

__all__ = ["LoadExchange"]

log = logging.getLogger("jackdawspur.decisions")


class ExchangeOwner(Protocol):
    """The host's parts that the exchange uses."""

    group: Group


class LoadExchange:
    """Fill in and read the fields of heartbeats about capacity and load."""

    def __init__(self, dispatcher: Dispatcher, owner: ExchangeOwner) -> None:
        self._dispatcher = dispatcher
        self._owner = owner
        self._received_demand = ReceivedDemand()

    def record_capacity_offer(self, heartbeat: HostHeartbeat, now: float) -> None:
        """Record the free capacity that the leader of another group offers."""
        capacity = {
            offer.service: SpareCapacity(offer.free, offer.slow)
            for offer in heartbeat.room
        }
        remote_leader = RemoteLeader(heartbeat.host.name, heartbeat.fence)
        self._dispatcher.update_offered_capacity(remote_leader, capacity, now)

    def record_loads(self, heartbeat: HostHeartbeat, now: float) -> None:
        """Record the load that the leader of another group reports."""
        remote_leader = RemoteLeader(heartbeat.host.name, heartbeat.fence)
        reported = self._dispatcher.load_tracker.reported_loads
        reported.update(remote_leader, heartbeat.loads, now)

    def next_learned(self, now: float) -> LearnedStats | None:
        """Return the next update of learned statistics for the hosts of the group."""
        return self._dispatcher.estimates.next_update(now)

    def record_learned(self, heartbeat: HostHeartbeat, now: float) -> None:
        """Merge the learned statistics that the leader of this group sent."""
        from_leader = heartbeat.host.name == self._owner.group.leader(now)
        if heartbeat.learned is not None and from_leader:
            self._dispatcher.estimates.merge_update(heartbeat.learned, now)

    def next_demand(self, now: float) -> DemandState | None:
        """Return the demand for the next leader, to be sent to the group's hosts."""
        state = self._dispatcher.load_tracker.demand_state(now)
        receivers = len(self._owner.group.known_peers)
        return None if state is None else demand_update(state, receivers)

    def record_demand(self, heartbeat: HostHeartbeat, now: float) -> None:
        """Record the demand that the leader of this group sent."""
        host = heartbeat.host
        sender = HostId(host.zone, host.name, host.started_ms)
        self._received_demand.record_clock(sender, heartbeat.sent_at, now)
        term = self._owner.group.term(now)
        if heartbeat.demand is None or term is None:
            return
        if (term.leader, term.fence) == (host.name, heartbeat.fence):
            self._received_demand.record(
                heartbeat.demand, sender, term.fence, heartbeat.sent_at, now
            )

    def take_over_demand(self, now: float) -> None:
        """Start a term with the demand that the previous leader sent, if it is recent.

        Without it, all jobs would be admitted until this leader has observed the demand
        for about half a second.
        """
        state, age_s = self._received_demand.latest(now) or (None, None)
        self._received_demand.clear()
        details = {} if age_s is None else {"age_s": round(age_s, 3)}
        if state is None or not state.classes or age_s > MAX_STATE_AGE_S:
            log.info("demand unknown", extra=details)
            return
        self._dispatcher.load_tracker.seed(state, age_s, now)
        classes = [asdict(demand) for demand in state.classes]
        log.info("demand taken over", extra=details | {"classes": classes})

    def capacity_for(
        self, leaders: list[str], now: float
    ) -> dict[str, tuple[CapacityOffer, ...]]:
        """Return the free capacity to offer to each leader of another group.

        If any of them needs capacity, only these get offers.
        """
        needing = self._needing(now)
        receivers = [name for name in leaders if name in needing] or leaders
        offers_by_leader: dict[str, list[CapacityOffer]] = {
            name: [] for name in leaders
        }
        for service, spare in self._dispatcher.spare_capacity(now).items():
            fast, slow = (
                split_round_robin(spare.fast, receivers),
                split_round_robin(spare.slow, receivers),
            )
            for name in receivers:
                offers_by_leader[name].append(
                    CapacityOffer(service, fast[name], slow[name])
                )
        return {name: tuple(offers) for name, offers in offers_by_leader.items()}

    def loads_for(
        self, leaders: list[str], now: float
    ) -> dict[str, tuple[ServiceLoad, ...]]:
        """Return the load to report to each leader of another group."""
        tracker = self._dispatcher.load_tracker
        return divide_loads(
            tracker.service_loads(now),
            leaders,
            self._needing(now),
            tracker.reported_loads.lacking(now),
        )

    def _needing(self, now: float) -> set[str]:
        """Return the leaders of other groups that need capacity."""
        heartbeats = self._owner.group.other_group_leaders(now)
        return {heartbeat.host.name for heartbeat in heartbeats if heartbeat.wants_room}
