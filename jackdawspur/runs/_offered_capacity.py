"""Capacity that other groups offer, for jobs that would wait here."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from jackdawspur.leases import Fence
from jackdawspur.runs._job import Job
from jackdawspur.runs._order import spare_s
from jackdawspur.runs._types import JobStep

__all__ = [
    "OfferedCapacity",
    "RemoteLeader",
    "SpareCapacity",
    "may_redirect",
    "max_wait_s",
    "split_round_robin",
]

# Offers are sent every 0.2 s; the capacity of an older one has been used by others.
OFFER_VALID_S = 0.5
# A job that finds no capacity waits this long for a run to end before it is redirected,
# which costs traffic and a round trip between zones.
MAX_WAIT_S = 0.02
# It also waits no longer than this fraction of its estimated spare time.
MAX_WAIT_FRACTION = 0.05
# Hardly any run ends within a wait shorter than a pass or two of the loop.
MIN_WAIT_S = 0.005


@dataclass(frozen=True, slots=True)
class RemoteLeader:
    """The leader of another group; its fence identifies its term."""

    leader: str
    fence: Fence


@dataclass(frozen=True, slots=True)
class SpareCapacity:
    """Free capacity of a service's upstreams, each in thousandths of a core.

    Tasks take longer on `slow` upstreams than on `fast` ones.
    """

    fast: Sequence[int] = ()
    slow: Sequence[int] = ()


@dataclass(eq=False, slots=True)
class _CapacityOffer:
    remote_leader: RemoteLeader
    at: float
    free: dict[str, SpareCapacity]


class OfferedCapacity:
    """Track the capacity that other leaders offer to this one, and reserve it.

    Each leader divides its capacity among the others, so that no two of them use the
    same part of it.
    """

    def __init__(self) -> None:
        self._offers: dict[str, _CapacityOffer] = {}
        self._redirect_count = 0

    @property
    def has_offers(self) -> bool:
        """Return whether there are other groups."""
        return bool(self._offers)

    def is_reachable(self, now: float) -> bool:
        """Return whether the leader of another group was heard from recently."""
        return bool(self._current_offers(now))

    def total(self, service: str, now: float) -> tuple[int, float | None]:
        """Return the capacity last offered to a service, and the age of the oldest.

        The age is in seconds, None without offers. Outdated offers are included.
        """
        free_millis = sum(
            sum(spare.fast) + sum(spare.slow)
            for offer in self._offers.values()
            if (spare := offer.free.get(service)) is not None
        )
        ages_s = [now - offer.at for offer in self._offers.values()]
        return free_millis, max(ages_s, default=None)

    def update(
        self, remote_leader: RemoteLeader, spare: dict[str, SpareCapacity], now: float
    ) -> None:
        """Record the offered capacity of each service."""
        self._offers[remote_leader.leader] = _CapacityOffer(
            remote_leader, now, dict(spare)
        )

    def may_have_capacity(self, job: Job, now: float) -> bool:
        """Return whether another group offers enough for the largest task of a job."""
        service = job.request.route.service
        needed = max(step.resources.cpu_millis for step in job.request.steps)
        return any(
            free_capacity >= needed
            for offer in self._current_offers(now)
            if (spare := offer.free.get(service)) is not None
            for free_capacities in (spare.fast, spare.slow)
            for free_capacity in free_capacities
        )

    def reserve(
        self, job: Job, now: float, anywhere: bool = False, only_fast: bool = False
    ) -> RemoteLeader | None:
        """Reserve capacity to start all tasks of a job at once, and return its leader.

        With `anywhere`, jobs that fit in no offered capacity are sent to the groups in
        turn, as the offers may be outdated. With `only_fast`, slow upstreams do not
        count.
        """
        service = job.request.route.service
        offers = self._current_offers(now)
        for offer in offers:
            remaining = _reserve_in(
                offer.free.get(service), job.request.steps, only_fast
            )
            if remaining is not None:
                offer.free[service] = remaining
                return offer.remote_leader
        if not (anywhere and offers):
            return None
        self._redirect_count += 1
        return offers[self._redirect_count % len(offers)].remote_leader

    def _current_offers(self, now: float) -> list[_CapacityOffer]:
        return [o for o in self._offers.values() if now - o.at <= OFFER_VALID_S]


def max_wait_s(job: Job, now: float) -> float:
    """Return how long a job waits for capacity here before it is redirected."""
    wait_s = min(MAX_WAIT_S, MAX_WAIT_FRACTION * spare_s(job, now))
    return wait_s if wait_s >= MIN_WAIT_S else 0.0


def may_redirect(job: Job, now: float, wait_limit_s: float) -> bool:
    """Return whether a job may be redirected after a wait of `wait_limit_s`.

    Jobs that were started, or may have been by an earlier leader, stay. So do jobs that
    another group sent here, and jobs that must or should run on certain upstreams.
    """
    offer = job.offer
    needs_labels = any(step.label or step.near for step in job.request.steps)
    must_stay = offer.from_other_group or offer.handovers or job.started
    return not (needs_labels or must_stay) and now - job.offered_at >= wait_limit_s


def split_round_robin(
    free_capacities: Iterable[int], leaders: Sequence[str]
) -> dict[str, tuple[int, ...]]:
    """Divide free capacities among other leaders, one each in turn."""
    ordered = sorted(free_capacities, reverse=True)
    count = len(leaders)
    return {name: tuple(ordered[n::count]) for n, name in enumerate(leaders)}


def _reserve_in(
    spare: SpareCapacity | None, steps: Sequence[JobStep], only_fast: bool
) -> SpareCapacity | None:
    """Return the capacity that is left, None if not all tasks fit.

    Tasks that may run on slow upstreams leave the fast ones to others.
    """
    if spare is None:
        return None
    if not only_fast:
        remaining = fill(spare.slow, steps)
        if remaining is not None:
            return SpareCapacity(spare.fast, remaining)
    remaining = fill(spare.fast, steps)
    return None if remaining is None else SpareCapacity(remaining, spare.slow)


def fill(free_capacities: Sequence[int], steps: Sequence[JobStep]) -> list[int] | None:
    """Return the free capacities that are left, None if not all tasks fit.

    Each task uses the smallest free capacity that is enough.
    """
    remaining = sorted(free_capacities)
    for step in steps:
        needed = step.resources.cpu_millis
        for _ in range(step.count):
            index = next(
                (
                    n
                    for n, free_capacity in enumerate(remaining)
                    if free_capacity >= needed
                ),
                None,
            )
            if index is None:
                return None
            remaining[index] -= needed
            remaining.sort()
    return remaining
