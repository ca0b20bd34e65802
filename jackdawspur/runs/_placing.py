"""Where a task starts."""

import math
from collections.abc import Sequence

from jackdawspur.leases import HeldUpstream
from jackdawspur.runs._estimates import Estimates
from jackdawspur.runs._job import Job, Task
from jackdawspur.runs._order import objective

__all__ = ["choose"]

# A task takes about this much longer away from the rack that it had better be on.
REMOTE_FACTOR = 2.0
# Tasks take up to this many times as long as expected, one in a hundred: one that would
# still end within its caller's time then is safe. Being late by a little costs less, so
# for the objective a smaller factor does.
DOUBT_OF_DEADLINE = 3.0
DOUBT_OF_OBJECTIVE = 1.2
# Paces within this factor count as the same, so that packing decides.
SAME_PACE = 0.15
MS_PER_S = 1000.0


def choose(
    task: Task,
    job: Job,
    upstreams: Sequence[HeldUpstream],
    estimates: Estimates,
    now: float,
) -> HeldUpstream | None:
    """Return the upstream that suits the task best, the fullest among equals.

    A task that has time takes the slowest upstream that is safe for it, which leaves
    the fast ones to tasks that would be late elsewhere. Filling one upstream before
    the next keeps room for tasks that take much of one.
    """
    best, best_score = None, None
    most_pace = _safe_pace(task, job, now)
    for held in upstreams:
        if not _suits(task, held, estimates, now):
            continue
        score = _score(task, held, estimates, most_pace)
        if best_score is None or score < best_score:
            best, best_score = held, score
    return best


def _suits(task: Task, held: HeldUpstream, estimates: Estimates, now: float) -> bool:
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


def _of_step(task: Task, held: HeldUpstream) -> int:
    step = task.name.rpartition(".")[0] + "."
    return sum(run.task.startswith(step) for run in held.runs)


def _safe_pace(task: Task, job: Job, now: float) -> float:
    """Return the slowest pace at which the task should still be on time."""
    expected_s = max(1.0, job.expected_ms[task.step]) / MS_PER_S
    to_objective = (objective(job) - now) / DOUBT_OF_OBJECTIVE
    to_deadline = (job.offer.deadline - now) / DOUBT_OF_DEADLINE
    return min(to_objective, to_deadline) / expected_s


def _score(
    task: Task, held: HeldUpstream, estimates: Estimates, most_pace: float
) -> tuple[bool, bool, int, int]:
    pace = estimates.pace(held.entry.id)
    remote = bool(task.spec.near) and task.spec.near not in held.entry.labels
    left = held.free.cpu_millis - task.spec.resources.cpu_millis
    rank = round(math.log(pace) / SAME_PACE)
    safe = pace * (REMOTE_FACTOR if remote else 1.0) <= most_pace
    # Away from its data a task takes room for longer, also when it has the time.
    return (not safe, remote, -rank if safe else rank, left)
