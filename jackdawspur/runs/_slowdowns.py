"""Slowdown of each upstream, learned from a job's tasks that ran side by side."""

import math
import statistics
from collections.abc import Iterable, Mapping

from jackdawspur.model import UpstreamId
from jackdawspur.runs._label_stats import LabelStats

__all__ = ["Slowdowns"]

# Weight of one task in an upstream's log slowdown. Tasks of one job differ by about
# 15 %, so about ten of them distinguish speeds that are 25 % apart.
LEARNING_RATE = 0.1
# The mean of upstreams with the same labels counts as much as this many tasks of the
# upstream itself.
PRIOR_TASKS = 2
# More tasks than this show nothing more of an upstream: its latest ones decide.
MAX_TASKS = 20
# An upstream that suddenly takes twice as long counts as slow at once: it has become
# slow, and each further job that it gets would be late.
SUDDEN_CHANGE = math.log(2.0)
SUDDEN_CHANGE_RATE = 0.6
MAX_LOG_SLOWDOWN = math.log(20.0)
MIN_LOG_SLOWDOWN = math.log(0.5)
# A log slowdown in one byte: 1.5 % per level.
LEVELS = 255


class Slowdowns:
    """Learn how long tasks take on each upstream, relative to the others.

    Run times of different jobs differ far more than speeds of upstreams do. Tasks of
    one step of one job are nearly equal, so they are compared only with each other. An
    upstream with few samples counts as fast as others with its labels.
    """

    def __init__(self) -> None:
        # By upstream: its own log slowdown, and the number of tasks behind it.
        self._measured: dict[UpstreamId, float] = {}
        self._samples: dict[UpstreamId, int] = {}
        # The number of these tasks that ran under the current incarnation.
        self._current_samples: dict[UpstreamId, int] = {}
        # Log slowdowns that an earlier leader sent. They replace those that labels
        # predict, since that leader had more data.
        self._reported: dict[UpstreamId, float] = {}
        self._label_stats = LabelStats()

    def set_upstreams(
        self,
        upstreams: Iterable[UpstreamId],
        labels: Mapping[UpstreamId, Iterable[str]] | None = None,
    ) -> None:
        """Track exactly these upstreams, with their labels."""
        self._measured = {
            upstream: self._measured.get(upstream, 0.0) for upstream in upstreams
        }
        self._samples = {
            upstream: self._samples.get(upstream, 0) for upstream in self._measured
        }
        self._current_samples = {
            upstream: self._current_samples.get(upstream, 0)
            for upstream in self._measured
        }
        reported = self._reported
        self._reported = {
            upstream: reported[upstream]
            for upstream in self._measured
            if upstream in reported
        }
        self._label_stats.set_upstreams(labels or {})
        self._label_stats.learn(self._measured, self._samples)

    def factor(self, upstream: UpstreamId) -> float:
        """Return the factor on the time of a task on an upstream, 1 if unknown."""
        return math.exp(self._log_slowdown(upstream))

    def sample_count(self, upstream: UpstreamId) -> int:
        """Return how many tasks of its current incarnation a slowdown is based on."""
        return self._current_samples.get(upstream, 0)

    def level(self, upstream: UpstreamId) -> int:
        """Return an upstream's slowdown as a number that fits into a byte."""
        fraction = (self._log_slowdown(upstream) - MIN_LOG_SLOWDOWN) / (
            MAX_LOG_SLOWDOWN - MIN_LOG_SLOWDOWN
        )
        return round(LEVELS * min(1.0, max(0.0, fraction)))

    def seed_history(self, upstream: UpstreamId, level: int, tasks: int) -> None:
        """Set an upstream's slowdown as if this many tasks had shown it."""
        if upstream in self._measured:
            fraction = min(LEVELS, max(0, level)) / LEVELS
            log_slowdown = MIN_LOG_SLOWDOWN + fraction * (
                MAX_LOG_SLOWDOWN - MIN_LOG_SLOWDOWN
            )
            self._measured[upstream] = self._reported[upstream] = log_slowdown
            self._samples[upstream] = self._current_samples[upstream] = tasks

    def reset_samples(self, upstream: UpstreamId) -> None:
        """Reset an upstream's samples, which are from an earlier incarnation."""
        if upstream in self._current_samples:
            self._current_samples[upstream] = 0
            self._reported.pop(upstream, None)

    def learn(self, times_ms: list[tuple[UpstreamId, float]]) -> None:
        """Learn from the times, in milliseconds, of one step's tasks of one job."""
        if len(times_ms) < 2:
            return
        logs = [
            (upstream, math.log(max(1.0, ms)), self._log_slowdown(upstream))
            for upstream, ms in times_ms
        ]
        log_work = sorted(log - log_slowdown for _, log, log_slowdown in logs)
        median_log = log_work[(len(log_work) - 1) // 2]
        for upstream, log, log_slowdown in logs:
            if upstream in self._measured:
                self._update(upstream, log - median_log, log_slowdown)
        # A job may end after all upstreams left the list, and then there is no median.
        if self._measured:
            self._centre()
            self._label_stats.learn(self._measured, self._samples)

    def _log_slowdown(self, upstream: UpstreamId) -> float:
        sample_count = self._samples.get(upstream, 0)
        if sample_count >= MAX_TASKS:
            return self._measured[upstream]
        measured = self._measured.get(upstream, 0.0)
        prior = self._reported.get(upstream)
        if prior is None:
            prior = self._label_stats.mean_log_slowdown(upstream)
        return (sample_count * measured + PRIOR_TASKS * prior) / (
            sample_count + PRIOR_TASKS
        )

    def _update(
        self, upstream: UpstreamId, observed: float, log_slowdown: float
    ) -> None:
        sample_count = self._samples[upstream]
        rate = max(LEARNING_RATE, 1.0 / (sample_count + 1))
        if abs(observed - log_slowdown) > SUDDEN_CHANGE:
            # An outlier that is the first sample would otherwise count in full.
            rate = max(LEARNING_RATE, SUDDEN_CHANGE_RATE)
            self._samples[upstream] = MAX_TASKS
        else:
            self._samples[upstream] = min(MAX_TASKS, sample_count + 1)
        self._current_samples[upstream] = min(
            MAX_TASKS, self._current_samples[upstream] + 1
        )
        self._measured[upstream] += rate * (observed - self._measured[upstream])

    def _centre(self) -> None:
        """Keep the median slowdown at one.

        Only ratios are learned: without this, all slowdowns drift in the same
        direction, and with them the expected run times of jobs.
        """
        known = [
            upstream for upstream, sample_count in self._samples.items() if sample_count
        ]
        median_log = statistics.median(map(self._log_slowdown, known)) if known else 0.0
        for upstream in known:
            log_slowdown = self._measured[upstream] - median_log
            self._measured[upstream] = min(
                MAX_LOG_SLOWDOWN, max(MIN_LOG_SLOWDOWN, log_slowdown)
            )
