"""Tracks which version each zone has in force."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from jackdawspur.messages import Heartbeat, ZoneStatus
from jackdawspur.model import HostId

__all__ = ["ZoneDelay", "ZoneInForce", "ZoneVersionTracker"]

MAX_TIMED_VERSIONS = 64


@dataclass(frozen=True, slots=True)
class ZoneInForce:
    """Newest version that a zone reported in force."""

    zone: str
    version: int


@dataclass(frozen=True, slots=True)
class ZoneDelay:
    """Delay until a version that is in force on this host is in force in a zone."""

    zone: str
    version: int
    seconds: float


class ZoneVersionTracker:
    """Newest version in force in each zone, from heartbeats; it never decreases.

    A zone reports a version once all of its live and ready hosts have it in force. A
    zone that this host can't reach keeps its last reported version, and so counts as
    lacking the newer ones.
    """

    def __init__(self, host: HostId) -> None:
        self._host = host
        self._versions: dict[str, int] = {}
        # None for a peer in this zone that sends heartbeats but accepts no new jobs.
        self._zone_peers: dict[HostId, int | None] = {}
        self._in_force_since: OrderedDict[int, float] = OrderedDict()
        self._delays: dict[int, dict[str, float]] = {}

    @property
    def reports(self) -> tuple[ZoneStatus, ...]:
        """Return the versions of all zones for this host's next heartbeat."""
        return tuple(ZoneStatus(z, v) for z, v in sorted(self._versions.items()))

    @property
    def known(self) -> tuple[ZoneInForce, ...]:
        """Return the newest version of each zone for operators."""
        return tuple(ZoneInForce(z, v) for z, v in sorted(self._versions.items()))

    @property
    def delays(self) -> tuple[ZoneDelay, ...]:
        """Return the measured delays of the most recent versions."""
        return tuple(
            ZoneDelay(zone, version, seconds)
            for version, zones in self._delays.items()
            for zone, seconds in sorted(zones.items())
        )

    def in_force(self, version: int) -> frozenset[str]:
        """Return the zones that reported this version or a newer one in force."""
        return frozenset(z for z, known in self._versions.items() if known >= version)

    def record_version(self, version: int, now: float) -> None:
        """Record that a version came into force here; zone delays start from now."""
        self._in_force_since.setdefault(version, now)
        self._delays.setdefault(version, {})
        if len(self._in_force_since) > MAX_TIMED_VERSIONS:
            oldest, _ = self._in_force_since.popitem(last=False)
            del self._delays[oldest]

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Record a peer's version and its reports of other zones."""
        if heartbeat.host.zone == self._host.zone:
            serving = heartbeat.ready and not heartbeat.draining
            version = heartbeat.version if serving else None
            self._zone_peers[heartbeat.host] = version
        for report in heartbeat.zones:
            # Only the hosts of a zone know the versions of all of its hosts, so this
            # host ignores reports about its own zone.
            if report.zone != self._host.zone:
                self._advance(report.zone, report.version, now)

    def update_local_zone(
        self, live: Iterable[HostId], local_version: int | None, now: float
    ) -> None:
        """Update this zone's version from its live hosts.

        `local_version` is this host's version, None if it isn't ready.
        """
        alive = {host for host in live if host.zone == self._host.zone}
        self._zone_peers = {h: v for h, v in self._zone_peers.items() if h in alive}
        if alive - self._zone_peers.keys():
            # A live peer whose version is unknown may have an older one than this host.
            return
        versions = [
            v for v in (*self._zone_peers.values(), local_version) if v is not None
        ]
        if versions:
            self._advance(self._host.zone, min(versions), now)

    def _advance(self, zone: str, version: int, now: float) -> None:
        if version <= self._versions.get(zone, -1):
            return
        self._versions[zone] = version
        for known, in_force_at in self._in_force_since.items():
            if known <= version:
                self._delays[known].setdefault(zone, now - in_force_at)
