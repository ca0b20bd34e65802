"""Updates of the configuration and the list of upstreams for other hosts."""

from typing import Protocol

from jackdawspur.front._mesh import Mesh
from jackdawspur.front._routes import RouteTable
from jackdawspur.front._views import StoreView
from jackdawspur.group import ConfigurationUpdate, Group, UpstreamListUpdate

__all__ = ["PeerUpdates"]

# A list of upstreams older than this is refreshed from a peer's.
STALE_LIST_S = 2.0


class UpdatesOwner(Protocol):
    """The host's parts that the updates use."""

    group: Group
    routes: RouteTable
    view: StoreView


class PeerUpdates:
    """Send newer configurations and lists to hosts that can't read them."""

    def __init__(self, owner: UpdatesOwner, mesh: Mesh) -> None:
        self._owner = owner
        self._mesh = mesh

    def send(self, now: float) -> None:
        """Send newer configurations and lists to peers that can't read them."""
        group, view = self._owner.group, self._owner.view
        routes = self._owner.routes
        others = group.other_group_leaders(now) if group.is_leader else []
        for heartbeat in (*group.live_heartbeats(now), *others):
            if heartbeat.configuration < routes.version and view.document:
                update = ConfigurationUpdate(routes.version, view.document)
                self._mesh.send(heartbeat.host.name, update)
            age = view.age_s(now)
            only_peer_is_stale = heartbeat.upstreams_age_s > STALE_LIST_S > age
            # A host that started during an outage of the store has no list, and could
            # not lead if the others fail.
            if only_peer_is_stale or heartbeat.upstreams_age_s - age > STALE_LIST_S:
                update = UpstreamListUpdate(
                    group.clock_lower_bound(heartbeat.host.name, now),
                    age,
                    view.entries,
                    tuple(view.evacuated),
                )
                self._mesh.send(heartbeat.host.name, update)
