"""Where a task starts."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from operator import itemgetter

from jackdawspur.leases import LeasedUpstream, Resources
from jackdawspur.runs._estimates import Estimates
from jackdawspur.runs._job import Job, Task
from jackdawspur.runs._order import Standing, objective, standing, useful_until

__all__ = [
    "FastUpstreams",
    "choose",
    "fast_upstreams",
    "should_wait_for_fast",
    "is_slow",
    "needs_fast_upstream",
]

# A task takes about this much longer away from the rack that it had better be on.
REMOTE_FACTOR = 2.0
# Tasks take up to this many times as long as expected, one in a hundred: one that would
# still end within its caller's time then is safe. Being late by a little costs less, so
# for the objective a smaller factor does.
DEADLINE_SAFETY_FACTOR = 3.0
OBJECTIVE_SAFETY_FACTOR = 1.2
# A job that misses its caller's time has run in vain, and estimates are off by half: it
# takes slow room only if it would be in time though it took this much longer.
LIMIT_SAFETY_FACTOR = 1.5
# One upstream in this many is fast: so many that room on one of them comes free soon.
FAST_DIVISOR = 4
# Room is looked for anew after this, at the latest. A job that would be given up by
# then takes what there is: estimates are off by half, and it may well be shorter.
PLACEMENT_RETRY_S = 0.05
# Paces within this factor count as the same, so that packing decides.
SAME_LOG_SLOWDOWN = 0.15
# So many tasks tell a pace well enough.
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
    """Return the upstream that suits the task best, the fullest among equals.

    A task that has time takes the slowest upstream that is safe for it, which leaves
    the fast ones to tasks that would be late elsewhere. Upstreams that were silent just
    now come last: what runs there is lost when they go down again. Filling one upstream
    before the next keeps room for tasks that take much of one.
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
    """Say what the fastest quarter of a service's upstreams have at least each."""

    slowdown: float
    capacity: Resources


def fast_upstreams(
    upstreams: Iterable[LeasedUpstream], estimates: Estimates
) -> dict[str, FastUpstreams]:
    """Return the fast upstreams of each service."""
    by_service: dict[str, list[tuple[float, Resources]]] = {}
    for upstream in upstreams:
        if upstream.responsive and not upstream.entry.draining:
            entry = (estimates.slowdown(upstream.entry.id), upstream.entry.capacity)
            by_service.setdefault(upstream.entry.service, []).append(entry)
    return {service: _fastest(known) for service, known in by_service.items()}


def _fastest(known: list[tuple[float, Resources]]) -> FastUpstreams:
    known.sort(key=itemgetter(0))
    fast = known[: len(known) // FAST_DIVISOR + 1]
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
    """Tell whether to leave the best room there is, and wait for a fast upstream's.

    `slowdown` is that of the upstream with the room.

    All room of fast upstreams is taken at times, and a long task that starts on a slow
    one then is given up when its progress shows that it will be too late. Room on a
    fast one mostly comes free within milliseconds. Waiting ends when the task would no
    longer be in time there either, and before its job would be refused for the wait.
    """
    if not is_slow(slowdown, fast) or not _fits_any_fast(task, fast):
        return False
    if standing(job, now + PLACEMENT_RETRY_S) is Standing.HOPELESS:
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
    """Tell whether tasks take longer at a pace than on the fast upstreams."""
    return math.log(slowdown / fast.slowdown) >= SAME_LOG_SLOWDOWN


def needs_fast_upstream(job: Job, fast: FastUpstreams | None, now: float) -> bool:
    """Tell whether a job may well be too late on slow upstreams."""
    if fast is None:
        return False
    slow_s = job.left_ms() / MS_PER_S * fast.slowdown * SLOW_FACTOR
    return now + slow_s * LIMIT_SAFETY_FACTOR > useful_until(job)


def _fits_any_fast(task: Task, fast: FastUpstreams) -> bool:
    """Tell whether a task may run on any of the fast upstreams, equally well."""
    spec = task.spec
    if spec.label or spec.near or spec.most_per_upstream:
        return False
    return spec.resources.fits_in(fast.capacity)


def _can_run(
    task: Task, upstream: LeasedUpstream, estimates: Estimates, now: float
) -> bool:
    spec = task.spec
    if not spec.resources.fits_in(upstream.free):
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
    """Return the slowest pace at which the task should still be on time."""
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
    safe = slowdown * (REMOTE_FACTOR if remote else 1.0) <= max_slowdown
    # Away from its data a task takes room for longer, also when it has the time. A task
    # that has none keeps off upstreams of which little is known.
    if safe:
        return (False, remote, -rank, 0, left)
    return (True, remote, rank, -samples, left)
