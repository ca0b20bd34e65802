"""One host's view of the others."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from jackdawspur.external import ListedHost
from jackdawspur.membership._heartbeat_sender import HeartbeatSender
from jackdawspur.membership._leaving import Leaving
from jackdawspur.membership._liveness import OwnerState
from jackdawspur.membership._members import Members
from jackdawspur.membership._pace import HeartbeatIntervals
from jackdawspur.membership._zones import Addressed, Reports, ZoneSummary
from jackdawspur.messages import Heartbeat, Pulse
from jackdawspur.model import ClusterSpec, HostId, UpstreamId

__all__ = ["View"]


class View:
    """Tell which hosts live and which upstreams leave, as far as this host knows.

    Answers hold for the latest time passed in.
    """

    def __init__(self, own: HostId, now: float) -> None:
        self._own = own
        self._members = Members(own, now)
        self._reports = Reports()
        self._leaving = Leaving()
        self._beats = HeartbeatSender(self._members, self._reports)

    @property
    def intervals(self) -> HeartbeatIntervals:
        """Return the intervals of heartbeats in force."""
        return self._members.intervals

    @property
    def settled(self) -> bool:
        """Tell whether enough time passed since the start or a pause to trust it."""
        return self._members.settled

    def set_cluster_spec(self, world: ClusterSpec, now: float) -> None:
        """Take the configured hosts into account."""
        self._advance(now)
        self._members.set_cluster_spec(world, now)

    def record_heartbeat(self, beat: Heartbeat, now: float) -> None:
        """Take a heartbeat in."""
        self._advance(now)
        was_live = self._members.is_live(beat.host)
        if beat.host.same_host(self._own):
            return
        if not self._members.sightings.hear(beat, now):
            return
        linked = beat.host.zone != self._own.zone
        if not linked:
            self._leaving.told(beat.leaving_upstreams, now)
            if not was_live:
                # It started or was paused or cut off, and heard nothing from here.
                self._beats.repeat_news()
        self._hear_of_others(beat, linked, now)

    def record_pulse(self, sender: HostId, pulse: Pulse, now: float) -> None:
        """Take a sibling's sign of life in."""
        self._advance(now)
        if not sender.same_host(self._own):
            self._members.sightings.hear_pulse(sender, pulse, now)

    def record_host_list(self, hosts: Iterable[ListedHost], now: float) -> None:
        """Take the platform's list in; it can add a leave, but not end a life."""
        self._advance(now)
        self._leaving.listed(hosts)

    def tick(self, now: float) -> None:
        """Let time pass."""
        self._advance(now)
        self._leaving.tick(now)

    def reset_after_pause(self, now: float, gap: float) -> bool:
        """Drop beliefs after a pause; false when the gap was too short to matter.

        All peers count as unheard until their next heartbeat, and the host shares
        as if every configured sibling lived until one silence has passed.
        """
        self._advance(now)
        paused = self._members.resumed(now, gap)
        if paused:
            self._beats.reset()
        return paused

    def live(self, zone: str) -> tuple[HostId, ...]:
        """Return the live hosts of a zone, own included, in order."""
        return self._members.live(zone)

    def siblings(self) -> tuple[HostId, ...]:
        """Return the other live hosts of the own zone."""
        return tuple(one.host for one in self._members.fresh(self._own.zone))

    def peers(self) -> tuple[HostId, ...]:
        """Return the live hosts of all zones but this host."""
        zones = self._members.zones()
        return tuple(one.host for zone in zones for one in self._members.fresh(zone))

    def slot_holders(self) -> tuple[HostId, ...]:
        """Return the hosts among which the own zone's slots are divided."""
        return self._members.sharers()

    def ready_hosts(self, zone: str) -> tuple[HostId, ...]:
        """Return the live hosts of a zone, but not this one, that take new jobs."""
        return tuple(
            one.host
            for one in self._members.fresh(zone)
            if not one.draining and (one.beat is None or one.beat.ready)
        )

    def is_live(self, host: HostId) -> bool:
        """Tell whether this very incarnation is live."""
        return self._members.is_live(host)

    def latest_incarnation(self, zone: str, name: str) -> HostId | None:
        """Return the latest incarnation known of a host, live or not."""
        return self._members.current(zone, name)

    def owner_state(self, owner: HostId) -> OwnerState:
        """Tell whether the owner of a submission can still answer for it."""
        return self._members.owner_state(owner)

    def last_heartbeat(self, host: HostId) -> Heartbeat | None:
        """Return the last state that this incarnation sent here itself."""
        sighting = self._members.sightings.get(host.zone, host.name)
        return sighting.beat if sighting and sighting.host == host else None

    def zone_summary(self, zone: str) -> ZoneSummary:
        """Return what is known of a zone as a whole."""
        own = zone == self._own.zone
        latest = self._beats.own_summary() if own else self._reports.latest(zone)
        return ZoneSummary(
            zone=zone,
            hosts=len(self.live(zone)),
            free_slots=latest.free_slots,
            waiting_tasks=latest.waiting_tasks,
            version=latest.version,
            usage=latest.usage,
            age=0.0 if own else self._members.now - self._reports.at(zone),
        )

    def unreachable_zones(self, now: float) -> tuple[str, ...]:
        """Return the other configured zones that lately sent no sign of life."""
        self._advance(now)
        return tuple(
            zone
            for zone in self._members.zones()
            if zone != self._own.zone and not self._is_reached(zone)
        )

    def is_upstream_leaving(self, upstream: UpstreamId) -> bool:
        """Tell whether an upstream must get no new work because it leaves."""
        return self._leaving.contains(upstream)

    def mark_leaving(self, upstream: UpstreamId, now: float) -> None:
        """Take an upstream's own word that it leaves: a refusal or its usage."""
        self._leaving.note(upstream, now)

    def clear_leaving(self, upstream: UpstreamId, now: float) -> None:
        """Take an upstream's usage that says it stays; usage may be stale."""
        self._leaving.deny(upstream, now)

    def heartbeats_due(self, own: Heartbeat, now: float) -> tuple[Addressed, ...]:
        """Return the messages to send now, made from this host's own state.

        `own` carries a growing sequence, load, usage, readiness and bad upstreams;
        the rest is filled in.
        """
        self._advance(now)
        leaving = self._leaving.to_pass_on()
        state = replace(own, host=self._own, leaving_upstreams=leaving)
        return self._beats.due(state, now)

    def _advance(self, now: float) -> None:
        self._members.now = max(self._members.now, now)

    def _hear_of_others(self, beat: Heartbeat, linked: bool, now: float) -> None:
        # A sibling's word on siblings, or a zone's on other zones, would go round
        # and keep the dead alive: siblings speak for themselves, zones for their own.
        trusted = _speaks_for(beat, linked, self._own.zone)
        for seen in beat.seen:
            if trusted(seen.host.zone):
                self._members.sightings.hear_of(seen, linked, now)
        for summary in beat.zones:
            if trusted(summary.zone):
                self._reports.take(summary, linked, beat.reports_usage, now)

    def _is_reached(self, zone: str) -> bool:
        pace, now = self.intervals, self._members.now
        if self._reports.linked_since(zone, now - pace.link_timeout):
            return True
        return self._reports.told_since(zone, now - pace.relay_timeout)


def _speaks_for(beat: Heartbeat, linked: bool, own_zone: str) -> Callable[[str], bool]:
    if linked:
        return lambda zone: zone == beat.host.zone
    return lambda zone: zone != own_zone
