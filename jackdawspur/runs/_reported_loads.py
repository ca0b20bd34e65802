"""Loads that leaders of other groups report, and the choice of a group for a job."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from jackdawspur.runs._job import Job
from jackdawspur.runs._load_reports import LevelLoad, ServiceLoad
from jackdawspur.runs._offered_capacity import OFFER_VALID_S, RemoteLeader
from jackdawspur.runs._order import objective
from jackdawspur.runs._work import job_work

__all__ = ["GroupChoice", "GroupReport", "ReportedLoads"]

MS_PER_S = 1000.0
# A redirect takes two messages, from the leader to the job's host and from there to the
# other leader, of a few milliseconds each, and a pass of the loop on both.
HOP_S = 0.014
# A redirect has to save this much time beyond the hop: reports are up to 0.2 s old, and
# waits that differ by less than a tick say nothing.
START_MARGIN_S = 0.025
# While jobs of a level are redirected, the next one has to save only this much, so that
# the decision does not change with every report.
STOP_MARGIN_S = 0.01
# Groups whose waits differ by less count as equal; that with most spare work is used.
EQUAL_WAIT_S = 0.01
# Spare work that was not used adds up for this long, since jobs arrive irregularly.
MAX_SAVED_S = 0.5
# A first report counts for the time until the next one.
REPORT_INTERVAL_S = 0.2


@dataclass(frozen=True, slots=True)
class GroupChoice:
    """The group that a job is redirected to, and the inputs of the decision.

    `wait_here_s` is infinite if the job would be refused here. `spare` is the work that
    is left of the report, in thousandths of a core times seconds.
    """

    remote_leader: RemoteLeader
    wait_here_s: float
    wait_there_s: float
    age_s: float
    spare: float


@dataclass(frozen=True, slots=True)
class GroupReport:
    """The last report of another group's leader, and its age in seconds."""

    leader: str
    age_s: float
    loads: tuple[ServiceLoad, ...]


@dataclass(eq=False, slots=True)
class _Level:
    """A reported level; `budget` is the work that may still be redirected there."""

    load: LevelLoad
    budget: float

    @property
    def wait_s(self) -> float:
        return self.load.wait_ms / MS_PER_S


@dataclass(eq=False, slots=True)
class _Report:
    remote_leader: RemoteLeader
    at: float
    loads: tuple[ServiceLoad, ...]
    levels: dict[tuple[str, int], _Level] = field(default_factory=dict)


class ReportedLoads:
    """Track the reports of other leaders, and deduct the work that was redirected."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        # Levels of which jobs are being redirected.
        self._redirecting: set[tuple[str, int]] = set()

    def update(
        self, remote_leader: RemoteLeader, loads: tuple[ServiceLoad, ...], now: float
    ) -> None:
        """Record a report; heartbeats between two reports contain none."""
        if not loads:
            return
        previous = self._reports.get(remote_leader.leader)
        if previous is not None and previous.remote_leader != remote_leader:
            previous = None
        report = _Report(remote_leader, now, loads)
        for load in loads:
            for level in load.levels:
                key = (load.service, level.priority)
                budget = _budget(level, key, previous, now)
                report.levels[key] = _Level(level, budget)
        self._reports[remote_leader.leader] = report

    def current(self, now: float) -> list[GroupReport]:
        """Return the reports that are not too old."""
        return [
            GroupReport(report.remote_leader.leader, now - report.at, report.loads)
            for report in self._current(now)
        ]

    def lacking(self, now: float) -> dict[str, dict[tuple[str, int], int]]:
        """Return the work that does not fit into other groups, by leader and level."""
        return {
            report.remote_leader.leader: {
                key: -level.load.spare
                for key, level in report.levels.items()
                if level.load.spare < 0
            }
            for report in self._current(now)
        }

    def choose(self, job: Job, wait_here_s: float, now: float) -> GroupChoice | None:
        """Return the group in which a job would be on time, None if there is none.

        The redirect has to save more time than the hop and a margin.
        """
        route = job.request.route
        key = (route.service, route.priority)
        latest_start_at = objective(job) - job.remaining_ms() / MS_PER_S
        max_wait_s = min(
            latest_start_at - now - HOP_S, wait_here_s - HOP_S - self._margin_s(key)
        )
        candidates = [
            (level, report)
            for report in self._current(now)
            if (level := report.levels.get(key)) is not None
            and level.budget > 0.0
            and level.wait_s <= max_wait_s
        ]
        if not candidates:
            if wait_here_s < math.inf:
                self._redirecting.discard(key)
            return None
        shortest_s = min(level.wait_s for level, _ in candidates)
        level, report = max(
            (c for c in candidates if c[0].wait_s <= shortest_s + EQUAL_WAIT_S),
            key=lambda candidate: candidate[0].budget,
        )
        return GroupChoice(
            report.remote_leader,
            wait_here_s,
            level.wait_s,
            now - report.at,
            level.budget,
        )

    def record_redirect(self, job: Job, leader: str, by_wait: bool) -> None:
        """Deduct a redirected job from what its level and less urgent ones may use."""
        route = job.request.route
        if by_wait:
            self._redirecting.add((route.service, route.priority))
        report = self._reports.get(leader)
        if report is None:
            return
        work = job_work(job)
        for (service, priority), level in report.levels.items():
            if service == route.service and priority >= route.priority:
                level.budget -= work

    def _current(self, now: float) -> Iterable[_Report]:
        return (r for r in self._reports.values() if now - r.at <= OFFER_VALID_S)

    def _margin_s(self, key: tuple[str, int]) -> float:
        return STOP_MARGIN_S if key in self._redirecting else START_MARGIN_S


def _budget(
    level: LevelLoad, key: tuple[str, int], previous: _Report | None, now: float
) -> float:
    """Return the work that may be redirected, with what the last report left.

    Work that was redirected beyond the last report's budget is deducted from this one.
    """
    rate = max(0, level.spare)
    elapsed_s, left = REPORT_INTERVAL_S, 0.0
    if previous is not None and key in previous.levels:
        elapsed_s = min(now - previous.at, MAX_SAVED_S)
        left = previous.levels[key].budget
    return min(left + rate * elapsed_s, rate * MAX_SAVED_S)
