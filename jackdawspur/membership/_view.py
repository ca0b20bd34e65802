"""Membership view of one host: which other hosts are live."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from jackdawspur.external import ListedHost
from jackdawspur.membership._heartbeat_sender import HeartbeatSender
from jackdawspur.membership._intervals import HeartbeatIntervals
from jackdawspur.membership._leaving import LeavingUpstreams
from jackdawspur.membership._liveness import OwnerState
from jackdawspur.membership._members import Members
from jackdawspur.membership._zones import OutgoingHeartbeat, ZoneReports, ZoneSummary
from jackdawspur.messages import Heartbeat, Pulse
from jackdawspur.model import ClusterSpec, HostId, UpstreamId

__all__ = ["View"]


class View:
    """Live hosts and leaving upstreams, as known to this host.

    Results refer to the latest time passed to any method.
    """

    def __init__(self, local_id: HostId, now: float) -> None:
        self._local_id = local_id
        self._members = Members(local_id, now)
        self._reports = ZoneReports()
        self._leaving = LeavingUpstreams()
        self._heartbeat_sender = HeartbeatSender(self._members, self._reports)

    @property
    def intervals(self) -> HeartbeatIntervals:
        """Return the present intervals of heartbeats."""
        return self._members.intervals

    @property
    def settled(self) -> bool:
        """Return whether all live zone peers have had time to send a heartbeat."""
        return self._members.settled

    def set_cluster_spec(self, cluster_spec: ClusterSpec, now: float) -> None:
        """Set the configured hosts."""
        self._advance_clock(now)
        self._members.set_cluster_spec(cluster_spec, now)

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Record a heartbeat."""
        self._advance_clock(now)
        was_live = self._members.is_live(heartbeat.host)
        if heartbeat.host.same_host(self._local_id):
            return
        if not self._members.liveness_table.record_direct(heartbeat, now):
            return
        linked = heartbeat.host.zone != self._local_id.zone
        if not linked:
            self._leaving.update_reported(heartbeat.leaving_upstreams, now)
            if not was_live:
                # The host started, was paused or was partitioned, and so has not
                # received the present state.
                self._heartbeat_sender.resend_state()
        self._process_reports(heartbeat, linked, now)

    def record_pulse(self, sender: HostId, pulse: Pulse, now: float) -> None:
        """Record a pulse of a host of the zone."""
        self._advance_clock(now)
        if not sender.same_host(self._local_id):
            self._members.liveness_table.record_direct_pulse(sender, pulse, now)

    def record_host_list(self, hosts: Iterable[ListedHost], now: float) -> None:
        """Record the platform's list; it marks leaving upstreams, never a dead host."""
        self._advance_clock(now)
        self._leaving.update_host_list(hosts)

    def tick(self, now: float) -> None:
        """Advance the time, and drop expired reports."""
        self._advance_clock(now)
        self._leaving.tick(now)

    def reset_after_pause(self, now: float, gap: float) -> bool:
        """Ignore signals from before a pause; return False if it was negligible.

        No peer counts as live until its next heartbeat. Until one timeout has passed,
        slots are shared as if every configured host of the zone were live.
        """
        self._advance_clock(now)
        paused = self._members.reset_after_pause(now, gap)
        if paused:
            self._heartbeat_sender.reset()
        return paused

    def live(self, zone: str) -> tuple[HostId, ...]:
        """Return the live hosts of a zone, including this one, sorted."""
        return self._members.live(zone)

    def zone_peers(self) -> tuple[HostId, ...]:
        """Return the other live hosts of the local zone."""
        return tuple(
            record.host for record in self._members.live_records(self._local_id.zone)
        )

    def peers(self) -> tuple[HostId, ...]:
        """Return the live hosts of all zones, without this host."""
        zones = self._members.zones()
        return tuple(
            record.host for zone in zones for record in self._members.live_records(zone)
        )

    def slot_holders(self) -> tuple[HostId, ...]:
        """Return the hosts that share the slots of the local zone."""
        return self._members.slot_holders()

    def ready_hosts(self, zone: str) -> tuple[HostId, ...]:
        """Return the live hosts of a zone, without this one, that accept new jobs."""
        return tuple(
            record.host
            for record in self._members.live_records(zone)
            if not record.draining
            and (record.heartbeat is None or record.heartbeat.ready)
        )

    def is_live(self, host: HostId) -> bool:
        """Return whether this incarnation of a host is live."""
        return self._members.is_live(host)

    def latest_incarnation(self, zone: str, name: str) -> HostId | None:
        """Return the latest known incarnation of a host, live or not, or None."""
        return self._members.latest_incarnation(zone, name)

    def owner_state(self, owner: HostId) -> OwnerState:
        """Return whether the owner of a submission can still answer calls for it."""
        return self._members.owner_state(owner)

    def last_heartbeat(self, host: HostId) -> Heartbeat | None:
        """Return the last heartbeat received from this incarnation, or None."""
        record = self._members.liveness_table.get(host.zone, host.name)
        return record.heartbeat if record and record.host == host else None

    def zone_summary(self, zone: str) -> ZoneSummary:
        """Return the summary of a zone."""
        is_local = zone == self._local_id.zone
        latest = (
            self._heartbeat_sender.local_summary()
            if is_local
            else self._reports.latest(zone)
        )
        return ZoneSummary(
            zone=zone,
            hosts=len(self.live(zone)),
            free_slots=latest.free_slots,
            waiting_tasks=latest.waiting_tasks,
            version=latest.version,
            usage=latest.usage,
            age=0.0 if is_local else self._members.now - self._reports.at(zone),
        )

    def unreachable_zones(self, now: float) -> tuple[str, ...]:
        """Return the other configured zones without a recent signal."""
        self._advance_clock(now)
        return tuple(
            zone
            for zone in self._members.zones()
            if zone != self._local_id.zone and not self._is_reachable(zone)
        )

    def is_upstream_leaving(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is leaving and must get no new tasks."""
        return self._leaving.contains(upstream)

    def mark_leaving(self, upstream: UpstreamId, now: float) -> None:
        """Record that an upstream reports by a refusal or its usage that it leaves."""
        self._leaving.mark(upstream, now)

    def clear_leaving(self, upstream: UpstreamId, now: float) -> None:
        """Record that an upstream reports by its usage, maybe stale, that it stays."""
        self._leaving.clear(upstream, now)

    def heartbeats_due(
        self, local_state: Heartbeat, now: float
    ) -> tuple[OutgoingHeartbeat, ...]:
        """Return the heartbeats to send now, made from the state of this host.

        `local_state` holds an increasing sequence, the load, usage, readiness and
        unhealthy upstreams; the other fields are filled in.
        """
        self._advance_clock(now)
        leaving = self._leaving.to_report()
        state = replace(local_state, host=self._local_id, leaving_upstreams=leaving)
        return self._heartbeat_sender.due(state, now)

    def _advance_clock(self, now: float) -> None:
        self._members.now = max(self._members.now, now)

    def _process_reports(self, heartbeat: Heartbeat, linked: bool, now: float) -> None:
        # Hosts of the local zone report on other zones, and hosts of another zone on
        # their zone only. Other reports would circulate and keep dead hosts alive.
        is_authoritative = _authority_filter(heartbeat, linked, self._local_id.zone)
        for seen in heartbeat.seen:
            if is_authoritative(seen.host.zone):
                self._members.liveness_table.record_reported(seen, linked, now)
        for summary in heartbeat.zones:
            if is_authoritative(summary.zone):
                self._reports.update(summary, linked, heartbeat.reports_usage, now)

    def _is_reachable(self, zone: str) -> bool:
        intervals, now = self.intervals, self._members.now
        if self._reports.linked_since(zone, now - intervals.link_timeout):
            return True
        return self._reports.relayed_since(zone, now - intervals.relayed_zone_timeout)


def _authority_filter(
    heartbeat: Heartbeat, linked: bool, local_zone: str
) -> Callable[[str], bool]:
    if linked:
        return lambda zone: zone == heartbeat.host.zone
    return lambda zone: zone != local_zone
