"""How many upstreams a host carries when it leads, by what it may use."""

import math
from dataclasses import dataclass

__all__ = ["HostLimits"]

# What the leading host spends on one busy upstream, with some eight starts and ten
# looks a second and the messages of their jobs.
CORES_AN_UPSTREAM = 0.0065
MBPS_AN_UPSTREAM = 0.1
# The rest is room for a burst of jobs.
STEADY_SHARE = 0.5
ASSUMED_CORES = 1.0


@dataclass(frozen=True, slots=True)
class HostLimits:
    """Keep what a host may use, None for what nobody stated.

    `processor` is its share of one, in cores; `link_mbps` is in Mbit/s each way.
    """

    processor: float | None = None
    link_mbps: float | None = None

    @property
    def cores(self) -> float:
        """Return the stated share of a processor, or the assumed one."""
        return ASSUMED_CORES if self.processor is None else self.processor

    @property
    def max_upstreams(self) -> int:
        """Return how many upstreams the host carries, at least one.

        A link that nobody stated is assumed not to bind.
        """
        link = math.inf if self.link_mbps is None else self.link_mbps
        most = min(self.cores / CORES_AN_UPSTREAM, link / MBPS_AN_UPSTREAM)
        return max(1, math.floor(STEADY_SHARE * most))

    def log_fields(self) -> dict[str, object]:
        """Return what the log tells of the limits, and which of them are assumed."""
        stated = {"processor": self.processor, "link_mbps": self.link_mbps}
        assumed = [name for name, value in stated.items() if value is None]
        return {**stated, "assumed": assumed, "carries_upstreams": self.max_upstreams}
