"""Summaries of whole zones."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

from jackdawspur.membership._limits import MAX_ZONE_USAGE_ENTRIES
from jackdawspur.messages import CustomerUsage, Heartbeat, Pulse, ZoneStatus
from jackdawspur.model import HostId

__all__ = ["OutgoingHeartbeat", "ZoneReports", "ZoneSummary", "summarize"]

NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class OutgoingHeartbeat:
    """Heartbeat to send to a host, whose incarnation is 0 if it is unknown."""

    to: HostId
    message: Heartbeat | Pulse


@dataclass(frozen=True, slots=True)
class ZoneSummary:
    """State of a zone; `age` in seconds, infinite without any report."""

    zone: str
    hosts: int
    free_slots: int
    waiting_tasks: int
    version: int
    usage: tuple[CustomerUsage, ...]
    age: float


@dataclass(frozen=True, slots=True)
class _Report:
    summary: ZoneStatus
    at: float


class ZoneReports:
    """Latest summary of each other zone."""

    def __init__(self) -> None:
        self._latest: dict[str, _Report] = {}
        self._linked_at: dict[str, float] = {}
        self._relayed_at: dict[str, float] = {}

    def update(
        self, summary: ZoneStatus, linked: bool, has_usage: bool, now: float
    ) -> None:
        """Record a summary; `linked` is true if a host of that zone sent it."""
        if not has_usage:
            summary = replace(summary, usage=self.latest(summary.zone).usage)
        self._latest[summary.zone] = _Report(summary, now)
        times = self._linked_at if linked else self._relayed_at
        times[summary.zone] = now

    def latest(self, zone: str) -> ZoneStatus:
        """Return the latest summary of the zone, or an empty summary."""
        report = self._latest.get(zone)
        return report.summary if report else ZoneStatus(zone, -1)

    def at(self, zone: str) -> float:
        """Return the time of the latest summary."""
        report = self._latest.get(zone)
        return report.at if report else NEVER

    def linked_since(self, zone: str, since: float) -> bool:
        """Return whether a host of the zone sent a summary since that time."""
        return self._linked_at.get(zone, NEVER) >= since

    def relayed_since(self, zone: str, since: float) -> bool:
        """Return whether a host of the local zone relayed a summary since that time."""
        return self._relayed_at.get(zone, NEVER) >= since


def summarize(zone: str, heartbeats: Iterable[Heartbeat]) -> ZoneStatus:
    """Return the summary of a zone from the heartbeats of its live hosts."""
    heartbeats = list(heartbeats)
    running: Counter[str] = Counter()
    waiting: Counter[str] = Counter()
    for heartbeat in heartbeats:
        for usage in heartbeat.usage:
            running[usage.customer] += usage.running
            waiting[usage.customer] += usage.waiting
    largest = (running + waiting).most_common(MAX_ZONE_USAGE_ENTRIES)
    return ZoneStatus(
        zone=zone,
        # The version in force on every host of the zone that starts tasks. A host that
        # is still reading the configuration refuses all requests.
        version=min(
            (
                heartbeat.version
                for heartbeat in heartbeats
                if _counts_for_version(heartbeat)
            ),
            default=-1,
        ),
        free_slots=sum(heartbeat.free_slots for heartbeat in heartbeats),
        waiting_tasks=sum(heartbeat.waiting_tasks for heartbeat in heartbeats),
        hosts=len(heartbeats),
        usage=tuple(
            CustomerUsage(name, running[name], waiting[name]) for name, _ in largest
        ),
    )


def _counts_for_version(heartbeat: Heartbeat) -> bool:
    # A host that drains before it has a configuration starts no tasks either.
    return heartbeat.version >= 0 and (heartbeat.ready or heartbeat.draining)
