"""Times of the last direct and indirect signs of life of each entry host."""

import enum
from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from jackdawspur.messages import Heartbeat, LivePeer, Pulse
from jackdawspur.model import HostId

__all__ = ["LivenessTable", "OwnerState", "LivenessRecord"]

NEVER = float("-inf")


class OwnerState(enum.StrEnum):
    """Whether the owner of a submission can still answer calls for it.

    `UNHEARD`: it is unresponsive but may resume. `GONE`: its state is lost.
    """

    LIVE = "live"
    UNHEARD = "unheard"
    GONE = "gone"


@dataclass(slots=True)
class LivenessRecord:
    """Latest incarnation of a host and the times of its last signals.

    `direct_at` is the time of its last message to this host, `linked_at` of the last
    message from it or from a host of its zone that reports it, `relayed_at` of the last
    report by a peer in the local zone.
    """

    host: HostId
    direct_at: float = NEVER
    linked_at: float = NEVER
    relayed_at: float = NEVER
    sequence: int = -1
    draining: bool = False
    heartbeat: Heartbeat | None = None

    @property
    def last_at(self) -> float:
        """Return the time of the last signal of any kind."""
        return max(self.linked_at, self.relayed_at)

    def accept_sequence(self, sequence: int, now: float) -> bool:
        """Record a direct message; return False if it isn't newer than the last one."""
        # Messages may arrive out of order; an old one would undo a drain.
        if sequence <= self.sequence:
            return False
        self.sequence = sequence
        self.direct_at = self.linked_at = now
        return True


class LivenessTable:
    """Liveness records of all known hosts."""

    def __init__(self) -> None:
        self._zones: dict[str, dict[str, LivenessRecord]] = {}

    def get(self, zone: str, name: str) -> LivenessRecord | None:
        """Return the record of the host of that name, in any incarnation."""
        return self._zones.get(zone, {}).get(name)

    def of_zone(self, zone: str) -> list[LivenessRecord]:
        """Return the records of a zone in the order of host names."""
        return [record for _, record in sorted(self._zones.get(zone, {}).items())]

    def record_direct(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; return False if it isn't newer than the last message."""
        record = self._current_record(heartbeat.host)
        if record is None or not record.accept_sequence(heartbeat.sequence, now):
            return False
        # Only some heartbeats report usage; the last report holds until the next.
        if not heartbeat.reports_usage and record.heartbeat:
            heartbeat = replace(heartbeat, usage=record.heartbeat.usage)
        record.draining = heartbeat.draining
        record.heartbeat = heartbeat
        return True

    def record_direct_pulse(self, sender: HostId, pulse: Pulse, now: float) -> None:
        """Record a pulse sent between two heartbeats."""
        record = self._current_record(sender)
        if record is None or not record.accept_sequence(pulse.sequence, now):
            return
        if record.heartbeat:
            record.heartbeat = replace(
                record.heartbeat,
                sequence=pulse.sequence,
                free_slots=pulse.free_slots,
                waiting_tasks=pulse.waiting_tasks,
                backlog_ms=pulse.backlog_ms,
            )

    def record_reported(self, peer: LivePeer, linked: bool, now: float) -> None:
        """Record that another host reported the host as live."""
        record = self._current_record(peer.host)
        if record is not None:
            if linked:
                record.linked_at = now
            else:
                record.relayed_at = now
            record.draining = record.draining or peer.draining

    def retain(self, known: Mapping[str, Collection[str]]) -> None:
        """Remove all records except those of the given host names of each zone."""
        self._zones = {
            zone: {
                name: record for name, record in hosts.items() if name in known[zone]
            }
            for zone, hosts in self._zones.items()
            if zone in known
        }

    def _current_record(self, host: HostId) -> LivenessRecord | None:
        """Return the record of this incarnation, or None if a later one is known."""
        hosts = self._zones.setdefault(host.zone, {})
        known = hosts.get(host.name)
        if known is None or known.host.incarnation < host.incarnation:
            known = hosts[host.name] = LivenessRecord(host)
        return known if known.host == host else None
