"""When each entry host was last heard of, and as which incarnation."""

import enum
from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from jackdawspur.messages import Heartbeat, LivePeer, Pulse
from jackdawspur.model import HostId

__all__ = ["LivenessTable", "OwnerState", "Sighting"]

NEVER = float("-inf")


class OwnerState(enum.StrEnum):
    """Tell whether the owner of a submission can still answer for it."""

    LIVE = "live"
    UNHEARD = "unheard"
    GONE = "gone"


@dataclass(slots=True)
class Sighting:
    """Keep the latest incarnation of a host and the times of its signals.

    `linked_at`: by itself or a host of its zone; `passed_at`: through a sibling.
    """

    host: HostId
    direct_at: float = NEVER
    linked_at: float = NEVER
    passed_at: float = NEVER
    sequence: int = -1
    draining: bool = False
    beat: Heartbeat | None = None

    @property
    def last_at(self) -> float:
        """Return the time of the latest signal of either kind."""
        return max(self.linked_at, self.passed_at)

    def advance(self, sequence: int, now: float) -> bool:
        """Count a direct message; false when it was overtaken by a newer one."""
        # Messages may overtake each other; an old one would undo a drain.
        if sequence <= self.sequence:
            return False
        self.sequence = sequence
        self.direct_at = self.linked_at = now
        return True


class LivenessTable:
    """Keep the latest sighting of each host."""

    def __init__(self) -> None:
        self._zones: dict[str, dict[str, Sighting]] = {}

    def get(self, zone: str, name: str) -> Sighting | None:
        """Return the sighting of the host of that name, in whatever incarnation."""
        return self._zones.get(zone, {}).get(name)

    def of_zone(self, zone: str) -> list[Sighting]:
        """Return the sightings of a zone in the order of host names."""
        return [one for _, one in sorted(self._zones.get(zone, {}).items())]

    def hear(self, beat: Heartbeat, now: float) -> bool:
        """Note a heartbeat; false when a newer one was heard before."""
        sighting = self._newest(beat.host)
        if sighting is None or not sighting.advance(beat.sequence, now):
            return False
        # Usage travels in few heartbeats; between them the last one stands.
        if not beat.reports_usage and sighting.beat:
            beat = replace(beat, usage=sighting.beat.usage)
        sighting.draining = beat.draining
        sighting.beat = beat
        return True

    def hear_pulse(self, sender: HostId, pulse: Pulse, now: float) -> None:
        """Note a sign of life between two heartbeats."""
        sighting = self._newest(sender)
        if sighting is None or not sighting.advance(pulse.sequence, now):
            return
        if sighting.beat:
            sighting.beat = replace(
                sighting.beat,
                sequence=pulse.sequence,
                free_slots=pulse.free_slots,
                waiting_tasks=pulse.waiting_tasks,
                backlog_ms=pulse.backlog_ms,
            )

    def hear_of(self, seen: LivePeer, linked: bool, now: float) -> None:
        """Note that another host reports the host live."""
        sighting = self._newest(seen.host)
        if sighting is not None:
            if linked:
                sighting.linked_at = now
            else:
                sighting.passed_at = now
            sighting.draining = sighting.draining or seen.draining

    def forget(self, known: Mapping[str, Collection[str]]) -> None:
        """Drop hosts that are not among those names of each zone."""
        self._zones = {
            zone: {name: one for name, one in hosts.items() if name in known[zone]}
            for zone, hosts in self._zones.items()
            if zone in known
        }

    def _newest(self, host: HostId) -> Sighting | None:
        hosts = self._zones.setdefault(host.zone, {})
        known = hosts.get(host.name)
        if known is None or known.host.incarnation < host.incarnation:
            known = hosts[host.name] = Sighting(host)
        return known if known.host == host else None
