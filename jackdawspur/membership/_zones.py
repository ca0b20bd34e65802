"""What is known of whole zones."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

from jackdawspur.membership._limits import USAGE_REPORTED
from jackdawspur.messages import CustomerUsage, Heartbeat, Pulse, ZoneStatus
from jackdawspur.model import HostId

__all__ = ["Addressed", "Reports", "ZoneSummary", "summarize"]

NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class Addressed:
    """Address a heartbeat; incarnation 0 stands for a host not heard of yet."""

    to: HostId
    message: Heartbeat | Pulse


@dataclass(frozen=True, slots=True)
class ZoneSummary:
    """Tell how a zone fares; `age` in seconds, infinite when nothing is known."""

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


class Reports:
    """Keep the latest summary of each other zone."""

    def __init__(self) -> None:
        self._latest: dict[str, _Report] = {}
        self._linked_at: dict[str, float] = {}
        self._told_at: dict[str, float] = {}

    def take(
        self, summary: ZoneStatus, linked: bool, has_usage: bool, now: float
    ) -> None:
        """Note a summary; `linked` when a host of the zone itself sent it."""
        if not has_usage:
            summary = replace(summary, usage=self.latest(summary.zone).usage)
        self._latest[summary.zone] = _Report(summary, now)
        times = self._linked_at if linked else self._told_at
        times[summary.zone] = now

    def latest(self, zone: str) -> ZoneStatus:
        """Return the latest summary of the zone, or an empty one."""
        report = self._latest.get(zone)
        return report.summary if report else ZoneStatus(zone, -1)

    def at(self, zone: str) -> float:
        """Return when the latest summary came."""
        report = self._latest.get(zone)
        return report.at if report else NEVER

    def linked_since(self, zone: str, since: float) -> bool:
        """Tell whether the zone itself was heard since then."""
        return self._linked_at.get(zone, NEVER) >= since

    def told_since(self, zone: str, since: float) -> bool:
        """Tell whether a sibling reported on the zone since then."""
        return self._told_at.get(zone, NEVER) >= since


def summarize(zone: str, beats: Iterable[Heartbeat]) -> ZoneStatus:
    """Return the summary of a zone from the heartbeats of its live hosts."""
    beats = list(beats)
    running: Counter[str] = Counter()
    waiting: Counter[str] = Counter()
    for beat in beats:
        for usage in beat.usage:
            running[usage.customer] += usage.running
            waiting[usage.customer] += usage.waiting
    heaviest = (running + waiting).most_common(USAGE_REPORTED)
    return ZoneStatus(
        zone=zone,
        # In force in the zone means on every host of it that starts tasks; one that
        # is still reading the configuration refuses all work.
        version=min((beat.version for beat in beats if _starts(beat)), default=-1),
        free_slots=sum(beat.free_slots for beat in beats),
        waiting_tasks=sum(beat.waiting_tasks for beat in beats),
        hosts=len(beats),
        usage=tuple(
            CustomerUsage(name, running[name], waiting[name]) for name, _ in heaviest
        ),
    )


def _starts(beat: Heartbeat) -> bool:
    # A host that is stopped before it had a configuration starts nothing either.
    return beat.version >= 0 and (beat.ready or beat.draining)
