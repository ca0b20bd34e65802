"""Jobs drawn as callers send them, and the times that they and their hosts keep."""

import random
from dataclasses import dataclass

from jackdawspur.bench._front_simulation import STATED_WAIT_OBJECTIVES, JobKind
from jackdawspur.bench._simulated_upstream import JobDemand
from jackdawspur.leases import Resources
from jackdawspur.runs import JobRequest, JobStep, Route

__all__ = [
    "ANSWER_RESERVE_S",
    "UPSTREAM_LATENCY_S",
    "HOST_LATENCY_S",
    "LIMIT_S",
    "SLOWDOWN",
    "NETWORK_LATENCY_S",
    "GeneratedJob",
    "generate_job",
]

MS_PER_S = 1000.0
# Callers wait so long; of that their requests and answers are on the way to a host and
# back, and calls to an upstream there and back.
LIMIT_S = 1.548
STRETCH, MARGIN_MS = 1.6, 60.0
CALLER_LATENCY_S = 0.006
UPSTREAM_LATENCY_S = 0.001
NETWORK_LATENCY_S = CALLER_LATENCY_S + 2 * UPSTREAM_LATENCY_S
# What hosts keep of it for the answer.
ANSWER_RESERVE_S = 0.012
# Between hosts, each way.
HOST_LATENCY_S = 0.001
# A third of the upstreams takes so many times as long.
SLOWDOWN = 1.3
# Tasks of one job differ by this share, jobs' declarations from their work as well.
TASKS_SPREAD = 0.15
MIN_TASK_FACTOR = 0.3
ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class GeneratedJob:
    """Keep a job, how long its tasks really take and how long its caller waits."""

    request: JobRequest
    demand: JobDemand
    max_wait_s: float = LIMIT_S

    @property
    def longest_s(self) -> float:
        """Return what its longest task takes at a pace of 1."""
        return max(self.demand.run_times_s.values())

    @property
    def usable_s(self) -> float:
        """Return how much of its caller's wait is not on the way."""
        return self.max_wait_s - NETWORK_LATENCY_S


def generate_job(
    kind: JobKind, job: str, rng: random.Random, states_waits: bool = False
) -> GeneratedJob:
    """Draw one job of a kind."""
    work_s = kind.work_s * rng.lognormvariate(-(kind.spread**2) / 2, kind.spread)
    tasks = max(1, round(rng.gauss(kind.tasks, 0.3 * kind.tasks)))
    cpu = min(round(rng.gauss(14_000, 2000)), 20_000)
    declared_ms = work_s * rng.lognormvariate(0, kind.declared) * MS_PER_S
    step = JobStep(tasks, Resources(cpu, 64, 0), declared_ms)
    timeout_ms = LIMIT_S * MS_PER_S
    margins = (timeout_ms, MARGIN_MS, STRETCH)
    route = Route(kind.name, "h", "/", "service", *margins, 0, ATTEMPTS)
    run_times_s = {
        f"{job}.0.0.{n}": work_s * max(MIN_TASK_FACTOR, rng.gauss(1.0, TASKS_SPREAD))
        for n in range(tasks)
    }
    max_wait_s = LIMIT_S
    if states_waits:
        objective_s = STRETCH * max(run_times_s.values()) + MARGIN_MS / MS_PER_S
        max_wait_s += STATED_WAIT_OBJECTIVES * objective_s
    request = JobRequest(job, "", (step,), route)
    return GeneratedJob(request, JobDemand(run_times_s, step.resources), max_wait_s)
