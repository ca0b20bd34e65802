"""Which entry hosts live."""

from jackdawspur.membership._limits import GONE_AFTER, RESUME_GAP
from jackdawspur.membership._liveness import LivenessTable, OwnerState, Sighting
from jackdawspur.membership._pace import HeartbeatIntervals, heartbeat_intervals
from jackdawspur.model import ClusterSpec, HostId

__all__ = ["Members"]

UNHEARD_INCARNATION = 0


class Members:
    """Judge by the times of their signals which entry hosts live."""

    def __init__(self, own: HostId, now: float) -> None:
        self.own = own
        self.now = now
        self.intervals = HeartbeatIntervals()
        self.sightings = LivenessTable()
        self._names: dict[str, list[str]] = {}
        # Signals before this do not count; the view settles at the second time.
        self._awake_at = now
        self._settled_at = now + self.intervals.sibling_timeout

    @property
    def settled(self) -> bool:
        """Tell whether enough time passed since the start or a pause."""
        return self.now >= self._settled_at

    def set_cluster_spec(self, world: ClusterSpec, now: float) -> None:
        """Take the configured hosts into account."""
        first = not self._names
        self._names = {}
        for host in sorted(world.entry_hosts, key=lambda one: (one.zone, one.name)):
            self._names.setdefault(host.zone, []).append(host.name)
        self.intervals = heartbeat_intervals(world)
        self.sightings.forget(self._names)
        if first:
            self._settled_at = now + self.intervals.sibling_timeout

    def resumed(self, now: float, gap: float) -> bool:
        """Drop beliefs after a pause; false when the gap was too short to matter."""
        if gap < RESUME_GAP:
            return False
        self._awake_at = now
        self._settled_at = now + self.intervals.sibling_timeout
        return True

    def zones(self) -> list[str]:
        """Return the zones that have configured hosts."""
        return list(self._names)

    def configured(self, zone: str) -> list[HostId]:
        """Return the configured hosts of a zone as far as their runs are known."""
        return [
            self.current(zone, name) or HostId(zone, name, UNHEARD_INCARNATION)
            for name in self._names.get(zone, ())
        ]

    def fresh(self, zone: str) -> list[Sighting]:
        """Return the sightings of live hosts of a zone, without this host."""
        return [one for one in self.sightings.of_zone(zone) if self._is_fresh(one)]

    def live(self, zone: str) -> tuple[HostId, ...]:
        """Return the live hosts of a zone, own included, in order."""
        hosts = [one.host for one in self.fresh(zone)]
        if zone == self.own.zone:
            hosts.append(self.own)
        return tuple(sorted(hosts))

    def sharers(self) -> tuple[HostId, ...]:
        """Return the hosts among which the own zone's slots are divided."""
        shared = {
            one.host.name: one.host
            for one in self.fresh(self.own.zone)
            if one.beat is None or one.beat.ready or one.beat.draining
        }
        if not self.settled:
            for host in self.configured(self.own.zone):
                shared.setdefault(host.name, host)
        shared[self.own.name] = self.own
        return tuple(sorted(shared.values()))

    def is_live(self, host: HostId) -> bool:
        """Tell whether this very incarnation is live."""
        if host == self.own:
            return True
        sighting = self.sightings.get(host.zone, host.name)
        return bool(sighting and sighting.host == host and self._is_fresh(sighting))

    def current(self, zone: str, name: str) -> HostId | None:
        """Return the latest incarnation known of a host, live or not."""
        if (zone, name) == (self.own.zone, self.own.name):
            return self.own
        sighting = self.sightings.get(zone, name)
        return sighting.host if sighting else None

    def owner_state(self, owner: HostId) -> OwnerState:
        """Tell whether the owner of a submission can still answer for it."""
        if self.is_live(owner):
            return OwnerState.LIVE
        current = self.current(owner.zone, owner.name)
        if current and current.incarnation > owner.incarnation:
            return OwnerState.GONE
        sighting = self.sightings.get(owner.zone, owner.name)
        last = sighting.last_at if sighting else self._awake_at
        silence = self.now - max(last, self._awake_at)
        # A whole zone that is cut off comes back with its hosts and their jobs.
        reachable = owner.zone == self.own.zone or bool(self.fresh(owner.zone))
        bound = max(GONE_AFTER, 2 * self.intervals.relayed_timeout)
        if owner.zone == self.own.zone:
            bound = GONE_AFTER
        return OwnerState.GONE if silence >= bound and reachable else OwnerState.UNHEARD

    def _is_fresh(self, one: Sighting) -> bool:
        if one.last_at < self._awake_at:
            return False
        if one.host.zone == self.own.zone:
            return self.now - one.direct_at < self.intervals.sibling_timeout
        return (
            self.now - one.direct_at < self.intervals.link_timeout
            or self.now - one.linked_at < self.intervals.mention_timeout
            or self.now - one.passed_at < self.intervals.relayed_timeout
        )
