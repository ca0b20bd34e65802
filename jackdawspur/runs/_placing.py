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
    "FastRoom",
    "choose",
    "fast_room",
    "had_better_wait",
    "is_slow",
    "needs_fast_room",
]

# A task takes about this much longer away from the rack that it had better be on.
REMOTE_FACTOR = 2.0
# Tasks take up to this many times as long as expected, one in a hundred: one that would
# still end within its caller's time then is safe. Being late by a little costs less, so
# for the objective a smaller factor does.
DOUBT_OF_DEADLINE = 3.0
DOUBT_OF_OBJECTIVE = 1.2
# A job that misses its caller's time has run in vain, and estimates are off by half: it
# takes slow room only if it would be in time though it took this much longer.
DOUBT_OF_LIMIT = 1.5
# One upstream in this many is fast: so many that room on one of them comes free soon.
FAST_PART = 4
# Room is looked for anew after this, at the latest. A job that would be given up by
# then takes what there is: estimates are off by half, and it may well be shorter.
NEXT_CHANCE_S = 0.05
# Paces within this factor count as the same, so that packing decides.
SAME_PACE = 0.15
# So many tasks tell a pace well enough.
SEEN_ENOUGH = 4
# A slow upstream takes about this many times as long as a fast one.
SLOW_PACE = 1.3
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
    most_pace = _safe_pace(task, job, now)
    for held in upstreams:
        if not _suits(task, held, estimates, now):
            continue
        shaky = now < held.flapping_until
        score = (shaky, *_score(task, held, estimates, most_pace))
        if best_score is None or score < best_score:
            best, best_score = held, score
    return best


@dataclass(frozen=True, slots=True)
class FastRoom:
    """Say what the fastest quarter of a service's upstreams have at least each."""

    pace: float
    capacity: Resources


def fast_room(
    upstreams: Iterable[LeasedUpstream], estimates: Estimates
) -> dict[str, FastRoom]:
    """Return the fast upstreams of each service."""
    paces: dict[str, list[tuple[float, Resources]]] = {}
    for held in upstreams:
        if held.responsive and not held.entry.draining:
            one = (estimates.slowdown(held.entry.id), held.entry.capacity)
            paces.setdefault(held.entry.service, []).append(one)
    return {service: _fastest(known) for service, known in paces.items()}


def _fastest(known: list[tuple[float, Resources]]) -> FastRoom:
    known.sort(key=itemgetter(0))
    fast = known[: len(known) // FAST_PART + 1]
    capacities = [capacity for _, capacity in fast]
    least = Resources(
        min(one.cpu_millis for one in capacities),
        min(one.memory_mb for one in capacities),
        min(one.accelerators for one in capacities),
    )
    return FastRoom(fast[-1][0], least)


def had_better_wait(task: Task, job: Job, pace: float, fast: float, now: float) -> bool:
    """Tell whether to leave the best room there is, and wait for a fast upstream's.

    `pace` is that of the upstream with the room.

    All room of fast upstreams is taken at times, and a long task that starts on a slow
    one then is given up when its progress shows that it will be too late. Room on a
    fast one mostly comes free within milliseconds. Waiting ends when the task would no
    longer be in time there either, and before its job would be refused for the wait.
    """
    if not is_slow(pace, fast) or not _takes_any(task, fast):
        return False
    if standing(job, now + NEXT_CHANCE_S) is Standing.HOPELESS:
        return False
    expected_s = job.expected_ms[task.step] / MS_PER_S
    limits = ((objective(job), 1.0), (useful_until(job), DOUBT_OF_LIMIT))
    return any(
        expected_s * fast.pace <= limit - now < expected_s * pace * doubt
        for limit, doubt in limits
    )


def is_slow(pace: float, fast: FastRoom) -> bool:
    """Tell whether tasks take longer at a pace than on the fast upstreams."""
    return math.log(pace / fast.pace) >= SAME_PACE


def needs_fast_room(job: Job, fast: FastRoom | None, now: float) -> bool:
    """Tell whether a job may well be too late on slow upstreams."""
    if fast is None:
        return False
    slow_s = job.left_ms() / MS_PER_S * fast.pace * SLOW_PACE
    return now + slow_s * DOUBT_OF_LIMIT > useful_until(job)


def _takes_any(task: Task, fast: FastRoom) -> bool:
    """Tell whether a task may run on any of the fast upstreams, equally well."""
    spec = task.spec
    if spec.label or spec.near or spec.most_per_upstream:
        return False
    return spec.resources.fits_in(fast.capacity)


def _suits(task: Task, held: LeasedUpstream, estimates: Estimates, now: float) -> bool:
    spec = task.spec
    if not spec.resources.fits_in(held.free):
        return False
    entry = held.entry
    if entry.id in task.avoid:
        return False
    if spec.label and spec.label not in entry.labels:
        return False
    if spec.most_per_upstream and _of_step(task, held) >= spec.most_per_upstream:
        return False
    return estimates.allows(entry.id, now)


def _of_step(task: Task, held: LeasedUpstream) -> int:
    step = task.name.rpartition(".")[0] + "."
    return sum(run.task.startswith(step) for run in held.runs)


def _safe_pace(task: Task, job: Job, now: float) -> float:
    """Return the slowest pace at which the task should still be on time."""
    expected_s = max(1.0, job.expected_ms[task.step]) / MS_PER_S
    to_objective = (objective(job) - now) / DOUBT_OF_OBJECTIVE
    to_deadline = (job.offer.deadline - now) / DOUBT_OF_DEADLINE
    return min(to_objective, to_deadline) / expected_s


def _score(
    task: Task, held: LeasedUpstream, estimates: Estimates, most_pace: float
) -> tuple[bool, bool, int, int, int]:
    pace = estimates.slowdown(held.entry.id)
    seen = min(SEEN_ENOUGH, estimates.pace_seen(held.entry.id))
    remote = bool(task.spec.near) and task.spec.near not in held.entry.labels
    left = held.free.cpu_millis - task.spec.resources.cpu_millis
    rank = round(math.log(pace) / SAME_PACE)
    safe = pace * (REMOTE_FACTOR if remote else 1.0) <= most_pace
    # Away from its data a task takes room for longer, also when it has the time. A task
    # that has none keeps off upstreams of which little is known.
    if safe:
        return (False, remote, -rank, 0, left)
    return (True, remote, rank, -seen, left)
