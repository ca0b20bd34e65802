"""Counters and histograms of a host, as text."""

from collections import Counter

from jackdawspur.metrics import HistogramKey, Histograms, HistogramSummary
from jackdawspur.runs import JobEnd, LossCause

__all__ = ["Gauges"]


class Gauges:
    """Count events, and keep a histogram of times for each route and end."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._times = Histograms()
        self._last_starts = Histograms()

    def count(self, name: str) -> None:
        """Count one event."""
        self._counts[name] += 1

    def ended(self, route: str, end: JobEnd, took_ms: float) -> None:
        """Count the end of a job and record how long its caller waited."""
        self._counts[f"jobs_{end.value}"] += 1
        self._times.record(HistogramKey(route, end.value), took_ms)

    def lost(self, route: str, cause: LossCause) -> None:
        """Count a job that the leading host lost, by its cause."""
        self._counts[f'jobs_lost{{route="{route}",cause="{cause.value}"}}'] += 1

    def begun(self, route: str, last_start_ms: float) -> None:
        """Record how long after its coming the last task of a job first started."""
        self._last_starts.record(HistogramKey(route, ""), last_start_ms)

    def lines(self) -> list[str]:
        """Return one line for each counter and percentile."""
        lines = [f"jackdawspur_{name} {n}" for name, n in sorted(self._counts.items())]
        for one in self._times.summarize():
            labels = f'route="{one.name.customer}",end="{one.name.job_class}"'
            lines += _histogram("job_ms", labels, one)
        for one in self._last_starts.summarize():
            lines += _histogram("last_start_ms", f'route="{one.name.customer}"', one)
        return lines


def _histogram(name: str, labels: str, one: HistogramSummary) -> list[str]:
    quantiles = (("0.5", one.p50), ("0.99", one.p99))
    return [
        f"jackdawspur_{name}_count{{{labels}}} {one.count}",
        *(
            f'jackdawspur_{name}{{{labels},quantile="{share}"}} {value}'
            for share, value in quantiles
        ),
    ]
