"""Reports of a group's load by priority, for the leaders of other groups."""

from collections.abc import Collection, Iterable, Mapping, Sequence

from jackdawspur.runs._backlog import Backlog
from jackdawspur.runs._demand import ClassDemand, ClassKey, Demand
from jackdawspur.runs._load_reports import LevelLoad, ServiceLoad

__all__ = ["LoadReporter", "divide_loads", "level_loads"]

MS_PER_S = 1000.0
# Waiting work is to be done within this time, beside the work that arrives.
BACKLOG_DRAIN_S = 0.5
# Demand is smoothed over about half a second. A new leader that reported earlier would
# report all its capacity as spare, also that of upstreams which it has not polled yet.
FIRST_REPORT_S = 0.5
# Levels that are sent to all receivers together, five times a second. A level has up to
# 11 bytes, and a service 12 and its name: this is half of the 9 KB/s of a host.
MAX_LEVELS_SENT = 51


class LoadReporter:
    """Track the demand that other groups redirected here, and report the group's load.

    Demand that was redirected here does not reduce the reported spare work: its senders
    have deducted it already. If it did, they would send only half of what fits.
    """

    def __init__(self) -> None:
        self._redirected = Demand()
        self._since: float | None = None

    def record_redirected(
        self, key: ClassKey, priority: int, work: float, now: float
    ) -> None:
        """Record a job that another group redirected here."""
        self._redirected.record(key, priority, work, now)

    def update(self, now: float) -> None:
        """Include the latest arrivals; the first call starts a term."""
        if self._since is None:
            self._since = now
        self._redirected.update(now)

    def is_ready(self, now: float) -> bool:
        """Return whether the demand of this term has been observed for long enough."""
        return self._since is not None and now - self._since >= FIRST_REPORT_S

    def own_demand(
        self, service: str, classes: Iterable[ClassDemand]
    ) -> dict[int, float]:
        """Return a service's demand by priority, without what was redirected here."""
        demand: dict[int, float] = {}
        for item in classes:
            if item.key.service == service:
                demand[item.priority] = demand.get(item.priority, 0.0) + item.work
        for item in self._redirected.classes():
            if item.key.service == service and item.priority in demand:
                demand[item.priority] -= item.work
        return {priority: max(0.0, work) for priority, work in demand.items()}

    def clear(self) -> None:
        """Forget all demand at the end of a term."""
        self._redirected.clear()
        self._since = None


def level_loads(
    waits_s: Mapping[int, float],
    demand: Mapping[int, float],
    backlog: Backlog,
    capacity: float,
) -> tuple[LevelLoad, ...]:
    """Return the load of a service for each priority.

    `waits_s` are the expected waits by priority. `spare` is negative if this and more
    urgent jobs ask for more than fits.
    """
    levels = []
    for priority, wait_s in sorted(waits_s.items()):
        needed = sum(work for level, work in demand.items() if level <= priority)
        needed += backlog.ahead(priority) / BACKLOG_DRAIN_S
        wait_ms = round(wait_s * MS_PER_S)
        levels.append(LevelLoad(priority, wait_ms, round(capacity - needed)))
    return tuple(levels)


def divide_loads(
    loads: Iterable[ServiceLoad],
    receivers: Sequence[str],
    needing: Collection[str],
    lacking: Mapping[str, Mapping[tuple[str, int], int]],
) -> dict[str, tuple[ServiceLoad, ...]]:
    """Divide the spare work of each level among the leaders of other groups.

    Leaders that reported a lack of capacity for a level share what is spare of it, in
    proportion to their lack (`lacking`, by leader, service and priority). If there is
    none, the leaders in `needing` share it equally, or else all `receivers` do.
    """
    divided: dict[str, list[ServiceLoad]] = {name: [] for name in receivers}
    for load in _bounded(loads, MAX_LEVELS_SENT // max(1, len(receivers))):
        weights_by_level = [
            _weights(load.service, level, receivers, needing, lacking)
            for level in load.levels
        ]
        for name in receivers:
            levels = tuple(
                _share(level, weights.get(name, 0.0))
                for level, weights in zip(load.levels, weights_by_level, strict=True)
            )
            divided[name].append(ServiceLoad(load.service, levels))
    return {name: tuple(shares) for name, shares in divided.items()}


def _weights(
    service: str,
    level: LevelLoad,
    receivers: Sequence[str],
    needing: Collection[str],
    lacking: Mapping[str, Mapping[tuple[str, int], int]],
) -> dict[str, float]:
    """Return the part of a level's spare work that each receiver gets."""
    key = (service, level.priority)
    lacks = {
        name: float(lack)
        for name in receivers
        if (lack := lacking.get(name, {}).get(key, 0)) > 0
    }
    in_need = [name for name in receivers if name in needing] or receivers
    weights = lacks or dict.fromkeys(in_need, 1.0)
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()}


def _share(level: LevelLoad, weight: float) -> LevelLoad:
    """Return a receiver's part of a level; a lack of capacity is not divided."""
    if level.spare <= 0:
        return level
    return LevelLoad(level.priority, level.wait_ms, int(level.spare * weight))


def _bounded(loads: Iterable[ServiceLoad], max_levels: int) -> list[ServiceLoad]:
    """Return the loads with at most `max_levels` levels together, but at least one.

    Services with the least spare work have precedence.
    """
    ordered = sorted(loads, key=lambda load: min(level.spare for level in load.levels))
    bounded = ordered[:1]
    levels = sum(len(load.levels) for load in bounded)
    for load in ordered[1:]:
        levels += len(load.levels)
        if levels <= max_levels:
            bounded.append(load)
    return bounded
