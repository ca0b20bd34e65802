"""What operators state about overload."""

from dataclasses import dataclass

__all__ = ["DEFAULT_POLICY", "OverloadPolicy"]


@dataclass(frozen=True, slots=True)
class OverloadPolicy:
    """Weights and limits for choosing the jobs to serve under overload.

    `priority_weights` are the costs of not serving a job, by priority; the last one
    holds for all further priorities. `late_weight` is the factor on the cost of a job
    that can only be late. Each route keeps `min_served_fraction` of its arrivals.
    `remote_factor` is the factor on run times outside the preferred rack.
    """

    priority_weights: tuple[float, ...] = (16.0, 4.0, 1.0)
    late_weight: float = 0.25
    min_served_fraction: float = 0.1
    remote_factor: float = 2.0

    def weight(self, priority: int) -> float:
        """Return the cost of not serving a job of a priority."""
        last = len(self.priority_weights) - 1
        return self.priority_weights[min(max(0, priority), last)]


DEFAULT_POLICY = OverloadPolicy()
