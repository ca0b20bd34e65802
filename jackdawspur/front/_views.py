"""What this host knows of the store."""

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

NEVER_S = 1e9
# Upstreams report all the time, and each read costs a call that is paid for. Who leads
# must know within 2 s of an upstream that leaves; who follows may lead at any moment,
# and its list must still be good for that.
LEADING_LIST_S = 0.5
FOLLOWING_LIST_S = 1.5

log = logging.getLogger("jackdawspur.host")


class ViewOwner(Protocol):
    """Use what the store holds."""

    group: Group

    def decode_configuration(self, document: bytes) -> RouteTable:
        """Return the routes of a document."""

    def set_routes(self, routes: RouteTable) -> None:
        """Serve these routes."""

    def upstreams_changed(self) -> None:
        """Use a new list of upstreams."""

    def hosts_learned(self) -> None:
        """Get in touch with hosts that were not known before."""


class StoreView(StoreListener):
    """Keep the newest configuration and the list of upstreams, with their age."""

    def __init__(self, owner: "ViewOwner") -> None:
        self._owner = owner
        self._version = 0
        self.document = b""
        self.reachable = False
        self.store_said = "not asked yet"
        self.list_read_at: float | None = None
        self.in_force_at: float | None = None
        self.entries: tuple[UpstreamEntry, ...] = ()
        self.evacuated: frozenset[str] = frozenset()

    @property
    def upstream_list_interval_s(self) -> float:
        """Return how often the list of upstreams is to be read, in seconds."""
        return LEADING_LIST_S if self._owner.group.is_leader else FOLLOWING_LIST_S

    def age_s(self, now: float) -> float:
        """Return how old the list of upstreams is."""
        return NEVER_S if self.list_read_at is None else now - self.list_read_at

    def on_configuration(self, version: int, document: bytes) -> None:
        """Put a newer configuration in force; an unreadable one changes nothing."""
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
        """Take in the list as the store has it."""
        self.list_read_at = now_s()
        self.reachable = True
        self.store_said = ""
        self._set_entries(entries)

    def on_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Start nothing more in these zones, and say so in the log."""
        if zones == self.evacuated:
            return
        log.info(
            "evacuated zones changed",
            extra={"zones": sorted(zones), "before": sorted(self.evacuated)},
        )
        self.evacuated = zones
        self._owner.upstreams_changed()

    def upstreams_passed(self, passed: UpstreamListUpdate, now: float) -> None:
        """Take in another host's list if it is newer.

        One that was held up by a cut is older than it says.
        """
        if is_stale_message(passed.receiver_at, now):
            return
        if passed.age_s < self.age_s(now):
            self.list_read_at = now - passed.age_s
            if not self.reachable:
                self.on_evacuated_zones(frozenset(passed.evacuated))
            self._set_entries(passed.entries)

    def on_hosts(self, hosts: tuple[HostAddress, ...]) -> None:
        """Learn where the other hosts are."""
        new = [host for host in hosts if self._owner.group.add_host(host)]
        if new:
            self._owner.hosts_learned()

    def on_store_reachability(self, reachable: bool, reason: str) -> None:
        """Say in the log that the store is lost or regained."""
        self.reachable = reachable
        self.store_said = "" if reachable else reason
        text = "store regained" if reachable else "store lost"
        log.info(
            text, extra={"reason": reason, "list_age_s": round(self.age_s(now_s()), 3)}
        )

    def note_leader(self, term: Term | None, now: float) -> None:
        """Say in the log whom this host follows, and what it knew when it chose."""
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

    def _set_entries(self, entries: tuple[UpstreamEntry, ...]) -> None:
        if entries != self.entries:
            self.entries = entries
            self._owner.upstreams_changed()
