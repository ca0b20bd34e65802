"""Demand of each service, and which part of it is admitted."""

from bisect import bisect_left
from collections.abc import Iterable, Mapping

from jackdawspur.runs._admitted_fractions import cost_per_work
from jackdawspur.runs._backlog import Backlog, backlogs
from jackdawspur.runs._demand import ClassDemand, ClassKey, Demand, class_of
from jackdawspur.runs._job import Job
from jackdawspur.runs._level_loads import LoadReporter, level_loads
from jackdawspur.runs._load_reports import DemandState, RouteDemand, ServiceLoad
from jackdawspur.runs._overload_policy import OverloadPolicy
from jackdawspur.runs._reported_loads import ReportedLoads
from jackdawspur.runs._service_shedding import ServiceShedding
from jackdawspur.runs._work import job_work

__all__ = ["MAX_STATE_AGE_S", "MAX_STATE_CLASSES", "LoadTracker"]

# Longest wait that is estimated, also for services without capacity.
MAX_EXPECTED_WAIT_S = 30.0
# Within this time, a burst and the fractions that were admitted of it change.
MAX_STATE_AGE_S = 2.0
# Heartbeats are bounded: the state for the next leader has the classes with most work.
MAX_STATE_CLASSES = 32


class LoadTracker:
    """Track the demand of each service, and choose the jobs to admit."""

    def __init__(self, policy: OverloadPolicy) -> None:
        self.policy = policy
        self._priorities: dict[str, frozenset[int]] = {}
        self.shedding_services: tuple[str, ...] = ()
        self._levels: dict[str, list[int]] = {}
        self._demand = Demand()
        self._reporter = LoadReporter()
        self.reported_loads = ReportedLoads()
        self._backlogs: dict[str, Backlog] = {}
        self._shedding: dict[str, ServiceShedding] = {}

    def set_priorities(self, by_service: Mapping[str, frozenset[int]]) -> None:
        """Set the priorities of the routes in force, by service."""
        self._priorities = dict(by_service)
        self.shedding_services = tuple(filter(self.sheds_by_cost, by_service))
        self._shedding = {
            name: shedding
            for name, shedding in self._shedding.items()
            if name in self.shedding_services
        }
        self._levels = {name: sorted(found) for name, found in by_service.items()}

    def sheds_by_cost(self, service: str) -> bool:
        """Return whether the routes of a service have different priorities."""
        return len(self._priorities.get(service, ())) > 1

    def level(self, service: str, priority: int) -> int:
        """Return how many of a service's priorities are more urgent than this one."""
        return bisect_left(self._levels.get(service, ()), priority)

    def record_arrival(self, job: Job, now: float) -> None:
        """Record a job that no leader had before."""
        route = job.request.route
        if not self.sheds_by_cost(route.service):
            return
        arrival = (class_of(job, now), route.priority, job_work(job), now)
        self._demand.record(*arrival)
        if job.offer.from_other_group:
            self._reporter.record_redirected(*arrival)

    def update(
        self, jobs: Iterable[Job], capacities: Mapping[str, float], now: float
    ) -> None:
        """Choose what to admit, given the usable capacity of each service."""
        services = self.shedding_services
        self._demand.update(now)
        self._reporter.update(now)
        self._backlogs = backlogs(
            job for job in jobs if job.request.route.service in services
        )
        by_service: dict[str, list[ClassDemand]] = {name: [] for name in services}
        for item in self._demand.classes():
            if item.key.service in by_service:
                by_service[item.key.service].append(item)
        for service, classes in by_service.items():
            self.shedding(service).update(
                classes,
                capacities.get(service, 0.0),
                self._backlogs.get(service, Backlog()),
                self.policy,
                now,
            )

    def shedding(self, service: str) -> ServiceShedding:
        """Return what a service admits."""
        return self._shedding.setdefault(service, ServiceShedding())

    def admits(self, job: Job, now: float) -> bool:
        """Return whether a job is admitted; decided once per job.

        In a term that starts without the demand of an earlier leader, nothing is
        decided before the first update.
        """
        service = job.request.route.service
        if job.admitted is not None or not self.sheds_by_cost(service):
            return job.admitted is not False
        shedding = self.shedding(service)
        if not shedding.is_known:
            return True
        admittance = shedding.admit(class_of(job, now))
        job.admitted, job.protected = admittance.admitted, admittance.protected
        return job.admitted

    def rank(self, job: Job) -> float:
        """Return the cost per unit of work of not serving jobs of this route."""
        route = job.request.route
        mean_work = self._demand.mean_work(route.service, route.name)
        return cost_per_work(self.policy.weight(route.priority), mean_work)

    def class_rank(self, job: Job, now: float) -> float:
        """Return the cost per unit of work of not serving jobs of this class."""
        late = not job.yields_when_late and class_of(job, now).late
        return self.rank(job) * (self.policy.late_weight if late else 1.0)

    def expected_wait_s(self, service: str, priority: int, now: float) -> float:
        """Return how long a job that arrives now would wait."""
        backlog = self._backlogs.get(service)
        if backlog is None:
            return 0.0
        capacity = max(1.0, self.shedding(service).capacity)
        return min(MAX_EXPECTED_WAIT_S, backlog.ahead(priority) / capacity)

    def work_ahead_s(self, service: str, priority: int, now: float) -> float:
        """Return how long the work ahead of a priority takes, as far as it is known.

        It includes the work of these priorities that arrives beyond the capacity in the
        next second.
        """
        shedding = self.shedding(service)
        return self.expected_wait_s(service, priority, now) + shedding.excess(priority)

    def service_loads(self, now: float) -> tuple[ServiceLoad, ...]:
        """Return the load of each service that sheds by cost, none in a new term."""
        if not self._reporter.is_ready(now):
            return ()
        classes = self._demand.classes()
        return tuple(
            ServiceLoad(
                service,
                level_loads(
                    self._waits_s(service, now),
                    self._reporter.own_demand(service, classes),
                    self._backlogs.get(service, Backlog()),
                    self.shedding(service).capacity,
                ),
            )
            for service in self.shedding_services
        )

    def _waits_s(self, service: str, now: float) -> dict[int, float]:
        """Return the expected wait for each priority of a service."""
        priorities = self._priorities[service]
        return {p: self.expected_wait_s(service, p, now) for p in priorities}

    def demand_state(self, now: float) -> DemandState | None:
        """Return the demand for the next leader, None if there is none."""
        classes = [
            item
            for item in self._demand.classes()
            if self.sheds_by_cost(item.key.service)
        ]
        if not classes:
            return None
        classes.sort(key=lambda item: -item.work)
        return DemandState(
            tuple(
                RouteDemand(
                    *item.key,
                    item.work,
                    item.jobs_per_s,
                    item.mean_work,
                    self.shedding(item.key.service).fraction(item.key),
                    item.priority,
                )
                for item in classes[:MAX_STATE_CLASSES]
            )
        )

    def seed(self, state: DemandState, age_s: float, now: float) -> None:
        """Start with the demand that an earlier leader saw, unless it is too old."""
        if age_s > MAX_STATE_AGE_S:
            return
        classes = []
        fractions: dict[str, dict[ClassKey, float]] = {}
        for item in state.classes:
            key = ClassKey(item.service, item.route, item.late)
            fractions.setdefault(item.service, {})[key] = item.admitted
            classes.append(
                ClassDemand(
                    key, item.priority, item.work, item.jobs_per_s, item.mean_work
                )
            )
        self._demand.seed(classes, now)
        for service, admitted in fractions.items():
            minimum = self.policy.min_served_fraction
            self.shedding(service).seed(admitted, minimum, now)

    def clear(self) -> None:
        """Forget all demand."""
        self._demand.clear()
        self._reporter.clear()
        self._backlogs.clear()
        self._shedding.clear()
