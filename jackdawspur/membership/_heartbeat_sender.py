"""Composition and addressing of the heartbeats of a host."""

from collections.abc import Callable
from dataclasses import replace

from jackdawspur.membership._limits import (
    LINKS_PER_ZONE_PAIR,
    MAX_HOST_USAGE_ENTRIES,
    MISSED_HEARTBEATS,
)
from jackdawspur.membership._members import Members
from jackdawspur.membership._schedule import Schedule
from jackdawspur.membership._zones import OutgoingHeartbeat, ZoneReports, summarize
from jackdawspur.messages import CustomerUsage, Heartbeat, LivePeer, Pulse, ZoneStatus
from jackdawspur.model import HostId, rendezvous_hash

__all__ = ["HeartbeatSender"]


class HeartbeatSender:
    """Compose and address the heartbeats of one host.

    Two zones exchange heartbeats through a few linked hosts. These relay what they
    receive to the peers in their zone.
    """

    def __init__(self, members: Members, reports: ZoneReports) -> None:
        self._members = members
        self._reports = reports
        self._schedule = Schedule()
        self._round = 0
        self._local_zone = members.local_id.zone
        self._state = Heartbeat(members.local_id, 0, False, False, -1, 0, 0, 0.0)

    def due(self, state: Heartbeat, now: float) -> tuple[OutgoingHeartbeat, ...]:
        """Return the heartbeats to send now, made from the state of this host."""
        self._state = state
        due = self._schedule.due(state, self._members.intervals, now)
        outgoing: list[OutgoingHeartbeat] = []
        if due.relay:
            outgoing.extend(
                self._address_zone_peers(self._relay_heartbeat(due.full_relay))
            )
        elif due.state_change:
            outgoing.extend(self._address_zone_peers(_without_usage(state)))
        elif due.pulse:
            outgoing.extend(self._address_zone_peers(_pulse(state)))
        if due.links:
            self._round += 1
            outgoing.extend(self._address_zones(self._link_heartbeat(due.full_links)))
        return tuple(outgoing)

    def resend_state(self) -> None:
        """Send the full state to the hosts of the zone once more."""
        self._schedule.resend_state()

    def reset(self) -> None:
        """Make all heartbeats due now."""
        self._schedule.reset()

    def local_summary(self) -> ZoneStatus:
        """Return the summary of the local zone."""
        heartbeats = [
            record.heartbeat
            for record in self._members.live_records(self._local_zone)
            if record.heartbeat
        ]
        return summarize(self._local_zone, [self._state, *heartbeats])

    def _relay_heartbeat(self, full: bool) -> Heartbeat:
        zones = [zone for zone in self._members.zones() if self._should_relay(zone)]
        reports = [self._reports.latest(zone) for zone in zones]
        if not full:
            brief = tuple(replace(report, usage=()) for report in reports)
            return replace(_without_usage(self._state), zones=brief)
        return replace(
            self._state,
            reports_usage=True,
            usage=_largest_usage(self._state.usage),
            seen=tuple(peer for zone in zones for peer in self._linked_peers(zone)),
            zones=tuple(reports),
        )

    def _link_heartbeat(self, full: bool) -> Heartbeat:
        heartbeat = replace(
            _without_usage(self._state), bad_upstreams=(), leaving_upstreams=()
        )
        summary = self.local_summary()
        if not full:
            return replace(heartbeat, zones=(replace(summary, usage=()),))
        live = self._members.live_records(self._local_zone)
        seen = tuple(LivePeer(record.host, record.draining) for record in live)
        return replace(heartbeat, reports_usage=True, seen=seen, zones=(summary,))

    def _address_zone_peers(
        self, message: Heartbeat | Pulse
    ) -> list[OutgoingHeartbeat]:
        hosts = self._members.configured(self._local_zone)
        local_id = self._members.local_id
        return [OutgoingHeartbeat(host, message) for host in hosts if host != local_id]

    def _address_zones(self, message: Heartbeat) -> list[OutgoingHeartbeat]:
        targets = (self._link_target(zone) for zone in self._members.zones())
        return [OutgoingHeartbeat(host, message) for host in targets if host]

    def _link_target(self, zone: str) -> HostId | None:
        rank = self._link_rank(zone)
        if zone == self._local_zone or rank >= LINKS_PER_ZONE_PAIR:
            return None
        hosts = sorted(self._members.live(zone), key=self._link_order(zone))
        if hosts:
            return hosts[rank % len(hosts)]
        # No host of the zone is live: try its configured hosts in turn.
        hosts = self._members.configured(zone)
        return hosts[(self._round + rank) % len(hosts)] if hosts else None

    def _link_rank(self, zone: str) -> int:
        hosts = sorted(self._members.live(self._local_zone), key=self._link_order(zone))
        return hosts.index(self._members.local_id)

    def _link_order(self, zone: str) -> Callable[[HostId], int]:
        pair = sorted((self._local_zone, zone))
        return lambda host: rendezvous_hash(*pair, host.zone, host.name)

    def _should_relay(self, zone: str) -> bool:
        intervals, now = self._members.intervals, self._members.now
        if not self._reports.linked_since(zone, now - intervals.link_timeout):
            return False
        # The second of the two linked hosts relays only if the first does not.
        relayed = self._reports.relayed_since(
            zone, now - MISSED_HEARTBEATS * intervals.relay
        )
        return self._link_rank(zone) == 0 or not relayed

    def _linked_peers(self, zone: str) -> list[LivePeer]:
        since = self._members.now - self._members.intervals.reported_host_timeout
        return [
            LivePeer(record.host, record.draining)
            for record in self._members.liveness_table.of_zone(zone)
            if record.linked_at >= since
        ]


def _without_usage(state: Heartbeat) -> Heartbeat:
    return replace(state, usage=(), reports_usage=False)


def _largest_usage(usage: tuple[CustomerUsage, ...]) -> tuple[CustomerUsage, ...]:
    by_usage = sorted(usage, key=lambda entry: -(entry.running + entry.waiting))
    return tuple(by_usage[:MAX_HOST_USAGE_ENTRIES])


def _pulse(state: Heartbeat) -> Pulse:
    return Pulse(
        state.sequence, state.free_slots, state.waiting_tasks, state.backlog_ms
    )
