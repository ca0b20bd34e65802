"""HDR histograms by customer and class, in bounded number."""

from collections import OrderedDict
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

__all__ = ["HistogramKey", "HistogramSummary", "Histograms"]

LOWEST_MS = 1
HIGHEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
HISTOGRAMS_KEPT = 500


@dataclass(frozen=True, slots=True, order=True)
class HistogramKey:
    """Name a class of a customer's jobs."""

    customer: str
    job_class: str


@dataclass(frozen=True, slots=True)
class HistogramSummary:
    """Summarize one histogram; times in milliseconds."""

    name: HistogramKey
    count: int
    p50: float
    p99: float
    p999: float
    largest: float


class Histograms:
    """Record durations; the class least recently used makes room for a new one."""

    def __init__(self) -> None:
        self._kept: OrderedDict[HistogramKey, HdrHistogram] = OrderedDict()

    def record(self, name: HistogramKey, duration_ms: float) -> None:
        """Record one duration; those beyond the range count at its ends."""
        histogram = self._kept.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
            self._kept[name] = histogram
            if len(self._kept) > HISTOGRAMS_KEPT:
                self._kept.popitem(last=False)
        else:
            self._kept.move_to_end(name)
        value = min(HIGHEST_MS, max(LOWEST_MS, round(duration_ms)))
        histogram.record_value(value)

    def summarize(self) -> tuple[HistogramSummary, ...]:
        """Return the percentiles of all histograms, by name."""
        return tuple(
            HistogramSummary(
                name,
                histogram.get_total_count(),
                histogram.get_value_at_percentile(50),
                histogram.get_value_at_percentile(99),
                histogram.get_value_at_percentile(99.9),
                histogram.get_max_value(),
            )
            for name, histogram in sorted(self._kept.items())
        )
