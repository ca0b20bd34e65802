"""Fake network between zones and to the platform, with partitions."""

import random

from jackdawspur.bench._deployment import DeploymentSpec

__all__ = ["FakeLinks"]


class FakeLinks:
    """Model latency, loss and partitions of the network between zones.

    `jitter_s` is the maximum extra latency, which may also reorder messages;
    `peer_loss` is the fraction of messages between entry hosts that are lost.
    """

    def __init__(self, deployment: DeploymentSpec, rng: random.Random) -> None:
        self.jitter_s = 0.0
        self.peer_loss = 0.0
        self._rng = rng
        self._deployment = deployment
        self._isolated_from_zones: set[str] = set()
        self._isolated_from_platform: set[str] = set()

    def partition_zone(
        self, zone: str, zones: bool = True, platform: bool = True
    ) -> None:
        """Partition a zone from the other zones, from the platform, or from both."""
        if zones:
            self._isolated_from_zones.add(zone)
        if platform:
            self._isolated_from_platform.add(zone)

    def end_partitions(self, zone: str) -> None:
        """End all partitions of a zone."""
        self._isolated_from_zones.discard(zone)
        self._isolated_from_platform.discard(zone)

    def is_connected(self, zone: str, other: str) -> bool:
        """Return whether messages between two zones are delivered."""
        return zone == other or not {zone, other} & self._isolated_from_zones

    def reaches_platform(self, zone: str) -> bool:
        """Return whether a zone can reach the log and the list of hosts."""
        return zone not in self._isolated_from_platform

    def delay(self, zone: str, other: str) -> float:
        """Return the one-way latency between two zones, in seconds."""
        extra = self._rng.random() * self.jitter_s if self.jitter_s else 0.0
        if zone == other:
            return self._deployment.inside_zone_latency_s + extra
        return self._deployment.between_zones_latency_s + extra

    def loses_peer_message(self) -> bool:
        """Return, at random, whether a message between entry hosts is lost."""
        return self._rng.random() < self.peer_loss
