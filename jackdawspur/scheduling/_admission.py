"""Refuse at the door what cannot meet its contract, or can never run."""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from jackdawspur.model import (
    Contract,
    Customer,
    FailureCode,
    JobRequest,
    TaskSpec,
    Upstream,
)
from jackdawspur.scheduling._job import ROUND_TRIP_MS

__all__ = [
    "AdmissionController",
    "AdmissionDecision",
    "Admit",
    "LocalLoad",
    "Refuse",
    "UpstreamSizes",
    "expected_wait_ms",
    "refuse_oversized",
]

MIN_RETRY_MS = 50.0
MAX_RETRY_MS = 10_000.0
# Spreads the callers' retries, so that they don't come back as one burst.
RETRY_SPREAD = 0.5


@dataclass(frozen=True, slots=True)
class Admit:
    """Let a job in; `wait_ms` is the expected wait before its last start."""

    wait_ms: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Keep a job out; nothing of it was or will be started."""

    code: FailureCode
    message: str
    retry_after_ms: float = 0.0


AdmissionDecision = Admit | Refuse


@dataclass(frozen=True, slots=True)
class LocalLoad:
    """Describe what waits here; times in slot-milliseconds.

    `slots` are those usable here, `customer_slots` the most the customer may hold of
    them by its quota; `fair_share` its weight over that of all customers that wait;
    `running_ms` what running tasks are expected to need still.
    """

    slots: int
    free_slots: int
    waiting_tasks: int
    backlog_ms: float
    customer_backlog_ms: float
    customer_slots: int
    fair_share: float
    running_ms: float = 0.0


class UpstreamSizes:
    """Keep the sizes of upstreams that no other upstream covers."""

    def __init__(self, upstreams: Iterable[Upstream]) -> None:
        sizes = {(u.cpus, u.memory_mb, u.accelerators) for u in upstreams if u.slots}
        self._largest = [
            size
            for size in sizes
            if not any(size != other and _covers(other, size) for other in sizes)
        ]

    def can_hold(self, spec: TaskSpec) -> bool:
        """Tell whether some upstream, when empty, could run the task."""
        size = (spec.cpus, spec.memory_mb, spec.accelerators)
        return any(_covers(largest, size) for largest in self._largest)


def refuse_oversized(request: JobRequest, sizes: UpstreamSizes) -> Refuse | None:
    """Refuse a job with a task that is larger than every upstream."""
    for spec in _distinct(request.tasks):
        if not sizes.can_hold(spec):
            message = (
                f"no upstream can hold a task of {spec.cpus} cpus, "
                f"{spec.memory_mb} MB and {spec.accelerators} accelerators; "
                "nothing ran; make the task smaller"
            )
            return Refuse(FailureCode.NEVER_FITS, message)
    return None


class AdmissionController:
    """Judge whether a job can meet its contract behind what already waits."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def evaluate(
        self,
        request: JobRequest,
        estimates_ms: Sequence[float],
        customer: Customer,
        load: LocalLoad,
    ) -> AdmissionDecision:
        """Admit a job, or refuse it with the time after which it may fit."""
        if customer.quota_slots <= 0:
            message = "the customer's quota is 0; nothing ran; ask for a quota"
            return Refuse(FailureCode.QUOTA, message)
        wait = expected_wait_ms(estimates_ms, load)
        excess = _excess_ms(request, estimates_ms, customer.contract, load, wait)
        if excess <= 0:
            return Admit(wait)
        message = (
            f"the job would wait about {wait:.0f} ms, {excess:.0f} ms more than its "
            "contract or deadline allows; nothing ran; retry later"
        )
        return Refuse(FailureCode.OVERLOADED, message, self._retry_after(excess))

    def _retry_after(self, excess_ms: float) -> float:
        spread = 1.0 + RETRY_SPREAD * self._rng.random()
        return min(MAX_RETRY_MS, max(MIN_RETRY_MS, excess_ms)) * spread


def expected_wait_ms(estimates_ms: Sequence[float], load: LocalLoad) -> float:
    """Return the expected wait before the last start of a job that comes now."""
    count = len(estimates_ms)
    if not load.waiting_tasks and count <= min(load.free_slots, load.customer_slots):
        return 0.0
    if load.slots <= 0:
        return float("inf")
    # The longest starts first, so the last start waits for all but the shortest.
    work = sum(estimates_ms) - min(estimates_ms)
    # Fair queueing: a customer waits for all that waits or, when others hold most of
    # it, for its own work at its share of the slots; whichever ends first.
    behind_all = (load.running_ms + load.backlog_ms + work) / load.slots
    share = max(1.0, load.slots * load.fair_share)
    behind_own = (
        load.running_ms / load.slots + (load.customer_backlog_ms + work) / share
    )
    quota = (load.customer_backlog_ms + work) / max(1, load.customer_slots)
    return max(min(behind_all, behind_own), quota)


def _excess_ms(
    request: JobRequest,
    estimates_ms: Sequence[float],
    contract: Contract,
    load: LocalLoad,
    wait: float,
) -> float:
    """Return by how much the expected response misses what is allowed."""
    longest = max(estimates_ms)
    shortest = min(estimates_ms)
    # A job wider than all slots here waits for itself, so its bound is stretched by
    # that; else it could never be admitted, not even when nothing else runs.
    own_wait = _own_wait_ms(estimates_ms, load)
    alone = max(longest, own_wait + shortest) + ROUND_TRIP_MS
    response = max(longest, wait + shortest) + ROUND_TRIP_MS
    return max(
        response - contract.tail_over_ideal * alone,
        wait - own_wait - contract.max_wait_ms,
        response - request.deadline_ms,
    )


def _own_wait_ms(estimates_ms: Sequence[float], load: LocalLoad) -> float:
    slots = min(load.slots, load.customer_slots)
    if len(estimates_ms) <= slots:
        return 0.0
    return (sum(estimates_ms) - min(estimates_ms)) / max(1, slots)


def _covers(large: tuple[int, ...], small: tuple[int, ...]) -> bool:
    return all(has >= needs for has, needs in zip(large, small, strict=True))


def _distinct(tasks: Iterable[TaskSpec]) -> Iterable[TaskSpec]:
    return {(t.cpus, t.memory_mb, t.accelerators): t for t in tasks}.values()
