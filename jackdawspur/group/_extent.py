"""Choice between one group of hosts for all zones and one group for each zone."""

from collections.abc import Sequence

from jackdawspur.group._messages import HostHeartbeat

__all__ = ["MAX_UPSTREAMS", "Extent"]

# Maximum number of upstreams under one leader, at about 20 starts a second for each
# upstream. Above this number each zone has a group of its own.
MAX_UPSTREAMS = 64
# Zones that were split join again below this fraction of the limit. The hysteresis
# keeps the groups stable while the number of upstreams varies around the limit.
JOIN_FRACTION = 0.75


class Extent:
    """Holds which zones the group covers, as decided here or by the leader.

    Followers adopt the leader's decision instead of using their own list of upstreams,
    which is empty just after a start and short after an outage of the store. When each
    host decided by its own list, hosts disagreed on the groups: two groups had the same
    jobs and ran a task at the same time.
    """

    def __init__(self, max_upstreams: int) -> None:
        self._max_upstreams = max_upstreams
        self._upstreams: int | None = None
        self._too_large = False
        self._by_zone = False

    @property
    def by_zone(self) -> bool:
        """Return whether the group consists of this host's zone only."""
        return self._by_zone

    @property
    def too_large(self) -> bool:
        """Return whether this host's list has too many upstreams for one group."""
        return self._too_large

    def set_upstream_count(self, upstreams: int) -> None:
        """Record the number of upstreams on this host's list."""
        self._upstreams = upstreams

    def follow(self, by_zone: bool) -> None:
        """Adopt the leader's decision."""
        self._by_zone = by_zone

    def decide(self, zone_leaders: Sequence[HostHeartbeat]) -> None:
        """Decide by this host's list, if it has one, and by leaders of single zones.

        `zone_leaders` are the last heartbeats of these leaders. While one of them
        reports that its list is too long to join, no other group includes its zone:
        both leaders would alternately take its upstreams from each other.
        """
        if self._upstreams is None:
            return
        is_split = self._by_zone or bool(zone_leaders)
        limit = self._max_upstreams * (JOIN_FRACTION if is_split else 1.0)
        self._too_large = self._upstreams > limit
        self._by_zone = self._too_large or any(
            heartbeat.too_large for heartbeat in zone_leaders
        )
