"""Admission of the jobs that a leader receives before it knows the demand."""

import math
from collections import Counter
from collections.abc import Iterable, Iterator

from jackdawspur.runs._capacity_forecast import CapacityForecast
from jackdawspur.runs._job import Job
from jackdawspur.runs._load_tracker import LoadTracker
from jackdawspur.runs._order import latest_start
from jackdawspur.runs._work import expected_run_s, job_work, waiting_work

__all__ = ["InitialBacklog"]

# After a loss of all hosts, callers send their jobs again within 0.2 s; hosts receive
# the heartbeats of the new leader, and offer these jobs, within 0.1 s.
INITIAL_S = 0.3
# The refused share of a route is at least this many times that of each route with a
# higher rank: the most urgent jobs can wait least, and would be refused most otherwise.
MIN_REFUSED_RATIO = 2.0


class InitialBacklog:
    """Choose by cost among the jobs of the first passes, which are a backlog.

    No rate can be derived from them: callers that were without a host for seconds all
    come at once. Routes are admitted by rank, jobs of a route as long as the work ahead
    of them lets them end in time, on time or late. Those of the highest rank go first.
    """

    def __init__(self) -> None:
        self._since: dict[str, float] = {}
        self._offered: Counter[str] = Counter()
        self._refused: Counter[str] = Counter()
        self._overloaded: set[str] = set()

    def clear(self) -> None:
        """Start over, at the end of a term."""
        self._since.clear()
        self._offered.clear()
        self._refused.clear()
        self._overloaded.clear()

    def begin(self, service: str, now: float) -> None:
        """Record that a job of a service arrived; the first one begins the backlog."""
        self._since.setdefault(service, now)

    def is_open(self, service: str, now: float) -> bool:
        """Return whether jobs that arrive now belong to the backlog of a service."""
        since = self._since.get(service)
        return since is not None and now - since <= INITIAL_S

    def is_overloaded(self, service: str, now: float) -> bool:
        """Return whether the backlog is open and did not fit."""
        return service in self._overloaded and self.is_open(service, now)

    def admit(
        self,
        jobs: Iterable[Job],
        capacity: float,
        tracker: LoadTracker,
        now: float,
    ) -> None:
        """Decide which jobs of one service are admitted, for its usable capacity.

        Jobs that were admitted in an earlier pass give way to ones of a higher rank.
        """
        open_jobs = list(jobs)
        forecast = CapacityForecast(max(1.0, capacity), list(_runs(open_jobs, now)))
        ahead = sum(waiting_work(job) for job in open_jobs if job.started)
        new_jobs = [job for job in open_jobs if not job.started and not job.is_shed]
        max_fraction = 1.0
        for number, (route, route_jobs) in enumerate(_ranked(new_jobs, tracker)):
            self._count(route, route_jobs, tracker)
            self._limit(route, route_jobs, max_fraction)
            for job in sorted(route_jobs, key=latest_start):
                job.deferred = number > 0
                self._refuse_if_late(job, now, now + forecast.start_delay_s(ahead))
                ahead += job_work(job) if job.admitted else 0.0
            refused_share = self._refused[route] / max(1, self._offered[route])
            max_fraction = min(max_fraction, 1.0 - MIN_REFUSED_RATIO * refused_share)

    def _limit(self, route: str, jobs: list[Job], max_fraction: float) -> None:
        """Refuse jobs until at most a fraction is admitted, whatever their size.

        Protected jobs are not refused.
        """
        min_refused = math.floor((1.0 - max_fraction) * self._offered[route])
        count = max(0, min_refused - self._refused[route])
        unprotected = [job for job in jobs if not job.protected]
        for job in sorted(unprotected, key=lambda job: job.id, reverse=True)[:count]:
            self._refuse(job)

    def _refuse_if_late(self, job: Job, now: float, start: float) -> None:
        """Refuse a job for which capacity is free too late.

        Jobs that would be too late on idle upstreams too are ended by others, and say
        nothing about the load.
        """
        if job.admitted and not job.protected and now <= latest_start(job) < start:
            self._refuse(job)

    def _refuse(self, job: Job) -> None:
        job.admitted = False
        self._refused[job.request.route.name] += 1
        self._overloaded.add(job.request.route.service)

    def _count(self, route: str, jobs: list[Job], tracker: LoadTracker) -> None:
        """Count new jobs, and protect the fraction of them that each route keeps."""
        fraction = tracker.policy.min_served_fraction
        for job in jobs:
            if job.admitted is None:
                before = math.floor(self._offered[route] * fraction + 0.5)
                self._offered[route] += 1
                after = math.floor(self._offered[route] * fraction + 0.5)
                job.admitted, job.protected = True, after > before


def _ranked(jobs: Iterable[Job], tracker: LoadTracker) -> list[tuple[str, list[Job]]]:
    """Return the routes with their jobs, that with the highest cost per work first."""
    by_route: dict[str, list[Job]] = {}
    for job in jobs:
        by_route.setdefault(job.request.route.name, []).append(job)
    return sorted(by_route.items(), key=lambda item: -tracker.rank(item[1][0]))


def _runs(jobs: Iterable[Job], now: float) -> Iterator[tuple[float, float]]:
    """Return in how many seconds each run ends, and its capacity."""
    for job in jobs:
        for task in job.placed():
            left_s = expected_run_s(job, task) - (now - task.placed_at)
            yield max(0.0, left_s), task.spec.resources.cpu_millis
