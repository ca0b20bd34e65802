"""Smoothed demand of each class of jobs, and the mean work of each route's jobs."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from jackdawspur.runs._job import Job
from jackdawspur.runs._order import Timeliness, timeliness

__all__ = ["ClassDemand", "ClassKey", "Demand", "RouteKey", "class_of"]

# Arrivals are smoothed over about this time: longer than the run of a short job, so
# that single arrivals do not count as overload, and short enough to follow a burst.
SMOOTHING_S = 0.5
# Arrivals of a shorter time are divided by this one: a first pass that receives the
# jobs of several seconds is a backlog, and its rate is not known.
MIN_OBSERVED_S = 0.1
# The mean work of a route covers about this many of its latest jobs.
MEAN_JOBS = 64
# A class without arrivals for this long is removed.
IDLE_TTL_S = 30.0


class RouteKey(NamedTuple):
    """A route of a service."""

    service: str
    route: str


class ClassKey(NamedTuple):
    """Jobs of a route that can still be on time, or that can only be late."""

    service: str
    route: str
    late: bool


@dataclass(frozen=True, slots=True)
class ClassDemand:
    """Demand of a class.

    `work` is in thousandths of a core, `jobs_per_s` in jobs per second, and `mean_work`
    that of the route's jobs, in thousandths of a core times seconds. `variance` is that
    of `work`, which rests on few arrivals where jobs are large.
    """

    key: ClassKey
    priority: int
    work: float
    jobs_per_s: float
    mean_work: float
    variance: float = 0.0


@dataclass(eq=False, slots=True)
class _ClassRates:
    """Smoothed rates of a class, and what arrived since they were updated."""

    work: float = 0.0
    jobs_per_s: float = 0.0
    squared_work: float = 0.0
    new_work: float = 0.0
    new_squared_work: float = 0.0
    new_jobs: int = 0
    last_arrival_at: float = -math.inf

    def update(self, smoothing: float, elapsed_s: float) -> None:
        """Include what arrived in the elapsed time."""
        self.work += smoothing * (self.new_work / elapsed_s - self.work)
        self.jobs_per_s += smoothing * (self.new_jobs / elapsed_s - self.jobs_per_s)
        squared_rate = self.new_squared_work / elapsed_s
        self.squared_work += smoothing * (squared_rate - self.squared_work)
        self.new_work, self.new_squared_work, self.new_jobs = 0.0, 0.0, 0


@dataclass(eq=False, slots=True)
class _MeanWork:
    """Mean work of the latest jobs of a route."""

    work: float = 0.0
    jobs: int = 0

    def add(self, work: float) -> None:
        """Include the work of another job."""
        self.jobs = min(self.jobs + 1, MEAN_JOBS)
        self.work += (work - self.work) / self.jobs


class Demand:
    """Track the arriving work and jobs of each class, in constant time per arrival."""

    def __init__(self) -> None:
        self._classes: dict[ClassKey, _ClassRates] = {}
        self._mean_work: dict[RouteKey, _MeanWork] = {}
        self._priorities: dict[RouteKey, int] = {}
        self._updated_at: float | None = None
        # Weight of the observed time in the smoothed rates, 1 after a long time.
        self._observed = 0.0

    def record(self, key: ClassKey, priority: int, work: float, now: float) -> None:
        """Record the arrival of a job."""
        if self._updated_at is None:
            self._updated_at = now
        rates = self._classes.get(key)
        if rates is None:
            rates = self._classes[key] = _ClassRates()
        rates.new_work += work
        rates.new_squared_work += work * work
        rates.new_jobs += 1
        rates.last_arrival_at = now
        route = RouteKey(key.service, key.route)
        self._priorities[route] = priority
        mean = self._mean_work.get(route)
        if mean is None:
            mean = self._mean_work[route] = _MeanWork()
        mean.add(work)

    def update(self, now: float) -> None:
        """Include the latest arrivals in the smoothed rates."""
        if self._updated_at is None:
            self._updated_at = now
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0.0:
            return
        self._updated_at = now
        smoothing = 1.0 - math.exp(-elapsed_s / SMOOTHING_S)
        self._observed += smoothing * (1.0 - self._observed)
        for key, rates in list(self._classes.items()):
            rates.update(smoothing, elapsed_s)
            if now - rates.last_arrival_at > IDLE_TTL_S:
                del self._classes[key]

    def classes(self) -> list[ClassDemand]:
        """Return the demand of each class at the last update."""
        min_observed = 1.0 - math.exp(-MIN_OBSERVED_S / SMOOTHING_S)
        observed = max(self._observed, min_observed)
        return [
            ClassDemand(
                key,
                self._priorities[RouteKey(key.service, key.route)],
                rates.work / observed,
                rates.jobs_per_s / observed,
                self.mean_work(key.service, key.route),
                rates.squared_work / observed / (2.0 * SMOOTHING_S),
            )
            for key, rates in self._classes.items()
        ]

    def mean_work(self, service: str, route: str) -> float:
        """Return the mean work of a route's jobs, zero if it has had none."""
        mean = self._mean_work.get(RouteKey(service, route))
        return 0.0 if mean is None else mean.work

    def seed(self, classes: Iterable[ClassDemand], now: float) -> None:
        """Start with the demand that an earlier leader observed."""
        for demand in classes:
            key = demand.key
            rates = self._classes.setdefault(key, _ClassRates())
            rates.work, rates.jobs_per_s = demand.work, demand.jobs_per_s
            rates.last_arrival_at = now
            route = RouteKey(key.service, key.route)
            self._priorities[route] = demand.priority
            self._mean_work[route] = _MeanWork(demand.mean_work, MEAN_JOBS)
        self._observed = 1.0
        self._updated_at = now

    def clear(self) -> None:
        """Forget all demand."""
        self._classes.clear()
        self._mean_work.clear()
        self._priorities.clear()
        self._updated_at = None
        self._observed = 0.0


def class_of(job: Job, now: float) -> ClassKey:
    """Return the class of a job that arrives now."""
    route = job.request.route
    late = timeliness(job, now) is not Timeliness.ON_TIME
    return ClassKey(route.service, route.name, late)
