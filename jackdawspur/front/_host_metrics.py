"""Counters and histograms of a host in the text format for metrics."""

from collections import Counter

from jackdawspur.metrics import HistogramKey, Histograms, HistogramSummary
from jackdawspur.runs import JobEnd, JobEvent, LossCause

__all__ = ["HostMetrics"]


class HostMetrics:
    """Counters of events, and histograms of times by route and end of the job.

    In the keys of histograms, the customer is the route and the job class the end, or
    the priority.
    """

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._times = Histograms()
        self._last_starts = Histograms()
        self._refused_waits = Histograms()

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

    def record_refusal(
        self, route: str, priority: int, cause: str, wait_ms: float
    ) -> None:
        """Count a refused job by its cause and record how long it had waited."""
        labels = f'{_priority_labels(route, priority)},cause="{cause}"'
        self._counts[f"refusals{{{labels}}}"] += 1
        self._refused_waits.record(HistogramKey(route, str(priority)), wait_ms)

    def record_event(self, event: JobEvent, route: str, priority: int) -> None:
        """Count a job that was late or redirected."""
        self._counts[f"jobs_{event.value}{{{_priority_labels(route, priority)}}}"] += 1

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
        for summary in self._refused_waits.summarize():
            key = summary.name
            labels = _priority_labels(key.customer, key.job_class)
            lines += _histogram("refused_wait_ms", labels, summary)
        return lines


def _priority_labels(route: str, priority: int | str) -> str:
    return f'route="{route}",priority="{priority}"'


def _histogram(name: str, labels: str, summary: HistogramSummary) -> list[str]:
    quantiles = (("0.5", summary.p50), ("0.99", summary.p99))
    return [
        f"jackdawspur_{name}_count{{{labels}}} {summary.count}",
        *(
            f'jackdawspur_{name}{{{labels},quantile="{quantile}"}} {value}'
            for quantile, value in quantiles
        ),
    ]
