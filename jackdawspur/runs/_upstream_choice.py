"""Choice of the upstream on which a task starts."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from operator import itemgetter

from jackdawspur.leases import LeasedUpstream, Resources
from jackdawspur.runs._estimates import Estimates
from jackdawspur.runs._job import Job, Task
from jackdawspur.runs._order import Timeliness, objective, timeliness, useful_until

__all__ = [
    "FastUpstreams",
    "choose",
    "fast_upstreams",
    "should_wait_for_fast",
    "is_slow",
    "needs_fast_upstream",
]

# One task in a hundred takes this many times as long as expected: a task that would
# still meet its caller's deadline then is safe. An answer that misses the objective by
# a little costs less, so a smaller factor is enough there.
DEADLINE_SAFETY_FACTOR = 3.0
OBJECTIVE_SAFETY_FACTOR = 1.2
# A job that misses its caller's deadline has run for nothing, and estimates are off by
# half: it uses a slow upstream only if it would be in time even when it took this many
# times as long as expected.
LIMIT_SAFETY_FACTOR = 1.5
# One upstream in this many counts as fast, so that capacity on one of them becomes free
# soon.
FAST_DIVISOR = 4
# Placement is tried again after this time at the latest. A job that would be given up
# at that point starts on a slow upstream instead: estimates are off by half, and it may
# well be shorter.
PLACEMENT_RETRY_S = 0.05
# Slowdowns within this factor count as the same, so that packing decides.
SAME_LOG_SLOWDOWN = 0.15
# This many tasks show a slowdown well enough.
ENOUGH_SAMPLES = 4
# A slow upstream takes about this many times as long as a fast one.
SLOW_FACTOR = 1.3
MS_PER_S = 1000.0


def choose(
    task: Task,
    job: Job,
    upstreams: Sequence[LeasedUpstream],
    estimates: Estimates,
    now: float,
) -> LeasedUpstream | None:
    """Return the best upstream for the task, the fullest among equal ones.

    A task that has time gets the slowest upstream that is safe for it, which leaves the
    fast ones to tasks that would be late elsewhere. Upstreams that were unresponsive
    recently come last: what runs there is lost when they fail again. Filling one
    upstream before the next leaves capacity for large tasks.
    """
    best, best_score = None, None
    max_slowdown = _max_safe_slowdown(task, job, now)
    for upstream in upstreams:
        if not _can_run(task, upstream, estimates, now):
            continue
        flapping = now < upstream.flapping_until
        score = (flapping, *_score(task, upstream, estimates, max_slowdown))
        if best_score is None or score < best_score:
            best, best_score = upstream, score
    return best


@dataclass(frozen=True, slots=True)
class FastUpstreams:
    """Slowdown and capacity that a service's fastest upstreams all reach.

    These are the fastest quarter; `slowdown` is their largest one, `capacity` their
    smallest.
    """

    slowdown: float
    capacity: Resources


def fast_upstreams(
    upstreams: Iterable[LeasedUpstream], estimates: Estimates
) -> dict[str, FastUpstreams]:
    """Return the fast upstreams of each service."""
    by_service: dict[str, list[tuple[float, Resources]]] = {}
    for upstream in upstreams:
        if upstream.responsive and not upstream.entry.draining:
            candidate = (estimates.slowdown(upstream.entry.id), upstream.entry.capacity)
            by_service.setdefault(upstream.entry.service, []).append(candidate)
    return {service: _fastest(candidates) for service, candidates in by_service.items()}


def _fastest(candidates: list[tuple[float, Resources]]) -> FastUpstreams:
    candidates.sort(key=itemgetter(0))
    fast = candidates[: len(candidates) // FAST_DIVISOR + 1]
    capacities = [capacity for _, capacity in fast]
    smallest = Resources(
        min(capacity.cpu_millis for capacity in capacities),
        min(capacity.memory_mb for capacity in capacities),
        min(capacity.accelerators for capacity in capacities),
    )
    return FastUpstreams(fast[-1][0], smallest)


def should_wait_for_fast(
    task: Task, job: Job, slowdown: float, fast: float, now: float
) -> bool:
    """Return whether to leave the best free upstream and wait for a fast one.

    `slowdown` is that of the free upstream.

    At times all capacity of fast upstreams is used, and a long task that then starts on
    a slow one is given up when its progress shows that it will be too late. Capacity of
    a fast one mostly becomes free within milliseconds. The wait ends when the task
    would be too late even on a fast one, and before its job would be refused because of
    the wait.
    """
    if not is_slow(slowdown, fast) or not _fits_any_fast(task, fast):
        return False
    if timeliness(job, now + PLACEMENT_RETRY_S) is Timeliness.HOPELESS:
        return False
    expected_s = job.expected_ms[task.step] / MS_PER_S
    limits = ((objective(job), 1.0), (useful_until(job), LIMIT_SAFETY_FACTOR))
    return any(
        expected_s * fast.slowdown
        <= limit - now
        < expected_s * slowdown * safety_factor
        for limit, safety_factor in limits
    )


def is_slow(slowdown: float, fast: FastUpstreams) -> bool:
    """Return whether tasks take longer at a slowdown than on the fast upstreams."""
    return math.log(slowdown / fast.slowdown) >= SAME_LOG_SLOWDOWN


def needs_fast_upstream(job: Job, fast: FastUpstreams | None, now: float) -> bool:
    """Return whether a job may well be too late on slow upstreams."""
    if fast is None:
        return False
    slow_s = job.remaining_ms() / MS_PER_S * fast.slowdown * SLOW_FACTOR
    return now + slow_s * LIMIT_SAFETY_FACTOR > useful_until(job)


def _fits_any_fast(task: Task, fast: FastUpstreams) -> bool:
    """Return whether a task may run on any of the fast upstreams, equally well."""
    spec = task.spec
    if spec.label or spec.near or spec.most_per_upstream:
        return False
    return spec.resources.fits_in(fast.capacity)


def _can_run(
    task: Task, upstream: LeasedUpstream, estimates: Estimates, now: float
) -> bool:
    spec = task.spec
    if upstream.is_full or not spec.resources.fits_in(upstream.free):
        return False
    entry = upstream.entry
    if entry.id in task.avoid:
        return False
    if spec.label and spec.label not in entry.labels:
        return False
    if (
        spec.most_per_upstream
        and _count_step_tasks(task, upstream) >= spec.most_per_upstream
    ):
        return False
    return estimates.allows(entry.id, now)


def _count_step_tasks(task: Task, upstream: LeasedUpstream) -> int:
    step = task.name.rpartition(".")[0] + "."
    return sum(run.task.startswith(step) for run in upstream.runs)


def _max_safe_slowdown(task: Task, job: Job, now: float) -> float:
    """Return the largest slowdown at which the task should still be on time."""
    expected_s = max(1.0, job.expected_ms[task.step]) / MS_PER_S
    to_objective = (objective(job) - now) / OBJECTIVE_SAFETY_FACTOR
    to_deadline = (job.offer.deadline - now) / DEADLINE_SAFETY_FACTOR
    return min(to_objective, to_deadline) / expected_s


def _score(
    task: Task, upstream: LeasedUpstream, estimates: Estimates, max_slowdown: float
) -> tuple[bool, bool, int, int, int]:
    slowdown = estimates.slowdown(upstream.entry.id)
    samples = min(ENOUGH_SAMPLES, estimates.slowdown_samples(upstream.entry.id))
    remote = bool(task.spec.near) and task.spec.near not in upstream.entry.labels
    left = upstream.free.cpu_millis - task.spec.resources.cpu_millis
    rank = round(math.log(slowdown) / SAME_LOG_SLOWDOWN)
    remote_factor = estimates.remote_factor if remote else 1.0
    safe = slowdown * remote_factor <= max_slowdown
    # Outside the rack that it prefers, a task uses capacity for longer, even if it is
    # safe. A task that is not safe anywhere avoids upstreams with few samples.
    if safe:
        return (False, remote, -rank, 0, left)
    return (True, remote, rank, -samples, left)
