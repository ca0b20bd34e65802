"""Comparison of orders of waiting tasks in virtual time.

Run ``python -m jackdawspur.scheduling.tests.trial``; results are deterministic.
"""

import heapq
import random
import sys
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from jackdawspur.model import Customer, HostId, JobRequest, SubmissionId, TaskSpec
from jackdawspur.scheduling import (
    AdmissionController,
    Admit,
    JobQueue,
    LocalLoad,
    NextTask,
    QueuedJob,
    RunTimeEstimator,
)

SLOTS = 64
CUSTOMERS = 20
OWNER = HostId("north", "e1", 1)
ROUND_TRIP_S = 0.001
NO_DEADLINE = 1e9
LONG_FRACTION = 0.01
COUNT = 5000
MAX_RATIO = 2.0
MEAN_REMAINING_MS = 200.0
BURST_CUSTOMER = "c9"


@dataclass(frozen=True, slots=True)
class Arrival:
    """The arrival of a job, with the true run times of its tasks in seconds."""

    at: float
    customer: str
    job_class: str
    run_times_s: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Ended:
    """An ended job, with its response time divided by the ideal one."""

    arrival: Arrival
    ratio: float


class KeyedQueue:
    """A baseline that orders whole jobs by a key.

    With `together` a job starts only when there are free slots for all its tasks.
    """

    def __init__(self, key: Callable[[QueuedJob], float], together: bool = False):
        self._key = key
        self._together = together
        self._heap: list[tuple[float, int, QueuedJob, list[int]]] = []
        self.free = SLOTS

    def add(self, job: QueuedJob) -> None:
        remaining = sorted(range(len(job.tasks)), key=job.estimates_ms.__getitem__)
        entry = (self._key(job), job.submission.sequence, job, remaining)
        heapq.heappush(self._heap, entry)

    def next_task(self, now: float, fits: Callable[[TaskSpec], bool]):
        if not self._heap:
            return None
        _, _, job, remaining = self._heap[0]
        unstarted = len(remaining) == len(job.tasks)
        if self._together and unstarted and len(remaining) > self.free:
            return None
        index = remaining.pop()
        if not remaining:
            heapq.heappop(self._heap)
        self.free -= 1
        return NextTask(job, index)

    def task_ended(self, job: QueuedJob, index: int, run_ms: float) -> None:
        self.free += 1


def _latest_start(job: QueuedJob) -> float:
    return job.due - max(job.estimates_ms) / 1000.0


ORDERS: dict[str, Callable[[], JobQueue | KeyedQueue]] = {
    "first in, first out": lambda: KeyedQueue(lambda job: job.arrived),
    "first in, all together": lambda: KeyedQueue(lambda job: job.arrived, True),
    "least work first": lambda: KeyedQueue(lambda job: sum(job.estimates_ms)),
    "latest start first": lambda: KeyedQueue(_latest_start),
    "chosen, without fairness": lambda: JobQueue(service_penalty=0.0),
    "strict fair queueing": lambda: JobQueue(service_penalty=1000.0),
    "chosen": JobQueue,
}


def arrivals(rng: random.Random, load: float, count: int) -> list[Arrival]:
    """Generate jobs of 1 to 24 tasks of 50 ms to 1 s, one in a hundred 2 to 6 s."""
    bases = [50.0 * 14.0 ** rng.random() for _ in range(CUSTOMERS * 3)]
    weights = [1.0 / (rank + 1) ** 0.5 for rank in range(CUSTOMERS)]
    jobs = []
    for _ in range(count):
        customer = rng.choices(range(CUSTOMERS), weights)[0]
        job_class = rng.randrange(3)
        base = bases[customer * 3 + job_class] / 1000.0
        run_times_s = tuple(_generate_run(rng, base) for _ in range(rng.randint(1, 24)))
        jobs.append(Arrival(0.0, f"c{customer}", f"k{job_class}", run_times_s))
    work = sum(sum(job.run_times_s) for job in jobs)
    span = work / SLOTS / load
    times = sorted(rng.uniform(0.0, span) for _ in jobs)
    return [
        Arrival(at, job.customer, job.job_class, job.run_times_s)
        for at, job in zip(times, jobs, strict=True)
    ]


def _generate_run(rng: random.Random, base: float) -> float:
    if rng.random() < LONG_FRACTION:
        return rng.uniform(2.0, 6.0)
    return base * rng.uniform(0.7, 1.4)


def declare(rng: random.Random, run: float) -> TaskSpec:
    """Return a task whose declared run time is often very inaccurate."""
    return TaskSpec(run_ms=run * 1000.0 * rng.lognormvariate(0.0, 0.7))


