"""Heartbeats to the hosts of this group and to other groups."""

from typing import Protocol

from msgspec.structs import replace

from jackdawspur.front._leader_driver import LeaderDriver
from jackdawspur.front._mesh import Mesh
from jackdawspur.front._routes import RouteTable
from jackdawspur.front._service import CallerService
from jackdawspur.front._views import StoreView
from jackdawspur.group import (
    FOLLOWER_TIMEOUT_S,
    HEARTBEAT_TIMEOUT_S,
    Group,
    HostAddress,
    HostHeartbeat,
    JobProgress,
)

__all__ = ["Heartbeats"]

# After this time without a message a peer gets a new connection, before it counts as
# lost.
REDIAL_S = 0.28
# The group gets 10 heartbeats a second. Only every n-th one lists the known hosts, is
# also sent to the leaders of other groups, or is also sent to all their hosts.
KNOWN_EVERY = 5
OTHER_LEADERS_EVERY = 2
OTHER_HOSTS_EVERY = 10
# Only every n-th one carries learned statistics, to limit the bytes sent.
LEARNED_EVERY = 5
# Every n-th one carries the demand, as do those sent to all hosts: if a new leader is
# lost before the next one, the leader after it knows the demand too.
DEMAND_EVERY = 5
# Demand and learned statistics are in different heartbeats.
DEMAND_PHASE = 2
# Only every n-th one is sent to other followers of the same leader: followers need each
# other's heartbeats only when the leader is lost.
FOLLOWERS_EVERY = 10


class HeartbeatOwner(Protocol):
    """The host's parts whose state heartbeats report."""

    address: HostAddress
    group: Group
    routes: RouteTable
    view: StoreView
    leader_driver: LeaderDriver
    callers: CallerService
    can_lead: bool


