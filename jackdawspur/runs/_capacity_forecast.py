"""When room comes free for the work that waits."""

from bisect import bisect_left
from collections.abc import Iterable

__all__ = ["CapacityForecast"]


class CapacityForecast:
    """Tell when work that waits has begun, by when the runs under way end.

    Room is in thousandths of a core, work in these times seconds, and times count from
    now. A run under way delays what waits only until that finds other room, so work
    ahead is no more than what waits before it.
    """

    def __init__(self, capacity: float, runs: Iterable[tuple[float, float]]) -> None:
        """Take the room of all upstreams, and each run's end and room."""
        ending = sorted(runs)
        self._times_s = [0.0]
        self._work_done = [0.0]
        # Negative while runs are listed of upstreams that are lost.
        self._free_millis = [capacity - sum(millis for _, millis in ending)]
        for left_s, millis in ending:
            self._add(left_s, millis)

    def start_delay_s(self, work_ahead: float) -> float:
        """Return when so much work that waits has found room."""
        number = max(0, bisect_left(self._work_done, work_ahead) - 1)
        remaining = work_ahead - self._work_done[number]
        if remaining <= 0.0:
            return self._first_free_s()
        return self._times_s[number] + remaining / max(1.0, self._free_millis[number])

    def _first_free_s(self) -> float:
        """Return when any room is free."""
        return next(
            (
                at
                for at, rate in zip(self._times_s, self._free_millis, strict=True)
                if rate > 0.0
            ),
            self._times_s[-1],
        )

    def _add(self, left_s: float, millis: float) -> None:
        """Let more room be free from a time on, later than those before."""
        rate = max(0.0, self._free_millis[-1])
        self._work_done.append(
            self._work_done[-1] + rate * (left_s - self._times_s[-1])
        )
        self._times_s.append(left_s)
        self._free_millis.append(self._free_millis[-1] + millis)
