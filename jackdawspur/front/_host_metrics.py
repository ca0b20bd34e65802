"""Counters and histograms of a host in the text format for metrics."""

from collections import Counter

from jackdawspur.metrics import HistogramKey, Histograms, HistogramSummary
from jackdawspur.runs import JobEnd, LossCause

__all__ = ["HostMetrics"]


class HostMetrics:
    """Counters of events, and histograms of times by route and end of the job.

    In the keys of histograms, the customer is the route and the job class the end.
    """

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._times = Histograms()
        self._last_starts = Histograms()

    def count(self, name: str) -> None:
        """Count one event."""
        self._counts[name] += 1

    def record_end(self, route: str, end: JobEnd, took_ms: float) -> None:
        """Count the end of a job and record how long its caller waited."""
        self._counts[f"jobs_{end.value}"] += 1
        self._times.record(HistogramKey(route, end.value), took_ms)

    def record_loss(self, route: str, cause: LossCause) -> None:
        """Count a job that the leader lost, by its cause."""
        self._counts[f'jobs_lost{{route="{route}",cause="{cause.value}"}}'] += 1

    def record_last_start(self, route: str, last_start_ms: float) -> None:
        """Record the time from a job's arrival to the first start of its last task."""
        self._last_starts.record(HistogramKey(route, ""), last_start_ms)

    def lines(self) -> list[str]:
        """Return one line for each counter and percentile."""
        lines = [f"jackdawspur_{name} {n}" for name, n in sorted(self._counts.items())]
        for summary in self._times.summarize():
            labels = f'route="{summary.name.customer}",end="{summary.name.job_class}"'
            lines += _histogram("job_ms", labels, summary)
        for summary in self._last_starts.summarize():
            lines += _histogram(
                "last_start_ms", f'route="{summary.name.customer}"', summary
            )
        return lines


def _histogram(name: str, labels: str, summary: HistogramSummary) -> list[str]:
    quantiles = (("0.5", summary.p50), ("0.99", summary.p99))
    return [
        f"jackdawspur_{name}_count{{{labels}}} {summary.count}",
        *(
            f'jackdawspur_{name}{{{labels},quantile="{quantile}"}} {value}'
            for quantile, value in quantiles
        ),
    ]
