"""How fast each upstream is, learned from tasks of one job that ran side by side."""

import math
import statistics
from collections.abc import Iterable, Mapping

from jackdawspur.model import UpstreamId
from jackdawspur.runs._kinds import Kinds

__all__ = ["Paces"]

# Tasks of one job differ by about 15 %, so some ten of them tell speeds 25 % apart.
STEP = 0.1
# What upstreams with the same labels have in common counts as so many own tasks.
PRIOR_TASKS = 2
# More tasks than this tell nothing more of one upstream: its latest ones decide.
MOST_TASKS = 20
# An upstream that suddenly takes twice as long is believed at once: it is one that
# turned slow, and each further job that it gets is late.
SURPRISE = math.log(2.0)
SURPRISE_STEP = 0.6
SLOWEST = math.log(20.0)
FASTEST = math.log(0.5)
# A log pace in one byte: 1.5 % a level.
LEVELS = 255


class Paces:
    """Keep the time that a task takes on each upstream over what it takes elsewhere.

    Run times of different jobs differ far more than speeds of upstreams do. Tasks of
    one step of one job are nearly equal, so they are compared only with each other.
    An upstream of which little is known counts as fast as others with its labels.
    """

    def __init__(self) -> None:
        # By upstream: the logarithm of its own pace, and how many tasks told it.
        self._own: dict[UpstreamId, float] = {}
        self._seen: dict[UpstreamId, int] = {}
        # Of these, those of the present boot.
        self._seen_now: dict[UpstreamId, int] = {}
        # What an earlier leading host told of an upstream; it knew more than its kind.
        self._told: dict[UpstreamId, float] = {}
        self._kinds = Kinds()

    def set_upstreams(
        self,
        upstreams: Iterable[UpstreamId],
        labels: Mapping[UpstreamId, Iterable[str]] | None = None,
    ) -> None:
        """Keep exactly these upstreams, with their labels."""
        self._own = {one: self._own.get(one, 0.0) for one in upstreams}
        self._seen = {one: self._seen.get(one, 0) for one in self._own}
        self._seen_now = {one: self._seen_now.get(one, 0) for one in self._own}
        told = self._told
        self._told = {one: told[one] for one in self._own if one in told}
        self._kinds.set_upstreams(labels or {})
        self._kinds.learn(self._own, self._seen)

    def of(self, upstream: UpstreamId) -> float:
        """Return the factor on the time that a task takes there, 1 if not known."""
        return math.exp(self._log(upstream))

    def seen(self, upstream: UpstreamId) -> int:
        """Return how many tasks of its present boot told the pace of an upstream."""
        return self._seen_now.get(upstream, 0)

    def level(self, upstream: UpstreamId) -> int:
        """Return an upstream's pace as a number that fits into a byte."""
        share = (self._log(upstream) - FASTEST) / (SLOWEST - FASTEST)
        return round(LEVELS * min(1.0, max(0.0, share)))

    def seed_history(self, upstream: UpstreamId, level: int, tasks: int) -> None:
        """Take a pace over as if so many tasks had shown it."""
        if upstream in self._own:
            share = min(LEVELS, max(0, level)) / LEVELS
            pace = FASTEST + share * (SLOWEST - FASTEST)
            self._own[upstream] = self._told[upstream] = pace
            self._seen[upstream] = self._seen_now[upstream] = tasks

    def started_again(self, upstream: UpstreamId) -> None:
        """Take in that what was seen of an upstream was of an earlier boot."""
        if upstream in self._seen_now:
            self._seen_now[upstream] = 0
            self._told.pop(upstream, None)

    def learn(self, took: list[tuple[UpstreamId, float]]) -> None:
        """Take in the times in milliseconds of one step's tasks of one job."""
        if len(took) < 2:
            return
        logs = [(one, math.log(max(1.0, ms)), self._log(one)) for one, ms in took]
        work = sorted(log - pace for _, log, pace in logs)
        middle = work[(len(work) - 1) // 2]
        for upstream, log, pace in logs:
            if upstream in self._own:
                self._move(upstream, log - middle, pace)
        # A job may end after all upstreams left the list, and then there is no median.
        if self._own:
            self._centre()
            self._kinds.learn(self._own, self._seen)

    def _log(self, upstream: UpstreamId) -> float:
        seen = self._seen.get(upstream, 0)
        if seen >= MOST_TASKS:
            return self._own[upstream]
        own = self._own.get(upstream, 0.0)
        common = self._told.get(upstream)
        if common is None:
            common = self._kinds.log_pace(upstream)
        return (seen * own + PRIOR_TASKS * common) / (seen + PRIOR_TASKS)

    def _move(self, upstream: UpstreamId, told: float, pace: float) -> None:
        seen = self._seen[upstream]
        step = max(STEP, 1.0 / (seen + 1))
        if abs(told - pace) > SURPRISE:
            # One task in doubt would count in full as the first one.
            step = max(STEP, SURPRISE_STEP)
            self._seen[upstream] = MOST_TASKS
        else:
            self._seen[upstream] = min(MOST_TASKS, seen + 1)
        self._seen_now[upstream] = min(MOST_TASKS, self._seen_now[upstream] + 1)
        self._own[upstream] += step * (told - self._own[upstream])

    def _centre(self) -> None:
        """Keep the median pace at one.

        Only ratios are learned: left alone, all paces drift the same way, and with
        them what jobs are expected to take.
        """
        known = [one for one, seen in self._seen.items() if seen]
        middle = statistics.median(map(self._log, known)) if known else 0.0
        for upstream in known:
            pace = self._own[upstream] - middle
            self._own[upstream] = min(SLOWEST, max(FASTEST, pace))
