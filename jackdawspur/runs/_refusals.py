"""Refusals of jobs that were not started, unless another group accepts them."""

import math
from collections.abc import Iterable

from jackdawspur.runs._job import Job
from jackdawspur.runs._job_endings import JobEndings
from jackdawspur.runs._open_jobs import OpenJobs
from jackdawspur.runs._overload_control import OverloadControl
from jackdawspur.runs._pool import UpstreamPool
from jackdawspur.runs._redirector import JobRedirector

__all__ = ["Refusals"]

MS_PER_S = 1000.0


class Refusals:
    """Redirect the jobs that are not served here, or else refuse them."""

    def __init__(
        self,
        jobs: OpenJobs,
        pool: UpstreamPool,
        overload: OverloadControl,
        redirector: JobRedirector,
        endings: JobEndings,
    ) -> None:
        self._jobs = jobs
        self._pool = pool
        self._overload = overload
        self._redirector = redirector
        self._endings = endings
        # Free capacity by service, computed at most once for each pass.
        self._free_millis: dict[str, int] = {}
        self._free_at = -math.inf

    def refuse(self, job: Job, now: float, ahead_s: float = 0.0) -> None:
        """Refuse a job that would be too late; `ahead_s` is the work ahead of it."""
        self._end(job, ahead_s, False, now)

    def refuse_unservable(self, now: float) -> None:
        """Refuse the jobs that are too late for the work ahead of them."""
        for unservable in self._overload.review(now):
            if not self._redirector.send_refused(unservable.job, now):
                self.refuse(unservable.job, now, unservable.ahead_s)
        self._refuse_by_cost(self._overload.overdue_jobs(now), now)

    def refuse_shed(self, now: float) -> None:
        """Refuse the jobs that load shedding does not admit."""
        self._refuse_by_cost(self._overload.pop_shed(), now)

    def _refuse_by_cost(self, jobs: Iterable[Job], now: float) -> None:
        for job in jobs:
            if not self._redirector.send_refused(job, now):
                self._end(job, 0.0, True, now)

    def _end(self, job: Job, ahead_s: float, by_cost: bool, now: float) -> None:
        fields = {
            **self._overload.refusal_fields(job, now),
            **self._capacity_fields(job.request.route.service, now),
        }
        self._pool.log.refused(job, len(self._jobs), ahead_s, now, fields, by_cost)
        self._endings.refuse(job, self._overload.retry_s(job, now), now, by_cost)

    def _capacity_fields(self, service: str, now: float) -> dict[str, int]:
        """Return the capacity that is free here and, as last offered, elsewhere."""
        if self._free_at != now:
            self._free_at = now
            self._free_millis = {
                name: sum(upstream.free.cpu_millis for upstream in upstreams)
                for name, upstreams in self._pool.with_free_capacity(now).items()
            }
        elsewhere, age_s = self._redirector.offered_capacity.total(service, now)
        fields = {"free": self._free_millis.get(service, 0)}
        if age_s is not None:
            fields |= {
                "free_elsewhere": elsewhere,
                "elsewhere_age_ms": round(age_s * MS_PER_S),
            }
        return fields
