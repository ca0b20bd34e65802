"""Choose another entry host for a whole job, before anything of it started."""

import random
from dataclasses import dataclass

from jackdawspur.model import HostId, Objective

__all__ = ["DelegationTarget", "HostLoad", "PeerSelector"]

# A load older than this says nothing; in seconds.
STALE_AFTER = 3.0
# Another host must promise this much less waiting, or jobs would go to and fro.
MIN_GAIN_MS = 20.0
MIN_GAIN_PART = 0.25
# A host in another zone must be better by this much on top.
OTHER_ZONE_MS = 10.0


@dataclass(frozen=True, slots=True)
class HostLoad:
    """Describe another entry host as its last heartbeat did."""

    host: HostId
    slots: int
    free_slots: int
    waiting_tasks: int
    backlog_ms: float
    round_trip_ms: float
    accepts: bool = True


@dataclass(frozen=True, slots=True)
class DelegationTarget:
    """Name the host a job should go to and the wait expected there."""

    host: HostId
    wait_ms: float


class PeerSelector:
    """Weigh other hosts by their last load and by what was sent there since.

    A job moves once at most; the caller of `choose` sees to that.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._loads: dict[HostId, tuple[float, HostLoad]] = {}
        self._sent_ms: dict[HostId, float] = {}
        self._sent_tasks: dict[HostId, int] = {}

    def update_load(self, load: HostLoad, now: float) -> None:
        """Take in a heartbeat."""
        self._loads[load.host] = (now, load)
        self._sent_ms.pop(load.host, None)
        self._sent_tasks.pop(load.host, None)

    def forget(self, host: HostId) -> None:
        """Drop a host that left the view."""
        self._loads.pop(host, None)
        self._sent_ms.pop(host, None)
        self._sent_tasks.pop(host, None)

    def choose(
        self,
        estimates_ms: tuple[float, ...],
        wait_here_ms: float,
        refused_here: bool,
        objective: Objective,
        now: float,
    ) -> DelegationTarget | None:
        """Return a host where the job waits clearly less, or None to stay."""
        # Moving costs messages: where these weigh most, only a refusal is worth it.
        if objective is Objective.MESSAGES and not refused_here:
            return None
        most = wait_here_ms
        if not refused_here:
            most = wait_here_ms - max(MIN_GAIN_MS, MIN_GAIN_PART * wait_here_ms)
        moves = self._moves(estimates_ms, most, now)
        if not moves:
            return None
        # All hosts see the same stale loads. The best of two drawn at random keeps
        # them from sending everything to the one that was least loaded then.
        drawn = self._rng.sample(moves, min(2, len(moves)))
        move = min(drawn, key=lambda m: m.wait_ms)
        self._note(move.host, estimates_ms)
        return move

    def _moves(
        self, estimates_ms: tuple[float, ...], most: float, now: float
    ) -> list[DelegationTarget]:
        moves = []
        for heard, load in self._loads.values():
            if load.accepts and load.slots > 0 and now - heard <= STALE_AFTER:
                wait = self._wait_ms(load, estimates_ms)
                if wait < most:
                    moves.append(DelegationTarget(load.host, wait))
        return moves

    def _wait_ms(self, load: HostLoad, estimates_ms: tuple[float, ...]) -> float:
        wait = load.round_trip_ms
        if load.host.zone != self._zone:
            wait += OTHER_ZONE_MS
        free = load.free_slots - self._sent_tasks.get(load.host, 0)
        if not load.waiting_tasks and len(estimates_ms) <= free:
            return wait
        ahead = load.backlog_ms + self._sent_ms.get(load.host, 0.0)
        work = sum(estimates_ms) - min(estimates_ms)
        return wait + (ahead + work) / load.slots

    def _note(self, host: HostId, estimates_ms: tuple[float, ...]) -> None:
        self._sent_ms[host] = self._sent_ms.get(host, 0.0) + sum(estimates_ms)
        tasks = self._sent_tasks.get(host, 0) + len(estimates_ms)
        self._sent_tasks[host] = tasks