def run(
    queue: JobQueue | KeyedQueue,
    jobs: Iterable[Arrival],
    rng: random.Random,
    admission: AdmissionController | None = None,
) -> list[Ended]:
    """Run jobs on `SLOTS` equal slots and return the admitted ones."""
    pending = list(jobs)[::-1]
    estimator = RunTimeEstimator()
    ends: list[tuple[float, int, NextTask]] = []
    remaining: dict[int, int] = {}
    arrived: dict[int, Arrival] = {}
    ended: list[Ended] = []
    free, now, sequence = SLOTS, 0.0, 0
    while pending or ends:
        if pending and (not ends or pending[-1].at <= ends[0][0]):
            job = pending.pop()
            now, sequence = job.at, sequence + 1
            queued = _to_queued_job(sequence, job, estimator, rng)
            if admission and not _is_admitted(admission, queue, queued, free):
                continue
            arrived[sequence], remaining[sequence] = job, len(job.run_times_s)
            queue.add(queued)
        else:
            now, _, task = heapq.heappop(ends)
            free += 1
            number = task.job.submission.sequence
            arrival = arrived[number]
            run_ms = arrival.run_times_s[task.index] * 1000.0
            queue.task_ended(task.job, task.index, run_ms)
            estimator.observe(arrival.customer, arrival.job_class, task.spec, run_ms)
            remaining[number] -= 1
            if not remaining[number]:
                ended.append(Ended(arrival, _ratio(arrival, now)))
        while free and (task := queue.next_task(now, lambda spec: True)):
            free -= 1
            number = task.job.submission.sequence
            entry = (now + arrived[number].run_times_s[task.index], len(ended), task)
            heapq.heappush(ends, _Entry(entry))
    return ended


def _ratio(arrival: Arrival, now: float) -> float:
    ideal = max(arrival.run_times_s) + ROUND_TRIP_S
    return (now - arrival.at + ROUND_TRIP_S) / ideal


def _is_admitted(
    admission: AdmissionController, queue: JobQueue, job: QueuedJob, free: int
) -> bool:
    customer_name = job.customer
    request = JobRequest(customer_name, "", job.tasks, NO_DEADLINE)
    weight = queue.weight(customer_name)
    others_weight = queue.active_weight() - (
        weight if queue.waiting(customer_name) else 0.0
    )
    load = LocalLoad(
        SLOTS,
        free,
        queue.waiting(),
        queue.backlog_ms(),
        queue.backlog_ms(customer_name),
        SLOTS,
        weight / (weight + others_weight),
        (SLOTS - free) * MEAN_REMAINING_MS,
    )
    customer = Customer(customer_name, SLOTS)
    return isinstance(
        admission.evaluate(request, job.estimates_ms, customer, load), Admit
    )


class _Entry(tuple):
    """An end of a task, ordered by its time only."""

    __slots__ = ()

    def __new__(cls, entry):
        return super().__new__(cls, entry)

    def __lt__(self, other):
        return self[0] < other[0]


def _to_queued_job(
    sequence: int, job: Arrival, estimator: RunTimeEstimator, rng: random.Random
) -> QueuedJob:
    tasks = tuple(declare(rng, run) for run in job.run_times_s)
    estimates = estimator.estimates_ms(job.customer, job.job_class, tasks)
    submission = SubmissionId(OWNER, sequence)
    return QueuedJob(submission, job.customer, tasks, estimates, job.at, NO_DEADLINE)


def quantile(values: Iterable[float], fraction: float) -> float:
    """Return the value below which the given fraction of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def with_burst(
    jobs: list[Arrival], rng: random.Random, count: int = 200
) -> list[Arrival]:
    """Add a burst of 20 additional jobs per second by one customer."""
    start = jobs[len(jobs) // 4].at
    extra = [
        Arrival(start + index / 20.0, BURST_CUSTOMER, "k0", job.run_times_s)
        for index, job in enumerate(rng.sample(jobs, count))
    ]
    return sorted(jobs + extra, key=lambda job: job.at)


def report(name: str, ended: list[Ended], offered: int) -> None:
    """Print one line of results."""
    ratios = [end.ratio for end in ended]
    quantiles = [quantile(ratios, fraction) for fraction in (0.5, 0.99, 0.999)]
    line = " ".join(f"{value:8.2f}" for value in quantiles)
    late = sum(ratio > MAX_RATIO for ratio in ratios) / len(ratios)
    refused_fraction = 1.0 - len(ended) / offered
    sys.stdout.write(
        f"{name:36} {line} over 2: {late:.4f} out: {refused_fraction:.4f}\n"
    )


def main() -> None:
    """Print p50, p99, p99.9, the fraction over the bound and the fraction refused."""
    for load in (0.7, 0.9):
        jobs = arrivals(random.Random(7), load, COUNT)
        for name, make_queue in ORDERS.items():
            ended = run(make_queue(), jobs, random.Random(8))
            report(f"{load:.0%} {name}", ended, len(jobs))
        ended = run(
            JobQueue(), jobs, random.Random(8), AdmissionController(random.Random(9))
        )
        report(f"{load:.0%} chosen, with admission", ended, len(jobs))
    jobs = with_burst(arrivals(random.Random(7), 0.7, COUNT), random.Random(9))
    for name, make_queue in ORDERS.items():
        ended = run(make_queue(), jobs, random.Random(8))
        ended = [end for end in ended if end.arrival.customer != BURST_CUSTOMER]
        report(f"70% and burst, others: {name}", ended, len(ended))


if __name__ == "__main__":
    main()
