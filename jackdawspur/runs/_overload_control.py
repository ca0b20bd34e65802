"""Connection of the load tracker with the leader's jobs and upstreams."""

import math
from collections.abc import Iterable, Iterator, Mapping
from functools import partial

from jackdawspur.model import UpstreamId
from jackdawspur.runs._admission import (
    Admission,
    UnservableJob,
    retry_after_s,
    waiting_work_ms,
)
from jackdawspur.runs._demand import class_of
from jackdawspur.runs._estimates import Estimates
from jackdawspur.runs._initial_backlog import InitialBacklog
from jackdawspur.runs._job import Job
from jackdawspur.runs._load_tracker import LoadTracker
from jackdawspur.runs._open_jobs import OpenJobs
from jackdawspur.runs._overload_policy import OverloadPolicy
from jackdawspur.runs._pool import UpstreamPool
from jackdawspur.runs._retry_after import spread_retry_s
from jackdawspur.runs._service_shedding import QUEUE_TARGET_S
from jackdawspur.runs._shedding_log import SheddingLog, refusal_fields
from jackdawspur.runs._usable_capacity import usable_capacity

__all__ = ["OverloadControl"]

# A deferred job is refused after this wait while its service sheds load: by then most
# refused callers have their answer, and can try elsewhere.
MAX_DEFERRED_S = 0.1
# Jobs give way to each more urgent priority by the slack of the shortest jobs (60 ms of
# work), which would otherwise wait behind longer ones that have used up theirs.
PRIORITY_SLACK_S = 0.08
# Estimated waits of a service that sheds by cost may be off by a standing queue. With
# more, jobs are deferred when they have waited for longer than a refusal may take.
WAIT_ERROR_S = QUEUE_TARGET_S
# Jobs of the minimum fraction that each route keeps are left out after all others.
PROTECTED_RANK = math.inf


