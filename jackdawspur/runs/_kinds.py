"""What upstreams with the same label have in common."""

from collections.abc import Iterable, Mapping

from jackdawspur.model import UpstreamId

__all__ = ["Kinds"]

# A label tells something once so many tasks have ended on upstreams that have it.
LEAST_TASKS = 4
# Each look at all upstreams takes time: while all is new each job teaches much, later
# only so many jobs do.
FIRST_JOBS = 50
EVERY_JOBS = 10
# Squared deviation of one task's logarithm, and the least of a label's upstreams.
TASK_VARIANCE = 0.04
LEAST_VARIANCE = 0.0004


class Kinds:
    """Keep the mean pace of the upstreams of each label, as a logarithm.

    Labels that tell paces apart have upstreams that are nearly alike: what a label
    says weighs the more, the less its upstreams differ.
    """

    def __init__(self) -> None:
        self._labels: dict[UpstreamId, tuple[str, ...]] = {}
        # By label: the mean, and what one over its variance is.
        self._known: dict[str, tuple[float, float]] = {}
        self._jobs = 0

    def set_upstreams(self, labels: Mapping[UpstreamId, Iterable[str]]) -> None:
        """Keep exactly these upstreams."""
        self._labels = {one: tuple(some) for one, some in labels.items()}

    def log_pace(self, upstream: UpstreamId) -> float:
        """Return what the labels of an upstream say of its pace, 0 if nothing."""
        labels = self._labels.get(upstream, ())
        known = [self._known[one] for one in labels if one in self._known]
        weight = sum(weight for _, weight in known)
        return sum(mean * weight for mean, weight in known) / weight if weight else 0.0

    def learn(
        self, paces: Mapping[UpstreamId, float], tasks: Mapping[UpstreamId, int]
    ) -> None:
        """Take in the paces that upstreams' own tasks told, and how many there were."""
        self._jobs += 1
        if self._jobs > FIRST_JOBS and self._jobs % EVERY_JOBS:
            return
        told: dict[str, list[tuple[float, int]]] = {}
        for upstream, count in tasks.items():
            for label in self._labels.get(upstream, ()) if count else ():
                told.setdefault(label, []).append((paces[upstream], count))
        self._known = {
            label: _mean_and_weight(some)
            for label, some in told.items()
            if sum(count for _, count in some) >= LEAST_TASKS
        }


def _mean_and_weight(told: list[tuple[float, int]]) -> tuple[float, float]:
    tasks = sum(count for _, count in told)
    mean = sum(pace * count for pace, count in told) / tasks
    spread = sum(count * (pace - mean) ** 2 for pace, count in told) / tasks
    variance = max(LEAST_VARIANCE, spread) + TASK_VARIANCE / tasks
    return mean, 1.0 / variance
