"""A bounded number of HDR histograms by customer and job class."""

from collections import OrderedDict
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

__all__ = ["HistogramKey", "HistogramSummary", "Histograms"]

MIN_MS = 1
MAX_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
MAX_HISTOGRAMS = 500


@dataclass(frozen=True, slots=True, order=True)
class HistogramKey:
    """A job class of a customer."""

    customer: str
    job_class: str


@dataclass(frozen=True, slots=True)
class HistogramSummary:
    """Count and percentiles of one histogram; times in milliseconds."""

    name: HistogramKey
    count: int
    p50: float
    p99: float
    p999: float
    largest: float


class Histograms:
    """Histograms of durations; beyond the bound the least recently used is evicted."""

    def __init__(self) -> None:
        self._histograms: OrderedDict[HistogramKey, HdrHistogram] = OrderedDict()

    def record(self, key: HistogramKey, duration_ms: float) -> None:
        """Record a duration, clamped to the range of the histogram."""
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(MIN_MS, MAX_MS, SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
            if len(self._histograms) > MAX_HISTOGRAMS:
                self._histograms.popitem(last=False)
        else:
            self._histograms.move_to_end(key)
        value = min(MAX_MS, max(MIN_MS, round(duration_ms)))
        histogram.record_value(value)

    def summarize(self) -> tuple[HistogramSummary, ...]:
        """Return the summaries of all histograms, sorted by key."""
        return tuple(
            HistogramSummary(
                key,
                histogram.get_total_count(),
                histogram.get_value_at_percentile(50),
                histogram.get_value_at_percentile(99),
                histogram.get_value_at_percentile(99.9),
                histogram.get_max_value(),
            )
            for key, histogram in sorted(self._histograms.items())
        )