class OverloadControl:
    """Choose the jobs of the leader that are not served under overload."""

    def __init__(
        self,
        policy: OverloadPolicy,
        jobs: OpenJobs,
        pool: UpstreamPool,
        estimates: Estimates,
    ) -> None:
        self.load_tracker = LoadTracker(policy)
        self._admission = Admission(estimates.slowdown)
        self._jobs = jobs
        self._pool = pool
        self._estimates = estimates
        self._initial = InitialBacklog()
        self._log = SheddingLog(pool.log)
        self._unadmitted: list[Job] = []
        # Work of the waiting tasks by job, at the time of the pass.
        self._waiting_ms: dict[str, float] = {}
        self._waiting_at = -math.inf

    def clear(self) -> None:
        """Forget the demand at the end of a term."""
        self.load_tracker.clear()
        self._initial.clear()
        self._log.clear()
        self._unadmitted.clear()

    def arrived(self, job: Job, now: float) -> None:
        """Record a job that was offered to this leader, and decide if it is admitted.

        Jobs that an earlier leader may have started are not shed.
        """
        route = job.request.route
        tracker = self.load_tracker
        if not tracker.sheds_by_cost(route.service):
            return
        level = tracker.level(route.service, route.priority)
        job.give_way_s = PRIORITY_SLACK_S * level
        job.ordered_as_new = job.started
        if job.started:
            return
        tracker.record_arrival(job, now)
        self._initial.begin(route.service, now)
        if self._is_initial(route.service, now):
            # Until the next tick decides on it, it goes after the most urgent jobs.
            job.deferred = level > 0
        elif not tracker.admits(job, now):
            self._unadmitted.append(job)

    def _is_initial(self, service: str, now: float) -> bool:
        """Return whether the demand of a service is not known yet."""
        is_seeded = self.load_tracker.shedding(service).seeded
        return not is_seeded and self._initial.is_open(service, now)

    def update(self, now: float) -> None:
        """Choose what to admit until the next tick."""
        tracker = self.load_tracker
        if not tracker.shedding_services:
            return
        capacities = self._usable_capacities()
        tracker.update(self._jobs.values(), capacities, now)
        self._admit_initial(capacities, now)
        for service in tracker.shedding_services:
            self._log.update(service, tracker.shedding(service), now)
        for job in self._jobs.values():
            if job.admitted is None and not job.started:
                tracker.admits(job, now)
        self._unadmitted = [job for job in self._jobs.values() if job.is_shed]

    def _admit_initial(self, capacities: Mapping[str, float], now: float) -> None:
        """Choose among the jobs of services whose demand is not known yet."""
        by_service: dict[str, list[Job]] = {}
        for job in self._jobs.values():
            by_service.setdefault(_service(job), []).append(job)
        for service in self.load_tracker.shedding_services:
            if service in by_service and self._is_initial(service, now):
                jobs, capacity = by_service[service], capacities.get(service, 0.0)
                self._initial.admit(jobs, capacity, self.load_tracker, now)

    def pop_shed(self) -> list[Job]:
        """Return the open jobs that were not admitted since the last call."""
        jobs, self._unadmitted = self._unadmitted, []
        return [job for job in jobs if job.is_shed and self._jobs.get(job.id) is job]

    def overdue_jobs(self, now: float) -> list[Job]:
        """Return the deferred jobs that have waited for too long."""
        return [job for job in self._jobs.values() if self._is_overdue(job, now)]

    def review(self, now: float) -> Iterator[UnservableJob]:
        """Mark the jobs that are deferred, and return those that would be too late.

        Services that shed by cost are reviewed one by one, since the costs of different
        services can't be compared.
        """
        by_cost = self.load_tracker.shedding_services
        if not by_cost:
            yield from self._admission.review(
                list(self._jobs.values()), self._pool.capacities, now
            )
            return
        by_service = self._capacities_by_service()
        for service in by_cost:
            capacities = by_service.pop(service, {})
            if self._initial.is_overloaded(service, now):
                continue
            jobs = [j for j in self._jobs.values() if _service(j) == service]
            self._set_order(service, jobs)
            yield from self._admission.review(
                jobs, capacities, now, partial(self._rank, now=now), WAIT_ERROR_S
            )
        jobs = [j for j in self._jobs.values() if _service(j) not in by_cost]
        others = {
            id_: cpu for found in by_service.values() for id_, cpu in found.items()
        }
        yield from self._admission.review(jobs, others, now)

    def _set_order(self, service: str, jobs: Iterable[Job]) -> None:
        """Set whether late jobs of a service yield to those that can be on time.

        If more work arrives than fits, each late job that goes first makes another job
        late. In a shorter excess they would wait behind jobs that have time to spare,
        until their answers are worthless.
        """
        is_overloaded = self.load_tracker.shedding(service).exceeds_capacity
        for job in jobs:
            job.yields_when_late = is_overloaded

    def retry_s(self, job: Job, now: float) -> float:
        """Return after how many seconds the caller of a refused job may retry."""
        route = job.request.route
        if not self.load_tracker.sheds_by_cost(route.service):
            return retry_after_s(self._waiting_work_ms(now), self._pool.cpu_millis)
        ahead_s = self.load_tracker.work_ahead_s(route.service, route.priority, now)
        load = self.load_tracker.shedding(route.service).load
        return spread_retry_s(job.id, ahead_s, load)

    def _waiting_work_ms(self, now: float) -> float:
        """Return the work of the waiting tasks of all open jobs.

        Many jobs may be refused in one pass, so each is examined once in a pass.
        """
        if self._waiting_at != now:
            self._waiting_at = now
            self._waiting_ms = {
                job.id: waiting_work_ms(job) for job in self._jobs.values()
            }
        return sum(self._waiting_ms.get(job_id, 0.0) for job_id in self._jobs)

    def refusal_fields(self, job: Job, now: float) -> Mapping[str, int | float]:
        """Return the log fields of a refusal; there are none without shedding."""
        service = _service(job)
        if not self.load_tracker.sheds_by_cost(service):
            return {}
        shedding = self.load_tracker.shedding(service)
        return refusal_fields(job, class_of(job, now), shedding, now)

    def _rank(self, job: Job, now: float) -> float:
        """Return the cost per unit of work of not serving a job of this class."""
        if job.protected:
            return PROTECTED_RANK
        return self.load_tracker.class_rank(job, now)

    def _is_overdue(self, job: Job, now: float) -> bool:
        if not job.deferred or job.started or job.protected:
            return False
        shedding = self.load_tracker.shedding(_service(job))
        return (
            shedding.active
            and now - job.offered_at >= MAX_DEFERRED_S
            and shedding.fraction(class_of(job, now)) < 1.0
        )

    def _usable_capacities(self) -> dict[str, float]:
        """Return the work per second that each service's upstreams can do."""
        capacities = self._capacities_by_service()
        jobs: dict[str, list[Job]] = {service: [] for service in capacities}
        for job in self._jobs.values():
            if job.has_waiting and not job.started:
                jobs.setdefault(_service(job), []).append(job)
        return {
            service: usable_capacity(found, jobs[service], self._estimates.slowdown)
            for service, found in capacities.items()
        }

    def _capacities_by_service(self) -> dict[str, dict[UpstreamId, int]]:
        by_service: dict[str, dict[UpstreamId, int]] = {}
        accepting = self._pool.capacities
        for upstream in self._pool.upstreams:
            entry = upstream.entry
            if entry.id in accepting:
                found = by_service.setdefault(entry.service, {})
                found[entry.id] = accepting[entry.id]
        return by_service


def _service(job: Job) -> str:
    return job.request.route.service
