"""Results of a load run, as observed by callers and upstreams."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from jackdawspur.metrics import HistogramKey, Histograms

__all__ = ["Latencies", "LoadCounters", "LoadReport", "UpstreamCounts"]

# Histograms hold integers, so ratios are recorded in thousandths.
RATIO_SCALE = 1000
ALL_JOBS = HistogramKey("all", "all")


@dataclass(frozen=True, slots=True)
class UpstreamCounts:
    """Sums of the counters of all upstreams."""

    starts: int = 0
    started_twice: int = 0
    refused: int = 0
    status_queries: int = 0
    stops: int = 0


@dataclass(frozen=True, slots=True)
class Latencies:
    """Percentiles of response times divided by the ideal ones."""

    p50: float
    p99: float
    p999: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Result of a run, printed as its last line.

    `partial` counts complete answers with a wrong number of outputs, `wrong` those with
    any difference from the expected outputs. Wasted messages are refused starts, status
    queries and stops.
    """

    deployment: str
    jobs: int
    complete: int
    failed: int
    refused: int
    unanswered: int
    partial: int
    wrong: int
    task_starts: int
    tasks_started_twice: int
    not_run_but_started: int
    wasted_messages_per_job: float
    response_over_ideal: Latencies
    codes: dict[str, int]

    @property
    def invariants_held(self) -> bool:
        """Return whether every invariant held."""
        broken = (
            self.partial,
            self.wrong,
            self.tasks_started_twice,
            self.not_run_but_started,
            self.unanswered,
        )
        return not any(broken)


class LoadCounters:
    """Counters of submitted jobs and of their answers."""

    def __init__(self) -> None:
        self.jobs = 0
        self.complete = 0
        self.failed = 0
        self.refused = 0
        self.partial = 0
        self.wrong = 0
        self.codes: Counter[str] = Counter()
        self.tasks_complete = 0
        self.tasks_not_run = 0
        self.tasks_submitted = 0
        self._ratios = Histograms()

    @property
    def ended(self) -> int:
        """Return the number of jobs that have got an answer."""
        return self.complete + self.failed + self.refused

    def record_complete(self, tasks: int, ratio: float) -> None:
        """Count a complete answer and record its response time over the ideal."""
        self.complete += 1
        self.tasks_complete += tasks
        self._ratios.record(ALL_JOBS, ratio * RATIO_SCALE)

    def report(
        self,
        deployment: str,
        upstreams: UpstreamCounts,
        unanswered: int,
        other_tasks: int = 0,
    ) -> LoadReport:
        """Return the result of the run; other callers submitted `other_tasks`."""
        max_starts = self.tasks_submitted - self.tasks_not_run + other_tasks
        wasted_messages = upstreams.refused + upstreams.status_queries + upstreams.stops
        return LoadReport(
            deployment=deployment,
            jobs=self.jobs,
            complete=self.complete,
            failed=self.failed,
            refused=self.refused,
            unanswered=unanswered,
            partial=self.partial,
            wrong=self.wrong,
            task_starts=upstreams.starts,
            tasks_started_twice=upstreams.started_twice,
            # More starts than tasks that may have run: a "not run" answer was wrong.
            not_run_but_started=max(0, upstreams.starts - max_starts),
            wasted_messages_per_job=round(wasted_messages / max(1, self.jobs), 5),
            response_over_ideal=self._latencies(),
            codes=dict(self.codes),
        )

    def _latencies(self) -> Latencies:
        summaries: Iterable = self._ratios.summarize()
        for summary in summaries:
            return Latencies(
                summary.p50 / RATIO_SCALE,
                summary.p99 / RATIO_SCALE,
                summary.p999 / RATIO_SCALE,
            )
        return Latencies(0.0, 0.0, 0.0)
