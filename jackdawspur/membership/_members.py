"""Liveness of entry hosts."""

from jackdawspur.membership._intervals import (
    HeartbeatIntervals,
    heartbeat_intervals,
)
from jackdawspur.membership._limits import GONE_AFTER, RESUME_GAP
from jackdawspur.membership._liveness import LivenessRecord, LivenessTable, OwnerState
from jackdawspur.model import ClusterSpec, HostId

__all__ = ["Members"]

UNKNOWN_INCARNATION = 0


class Members:
    """Determine which entry hosts are live from the times of their signals."""

    def __init__(self, local_id: HostId, now: float) -> None:
        self.local_id = local_id
        self.now = now
        self.intervals = HeartbeatIntervals()
        self.liveness_table = LivenessTable()
        self._host_names: dict[str, list[str]] = {}
        # Signals from before `_valid_since` are ignored. At `_settled_at` heartbeats of
        # all live hosts in the zone have had time to arrive.
        self._valid_since = now
        self._settled_at = now + self.intervals.zone_peer_timeout

    @property
    def settled(self) -> bool:
        """Return whether all live zone peers have had time to send a heartbeat."""
        return self.now >= self._settled_at

    def set_cluster_spec(self, cluster_spec: ClusterSpec, now: float) -> None:
        """Set the configured hosts."""
        is_first = not self._host_names
        self._host_names = {}
        for host in sorted(
            cluster_spec.entry_hosts, key=lambda entry: (entry.zone, entry.name)
        ):
            self._host_names.setdefault(host.zone, []).append(host.name)
        self.intervals = heartbeat_intervals(cluster_spec)
        self.liveness_table.retain(self._host_names)
        if is_first:
            self._settled_at = now + self.intervals.zone_peer_timeout

    def reset_after_pause(self, now: float, gap: float) -> bool:
        """Ignore signals from before a pause; return False if it was negligible."""
        if gap < RESUME_GAP:
            return False
        self._valid_since = now
        self._settled_at = now + self.intervals.zone_peer_timeout
        return True

    def zones(self) -> list[str]:
        """Return the zones that have configured hosts."""
        return list(self._host_names)

    def configured(self, zone: str) -> list[HostId]:
        """Return the configured hosts of a zone, with their incarnations if known."""
        return [
            self.latest_incarnation(zone, name)
            or HostId(zone, name, UNKNOWN_INCARNATION)
            for name in self._host_names.get(zone, ())
        ]

    def live_records(self, zone: str) -> list[LivenessRecord]:
        """Return the records of the live hosts of a zone, without this host."""
        return [
            record
            for record in self.liveness_table.of_zone(zone)
            if self._is_live_record(record)
        ]

    def live(self, zone: str) -> tuple[HostId, ...]:
        """Return the live hosts of a zone, including this one, sorted."""
        hosts = [record.host for record in self.live_records(zone)]
        if zone == self.local_id.zone:
            hosts.append(self.local_id)
        return tuple(sorted(hosts))

    def slot_holders(self) -> tuple[HostId, ...]:
        """Return the hosts among which the slots of the local zone are divided."""
        holders = {
            record.host.name: record.host
            for record in self.live_records(self.local_id.zone)
            if record.heartbeat is None
            or record.heartbeat.ready
            or record.heartbeat.draining
        }
        if not self.settled:
            for host in self.configured(self.local_id.zone):
                holders.setdefault(host.name, host)
        holders[self.local_id.name] = self.local_id
        return tuple(sorted(holders.values()))

    def is_live(self, host: HostId) -> bool:
        """Return whether this incarnation of a host is live."""
        if host == self.local_id:
            return True
        record = self.liveness_table.get(host.zone, host.name)
        return bool(record and record.host == host and self._is_live_record(record))

    def latest_incarnation(self, zone: str, name: str) -> HostId | None:
        """Return the latest known incarnation of a host, live or not, or None."""
        if (zone, name) == (self.local_id.zone, self.local_id.name):
            return self.local_id
        record = self.liveness_table.get(zone, name)
        return record.host if record else None

    def owner_state(self, owner: HostId) -> OwnerState:
        """Return whether the owner of a submission can still answer calls for it."""
        if self.is_live(owner):
            return OwnerState.LIVE
        latest = self.latest_incarnation(owner.zone, owner.name)
        if latest and latest.incarnation > owner.incarnation:
            return OwnerState.GONE
        record = self.liveness_table.get(owner.zone, owner.name)
        last = record.last_at if record else self._valid_since
        elapsed = self.now - max(last, self._valid_since)
        # The hosts of a zone without any live host are not gone: after a network
        # partition they return with their jobs.
        reachable = owner.zone == self.local_id.zone or bool(
            self.live_records(owner.zone)
        )
        timeout = max(GONE_AFTER, 2 * self.intervals.relayed_host_timeout)
        if owner.zone == self.local_id.zone:
            timeout = GONE_AFTER
        return (
            OwnerState.GONE if elapsed >= timeout and reachable else OwnerState.UNHEARD
        )

    def _is_live_record(self, record: LivenessRecord) -> bool:
        if record.last_at < self._valid_since:
            return False
        if record.host.zone == self.local_id.zone:
            return self.now - record.direct_at < self.intervals.zone_peer_timeout
        return (
            self.now - record.direct_at < self.intervals.link_timeout
            or self.now - record.linked_at < self.intervals.reported_host_timeout
            or self.now - record.relayed_at < self.intervals.relayed_host_timeout
        )
