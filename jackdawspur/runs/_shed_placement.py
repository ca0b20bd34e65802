"""Placement of jobs that load shedding does not admit."""

from collections.abc import Sequence

from jackdawspur.leases import LeasedUpstream
from jackdawspur.runs._estimates import Estimates
from jackdawspur.runs._job import Job
from jackdawspur.runs._offered_capacity import fill

__all__ = ["fits_at_once"]


def fits_at_once(
    job: Job, upstreams: Sequence[LeasedUpstream], estimates: Estimates, now: float
) -> bool:
    """Return whether all tasks of a job find free capacity at the same time.

    If only some of them did, the job would count as started, and the others would take
    capacity from admitted jobs.
    """
    steps = job.request.steps
    labels = {step.label for step in steps if step.label}
    memory_mb = max(step.resources.memory_mb for step in steps)
    accelerators = max(step.resources.accelerators for step in steps)
    free_capacities = [
        upstream.free.cpu_millis
        for upstream in upstreams
        if upstream.free.memory_mb >= memory_mb
        and upstream.free.accelerators >= accelerators
        and labels <= set(upstream.entry.labels)
        and estimates.allows(upstream.entry.id, now)
    ]
    return fill(free_capacities, steps) is not None
