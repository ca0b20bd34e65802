"""Work per second that upstreams can do for waiting jobs."""

from collections.abc import Callable, Iterable, Mapping
from statistics import fmean

from jackdawspur.model import UpstreamId
from jackdawspur.runs._job import Job

__all__ = ["usable_capacity"]

# On a full upstream this fraction of an average task's resources is left over, too
# little for another task.
LEFTOVER_FRACTION = 0.3


def usable_capacity(
    capacities: Mapping[UpstreamId, int],
    new_jobs: Iterable[Job],
    slowdown: Callable[[UpstreamId], float],
) -> float:
    """Return the work per second that upstreams can do for new jobs.

    `capacities` are in thousandths of a core; the result is what the upstreams would do
    at a slowdown of 1.
    """
    sizes = [
        step.resources.cpu_millis for job in new_jobs for step in job.request.steps
    ]
    leftover = LEFTOVER_FRACTION * fmean(sizes) if sizes else 0.0
    return sum(
        max(0.0, cpu_millis - leftover) / slowdown(upstream)
        for upstream, cpu_millis in capacities.items()
    )
