"""Counters and histograms of a host, as text."""

from collections import Counter

from jackdawspur.metrics import ClassName, Histograms
from jackdawspur.runs import JobEnd

__all__ = ["Gauges"]


class Gauges:
    """Count events, and keep a histogram of times for each route and end."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._times = Histograms()

    def count(self, name: str) -> None:
        """Count one event."""
        self._counts[name] += 1

    def ended(self, route: str, end: JobEnd, took_ms: float) -> None:
        """Count the end of a job and record how long its caller waited."""
        self._counts[f"jobs_{end.value}"] += 1
        self._times.record(ClassName(route, end.value), took_ms)

    def lines(self) -> list[str]:
        """Return one line for each counter and percentile."""
        lines = [f"jackdawspur_{name} {n}" for name, n in sorted(self._counts.items())]
        for one in self._times.summarize():
            labels = f'route="{one.name.customer}",end="{one.name.job_class}"'
            lines.append(f"jackdawspur_job_ms_count{{{labels}}} {one.count}")
            for share, value in (("0.5", one.p50), ("0.99", one.p99)):
                quantile = f'{labels},quantile="{share}"'
                lines.append(f"jackdawspur_job_ms{{{quantile}}} {value}")
        return lines
