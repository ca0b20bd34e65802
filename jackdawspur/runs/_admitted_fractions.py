"""Choice of the classes of jobs to admit, by what it costs not to serve them."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from jackdawspur.runs._demand import ClassDemand, ClassKey
from jackdawspur.runs._overload_policy import OverloadPolicy

__all__ = ["admitted_fractions", "cost_per_work", "ranked", "with_late_classes"]

# A class whose jobs seem to need no work at all ranks by its cost.
MIN_MEAN_WORK = 1.0
# A smaller fraction of the capacity is a rounding error.
MIN_REMAINING_FRACTION = 1e-9


def with_late_classes(classes: Iterable[ClassDemand]) -> list[ClassDemand]:
    """Return the classes, and one without demand for late jobs of each other route.

    Jobs become late while they wait, so such a class has jobs although none arrive.
    """
    found = {item.key: item for item in classes}
    for item in list(found.values()):
        late_key = item.key._replace(late=True)
        if late_key not in found:
            found[late_key] = replace(
                item, key=late_key, work=0.0, jobs_per_s=0.0, variance=0.0
            )
    return list(found.values())


def ranked(classes: Iterable[ClassDemand], policy: OverloadPolicy) -> list[ClassDemand]:
    """Return the classes, the one with the highest cost per unit of work first."""
    return sorted(classes, key=lambda item: (-_rank(item, policy), item.key))


def admitted_fractions(
    ranked_classes: Iterable[ClassDemand],
    capacity: float,
    min_fraction: float,
    drain: Callable[[float], float],
    queued: Mapping[tuple[int, str], float],
) -> dict[ClassKey, float]:
    """Return the fraction of each class that fits into the capacity, by rank.

    Each class is admitted for at least `min_fraction`, whatever the capacity is; one
    without demand is admitted wholly if its rank has any capacity left.
    `queued` is the waiting work by priority and route, and `drain` returns the capacity
    that such work needs. A class makes way for what waits of it and of those before it:
    a queue of others is theirs to drain.
    """
    classes = list(ranked_classes)
    admitted_work = min_fraction * sum(item.work for item in classes)
    routes: set[tuple[int, str]] = set()
    fractions: dict[ClassKey, float] = {}
    for item in classes:
        routes.add((item.priority, item.key.route))
        ahead = sum(queued.get(route, 0.0) for route in routes)
        rest = item.work * (1.0 - min_fraction)
        remaining = capacity - drain(ahead) - admitted_work
        admitted = min(rest, max(0.0, remaining))
        admitted_work += admitted
        has_capacity = remaining > MIN_REMAINING_FRACTION * capacity
        share = admitted / rest if rest > 0.0 else float(has_capacity)
        fractions[item.key] = min_fraction + share * (1.0 - min_fraction)
    return fractions


def cost_per_work(cost: float, mean_work: float) -> float:
    """Return the cost of not serving jobs, per unit of work."""
    return cost / max(MIN_MEAN_WORK, mean_work)


def _rank(item: ClassDemand, policy: OverloadPolicy) -> float:
    cost = policy.weight(item.priority)
    if item.key.late:
        cost *= policy.late_weight
    return cost_per_work(cost, item.mean_work)
