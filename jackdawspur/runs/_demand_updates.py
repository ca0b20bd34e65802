"""Demand that a leader sends to its group, and the last one that a host received."""

import math
from dataclasses import dataclass

from msgspec.structs import replace

from jackdawspur.leases import Fence
from jackdawspur.model import HostId
from jackdawspur.runs._load_reports import DemandState, RouteDemand
from jackdawspur.runs._load_tracker import MAX_STATE_AGE_S, MAX_STATE_CLASSES

__all__ = ["ReceivedDemand", "demand_update"]

# Values are sent as whole numbers, in 1 to 3 bytes instead of 9, if they change by this
# fraction at most; smoothed over half a second, they are less precise.
ROUNDING_TOLERANCE = 0.03
# A class takes about this many bytes, and the updates of one interval to all receivers
# at most this many: two a second then take 4 KB/s of a host's 9 KB/s for control.
CLASS_BYTES = 40
MAX_UPDATES_BYTES = 2_000
# The routes of three priorities are sent to any number of receivers.
MIN_CLASSES = 3
# Maximum difference between the speeds of two hosts' clocks.
MAX_CLOCK_DRIFT = 0.001
# Maximum number of hosts whose clocks are known; the oldest are evicted.
MAX_CLOCKS = 256


def demand_update(state: DemandState, receivers: int = 1) -> DemandState:
    """Return what is sent of a leader's state, its first classes, in few bytes.

    With many receivers it has fewer classes, since the leader sends it to each of them.
    """
    fitting = MAX_UPDATES_BYTES // (CLASS_BYTES * max(1, receivers))
    count = min(MAX_STATE_CLASSES, max(MIN_CLASSES, fitting))
    return DemandState(tuple(map(_shortened, state.classes[:count])))


@dataclass(frozen=True, slots=True)
class _Clock:
    """Estimated difference between this host's clock and that of another one.

    It includes the shortest latency that a message had.
    """

    offset_s: float
    at: float


@dataclass(frozen=True, slots=True)
class _Received:
    state: DemandState
    sender: HostId
    fence: Fence
    sent_at: float


class ReceivedDemand:
    """Keep the last demand that the leaders of the group sent, and its age.

    The age is determined from the sender's clock, since a network partition may delay a
    message for seconds. Messages that arrive later can show that this one was delayed.
    """

    def __init__(self) -> None:
        self._clocks: dict[HostId, _Clock] = {}
        self._last: _Received | None = None

    def record_clock(self, sender: HostId, sent_at: float, now: float) -> None:
        """Record when a message of a host was sent, by its own clock."""
        offset_s = now - sent_at
        clock = self._clocks.pop(sender, None)
        if clock is not None:
            drift_s = MAX_CLOCK_DRIFT * (now - clock.at)
            offset_s = min(offset_s, clock.offset_s + drift_s)
        self._clocks[sender] = _Clock(offset_s, now)
        if len(self._clocks) > MAX_CLOCKS:
            del self._clocks[next(iter(self._clocks))]

    def record(
        self,
        state: DemandState,
        sender: HostId,
        fence: Fence,
        sent_at: float,
        now: float,
    ) -> None:
        """Record the demand sent by a leader, unless a newer one is known.

        A state of an earlier term is not newer, even if it was sent later: a leader
        that is not aware of the next term sees only a part of the jobs.
        """
        received = _Received(_usable(state), sender, fence, sent_at)
        last = self._last
        if last is not None and self._age_s(last, now) <= MAX_STATE_AGE_S:
            older = self._age_s(received, now) > self._age_s(last, now)
            if fence < last.fence or older:
                return
        self._last = received

    def latest(self, now: float) -> tuple[DemandState, float] | None:
        """Return the last state and its age in seconds, however old it is."""
        if self._last is None or self._last.sender not in self._clocks:
            return None
        return self._last.state, self._age_s(self._last, now)

    def clear(self) -> None:
        """Forget the state: this host has a newer one."""
        self._last = None

    def _age_s(self, received: _Received, now: float) -> float:
        clock = self._clocks.get(received.sender)
        if clock is None:
            return math.inf
        return max(0.0, now - clock.offset_s - received.sent_at)


def _usable(state: DemandState) -> DemandState:
    """Return a received state without invalid classes, limited in length."""
    return DemandState(tuple(filter(_is_valid, state.classes[:MAX_STATE_CLASSES])))


def _values(demand: RouteDemand) -> dict[str, float]:
    return {
        "work": demand.work,
        "jobs_per_s": demand.jobs_per_s,
        "mean_work": demand.mean_work,
        "admitted": demand.admitted,
    }


def _is_valid(demand: RouteDemand) -> bool:
    """Return whether all values are in range; `inf` and `nan` are not."""
    in_range = all(0.0 <= value < math.inf for value in _values(demand).values())
    return in_range and demand.admitted <= 1.0


def _shortened(demand: RouteDemand) -> RouteDemand:
    values = {name: _shorten(value) for name, value in _values(demand).items()}
    return replace(demand, **values)


def _shorten(value: float) -> float:
    """Return the nearest integer if it differs little, else the value."""
    nearest = round(value)
    return nearest if abs(nearest - value) <= ROUNDING_TOLERANCE * value else value
