"""Start and end of load shedding in one service, and its choice of jobs."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from jackdawspur.runs._admitted_fractions import (
    admitted_fractions,
    ranked,
    with_late_classes,
)
from jackdawspur.runs._backlog import Backlog
from jackdawspur.runs._demand import ClassDemand, ClassKey
from jackdawspur.runs._overload_policy import OverloadPolicy

__all__ = ["QUEUE_TARGET_S", "Admittance", "ServiceShedding"]

# A standing queue is longer than this. A job of the shortest kind (60 ms) has 80 ms to
# spare, of which some is left when it gets to its turn.
QUEUE_TARGET_S = 0.05
# What waits beyond the target is drained within this time.
QUEUE_DRAIN_S = 0.15
# Shedding ends when the demand was below this fraction of the capacity for this time:
# the smoothed demand varies by a tenth with the arrivals of single large jobs.
END_DEMAND_FRACTION = 0.9
END_AFTER_S = 0.5
# It also ends after this time without a queue: capacity is free, whatever the demand
# seems to be. A shorter one admits long jobs in the gaps of an overload.
NO_QUEUE_S = 0.2
# Sums of fractions reach a whole job despite rounding errors.
ROUNDING = 1e-9
# Accumulators of a class start halfway, so that the first decisions are not all alike.
FIRST_CREDIT = 0.5


@dataclass(frozen=True, slots=True)
class Admittance:
    """Whether a job is admitted, and whether that is due to the minimum fraction."""

    admitted: bool
    protected: bool = False


@dataclass(eq=False, slots=True)
class ServiceShedding:
    """Admitted fractions of a service's classes, and the inputs of the last update.

    `demand` and `capacity` are in thousandths of a core, `queued_s` is how long the
    work that waits would take.
    """

    active: bool = False
    demand: float = 0.0
    capacity: float = 0.0
    queued_s: float = 0.0
    updated_at: float | None = None
    is_known: bool = False
    seeded: bool = False
    fractions: dict[ClassKey, float] = field(default_factory=dict)
    ranks: dict[ClassKey, int] = field(default_factory=dict)
    _demand_by_priority: dict[int, float] = field(default_factory=dict)
    _error: float = 0.0
    _needed_at: float = -math.inf
    _queued_at: float = -math.inf
    _min_fraction: float = 0.0
    _credits: dict[ClassKey, float] = field(default_factory=dict)
    _min_credits: dict[ClassKey, float] = field(default_factory=dict)

    def update(
        self,
        classes: Iterable[ClassDemand],
        capacity: float,
        backlog: Backlog,
        policy: OverloadPolicy,
        now: float,
    ) -> None:
        """Choose the admitted fractions, for the demand and what waits."""
        ordered = ranked(with_late_classes(classes), policy)
        self.updated_at = now
        self.demand = sum(item.work for item in ordered)
        self._error = math.sqrt(sum(item.variance for item in ordered))
        self.capacity = capacity
        self.ranks = {item.key: n for n, item in enumerate(ordered, 1)}
        self._min_fraction = policy.min_served_fraction
        self._demand_by_priority = _by_priority(ordered)
        if capacity <= 0.0:
            # All upstreams are lost or not known yet: jobs wait while they can.
            return
        self.queued_s = backlog.queued / capacity
        self._set_active(now)
        self.is_known = True
        if self.active:
            self.fractions = admitted_fractions(
                ordered,
                self.capacity,
                self._min_fraction,
                self._drain,
                backlog.by_route,
            )
        else:
            self.fractions = {item.key: 1.0 for item in ordered}

    def _drain(self, queued: float) -> float:
        """Return the capacity that it takes to drain what waits beyond the target."""
        return max(0.0, queued - QUEUE_TARGET_S * self.capacity) / QUEUE_DRAIN_S

    def _set_active(self, now: float) -> None:
        """Start with a standing queue and too much demand, end with hysteresis.

        The demand has to exceed the capacity by more than its standard error: a few
        large jobs that arrive together in a small service are no overload.
        """
        if self.active:
            if self.queued_s > 0.0:
                self._queued_at = now
            if self.demand > END_DEMAND_FRACTION * self.capacity:
                self._needed_at = now
            self.active = (
                now - self._needed_at < END_AFTER_S
                and now - self._queued_at < NO_QUEUE_S
            )
        else:
            has_queue = self.queued_s > QUEUE_TARGET_S
            self.active = has_queue and self.exceeds_capacity
            self._needed_at = self._queued_at = now

    def seed(
        self, fractions: Mapping[ClassKey, float], min_fraction: float, now: float
    ) -> None:
        """Start with the fractions that an earlier leader admitted."""
        self.fractions = dict(fractions)
        self.is_known = self.seeded = True
        self.active = any(fraction < 1.0 for fraction in fractions.values())
        self._min_fraction = min_fraction
        self._needed_at = self._queued_at = now

    @property
    def exceeds_capacity(self) -> bool:
        """Return whether the demand exceeds the capacity by over its standard error.

        Until the demand is known, this is what the earlier leader decided.
        """
        if self.updated_at is None:
            return self.active
        return self.demand - self._error > self.capacity

    @property
    def load(self) -> float:
        """Return the demand divided by the capacity."""
        return self.demand / self.capacity if self.capacity else 0.0

    def excess(self, priority: int) -> float:
        """Return the demand of a priority and more urgent ones beyond the capacity.

        It is a multiple of the capacity, and zero if it fits.
        """
        demand = sum(
            work
            for level, work in self._demand_by_priority.items()
            if level <= priority
        )
        return max(0.0, demand / self.capacity - 1.0) if self.capacity else 0.0

    def fraction(self, key: ClassKey) -> float:
        """Return the admitted fraction of a class."""
        default = self._min_fraction if self.active and key.late else 1.0
        return self.fractions.get(key, default)

    def admit(self, key: ClassKey) -> Admittance:
        """Decide on the next job of a class.

        The jobs of the minimum fraction are counted apart, since they are served even
        if others of their class are not.
        """
        if not self.active:
            return Admittance(True)
        if _count(self._min_credits, key, self._min_fraction):
            return Admittance(True, protected=True)
        rest = 1.0 - self._min_fraction
        share = (self.fraction(key) - self._min_fraction) / rest if rest else 1.0
        return Admittance(_count(self._credits, key, share))


def _by_priority(classes: Iterable[ClassDemand]) -> dict[int, float]:
    by_priority: dict[int, float] = {}
    for item in classes:
        by_priority[item.priority] = by_priority.get(item.priority, 0.0) + item.work
    return by_priority


def _count(credits_: dict[ClassKey, float], key: ClassKey, fraction: float) -> bool:
    """Add a fraction to an accumulator; return whether it reaches a whole job."""
    credit = credits_.get(key, FIRST_CREDIT) + fraction
    whole = credit >= 1.0 - ROUNDING
    credits_[key] = credit - whole
    return whole
