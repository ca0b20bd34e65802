"""Number of upstreams that a host can lead, derived from its resource limits."""

import math
from dataclasses import dataclass

__all__ = ["HostLimits"]

# Cost of one busy upstream to the leader: about eight starts and ten polls a second,
# and the messages of their jobs.
CORES_PER_UPSTREAM = 0.0065
MBPS_PER_UPSTREAM = 0.1
# Fraction of the limits for steady load; the rest is headroom for bursts of jobs.
STEADY_FRACTION = 0.5
ASSUMED_CORES = 1.0


@dataclass(frozen=True, slots=True)
class HostLimits:
    """Resource limits of a host; None for a limit that is not stated.

    `processor` is in cores, `link_mbps` in Mbit/s in each direction.
    """

    processor: float | None = None
    link_mbps: float | None = None

    @property
    def cores(self) -> float:
        """Return the stated number of cores, or the assumed one."""
        return ASSUMED_CORES if self.processor is None else self.processor

    @property
    def max_upstreams(self) -> int:
        """Return the number of upstreams that the host can lead, at least one.

        A link whose limit is not stated is assumed not to be the bottleneck.
        """
        link = math.inf if self.link_mbps is None else self.link_mbps
        limit = min(self.cores / CORES_PER_UPSTREAM, link / MBPS_PER_UPSTREAM)
        return max(1, math.floor(STEADY_FRACTION * limit))

    def log_fields(self) -> dict[str, object]:
        """Return the fields for the log: the limits, and which of them are assumed."""
        stated = {"processor": self.processor, "link_mbps": self.link_mbps}
        assumed = [name for name, value in stated.items() if value is None]
        return {**stated, "assumed": assumed, "carries_upstreams": self.max_upstreams}
