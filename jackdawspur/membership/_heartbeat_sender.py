"""What a host's heartbeats carry, and to whom they go."""

from collections.abc import Callable
from dataclasses import replace

from jackdawspur.membership._limits import (
    LINKS_A_ZONE_PAIR,
    MISSED_BEATS,
    OWN_USAGE_REPORTED,
)
from jackdawspur.membership._members import Members
from jackdawspur.membership._schedule import Schedule
from jackdawspur.membership._zones import Addressed, Reports, summarize
from jackdawspur.messages import CustomerUsage, Heartbeat, LivePeer, Pulse, ZoneStatus
from jackdawspur.model import HostId, rendezvous_hash

__all__ = ["HeartbeatSender"]


class HeartbeatSender:
    """Compose the heartbeats of one host."""

    def __init__(self, members: Members, reports: Reports) -> None:
        self._members = members
        self._reports = reports
        self._schedule = Schedule()
        self._round = 0
        self._own_zone = members.own.zone
        self._state = Heartbeat(members.own, 0, False, False, -1, 0, 0, 0.0)

    def due(self, state: Heartbeat, now: float) -> tuple[Addressed, ...]:
        """Return what to send now, made from the host's own state."""
        self._state = state
        due = self._schedule.due(state, self._members.intervals, now)
        out: list[Addressed] = []
        if due.relay:
            out.extend(self._to_siblings(self._relay(due.full_relay)))
        elif due.news:
            out.extend(self._to_siblings(_bare(state)))
        elif due.pulse:
            out.extend(self._to_siblings(_pulse(state)))
        if due.links:
            self._round += 1
            out.extend(self._to_zones(self._link(due.full_links)))
        return tuple(out)

    def repeat_news(self) -> None:
        """Tell siblings everything once more."""
        self._schedule.repeat_news()

    def reset(self) -> None:
        """Send everything at once."""
        self._schedule.reset()

    def own_summary(self) -> ZoneStatus:
        """Return the summary of the own zone."""
        beats = [one.beat for one in self._members.fresh(self._own_zone) if one.beat]
        return summarize(self._own_zone, [self._state, *beats])

    def _relay(self, full: bool) -> Heartbeat:
        zones = [zone for zone in self._members.zones() if self._passes_on(zone)]
        reports = [self._reports.latest(zone) for zone in zones]
        if not full:
            brief = tuple(replace(report, usage=()) for report in reports)
            return replace(_bare(self._state), zones=brief)
        return replace(
            self._state,
            reports_usage=True,
            usage=_heaviest(self._state.usage),
            seen=tuple(one for zone in zones for one in self._linked(zone)),
            zones=tuple(reports),
        )

    def _link(self, full: bool) -> Heartbeat:
        beat = replace(_bare(self._state), bad_upstreams=(), leaving_upstreams=())
        summary = self.own_summary()
        if not full:
            return replace(beat, zones=(replace(summary, usage=()),))
        live = self._members.fresh(self._own_zone)
        seen = tuple(LivePeer(one.host, one.draining) for one in live)
        return replace(beat, reports_usage=True, seen=seen, zones=(summary,))

    def _to_siblings(self, message: Heartbeat | Pulse) -> list[Addressed]:
        hosts = self._members.configured(self._own_zone)
        own = self._members.own
        return [Addressed(host, message) for host in hosts if host != own]

    def _to_zones(self, message: Heartbeat) -> list[Addressed]:
        targets = (self._link_to(zone) for zone in self._members.zones())
        return [Addressed(host, message) for host in targets if host]

    def _link_to(self, zone: str) -> HostId | None:
        rank = self._rank(zone)
        if zone == self._own_zone or rank >= LINKS_A_ZONE_PAIR:
            return None
        hosts = sorted(self._members.live(zone), key=self._order(zone))
        if hosts:
            return hosts[rank % len(hosts)]
        # Nobody of the zone is heard: try its configured hosts one after the other.
        hosts = self._members.configured(zone)
        return hosts[(self._round + rank) % len(hosts)] if hosts else None

    def _rank(self, zone: str) -> int:
        hosts = sorted(self._members.live(self._own_zone), key=self._order(zone))
        return hosts.index(self._members.own)

    def _order(self, zone: str) -> Callable[[HostId], int]:
        pair = sorted((self._own_zone, zone))
        return lambda host: rendezvous_hash(*pair, host.zone, host.name)

    def _passes_on(self, zone: str) -> bool:
        pace, now = self._members.intervals, self._members.now
        if not self._reports.linked_since(zone, now - pace.link_timeout):
            return False
        # The second of the two linked hosts speaks only when the first does not.
        told = self._reports.told_since(zone, now - MISSED_BEATS * pace.relay)
        return self._rank(zone) == 0 or not told

    def _linked(self, zone: str) -> list[LivePeer]:
        since = self._members.now - self._members.intervals.mention_timeout
        return [
            LivePeer(one.host, one.draining)
            for one in self._members.sightings.of_zone(zone)
            if one.linked_at >= since
        ]


def _bare(state: Heartbeat) -> Heartbeat:
    return replace(state, usage=(), reports_usage=False)


def _heaviest(usage: tuple[CustomerUsage, ...]) -> tuple[CustomerUsage, ...]:
    by_weight = sorted(usage, key=lambda one: -(one.running + one.waiting))
    return tuple(by_weight[:OWN_USAGE_REPORTED])


def _pulse(state: Heartbeat) -> Pulse:
    return Pulse(
        state.sequence, state.free_slots, state.waiting_tasks, state.backlog_ms
    )
