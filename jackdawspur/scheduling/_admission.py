"""Admission control: refusal of jobs that would miss their contract or never run."""

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
# Maximum jitter of retry delays, as a fraction of the delay, so that refused callers
# don't retry in one burst.
RETRY_JITTER = 0.5


@dataclass(frozen=True, slots=True)
class Admit:
    """The admission of a job; `wait_ms` is the expected wait until its last start."""

    wait_ms: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """The refusal of a job, no task of which was or will be started."""

    code: FailureCode
    message: str
    retry_after_ms: float = 0.0


AdmissionDecision = Admit | Refuse


@dataclass(frozen=True, slots=True)
class LocalLoad:
    """Load of this host as one customer sees it; times in slot-milliseconds.

    `slots` is the number of slots usable here, and `customer_slots` how many of them
    the customer's quota allows it. `fair_share` is the customer's weight divided by
    that of all customers with waiting tasks. `running_ms` is the expected remaining
    time of running tasks.
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
    """The sizes of upstreams, without those that a larger upstream covers."""

    def __init__(self, upstreams: Iterable[Upstream]) -> None:
        sizes = {(u.cpus, u.memory_mb, u.accelerators) for u in upstreams if u.slots}
        self._largest = [
            size
            for size in sizes
            if not any(size != other and _covers(other, size) for other in sizes)
        ]

    def can_hold(self, spec: TaskSpec) -> bool:
        """Return whether any upstream could run the task if it were idle."""
        size = (spec.cpus, spec.memory_mb, spec.accelerators)
        return any(_covers(largest, size) for largest in self._largest)


def refuse_oversized(request: JobRequest, sizes: UpstreamSizes) -> Refuse | None:
    """Return a refusal if a task of the job fits on no upstream, else None."""
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
    """Decides whether a job can meet its contract despite the work already waiting."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def evaluate(
        self,
        request: JobRequest,
        estimates_ms: Sequence[float],
        customer: Customer,
        load: LocalLoad,
    ) -> AdmissionDecision:
        """Admit a job, or refuse it with the time after which to retry."""
        if customer.quota_slots <= 0:
            message = "the customer's quota is 0; nothing ran; ask for a quota"
            return Refuse(FailureCode.QUOTA, message)
        wait_ms = expected_wait_ms(estimates_ms, load)
        excess_ms = _excess_ms(request, estimates_ms, customer.contract, load, wait_ms)
        if excess_ms <= 0:
            return Admit(wait_ms)
        message = (
            f"the job would wait about {wait_ms:.0f} ms, {excess_ms:.0f} ms more than "
            "its contract or deadline allows; nothing ran; retry later"
        )
        return Refuse(FailureCode.OVERLOADED, message, self._retry_after(excess_ms))

    def _retry_after(self, excess_ms: float) -> float:
        jitter_factor = 1.0 + RETRY_JITTER * self._rng.random()
        return min(MAX_RETRY_MS, max(MIN_RETRY_MS, excess_ms)) * jitter_factor


def expected_wait_ms(estimates_ms: Sequence[float], load: LocalLoad) -> float:
    """Return the expected wait until the last start of a job that arrives now."""
    count = len(estimates_ms)
    if not load.waiting_tasks and count <= min(load.free_slots, load.customer_slots):
        return 0.0
    if load.slots <= 0:
        return float("inf")
    # The longest task starts first, so the last start waits for all tasks of the job
    # except the shortest.
    work_ms = sum(estimates_ms) - min(estimates_ms)
    # Fair queueing: the job waits for the whole backlog or, if most of that belongs to
    # other customers, for its customer's own backlog at the customer's share of the
    # slots, whichever is shorter.
    wait_behind_all_ms = (load.running_ms + load.backlog_ms + work_ms) / load.slots
    share_slots = max(1.0, load.slots * load.fair_share)
    wait_behind_customer_ms = (
        load.running_ms / load.slots
        + (load.customer_backlog_ms + work_ms) / share_slots
    )
    quota_wait_ms = (load.customer_backlog_ms + work_ms) / max(1, load.customer_slots)
    return max(min(wait_behind_all_ms, wait_behind_customer_ms), quota_wait_ms)


def _excess_ms(
    request: JobRequest,
    estimates_ms: Sequence[float],
    contract: Contract,
    load: LocalLoad,
    wait_ms: float,
) -> float:
    """Return by how much the expected response exceeds the allowed time."""
    longest = max(estimates_ms)
    shortest = min(estimates_ms)
    # A job with more tasks than slots has to wait for its own tasks. That wait is added
    # to its bounds; otherwise it would never be admitted, not even on an idle host.
    self_wait_ms = _self_wait_ms(estimates_ms, load)
    idle_response_ms = max(longest, self_wait_ms + shortest) + ROUND_TRIP_MS
    response_ms = max(longest, wait_ms + shortest) + ROUND_TRIP_MS
    return max(
        response_ms - contract.tail_over_ideal * idle_response_ms,
        wait_ms - self_wait_ms - contract.max_wait_ms,
        response_ms - request.deadline_ms,
    )


def _self_wait_ms(estimates_ms: Sequence[float], load: LocalLoad) -> float:
    slots = min(load.slots, load.customer_slots)
    if len(estimates_ms) <= slots:
        return 0.0
    return (sum(estimates_ms) - min(estimates_ms)) / max(1, slots)


def _covers(large: tuple[int, ...], small: tuple[int, ...]) -> bool:
    return all(
        available >= needed for available, needed in zip(large, small, strict=True)
    )


def _distinct(tasks: Iterable[TaskSpec]) -> Iterable[TaskSpec]:
    return {(t.cpus, t.memory_mb, t.accelerators): t for t in tasks}.values()
