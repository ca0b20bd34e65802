"""Room that other groups offer, for jobs that would wait here."""

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

# Room is offered anew every 0.2 s; an older offer has been used by others.
OFFER_VALID_S = 0.5
# A job that finds no room waits this long for an end before it goes elsewhere, which
# costs bytes between zones and time each way.
MAX_WAIT_S = 0.02
# And no longer than this share of what it has to spare, by an estimate.
MAX_WAIT_FRACTION = 0.05
# A wait that is shorter than a pass or two of the loop hardly ever meets an end.
MIN_WAIT_S = 0.005


@dataclass(frozen=True, slots=True)
class RemoteLeader:
    """Name the leading host of another group, and its term by its fence."""

    leader: str
    fence: Fence


@dataclass(frozen=True, slots=True)
class SpareCapacity:
    """Tell what upstreams of a service have left, each in thousandths of a core.

    `slow` are those on which tasks take longer than on the fast ones.
    """

    fast: Sequence[int] = ()
    slow: Sequence[int] = ()


@dataclass(eq=False, slots=True)
class _CapacityOffer:
    remote_leader: RemoteLeader
    at: float
    free: dict[str, SpareCapacity]


class OfferedCapacity:
    """Keep what room other leading hosts offer to this one, and use it up.

    Each leading host deals its room out to the others, so that two of them never fill
    the same place.
    """

    def __init__(self) -> None:
        self._offers: dict[str, _CapacityOffer] = {}
        self._redirected = 0

    @property
    def has_offers(self) -> bool:
        """Tell whether there are other groups."""
        return bool(self._offers)

    def update(
        self, remote_leader: RemoteLeader, spare: dict[str, SpareCapacity], now: float
    ) -> None:
        """Take in the room of each service."""
        self._offers[remote_leader.leader] = _CapacityOffer(
            remote_leader, now, dict(spare)
        )

    def may_have_capacity(self, job: Job, now: float) -> bool:
        """Tell whether another group offers room for the largest task of a job."""
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
        """Return where all tasks of a job find room at once, and count it as used.

        With `anywhere` a job for which there is none goes to each group in turn, which
        may know better by then. With `only_fast` room on slow upstreams is none.
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
        self._redirected += 1
        return offers[self._redirected % len(offers)].remote_leader

    def _current_offers(self, now: float) -> list[_CapacityOffer]:
        return [o for o in self._offers.values() if now - o.at <= OFFER_VALID_S]


def max_wait_s(job: Job, now: float) -> float:
    """Return how long a job waits for room here before it goes elsewhere."""
    wait_s = min(MAX_WAIT_S, MAX_WAIT_FRACTION * spare_s(job, now))
    return wait_s if wait_s >= MIN_WAIT_S else 0.0


def may_redirect(job: Job, now: float, wait_limit_s: float) -> bool:
    """Tell whether a job that waits this long at the most may go to another group.

    What was started, or may have been by an earlier leading host, stays. So does what
    another group sent here, and what must or had better run on certain upstreams.
    """
    offer = job.offer
    needs_labels = any(step.label or step.near for step in job.request.steps)
    must_stay = offer.from_other_group or offer.handovers or job.started
    return not (needs_labels or must_stay) and now - job.offered_at >= wait_limit_s


def split_round_robin(
    free_capacities: Iterable[int], leaders: Sequence[str]
) -> dict[str, tuple[int, ...]]:
    """Deal rows of room out to other leading hosts, one each in turn."""
    ordered = sorted(free_capacities, reverse=True)
    count = len(leaders)
    return {name: tuple(ordered[n::count]) for n, name in enumerate(leaders)}


def _reserve_in(
    spare: SpareCapacity | None, steps: Sequence[JobStep], only_fast: bool
) -> SpareCapacity | None:
    """Return what is left of some room, None when not all tasks find some in it.

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
    """Return what is left of rows of room, None when not all tasks find some.

    Each task takes the smallest room that is enough.
    """
    remaining = sorted(free_capacities)
    for step in steps:
        needed = step.resources.cpu_millis
        for _ in range(step.count):
            number = next(
                (
                    n
                    for n, free_capacity in enumerate(remaining)
                    if free_capacity >= needed
                ),
                None,
            )
            if number is None:
                return None
            remaining[number] -= needed
            remaining.sort()
    return remaining