class Heartbeats:
    """Sends heartbeats to other hosts and reconnects to unresponsive ones."""

    def __init__(self, owner: HeartbeatOwner, mesh: Mesh) -> None:
        self._owner = owner
        self._mesh = mesh
        self._redialled: dict[str, float] = {}
        self._sent = 0

    def peers(self, now: float) -> tuple[HostAddress, ...]:
        """Return the hosts to connect to, in order of priority.

        A leader connects to all hosts of other groups, to discover their leaders. Other
        hosts connect to these leaders only, since they may have to offer a job to one
        of them at any moment.
        """
        group = self._owner.group
        names = {heartbeat.host.name for heartbeat in group.other_group_leaders(now)}
        names |= self._owner.callers.remote_leaders()
        other_hosts = group.other_group_hosts
        leaders = tuple(host for host in other_hosts if host.name in names)
        if not group.is_leader:
            return group.known_peers + leaders
        followers = tuple(host for host in other_hosts if host.name not in names)
        return group.known_peers + leaders + followers

    def send(self, now: float, to_all: bool = False) -> None:
        """Send the heartbeats that are due; `to_all` if the leader has changed."""
        self._sent += 1
        owner, group = self._owner, self._owner.group
        progress_by_host = owner.leader_driver.progress_by_host()
        leader = group.leader(now)
        common = self._common(now)
        sends_learned = group.is_leader and self._sent % LEARNED_EVERY == 0
        exchange = owner.leader_driver.exchange
        learned = exchange.next_learned(now) if sends_learned else None
        sends_demand = group.is_leader and (
            to_all or self._sent % DEMAND_EVERY == DEMAND_PHASE
        )
        demand = exchange.next_demand(now) if sends_demand else None
        for peer in group.known_peers:
            if not (to_all or self._is_due(peer.name, leader, now)):
                continue
            silent_s = group.silent_s(peer.name, now)
            progress = progress_by_host.get(peer.name, ())
            heartbeat = replace(
                common,
                silent_s=silent_s,
                progress=progress,
                learned=learned,
                demand=demand,
            )
            self._mesh.send(peer.name, heartbeat)
            self.redial_if_unresponsive(peer.name, silent_s, now)
        if group.is_leader:
            self._send_to_other_groups(common, progress_by_host, now, to_all)

    def greet(self, names: list[str], now: float) -> None:
        """Send a heartbeat to new connections, so that the hosts learn of this one."""
        common = self._common(now)
        for name in names:
            silent_s = self._owner.group.silent_s(name, now)
            self._mesh.send(name, replace(common, silent_s=silent_s))

    def _is_due(self, name: str, leader: str | None, now: float) -> bool:
        """Return whether a host of the group gets this heartbeat.

        A host without a leader needs the heartbeats of all others, to elect the next
        leader or to learn that there is one.
        """
        if leader in (self._owner.address.name, name, None):
            return True
        if self._sent % FOLLOWERS_EVERY == 0:
            return True
        return self._owner.group.is_leaderless(name, now)

    def redial_if_unresponsive(self, name: str, silent_s: float, now: float) -> None:
        """Reconnect to a host if messages are lost in one of the two directions.

        Each connection carries messages in one direction and may stop delivering them
        while the other one works; the sender learns of this only from the receiver.
        Messages queued on the connection are lost.
        """
        last = self._redialled.get(name, now - 2 * HEARTBEAT_TIMEOUT_S)
        endpoints = (name, self._owner.address.name)
        leader_involved = self._owner.group.leader(now) in endpoints
        limit_s = REDIAL_S if leader_involved else FOLLOWER_TIMEOUT_S
        if silent_s > limit_s and now - last > HEARTBEAT_TIMEOUT_S:
            self._redialled[name] = now
            self._mesh.redial(name)

    def _send_to_other_groups(
        self,
        common: HostHeartbeat,
        progress_by_host: dict[str, tuple[JobProgress, ...]],
        now: float,
        to_all: bool,
    ) -> None:
        """Send heartbeats to other groups, and capacity offers to their leaders.

        Hosts that have a job here get them at the full rate, so that they notice the
        loss of this host.
        """
        group = self._owner.group
        job_hosts = self._owner.leader_driver.hosts_with_jobs()
        names = [heartbeat.host.name for heartbeat in group.other_group_leaders(now)]
        is_due = self._sent % OTHER_LEADERS_EVERY == 0
        exchange = self._owner.leader_driver.exchange
        offers = exchange.capacity_for(names, now) if is_due else {}
        loads = exchange.loads_for(names, now) if is_due else {}
        for peer in group.other_group_hosts:
            due = to_all or peer.name in job_hosts or peer.name in offers
            if due or self._sent % OTHER_HOSTS_EVERY == 0:
                silent_s = group.silent_s(peer.name, now)
                offered = offers.get(peer.name, ())
                progress = progress_by_host.get(peer.name, ())
                heartbeat = replace(
                    common,
                    silent_s=silent_s,
                    room=offered,
                    loads=loads.get(peer.name, ()),
                    progress=progress,
                )
                self._mesh.send(peer.name, heartbeat)

    def _common(self, now: float) -> HostHeartbeat:
        """Return the heartbeat without the fields that depend on the receiver."""
        owner, group = self._owner, self._owner.group
        term = group.term(now)
        return HostHeartbeat(
            host=owner.address,
            sent_at=now,
            leads=group.is_leader,
            fence=group.fence if group.is_leader else 0,
            ready=owner.can_lead,
            draining=group.draining,
            slow=group.slow,
            configuration=owner.routes.version,
            upstreams_age_s=owner.view.age_s(now),
            knows=group.known_peers if self._sent % KNOWN_EVERY == 0 else (),
            follows=term.fence if term else 0,
            by_zone=group.by_zone,
            too_large=group.too_large,
            upstreams=len(owner.view.entries),
            wants_room=owner.leader_driver.needs_capacity(now),
            available=owner.leader_driver.availability.is_available,
        )
