"""Tracking of entry hosts that are reachable, dead or possibly partitioned."""

from collections.abc import Collection, Iterable

__all__ = ["HostKey", "PeerReachability"]

# Seconds without a heartbeat after which a host counts as unreachable.
HEARTBEAT_TIMEOUT_S = 3.0

# Zone and name of an entry host, the same for all its incarnations.
HostKey = tuple[str, str]


class PeerReachability:
    """Configured entry hosts with the times of their last heartbeats.

    A host that sends no heartbeats while others of its zone do is dead, and the other
    hosts divide its share. A zone that sends no heartbeats at all may be partitioned
    and still use its share, so the others don't use it. A host that receives no
    heartbeats may itself be partitioned, and uses its own share only.
    """

    def __init__(self, local_key: HostKey) -> None:
        self._local_key = local_key
        self._configured = [local_key]
        self._members = [local_key]
        self._reachable = [local_key]
        self._live_keys: set[HostKey] = {local_key}
        self._responsive: set[HostKey] = set()
        self._last_heartbeat: dict[HostKey, float] = {}
        self._zones_responsive_since: dict[str, float] = {}

    @property
    def configured(self) -> list[HostKey]:
        """Return all configured entry hosts, sorted."""
        return self._configured

    @property
    def members(self) -> list[HostKey]:
        """Return the hosts whose heartbeats arrive, and this host, sorted."""
        return self._members

    @property
    def reachable(self) -> list[HostKey]:
        """Return the hosts whose shares the members divide, sorted."""
        return self._reachable

    def configure(self, host_keys: Iterable[HostKey], now: float) -> None:
        """Set the configured hosts."""
        self._configured = sorted({*host_keys, self._local_key})
        configured_keys = set(self._configured)
        self._last_heartbeat = {
            key: time
            for key, time in self._last_heartbeat.items()
            if key in configured_keys
        }
        self.update(now)

    def set_live(self, live: Collection[HostKey]) -> set[HostKey]:
        """Set the hosts in the membership view and return those that left it."""
        left = self._live_keys - {*live, self._local_key}
        self._live_keys = {*live, self._local_key}
        self._responsive -= left
        return left

    def record_heartbeat(self, host_key: HostKey, now: float) -> None:
        """Record the arrival of a heartbeat."""
        self._responsive.add(host_key)
        self._last_heartbeat[host_key] = now

    def drop_timed_out(self, now: float) -> list[HostKey]:
        """Remove and return the hosts whose heartbeats timed out."""
        last_heartbeat = self._last_heartbeat
        timed_out = [
            key
            for key in self._responsive
            if now - last_heartbeat.get(key, now) > HEARTBEAT_TIMEOUT_S
        ]
        self._responsive.difference_update(timed_out)
        return timed_out

    def update(self, now: float) -> bool:
        """Recompute members and reachable hosts; return whether they changed."""
        responsive = self._responsive & self._live_keys & set(self._configured)
        for host_key in self._configured:
            self._last_heartbeat.setdefault(host_key, now)
        dead = self._dead_hosts(responsive, now)
        responsive.add(self._local_key)
        previous = (self._members, self._reachable)
        self._members = [key for key in self._configured if key in responsive]
        self._reachable = [
            key for key in self._configured if key in responsive or key in dead
        ]
        return previous != (self._members, self._reachable)

    def _dead_hosts(self, responsive: set[HostKey], now: float) -> set[HostKey]:
        # In a network partition the heartbeats of a zone's hosts stop within one
        # heartbeat interval, and afterwards they resume one by one. So a host is dead
        # only if its zone sent heartbeats during all the time that it was missing.
        latest: dict[str, float] = {}
        for host_key in responsive:
            time = self._last_heartbeat[host_key]
            for zone in {host_key[0], self._local_key[0]}:
                latest[zone] = max(latest.get(zone, time), time)
        self._zones_responsive_since = {
            z: self._zones_responsive_since.get(z, now) for z in latest
        }
        return {
            host_key
            for host_key in self._configured
            if host_key not in responsive
            and host_key != self._local_key
            and host_key[0] in latest
            and latest[host_key[0]] - self._missing_since(host_key)
            > HEARTBEAT_TIMEOUT_S
        }

    def _missing_since(self, host_key: HostKey) -> float:
        return max(
            self._last_heartbeat[host_key], self._zones_responsive_since[host_key[0]]
        )
