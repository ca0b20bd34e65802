"""The list of upstreams, and which hosts know of its entries."""

from jackdawspur.leases import UpstreamEntry
from jackdawspur.model import UpstreamId
from jackdawspur.runs._types import Offer

__all__ = ["Listing"]

DISTANT_PAST = float("-inf")
# The first list that a host reads may be short: upstreams whose entries expired while
# the store was down are back within two seconds of its return.
STABLE_AFTER_S = 2.5
# All hosts are notified at once when a group gets more zones; a host that receives
# nothing for 0.4 s counts the leader as lost.
ANNOUNCE_S = 0.5
# An upstream that vanished without draining may be partitioned for about this long, and
# run tasks for the hosts on its side of the partition.
VANISHED_TTL_S = 120.0


class Listing:
    """Track since when upstreams are listed, which vanished, and the group's zones."""

    def __init__(self) -> None:
        # Length of the longest list that another host has read, and when all of them
        # had read one.
        self._max_peer_list_length = 0
        self._peers_read_at = DISTANT_PAST
        # Whether another host has read a newer list than this one.
        self._is_behind = False
        self._listed: tuple[UpstreamEntry, ...] = ()
        self._since: float | None = None
        self._first_listed: dict[UpstreamId, float] = {}
        self._vanished: dict[UpstreamId, float] = {}
        # Zone of the group, None for all zones; and its last single zone.
        self._zone: str | None = None
        self._last_single_zone: str | None = None
        self._zone_changed_at = DISTANT_PAST

    @property
    def by_zone(self) -> bool:
        """Return whether the group is a single zone."""
        return self._zone is not None

    def set_zone(self, zone: str | None, now: float) -> None:
        """Set the zone of the group, None for all zones."""
        if zone != self._zone:
            self._last_single_zone, self._zone = zone or self._zone, zone
            self._zone_changed_at = now

    def update(self, listed: tuple[UpstreamEntry, ...], now: float) -> None:
        """Set the list, of all zones."""
        present = {entry.id for entry in listed}
        for entry in self._listed:
            if entry.id not in present and not entry.draining:
                self._vanished.setdefault(entry.id, now)
        for upstream, since in list(self._vanished.items()):
            if upstream in present or now - since > VANISHED_TTL_S:
                del self._vanished[upstream]
        first_at = DISTANT_PAST if self._since is None else now
        self._first_listed = {
            upstream: self._first_listed.get(upstream, first_at)
            for upstream in (*present, *self._vanished)
        }
        if listed and self._since is None:
            self._since = now
        self._listed = listed

    def update_peers(self, max_length: int, all_read_at: float, behind: bool) -> None:
        """Record what the other hosts report about their lists."""
        self._max_peer_list_length = max_length
        self._is_behind = behind
        self._peers_read_at = all_read_at

    def is_complete(self, now: float) -> bool:
        """Return whether no upstream of the group is likely to be missing.

        One that vanished may obey another leader, as it may be partitioned from the
        store and from this host. So may one that is not on the list yet because this
        host has just started, or that is on another host's longer or newer list.
        """
        if self._since is None or now - self._since < STABLE_AFTER_S:
            return False
        if self._is_behind or len(self._listed) < self._max_peer_list_length:
            return False
        return not any(
            self._zone in (None, vanished.zone) for vanished in self._vanished
        )

    def covers_earlier_starts(self, offer: Offer) -> bool:
        """Return whether polls here cover all that earlier leaders may have started.

        They do if earlier leaders could use no other upstreams than those here, and had
        no higher fence.
        """
        if offer.outranked:
            return False
        if self._zone is None:
            return True
        return offer.zone == self._zone and not offer.all_zones

    def is_known_to_all(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether any host that leads next will know of an upstream.

        A next leader with an older list would not poll the upstream. A run there that
        must stop would continue under its lease, and that leader would start its task
        again at once, as all upstreams on its own list reply. A host that does not
        know yet that the group has more zones would report that its jobs ran only in
        its own zone.
        """
        joined = upstream.zone not in (self._last_single_zone, self._zone)
        if joined and now - self._zone_changed_at < ANNOUNCE_S:
            return False
        return self._first_listed.get(upstream, DISTANT_PAST) <= self._peers_read_at
