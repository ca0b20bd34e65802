"""Randomly generated jobs, the same for every policy with the same seed."""

import math
import random
from dataclasses import dataclass

from jackdawspur.bench._deployment import CUSTOMER_NAMES, DeploymentSpec, RequestKind
from jackdawspur.model import JobRequest, TaskSpec

__all__ = [
    "BURST_LENGTH_S",
    "BURST_START_S",
    "Job",
    "Payload",
    "Workload",
    "generate_jobs",
    "expected_output",
    "jobs_per_second",
]

# Share of jobs, and their minimum and maximum number of tasks.
SIZE_MIX = ((0.30, 1, 1), (0.50, 2, 8), (0.198, 9, 40), (0.002, 41, 360))
LONG_TASK_SHARE = 0.005
LONG_TASK_MS = (2000.0, 5000.0)
DECLARED_ERROR = 0.25
DEADLINE_MS = 30_000.0
BURST_PERIOD_S = 20.0
BURST_START_S = 6.0
BURST_LENGTH_S = 1.0


@dataclass(frozen=True, slots=True)
class Payload:
    """The payload of a task: its request, its index and its true run time in ms."""

    run_ms: float
    job: int
    index: int

    def __str__(self) -> str:
        return f"{self.run_ms!r} {self.job} {self.index}"

    @classmethod
    def parse(cls, text: str) -> "Payload":
        """Parse the text that ``str`` returns for a payload."""
        run_ms, job, index = text.split()
        return cls(float(run_ms), int(job), int(index))


@dataclass(frozen=True, slots=True)
class Job:
    """One arriving job; `balance` in [0, 1) selects the host that receives it."""

    number: int
    at: float
    request: JobRequest
    longest_ms: float
    balance: float


@dataclass(frozen=True, slots=True)
class Workload:
    """The load, its bursts, and the errors of declared run times.

    `burst_factor` multiplies the arrival rate during bursts. Declared run times are
    too long or too short by `declared_error_factor`.
    """

    load: float = 0.7
    seconds: float = 60.0
    burst_factor: float = 1.0
    declared_error_factor: float = 1.0
    deadline_ms: float = DEADLINE_MS


def expected_output(payload: str) -> str:
    """Return the output of an upstream for a payload."""
    return f"done {payload}"


def jobs_per_second(deployment: DeploymentSpec, load: float) -> float:
    """Return the arrival rate at which jobs use the fraction `load` of all slots."""
    tasks = sum(share * (low + high) / 2 for share, low, high in SIZE_MIX)
    usual_ms = sum(kind.share * _mean_ms(kind) for kind in deployment.kinds)
    long_ms = sum(LONG_TASK_MS) / 2
    task_ms = (1 - LONG_TASK_SHARE) * usual_ms + LONG_TASK_SHARE * long_ms
    return load * deployment.total_slots / (tasks * task_ms / 1000)


def generate_jobs(
    deployment: DeploymentSpec, workload: Workload, seed: int
) -> list[Job]:
    """Generate the Poisson arrivals of a run, in order of time."""
    rng = random.Random(f"jobs {seed}")
    rate = jobs_per_second(deployment, workload.load)
    jobs: list[Job] = []
    now = 0.0
    while True:
        since_burst_start_s = now % BURST_PERIOD_S - BURST_START_S
        factor = (
            workload.burst_factor if 0 <= since_burst_start_s < BURST_LENGTH_S else 1.0
        )
        now += rng.expovariate(rate * factor)
        if now >= workload.seconds:
            return jobs
        jobs.append(_generate_job(len(jobs), now, deployment, workload, rng))


# The mean of a log-uniform distribution between the two bounds.
def _mean_ms(kind: RequestKind) -> float:
    width = kind.max_ms - kind.min_ms
    return width / math.log(kind.max_ms / kind.min_ms)


def _generate_job(
    number: int,
    now: float,
    deployment: DeploymentSpec,
    workload: Workload,
    rng: random.Random,
) -> Job:
    kind = rng.choices(deployment.kinds, [kind.share for kind in deployment.kinds])[0]
    _, low, high = rng.choices(SIZE_MIX, [size[0] for size in SIZE_MIX])[0]
    times = [_generate_ms(kind, rng) for _ in range(rng.randint(low, high))]
    request = JobRequest(
        customer=rng.choice(CUSTOMER_NAMES),
        job_class=kind.name,
        tasks=tuple(
            TaskSpec(
                str(Payload(run_ms, number, index)), _declared_ms(run_ms, workload, rng)
            )
            for index, run_ms in enumerate(times)
        ),
        deadline_ms=workload.deadline_ms,
        idempotent=kind.idempotent,
        key=None if kind.idempotent else f"key-{number}",
    )
    return Job(number, now, request, max(times), rng.random())


def _generate_ms(kind: RequestKind, rng: random.Random) -> float:
    if rng.random() < LONG_TASK_SHARE:
        return round(rng.uniform(*LONG_TASK_MS), 3)
    low, high = math.log(kind.min_ms), math.log(kind.max_ms)
    return round(math.exp(rng.uniform(low, high)), 3)


def _declared_ms(run_ms: float, workload: Workload, rng: random.Random) -> float:
    error = rng.uniform(1 - DECLARED_ERROR, 1 + DECLARED_ERROR)
    if workload.declared_error_factor != 1.0:
        error *= rng.choice(
            (workload.declared_error_factor, 1 / workload.declared_error_factor)
        )
    return round(run_ms * error, 3)
