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
    "may_go",
    "patience_s",
    "split_round_robin",
]

# Room is offered anew every 0.2 s; an older offer has been used by others.
OFFER_KEPT_S = 0.5
# A job that finds no room waits this long for an end before it goes elsewhere, which
# costs bytes between zones and time each way.
PATIENCE_S = 0.02
# And no longer than this share of what it has to spare, by an estimate.
PATIENCE_SHARE = 0.05
# A wait that is shorter than a pass or two of the loop hardly ever meets an end.
LEAST_PATIENCE_S = 0.005


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
class _Offered:
    place: RemoteLeader
    at: float
    free: dict[str, SpareCapacity]


class OfferedCapacity:
    """Keep what room other leading hosts offer to this one, and use it up.

    Each leading host deals its room out to the others, so that two of them never fill
    the same place.
    """

    def __init__(self) -> None:
        self._offered: dict[str, _Offered] = {}
        self._sent = 0

    @property
    def heard_of(self) -> bool:
        """Tell whether there are other groups."""
        return bool(self._offered)

    def offered(
        self, place: RemoteLeader, room: dict[str, SpareCapacity], now: float
    ) -> None:
        """Take in the room of each service."""
        self._offered[place.leader] = _Offered(place, now, dict(room))

    def may_have_room(self, job: Job, now: float) -> bool:
        """Tell whether another group offers room for the largest task of a job."""
        service = job.request.route.service
        needed = max(step.resources.cpu_millis for step in job.request.steps)
        return any(
            row >= needed
            for offered in self._fresh(now)
            if (room := offered.free.get(service)) is not None
            for rows in (room.fast, room.slow)
            for row in rows
        )

    def take(
        self, job: Job, now: float, anywhere: bool = False, only_fast: bool = False
    ) -> RemoteLeader | None:
        """Return where all tasks of a job find room at once, and count it as used.

        With `anywhere` a job for which there is none goes to each group in turn, which
        may know better by then. With `only_fast` room on slow upstreams is none.
        """
        service = job.request.route.service
        fresh = self._fresh(now)
        for offered in fresh:
            left = _use(offered.free.get(service), job.request.steps, only_fast)
            if left is not None:
                offered.free[service] = left
                return offered.place
        if not (anywhere and fresh):
            return None
        self._sent += 1
        return fresh[self._sent % len(fresh)].place

    def _fresh(self, now: float) -> list[_Offered]:
        return [o for o in self._offered.values() if now - o.at <= OFFER_KEPT_S]


def patience_s(job: Job, now: float) -> float:
    """Return how long a job waits for room here before it goes elsewhere."""
    wait_s = min(PATIENCE_S, PATIENCE_SHARE * spare_s(job, now))
    return wait_s if wait_s >= LEAST_PATIENCE_S else 0.0


def may_go(job: Job, now: float, longest_s: float) -> bool:
    """Tell whether a job that waits this long at the most may go to another group.

    What was started, or may have been by an earlier leading host, stays. So does what
    another group sent here, and what must or had better run on certain upstreams.
    """
    offer = job.offer
    bound = any(step.label or step.near for step in job.request.steps)
    came = offer.from_other_group or offer.handovers or job.started
    return not (bound or came) and now - job.offered_at >= longest_s


def split_round_robin(
    rows: Iterable[int], leaders: Sequence[str]
) -> dict[str, tuple[int, ...]]:
    """Deal rows of room out to other leading hosts, one each in turn."""
    ordered = sorted(rows, reverse=True)
    count = len(leaders)
    return {name: tuple(ordered[n::count]) for n, name in enumerate(leaders)}


def _use(
    room: SpareCapacity | None, steps: Sequence[JobStep], only_fast: bool
) -> SpareCapacity | None:
    """Return what is left of some room, None when not all tasks find some in it.

    Tasks that may run on slow upstreams leave the fast ones to others.
    """
    if room is None:
        return None
    if not only_fast:
        left = fill(room.slow, steps)
        if left is not None:
            return SpareCapacity(room.fast, left)
    left = fill(room.fast, steps)
    return None if left is None else SpareCapacity(left, room.slow)


def fill(rows: Sequence[int], steps: Sequence[JobStep]) -> list[int] | None:
    """Return what is left of rows of room, None when not all tasks find some.

    Each task takes the smallest room that is enough.
    """
    left = sorted(rows)
    for step in steps:
        needed = step.resources.cpu_millis
        for _ in range(step.count):
            number = next((n for n, row in enumerate(left) if row >= needed), None)
            if number is None:
                return None
            left[number] -= needed
            left.sort()
    return left
