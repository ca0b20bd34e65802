"""Selection of another entry host for a whole job, no task of which has started."""

import random
from dataclasses import dataclass

from jackdawspur.model import HostId, Objective

__all__ = ["DelegationTarget", "HostLoad", "PeerSelector"]

# Maximum age of a reported load, in seconds.
MAX_LOAD_AGE_S = 3.0
# Minimum reduction of the wait, in milliseconds and as a fraction of the wait here.
# Without it jobs would move back and forth between hosts.
MIN_GAIN_MS = 20.0
MIN_GAIN_FRACTION = 0.25
# Additional reduction required of a host in another zone.
OTHER_ZONE_PENALTY_MS = 10.0


@dataclass(frozen=True, slots=True)
class HostLoad:
    """Load of another entry host as its last heartbeat reported it."""

    host: HostId
    slots: int
    free_slots: int
    waiting_tasks: int
    backlog_ms: float
    round_trip_ms: float
    accepts: bool = True


@dataclass(frozen=True, slots=True)
class DelegationTarget:
    """The host to which a job should be delegated and the expected wait there."""

    host: HostId
    wait_ms: float


class PeerSelector:
    """Selects hosts by their last reported load and the work sent to them since.

    A job may be delegated only once; the caller of `choose` must ensure that.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._loads: dict[HostId, tuple[float, HostLoad]] = {}
        self._sent_ms: dict[HostId, float] = {}
        self._sent_tasks: dict[HostId, int] = {}

    def update_load(self, load: HostLoad, now: float) -> None:
        """Record the load reported by a heartbeat."""
        self._loads[load.host] = (now, load)
        self._sent_ms.pop(load.host, None)
        self._sent_tasks.pop(load.host, None)

    def forget(self, host: HostId) -> None:
        """Drop the load of a host that left the membership view."""
        self._loads.pop(host, None)
        self._sent_ms.pop(host, None)
        self._sent_tasks.pop(host, None)

    def choose(
        self,
        estimates_ms: tuple[float, ...],
        local_wait_ms: float,
        refused_locally: bool,
        objective: Objective,
        now: float,
    ) -> DelegationTarget | None:
        """Return a host where the job waits clearly less, or None to keep it here."""
        # Delegation costs messages. A customer that wants few messages only accepts
        # that to avoid a refusal.
        if objective is Objective.MESSAGES and not refused_locally:
            return None
        max_wait_ms = local_wait_ms
        if not refused_locally:
            max_wait_ms = local_wait_ms - max(
                MIN_GAIN_MS, MIN_GAIN_FRACTION * local_wait_ms
            )
        candidates = self._candidates(estimates_ms, max_wait_ms, now)
        if not candidates:
            return None
        # All hosts see the same stale loads. Taking the better of two random candidates
        # (power of two choices) prevents them from all sending their jobs to the host
        # that was least loaded at that time.
        sample = self._rng.sample(candidates, min(2, len(candidates)))
        target = min(sample, key=lambda candidate: candidate.wait_ms)
        self._record_sent(target.host, estimates_ms)
        return target

    def _candidates(
        self, estimates_ms: tuple[float, ...], max_wait_ms: float, now: float
    ) -> list[DelegationTarget]:
        candidates = []
        for received_at, load in self._loads.values():
            if load.accepts and load.slots > 0 and now - received_at <= MAX_LOAD_AGE_S:
                wait = self._wait_ms(load, estimates_ms)
                if wait < max_wait_ms:
                    candidates.append(DelegationTarget(load.host, wait))
        return candidates

    def _wait_ms(self, load: HostLoad, estimates_ms: tuple[float, ...]) -> float:
        wait = load.round_trip_ms
        if load.host.zone != self._zone:
            wait += OTHER_ZONE_PENALTY_MS
        free = load.free_slots - self._sent_tasks.get(load.host, 0)
        if not load.waiting_tasks and len(estimates_ms) <= free:
            return wait
        ahead_ms = load.backlog_ms + self._sent_ms.get(load.host, 0.0)
        work_ms = sum(estimates_ms) - min(estimates_ms)
        return wait + (ahead_ms + work_ms) / load.slots

    def _record_sent(self, host: HostId, estimates_ms: tuple[float, ...]) -> None:
        self._sent_ms[host] = self._sent_ms.get(host, 0.0) + sum(estimates_ms)
        tasks = self._sent_tasks.get(host, 0) + len(estimates_ms)
        self._sent_tasks[host] = tasks
