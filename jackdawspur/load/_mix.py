"""Mixes of jobs that callers submit: kinds, sizes and run times."""

import random
from dataclasses import dataclass

import msgspec

__all__ = ["DEPLOYMENT_MIXES", "JobKind", "Mix", "PlannedJob", "plan_job"]

# One in this many tasks takes several seconds, as users report for their jobs.
LONG_TASK_INTERVAL = 400
LONG_TASK_MS = (2000.0, 4000.0)
# Long enough that no deadline hides how long a job waits.
DEADLINE_MS = 20_000.0


@dataclass(frozen=True, slots=True)
class JobKind:
    """One kind of job; `tasks` and `run_ms` are ranges, run times in milliseconds."""

    job_class: str
    weight: float
    tasks: tuple[int, int]
    run_ms: tuple[float, float]
    idempotent: bool = True


@dataclass(frozen=True, slots=True)
class Mix:
    """The kinds of jobs of one customer."""

    customer: str
    kinds: tuple[JobKind, ...]

    def mean_slot_seconds(self) -> float:
        """Return the mean slot time of a job, including long tasks."""
        total = sum(kind.weight for kind in self.kinds)
        return sum(k.weight * _slot_seconds(k) for k in self.kinds) / total


@dataclass(frozen=True, slots=True)
class PlannedJob:
    """A job to submit and the outputs that its answer must have."""

    kind: JobKind
    body: bytes
    outputs: tuple[str, ...]
    ideal_ms: float


DEPLOYMENT_MIXES = {
    "ramdenee": Mix(
        "roster",
        (
            JobKind("confirm-arrival", 5, (1, 4), (50.0, 250.0)),
            JobKind("dispatch-reassign", 2, (4, 16), (100.0, 1000.0), False),
            JobKind("ask-booked", 3, (1, 6), (50.0, 400.0)),
        ),
    ),
    "derinsu": Mix(
        "maps",
        (
            JobKind("fronts", 4, (1, 8), (50.0, 500.0)),
            JobKind("overlay", 1, (12, 36), (100.0, 800.0)),
            JobKind("spot", 4, (1, 2), (50.0, 200.0)),
            JobKind("map-order", 1, (2, 8), (100.0, 1000.0), False),
        ),
    ),
}


@dataclass(frozen=True, slots=True)
class _Payload:
    run_ms: float
    output: str


@dataclass(frozen=True, slots=True)
class _Task:
    payload: str
    run_ms: float


@dataclass(frozen=True, slots=True)
class _Job:
    job_class: str
    tasks: tuple[_Task, ...]
    idempotent: bool
    deadline_ms: float


def plan_job(mix: Mix, number: int, rng: random.Random) -> PlannedJob:
    """Return a random job of a mix; `number` makes its outputs unique."""
    kind = rng.choices(mix.kinds, [k.weight for k in mix.kinds])[0]
    count = rng.randint(*kind.tasks)
    run_times_ms = [_run_ms(kind, rng) for _ in range(count)]
    outputs = tuple(f"{number}/{index}" for index in range(count))
    tasks = tuple(
        _Task(msgspec.json.encode(_Payload(run_ms, output)).decode(), run_ms)
        for run_ms, output in zip(run_times_ms, outputs, strict=True)
    )
    body = msgspec.json.encode(
        _Job(kind.job_class, tasks, kind.idempotent, DEADLINE_MS)
    )
    return PlannedJob(kind, body, outputs, max(run_times_ms))


def _run_ms(kind: JobKind, rng: random.Random) -> float:
    bounds = LONG_TASK_MS if rng.randrange(LONG_TASK_INTERVAL) == 0 else kind.run_ms
    return round(rng.uniform(*bounds), 1)


def _slot_seconds(kind: JobKind) -> float:
    usual_ms = sum(kind.run_ms) / 2
    long_ms = sum(LONG_TASK_MS) / 2
    mean_ms = usual_ms + (long_ms - usual_ms) / LONG_TASK_INTERVAL
    return sum(kind.tasks) / 2 * mean_ms / 1000.0
