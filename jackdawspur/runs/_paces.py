"""How fast each upstream is, learned from tasks of one job that ran side by side."""

import math
import statistics
from collections.abc import Iterable

from jackdawspur.model import UpstreamId

__all__ = ["Paces"]

# Tasks of one job differ by about 15 %, so some ten of them tell speeds 25 % apart.
STEP = 0.1
# Before any task has ended, a pace is as uncertain as two tasks leave it.
PRIOR_TASKS = 2
# An upstream that suddenly takes twice as long is believed at once: it is one that
# turned slow, and each further job that it gets is late.
SURPRISE = math.log(2.0)
SURPRISE_STEP = 0.6
SLOWEST = math.log(20.0)
FASTEST = math.log(0.5)


class Paces:
    """Keep the time that a task takes on each upstream over what it takes elsewhere.

    Run times of different jobs differ far more than speeds of upstreams do. Tasks of
    one step of one job are nearly equal, so they are compared only with each other.
    """

    def __init__(self) -> None:
        self._log_pace: dict[UpstreamId, float] = {}
        self._seen: dict[UpstreamId, int] = {}

    def set_upstreams(self, upstreams: Iterable[UpstreamId]) -> None:
        """Keep exactly these upstreams."""
        known, seen = self._log_pace, self._seen
        self._log_pace = {one: known.get(one, 0.0) for one in upstreams}
        self._seen = {one: seen.get(one, 0) for one in self._log_pace}

    def of(self, upstream: UpstreamId) -> float:
        """Return the factor on the time that a task takes there, 1 if not known."""
        return math.exp(self._log_pace.get(upstream, 0.0))

    def seen(self, upstream: UpstreamId) -> int:
        """Return how many tasks told the pace of an upstream."""
        return self._seen.get(upstream, 0)

    def learn(self, took: list[tuple[UpstreamId, float]]) -> None:
        """Take in the times in milliseconds of one step's tasks of one job."""
        if len(took) < 2:
            return
        logs = [
            (one, math.log(max(1.0, ms)), self._log_pace.get(one, 0.0))
            for one, ms in took
        ]
        work = sorted(log - pace for _, log, pace in logs)
        middle = work[(len(work) - 1) // 2]
        for upstream, log, pace in logs:
            if upstream in self._log_pace:
                step = max(STEP, 1.0 / (PRIOR_TASKS + self._seen[upstream]))
                self._log_pace[upstream] = _moved(pace, log - middle, step)
                self._seen[upstream] += 1
        # A job may end after all upstreams left the list, and then there is no median.
        if self._log_pace:
            self._centre()

    def _centre(self) -> None:
        """Keep the median pace at one.

        Only ratios are learned: left alone, all paces drift the same way, and with
        them what jobs are expected to take.
        """
        middle = statistics.median(self._log_pace.values())
        for upstream, pace in self._log_pace.items():
            self._log_pace[upstream] = min(SLOWEST, max(FASTEST, pace - middle))


def _moved(pace: float, seen: float, step: float) -> float:
    if abs(seen - pace) > SURPRISE:
        step = max(step, SURPRISE_STEP)
    return pace + step * (seen - pace)
