"""Heartbeats to the hosts of the own group and to other groups."""

from typing import Protocol

from msgspec.structs import replace

from jackdawspur.front._lead import LeadDriver
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

# A peer silent for this long gets a new connection, before it counts as lost.
REDIAL_S = 0.28
# Of the heartbeats to the own group, at 10 a second, every so many also tell which
# hosts are known, go to the leading hosts of other groups, and to all of their hosts.
KNOWN_EVERY = 5
OTHER_LEADS_EVERY = 2
OUTSIDERS_EVERY = 10
# By these the own group hears what was learned, in a bound of bytes.
LEARNED_EVERY = 5
# Hosts that follow one leading host need each other only when that is lost.
FOLLOWERS_EVERY = 10


class BeatOwner(Protocol):
    """Tell how a host is."""

    address: HostAddress
    group: Group
    routes: RouteTable
    views: StoreView
    lead: LeadDriver
    callers: CallerService
    able: bool


class Heartbeats:
    """Tell other hosts how this one is, and connect anew to silent ones."""

    def __init__(self, owner: BeatOwner, mesh: Mesh) -> None:
        self._owner = owner
        self._mesh = mesh
        self._redialled: dict[str, float] = {}
        self._sent = 0

    def peers(self, now: float) -> tuple[HostAddress, ...]:
        """Return the hosts to be connected to, those needed most first.

        Who leads tells all other groups, to find those that lead them; other hosts
        may have to offer a job to one of these at any moment.
        """
        group = self._owner.group
        leads = {beat.host.name for beat in group.other_group_leaders(now)}
        leads |= self._owner.callers.far_leaders()
        outsiders = group.other_group_hosts
        leading = tuple(host for host in outsiders if host.name in leads)
        if not group.is_leader:
            return group.known_peers + leading
        others = tuple(host for host in outsiders if host.name not in leads)
        return group.known_peers + leading + others

    def send(self, now: float, to_all: bool = False) -> None:
        """Send what is due to each host, `to_all` when the leading host has changed."""
        self._sent += 1
        owner, group = self._owner, self._owner.group
        done = owner.lead.progress_by_host()
        leader = group.leader(now)
        common = self._common(now)
        tells = group.is_leader and self._sent % LEARNED_EVERY == 0
        learned = owner.lead.learned(now) if tells else None
        for peer in group.known_peers:
            if not (to_all or self._is_due(peer.name, leader, now)):
                continue
            silent_s = group.silent_s(peer.name, now)
            progress = done.get(peer.name, ())
            beat = replace(
                common, silent_s=silent_s, progress=progress, learned=learned
            )
            self._mesh.send(peer.name, beat)
            self.redial_if_silent(peer.name, silent_s, now)
        if group.is_leader:
            self._send_outside(common, done, now, to_all)

    def greet(self, names: list[str], now: float) -> None:
        """Tell hosts just connected to of this one: they learn of it by that."""
        common = self._common(now)
        for name in names:
            silent_s = self._owner.group.silent_s(name, now)
            self._mesh.send(name, replace(common, silent_s=silent_s))

    def _is_due(self, name: str, leader: str | None, now: float) -> bool:
        """Tell whether a host of the group gets this heartbeat.

        Who follows nobody is to hear of all others, to choose the next leading host or
        to learn that there is one.
        """
        if leader in (self._owner.address.name, name, None):
            return True
        if self._sent % FOLLOWERS_EVERY == 0:
            return True
        return self._owner.group.is_leaderless(name, now)

    def redial_if_silent(self, name: str, silent_s: float, now: float) -> None:
        """Connect anew to a host that this one does not hear, or that does not hear it.

        Each connection carries one direction and may go silent by itself; who sends on
        it learns that only from the other side. What is queued on it is lost.
        """
        last = self._redialled.get(name, now - 2 * HEARTBEAT_TIMEOUT_S)
        ends = (name, self._owner.address.name)
        leads = self._owner.group.leader(now) in ends
        limit_s = REDIAL_S if leads else FOLLOWER_TIMEOUT_S
        if silent_s > limit_s and now - last > HEARTBEAT_TIMEOUT_S:
            self._redialled[name] = now
            self._mesh.redial(name)

    def _send_outside(
        self,
        common: HostHeartbeat,
        done: dict[str, tuple[JobProgress, ...]],
        now: float,
        to_all: bool,
    ) -> None:
        """Tell other groups who leads here, and their leading hosts what room there is.

        A host of which this one has a job hears it at the full rate, so that it notices
        its loss.
        """
        group = self._owner.group
        waiting = self._owner.lead.hosts()
        leads = [beat.host.name for beat in group.other_group_leaders(now)]
        offers_room = self._sent % OTHER_LEADS_EVERY == 0
        room = self._owner.lead.room_for(leads, now) if offers_room else {}
        for peer in group.other_group_hosts:
            due = to_all or peer.name in waiting or peer.name in room
            if due or self._sent % OUTSIDERS_EVERY == 0:
                silent_s = group.silent_s(peer.name, now)
                offered = room.get(peer.name, ())
                progress = done.get(peer.name, ())
                beat = replace(
                    common, silent_s=silent_s, room=offered, progress=progress
                )
                self._mesh.send(peer.name, beat)

    def _common(self, now: float) -> HostHeartbeat:
        """Return what all hosts are told alike."""
        owner, group = self._owner, self._owner.group
        term = group.term(now)
        return HostHeartbeat(
            host=owner.address,
            sent_at=now,
            leads=group.is_leader,
            fence=group.fence if group.is_leader else 0,
            ready=owner.able,
            draining=group.draining,
            slow=group.slow,
            configuration=owner.routes.version,
            upstreams_age_s=owner.views.age_s(now),
            knows=group.known_peers if self._sent % KNOWN_EVERY == 0 else (),
            follows=term.fence if term else 0,
            by_zone=group.by_zone,
            too_large=group.too_large,
            upstreams=len(owner.views.entries),
            wants_room=owner.lead.wants_room(now),
        )
