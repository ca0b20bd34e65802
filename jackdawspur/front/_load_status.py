"""Load of a leader's routes and of other groups, for the status of a host."""

from collections import Counter
from dataclasses import dataclass
from typing import Protocol

from jackdawspur.front._leader_driver import LeaderDriver
from jackdawspur.front._routes import RouteTable
from jackdawspur.group import Group
from jackdawspur.runs import LoadTracker, Route

__all__ = [
    "GroupStatus",
    "LevelStatus",
    "LoadOwner",
    "QueueStatus",
    "format_group",
    "format_queue",
    "group_loads",
    "queues",
]

MS_PER_S = 1000.0
# Age of a report that is missing.
NO_REPORT = -1.0


class LoadOwner(Protocol):
    """The host's parts that its load is read from."""

    group: Group
    routes: RouteTable
    leader_driver: LeaderDriver


@dataclass(frozen=True, slots=True)
class QueueStatus:
    """State of a route on the leader: its open jobs, and those not yet started.

    `expected_wait_ms` is how long a job that arrives now would wait. `admitted` is the
    admitted fraction of the jobs that can be on time, `admitted_late` that of those
    that can only be late, both None without recent demand. All three are None if the
    service doesn't shed load by cost.
    """

    route: str
    priority: int
    open: int
    waiting: int
    expected_wait_ms: int | None = None
    admitted: float | None = None
    admitted_late: float | None = None


@dataclass(frozen=True, slots=True)
class LevelStatus:
    """What another group reports for the jobs of one priority of a service.

    `spare_cpu_millis` is the work per second that it can do for jobs of this group; it
    is negative if the other group lacks capacity for this and more urgent priorities.
    """

    service: str
    priority: int
    wait_ms: int
    spare_cpu_millis: int


@dataclass(frozen=True, slots=True)
class GroupStatus:
    """The last report of another group's leader, and its age in seconds.

    The age is -1 if there is no report, or only one that is too old to be used.
    """

    leader: str
    zone: str
    report_age_s: float
    levels: tuple[LevelStatus, ...]


def queues(owner: LoadOwner, now: float) -> tuple[QueueStatus, ...]:
    """Return the routes with open jobs, and all routes of services that shed load.

    A route may have no open job because all its jobs are refused.
    """
    dispatcher = owner.leader_driver.dispatcher
    if not dispatcher.is_leader:
        return ()
    tracker, jobs = dispatcher.load_tracker, dispatcher.open_jobs.values()
    opened = Counter(job.request.route.name for job in jobs)
    waiting = Counter(job.request.route.name for job in jobs if not job.started)
    routes = {job.request.route.name: job.request.route for job in jobs}
    routes |= {
        route.name: route
        for route in owner.routes.routes
        if tracker.sheds_by_cost(route.service)
    }
    admitted = _admitted_fractions(tracker, now)
    return tuple(
        QueueStatus(
            name,
            route.priority,
            opened[name],
            waiting[name],
            *_shedding_fields(tracker, route, admitted, now),
        )
        for name, route in sorted(routes.items())
    )


def _admitted_fractions(
    tracker: LoadTracker, now: float
) -> dict[tuple[str, bool], float]:
    """Return the admitted fractions by route and whether its jobs can only be late."""
    state = tracker.demand_state(now)
    classes = state.classes if state is not None else ()
    return {
        (demand.route, demand.late): round(demand.admitted, 3) for demand in classes
    }


def _shedding_fields(
    tracker: LoadTracker,
    route: Route,
    admitted: dict[tuple[str, bool], float],
    now: float,
) -> tuple[int | None, float | None, float | None]:
    """Return the expected wait and the admitted fractions of a route."""
    if not tracker.sheds_by_cost(route.service):
        return None, None, None
    wait_s = tracker.expected_wait_s(route.service, route.priority, now)
    on_time, late = (admitted.get((route.name, is_late)) for is_late in (False, True))
    return round(wait_s * MS_PER_S), on_time, late


def group_loads(owner: LoadOwner, now: float) -> tuple[GroupStatus, ...]:
    """Return what the leaders of other groups last reported of their load."""
    dispatcher = owner.leader_driver.dispatcher
    if not dispatcher.is_leader:
        return ()
    reports = {
        report.leader: report
        for report in dispatcher.load_tracker.reported_loads.current(now)
    }
    groups = []
    for heartbeat in owner.group.other_group_leaders(now):
        leader = heartbeat.host
        report = reports.get(leader.name)
        age_s = NO_REPORT if report is None else round(report.age_s, 3)
        levels = tuple(
            LevelStatus(load.service, level.priority, level.wait_ms, level.spare)
            for load in (report.loads if report is not None else ())
            for level in load.levels
        )
        groups.append(GroupStatus(leader.name, leader.zone, age_s, levels))
    return tuple(groups)


def format_queue(status: QueueStatus) -> str:
    """Return one line on a route."""
    line = (
        f"queue {status.route}: priority {status.priority}, "
        f"{status.open} jobs open, {status.waiting} not begun"
    )
    if status.expected_wait_ms is None:
        return line
    on_time, late = (
        "no demand" if fraction is None else fraction
        for fraction in (status.admitted, status.admitted_late)
    )
    return (
        f"{line}, expected wait {status.expected_wait_ms} ms, "
        f"admitted {on_time}, if late {late}"
    )


def format_group(status: GroupStatus) -> str:
    """Return one line on another group."""
    group = f"group of {status.leader} in {status.zone}"
    if status.report_age_s == NO_REPORT:
        return f"{group}: no current report"
    levels = "; ".join(
        f"{level.service} priority {level.priority} waits {level.wait_ms} ms, "
        f"{level.spare_cpu_millis} thousandths of a core spare"
        for level in status.levels
    )
    return f"{group}, reported {status.report_age_s} s ago: {levels}"
