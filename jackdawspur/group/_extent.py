"""Whether all zones are one group of hosts, or each has one of its own."""

from collections.abc import Sequence

from jackdawspur.group._messages import HostHeartbeat

__all__ = ["MOST_UPSTREAMS", "Extent"]

# One leading host carries about 20 starts a second for each upstream; above this many
# each zone has a group of its own.
MOST_UPSTREAMS = 64
# Zones that split become one group again below this share of that: a number about the
# limit must not change the groups with each upstream that comes or leaves.
JOIN_SHARE = 0.75


class Extent:
    """Decide by the number of upstreams, or have what the leading host decided.

    Each host has a list of upstreams of its own, none just after its start and a short
    one after the store was away. Hosts that went by these belonged to different groups
    with the same jobs, and two groups ran one task at the same time.
    """

    def __init__(self, most_upstreams: int) -> None:
        self._most_upstreams = most_upstreams
        self._upstreams: int | None = None
        self._too_large = False
        self._by_zone = False

    @property
    def by_zone(self) -> bool:
        """Tell whether the group is the own zone alone."""
        return self._by_zone

    @property
    def too_large(self) -> bool:
        """Tell whether the own list has too many upstreams for one group."""
        return self._too_large

    def set_upstream_count(self, upstreams: int) -> None:
        """Take in how many upstreams the own list has."""
        self._upstreams = upstreams

    def follow(self, by_zone: bool) -> None:
        """Have what the leading host says."""
        self._by_zone = by_zone

    def decide(self, apart: Sequence[HostHeartbeat]) -> None:
        """Decide by the own list, where there is one, and by other zones' groups.

        These say how many upstreams are on theirs. As long as one of them has too many
        to join, nobody takes its zone in: the two would claim its upstreams in turn.
        """
        if self._upstreams is None:
            return
        joining = self._by_zone or bool(apart)
        most = self._most_upstreams * (JOIN_SHARE if joining else 1.0)
        self._too_large = self._upstreams > most
        self._by_zone = self._too_large or any(beat.too_large for beat in apart)
