"""When room comes free for the work that waits."""

from bisect import bisect_left
from collections.abc import Iterable

__all__ = ["FreeingRoom"]


class FreeingRoom:
    """Tell when work that waits has begun, by when the runs under way end.

    Room is in thousandths of a core, work in these times seconds, and times count from
    now. A run under way delays what waits only until that finds other room, so work
    ahead is no more than what waits before it.
    """

    def __init__(self, capacity: float, runs: Iterable[tuple[float, float]]) -> None:
        """Take the room of all upstreams, and each run's end and room."""
        ending = sorted(runs)
        self._at = [0.0]
        self._work = [0.0]
        # Negative while runs are listed of upstreams that are lost.
        self._rate = [capacity - sum(room for _, room in ending)]
        for left_s, room in ending:
            self._add(left_s, room)

    def begins_s(self, ahead: float) -> float:
        """Return when so much work that waits has found room."""
        number = max(0, bisect_left(self._work, ahead) - 1)
        rest = ahead - self._work[number]
        if rest <= 0.0:
            return self._first_free_s()
        return self._at[number] + rest / max(1.0, self._rate[number])

    def _first_free_s(self) -> float:
        """Return when any room is free."""
        return next(
            (at for at, rate in zip(self._at, self._rate, strict=True) if rate > 0.0),
            self._at[-1],
        )

    def _add(self, left_s: float, room: float) -> None:
        """Let more room be free from a time on, later than those before."""
        rate = max(0.0, self._rate[-1])
        self._work.append(self._work[-1] + rate * (left_s - self._at[-1]))
        self._at.append(left_s)
        self._rate.append(self._rate[-1] + room)
