"""The host's view of the platform's store."""

import logging
from typing import Protocol

from jackdawspur.front._clock import now_s
from jackdawspur.front._ports import StoreListener
from jackdawspur.front._routes import ConfigurationDecodeError, RouteTable
from jackdawspur.group import (
    Group,
    HostAddress,
    Term,
    UpstreamListUpdate,
    is_stale_message,
)
from jackdawspur.leases import UpstreamEntry

__all__ = ["StoreView"]

# Age of a list that was never read.
NO_LIST_AGE_S = 1e9
# Upstreams report to the store continuously, and each read of it is billed. A leader
# must notice within 2 s that an upstream leaves. A follower may become the leader at
# any moment, so its list must be recent enough for that.
LEADER_LIST_INTERVAL_S = 0.5
FOLLOWER_LIST_INTERVAL_S = 1.5

log = logging.getLogger("jackdawspur.host")


class ViewOwner(Protocol):
    """The host's parts that use the view."""

    group: Group

    def decode_configuration(self, document: bytes) -> RouteTable:
        """Decode the routes of a document."""

    def set_routes(self, routes: RouteTable) -> None:
        """Put routes in force."""

    def upstreams_changed(self) -> None:
        """Apply the new list of upstreams."""

    def on_new_hosts(self) -> None:
        """Connect to hosts that were not known before."""


class StoreView(StoreListener):
    """Holds the newest configuration and list of upstreams, and their age."""

    def __init__(self, owner: "ViewOwner") -> None:
        self._owner = owner
        self._version = 0
        self.document = b""
        self.reachable = False
        self.store_error = "not asked yet"
        self.list_read_at: float | None = None
        self.in_force_at: float | None = None
        self.entries: tuple[UpstreamEntry, ...] = ()
        self.evacuated: frozenset[str] = frozenset()

    @property
    def upstream_list_interval_s(self) -> float:
        """Return the interval between reads of the list of upstreams, in seconds."""
        return (
            LEADER_LIST_INTERVAL_S
            if self._owner.group.is_leader
            else FOLLOWER_LIST_INTERVAL_S
        )

    def age_s(self, now: float) -> float:
        """Return the age of the list of upstreams in seconds."""
        return NO_LIST_AGE_S if self.list_read_at is None else now - self.list_read_at

    def on_configuration(self, version: int, document: bytes) -> None:
        """Put a newer configuration in force; ignore and log an invalid one."""
        if version <= self._version:
            return
        try:
            routes = self._owner.decode_configuration(document)
        except ConfigurationDecodeError as error:
            log.error(
                "configuration refused",
                extra={"version": version, "reason": str(error)},
            )
            return
        self._version = version
        self.document = document
        self.in_force_at = now_s()
        self._owner.set_routes(routes)

    def on_upstreams(self, entries: tuple[UpstreamEntry, ...]) -> None:
        """Record the list of upstreams read from the store."""
        self.list_read_at = self._owner.group.pauses.earliest_arrival(now_s())
        self.reachable = True
        self.store_error = ""
        self._set_entries(entries)

    def on_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Record and log the evacuated zones, in which no run may start."""
        if zones == self.evacuated:
            return
        log.info(
            "evacuated zones changed",
            extra={"zones": sorted(zones), "before": sorted(self.evacuated)},
        )
        self.evacuated = zones
        self._owner.upstreams_changed()

    def on_upstream_update(self, update: UpstreamListUpdate, now: float) -> None:
        """Record another host's list if it is newer.

        A message delayed by a network partition is ignored, since its list is older
        than the age in the message.
        """
        if is_stale_message(update.receiver_at, now):
            return
        if update.age_s < self.age_s(now):
            self.list_read_at = now - update.age_s
            if not self.reachable:
                self.on_evacuated_zones(frozenset(update.evacuated))
            self._set_entries(update.entries)

    def on_hosts(self, hosts: tuple[HostAddress, ...]) -> None:
        """Record the addresses of the other hosts."""
        new = [host for host in hosts if self._owner.group.add_host(host)]
        if new:
            self._owner.on_new_hosts()

    def on_store_reachability(self, reachable: bool, reason: str) -> None:
        """Record and log whether the store is reachable."""
        self.reachable = reachable
        self.store_error = "" if reachable else reason
        text = "store regained" if reachable else "store lost"
        log.info(
            text, extra={"reason": reason, "list_age_s": round(self.age_s(now_s()), 3)}
        )

    def log_leader(self, term: Term | None, now: float) -> None:
        """Log which leader this host follows, and the current state of its list."""
        log.info(
            "leading host changed",
            extra={
                "leader": term.leader if term else "",
                "fence": term.fence if term else 0,
                "by_zone": self._owner.group.by_zone,
                "list_age_s": round(self.age_s(now), 3),
                "upstreams": len(self.entries),
            },
        )

    def log_pause(self, now: float) -> None:
        """Log that this host was paused, and the current state of its list."""
        group = self._owner.group
        log.warning(
            "host was paused",
            extra={
                "paused_s": round(group.pauses.pause_s(now), 3),
                "leads": group.is_leader,
                "list_age_s": round(self.age_s(now), 3),
                "upstreams": len(self.entries),
            },
        )

    def _set_entries(self, entries: tuple[UpstreamEntry, ...]) -> None:
        if entries != self.entries:
            self.entries = entries
            self._owner.upstreams_changed()
