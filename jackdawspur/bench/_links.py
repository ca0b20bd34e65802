"""Ways between zones and to the platform, and what cuts them."""

import random

from jackdawspur.bench._deployment import DeploymentSpec

__all__ = ["FakeLinks"]


class FakeLinks:
    """Tell how long a message takes between zones, and whether it arrives.

    `jitter_s` is the longest extra time, which also disorders messages; `peer_loss`
    the share of messages between entry hosts that get lost.
    """

    def __init__(self, deployment: DeploymentSpec, rng: random.Random) -> None:
        self.jitter_s = 0.0
        self.peer_loss = 0.0
        self._rng = rng
        self._deployment = deployment
        self._cut_from_zones: set[str] = set()
        self._cut_from_platform: set[str] = set()

    def partition_zone(
        self, zone: str, zones: bool = True, platform: bool = True
    ) -> None:
        """Cut a zone off from the other zones, from the platform, or from both."""
        if zones:
            self._cut_from_zones.add(zone)
        if platform:
            self._cut_from_platform.add(zone)

    def heal_zone(self, zone: str) -> None:
        """End every cut of a zone."""
        self._cut_from_zones.discard(zone)
        self._cut_from_platform.discard(zone)

    def is_connected(self, zone: str, other: str) -> bool:
        """Tell whether messages pass between two zones."""
        return zone == other or not {zone, other} & self._cut_from_zones

    def reaches_platform(self, zone: str) -> bool:
        """Tell whether a zone reaches the log and the list of hosts."""
        return zone not in self._cut_from_platform

    def delay(self, zone: str, other: str) -> float:
        """Return the one-way time in seconds."""
        extra = self._rng.random() * self.jitter_s if self.jitter_s else 0.0
        if zone == other:
            return self._deployment.inside_zone_s + extra
        return self._deployment.between_zones_s + extra

    def loses_peer_message(self) -> bool:
        """Decide whether a message between entry hosts gets lost."""
        return self._rng.random() < self.peer_loss
