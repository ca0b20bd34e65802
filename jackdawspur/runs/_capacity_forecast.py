"""Forecast of when capacity becomes free for waiting work."""

from bisect import bisect_left
from collections.abc import Iterable

__all__ = ["CapacityForecast"]


class CapacityForecast:
    """Forecast when waiting work has started, from the ends of the current runs.

    Capacity is in thousandths of a core, work is capacity times seconds, and times
    count from now. A current run delays waiting work only until other capacity
    becomes free, so only waiting work counts as work ahead.
    """

    def __init__(self, capacity: float, runs: Iterable[tuple[float, float]]) -> None:
        """Set the capacity of all upstreams, and each run's end and capacity."""
        ending = sorted(runs)
        self._times_s = [0.0]
        self._work_done = [0.0]
        # Negative while runs on lost upstreams are still listed.
        self._free_millis = [capacity - sum(millis for _, millis in ending)]
        for left_s, millis in ending:
            self._add(left_s, millis)

    def start_delay_s(self, work_ahead: float) -> float:
        """Return in how many seconds this much waiting work has started."""
        index = max(0, bisect_left(self._work_done, work_ahead) - 1)
        remaining = work_ahead - self._work_done[index]
        if remaining <= 0.0:
            return self._first_free_s()
        return self._times_s[index] + remaining / max(1.0, self._free_millis[index])

    def _first_free_s(self) -> float:
        """Return in how many seconds any capacity is free."""
        return next(
            (
                at
                for at, rate in zip(self._times_s, self._free_millis, strict=True)
                if rate > 0.0
            ),
            self._times_s[-1],
        )

    def _add(self, left_s: float, millis: float) -> None:
        """Add capacity that becomes free at a time, later than those before."""
        rate = max(0.0, self._free_millis[-1])
        self._work_done.append(
            self._work_done[-1] + rate * (left_s - self._times_s[-1])
        )
        self._times_s.append(left_s)
        self._free_millis.append(self._free_millis[-1] + millis)
