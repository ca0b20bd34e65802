"""Waiting work of each service's jobs."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from jackdawspur.runs._job import Job
from jackdawspur.runs._work import job_work, waiting_work

__all__ = ["Backlog", "backlogs"]


@dataclass(eq=False, slots=True)
class Backlog:
    """Waiting work, in thousandths of a core times seconds.

    `queued` is that of jobs without a started task. `started` is that of the other
    jobs, which are served first; `by_route` that of the queued ones that are not
    deferred, by priority and route.
    """

    queued: float = 0.0
    started: float = 0.0
    by_route: dict[tuple[int, str], float] = field(default_factory=dict)

    def ahead(self, priority: int) -> float:
        """Return the work that is served before a new job of a priority."""
        return self.started + sum(
            work for (level, _), work in self.by_route.items() if level <= priority
        )


def backlogs(jobs: Iterable[Job]) -> dict[str, Backlog]:
    """Return the waiting work by service."""
    found: dict[str, Backlog] = {}
    for job in jobs:
        if not job.has_waiting:
            continue
        route = job.request.route
        backlog = found.setdefault(route.service, Backlog())
        if job.started:
            backlog.started += waiting_work(job)
            continue
        work = job_work(job)
        backlog.queued += work
        if not job.deferred:
            key = (route.priority, route.name)
            backlog.by_route[key] = backlog.by_route.get(key, 0.0) + work
    return found
