"""Where a task starts."""

from jackdawspur.leases import HeldUpstream
from jackdawspur.runs._estimates import Estimates
from jackdawspur.runs._fleet import Fleet
from jackdawspur.runs._job import Job, Task

__all__ = ["choose"]

# A task takes about this much longer away from the rack that it had better be on.
REMOTE_FACTOR = 2.0
# Expected run times within this factor count as the same, so that packing decides.
SAME_PACE = 0.15


def choose(
    task: Task, job: Job, fleet: Fleet, estimates: Estimates, now: float
) -> HeldUpstream | None:
    """Return the upstream that ends the task soonest, the fullest among equals.

    Filling one upstream before the next keeps room for tasks that take much of one.
    """
    best, best_score = None, None
    for held in fleet.with_room(job.request.route.service, now):
        if not _suits(task, job, held, fleet, estimates, now):
            continue
        score = _score(task, held, estimates)
        if best_score is None or score < best_score:
            best, best_score = held, score
    return best


def _suits(
    task: Task,
    job: Job,
    held: HeldUpstream,
    fleet: Fleet,
    estimates: Estimates,
    now: float,
) -> bool:
    spec, entry = task.spec, held.entry
    if not spec.resources.fits_in(held.free) or entry.id in task.avoid:
        return False
    if spec.label and spec.label not in entry.labels:
        return False
    if spec.most_per_upstream and _of_step(task, held) >= spec.most_per_upstream:
        return False
    return estimates.allows(entry.id, now)


def _of_step(task: Task, held: HeldUpstream) -> int:
    step = task.name.rpartition(".")[0] + "."
    return sum(name.startswith(step) for name in held.runs)


def _score(task: Task, held: HeldUpstream, estimates: Estimates) -> tuple[int, int]:
    pace = estimates.slowness(held.entry.id)
    if task.spec.near and task.spec.near not in held.entry.labels:
        pace *= REMOTE_FACTOR
    left = held.free.cpu_millis - task.spec.resources.cpu_millis
    return (int(pace / SAME_PACE), left)
