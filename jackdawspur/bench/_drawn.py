"""Jobs drawn as callers send them, and the times that they and their hosts keep."""

import random
from dataclasses import dataclass

from jackdawspur.bench._front_simulation import STATED_OBJECTIVES, JobKind
from jackdawspur.bench._simulated_upstream import JobDemand
from jackdawspur.leases import Resources
from jackdawspur.runs import JobRequest, JobStep, Route

__all__ = [
    "ANSWER_S",
    "CALL_S",
    "HOP_S",
    "LIMIT_S",
    "SLOWER",
    "WAY_S",
    "DrawnJob",
    "draw",
]

MS_PER_S = 1000.0
# Callers wait so long; of that their requests and answers are on the way to a host and
# back, and calls to an upstream there and back.
LIMIT_S = 1.548
STRETCH, MARGIN_MS = 1.6, 60.0
CALLER_WAY_S = 0.006
CALL_S = 0.001
WAY_S = CALLER_WAY_S + 2 * CALL_S
# What hosts keep of it for the answer.
ANSWER_S = 0.012
# Between hosts, each way.
HOP_S = 0.001
# A third of the upstreams takes so many times as long.
SLOWER = 1.3
# Tasks of one job differ by this share, jobs' declarations from their work as well.
TASKS_SPREAD = 0.15
LEAST_TASK = 0.3
ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class DrawnJob:
    """Keep a job, how long its tasks really take and how long its caller waits."""

    request: JobRequest
    work: JobDemand
    waits_s: float = LIMIT_S

    @property
    def longest_s(self) -> float:
        """Return what its longest task takes at a pace of 1."""
        return max(self.work.run_times_s.values())

    @property
    def usable_s(self) -> float:
        """Return how much of its caller's wait is not on the way."""
        return self.waits_s - WAY_S


def draw(
    kind: JobKind, job: str, rng: random.Random, states_waits: bool = False
) -> DrawnJob:
    """Draw one job of a kind."""
    work_s = kind.work_s * rng.lognormvariate(-(kind.spread**2) / 2, kind.spread)
    tasks = max(1, round(rng.gauss(kind.tasks, 0.3 * kind.tasks)))
    cpu = min(round(rng.gauss(14_000, 2000)), 20_000)
    declared_ms = work_s * rng.lognormvariate(0, kind.declared) * MS_PER_S
    step = JobStep(tasks, Resources(cpu, 64, 0), declared_ms)
    timeout_ms = LIMIT_S * MS_PER_S
    margins = (timeout_ms, MARGIN_MS, STRETCH)
    route = Route(kind.name, "h", "/", "service", *margins, 0, ATTEMPTS)
    seconds = {
        f"{job}.0.0.{n}": work_s * max(LEAST_TASK, rng.gauss(1.0, TASKS_SPREAD))
        for n in range(tasks)
    }
    waits_s = LIMIT_S
    if states_waits:
        objective_s = STRETCH * max(seconds.values()) + MARGIN_MS / MS_PER_S
        waits_s += STATED_OBJECTIVES * objective_s
    request = JobRequest(job, "", (step,), route)
    return DrawnJob(request, JobDemand(seconds, step.resources), waits_s)
