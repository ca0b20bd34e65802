"""Mean slowdowns of upstreams with the same label."""

from collections.abc import Iterable, Mapping

from jackdawspur.model import UpstreamId

__all__ = ["LabelStats"]

# A label is used once this many tasks have ended on upstreams that have it.
MIN_TASKS = 4
# Each update goes through all upstreams, which takes time. Each of the first jobs adds
# much and causes an update; after INITIAL_JOBS, only one job in JOB_INTERVAL does.
INITIAL_JOBS = 50
JOB_INTERVAL = 10
# Variance of one task's log run time, and the smallest variance among the upstreams of
# a label.
TASK_VARIANCE = 0.04
MIN_VARIANCE = 0.0004


class LabelStats:
    """Mean log slowdown of the upstreams of each label.

    Upstreams with a label that predicts their slowdown are nearly alike: the less the
    upstreams of a label differ, the more weight the label has.
    """

    def __init__(self) -> None:
        self._labels: dict[UpstreamId, tuple[str, ...]] = {}
        # Mean, and the inverse of its variance, by label.
        self._by_label: dict[str, tuple[float, float]] = {}
        self._jobs = 0

    def set_upstreams(self, labels: Mapping[UpstreamId, Iterable[str]]) -> None:
        """Track exactly these upstreams."""
        self._labels = {upstream: tuple(names) for upstream, names in labels.items()}

    def mean_log_slowdown(self, upstream: UpstreamId) -> float:
        """Return the log slowdown that an upstream's labels predict, 0 if none does."""
        labels = self._labels.get(upstream, ())
        stats = [self._by_label[label] for label in labels if label in self._by_label]
        weight = sum(weight for _, weight in stats)
        return sum(mean * weight for mean, weight in stats) / weight if weight else 0.0

    def learn(
        self, log_slowdowns: Mapping[UpstreamId, float], tasks: Mapping[UpstreamId, int]
    ) -> None:
        """Update the means from upstreams' own log slowdowns and task counts."""
        self._jobs += 1
        if self._jobs > INITIAL_JOBS and self._jobs % JOB_INTERVAL:
            return
        samples: dict[str, list[tuple[float, int]]] = {}
        for upstream, count in tasks.items():
            for label in self._labels.get(upstream, ()) if count else ():
                samples.setdefault(label, []).append((log_slowdowns[upstream], count))
        self._by_label = {
            label: _mean_and_weight(label_samples)
            for label, label_samples in samples.items()
            if sum(count for _, count in label_samples) >= MIN_TASKS
        }


def _mean_and_weight(samples: list[tuple[float, int]]) -> tuple[float, float]:
    tasks = sum(count for _, count in samples)
    mean = sum(log_slowdown * count for log_slowdown, count in samples) / tasks
    spread = (
        sum(count * (log_slowdown - mean) ** 2 for log_slowdown, count in samples)
        / tasks
    )
    variance = max(MIN_VARIANCE, spread) + TASK_VARIANCE / tasks
    return mean, 1.0 / variance
