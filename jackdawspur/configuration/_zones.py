"""Know which zones have which version in force."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from jackdawspur.messages import Heartbeat, ZoneStatus
from jackdawspur.model import HostId

__all__ = ["ZoneDelay", "ZoneInForce", "ZoneReports"]

VERSIONS_TIMED = 64


@dataclass(frozen=True, slots=True)
class ZoneInForce:
    """Tell the newest version that a zone reported in force."""

    zone: str
    version: int


@dataclass(frozen=True, slots=True)
class ZoneDelay:
    """Tell how long after this host's own reading a zone had a version in force."""

    zone: str
    version: int
    seconds: float


class ZoneReports:
    """Merge the heartbeats' reports; a zone's version only grows.

    A zone reports a version once every ready live host of it has that version. A
    zone that doesn't reach this host keeps its last report: it lacks the newer ones.
    """

    def __init__(self, host: HostId) -> None:
        self._host = host
        self._versions: dict[str, int] = {}
        # None for a sibling that was heard but takes no new jobs.
        self._siblings: dict[HostId, int | None] = {}
        self._read_at: OrderedDict[int, float] = OrderedDict()
        self._delays: dict[int, dict[str, float]] = {}

    @property
    def reports(self) -> tuple[ZoneStatus, ...]:
        """Return what this host's next heartbeat says of all zones."""
        return tuple(ZoneStatus(z, v) for z, v in sorted(self._versions.items()))

    @property
    def known(self) -> tuple[ZoneInForce, ...]:
        """Return the newest version of each zone for people."""
        return tuple(ZoneInForce(z, v) for z, v in sorted(self._versions.items()))

    @property
    def delays(self) -> tuple[ZoneDelay, ...]:
        """Return the measured delays of the newest versions."""
        return tuple(
            ZoneDelay(zone, version, seconds)
            for version, zones in self._delays.items()
            for zone, seconds in sorted(zones.items())
        )

    def in_force(self, version: int) -> frozenset[str]:
        """Return the zones that reported a version or a newer one."""
        return frozenset(z for z, known in self._versions.items() if known >= version)

    def note_version(self, version: int, now: float) -> None:
        """Start the clock of a version that came into force on this host."""
        self._read_at.setdefault(version, now)
        self._delays.setdefault(version, {})
        if len(self._read_at) > VERSIONS_TIMED:
            oldest, _ = self._read_at.popitem(last=False)
            del self._delays[oldest]

    def note_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Take a peer's own version and what it heard of other zones."""
        if heartbeat.host.zone == self._host.zone:
            serving = heartbeat.ready and not heartbeat.draining
            version = heartbeat.version if serving else None
            self._siblings[heartbeat.host] = version
        for report in heartbeat.zones:
            # Only hosts of a zone can tell for all of them; for its own zone a host
            # takes no one else's word.
            if report.zone != self._host.zone:
                self._raise(report.zone, report.version, now)

    def settle(self, live: Iterable[HostId], own: int | None, now: float) -> None:
        """Work out this zone's version from its live hosts; `own` None if unready."""
        alive = {host for host in live if host.zone == self._host.zone}
        self._siblings = {h: v for h, v in self._siblings.items() if h in alive}
        if alive - self._siblings.keys():
            # A sibling that others hear may serve an older version than this host's.
            return
        versions = [v for v in (*self._siblings.values(), own) if v is not None]
        if versions:
            self._raise(self._host.zone, min(versions), now)

    def _raise(self, zone: str, version: int, now: float) -> None:
        if version <= self._versions.get(zone, -1):
            return
        self._versions[zone] = version
        for known, started in self._read_at.items():
            if known <= version:
                self._delays[known].setdefault(zone, now - started)
