"""Memory of the core logic's state in bytes, measured with ``tracemalloc``."""

import gc
import tracemalloc
from collections.abc import Callable, Iterator

from jackdawspur.metrics import HistogramKey, Histograms
from jackdawspur.model import SubmissionId
from jackdawspur.ownership import IdempotencyKeyTable
from jackdawspur.slopes._fit import Slope, fit
from jackdawspur.slopes._host import DrivenHost, Sizes, make_host_id
from jackdawspur.slopes._mesh import Mesh

__all__ = ["memory_slopes"]

TASKS_PER_JOB = 24
SLOTS_PER_UPSTREAM = 8
ONE_REPEAT = 1


def memory_slopes() -> Iterator[Slope]:
    """Yield the memory per item of each kind of state."""
    yield fit(
        "memory",
        "B",
        "waiting task (jobs of 24)",
        (240, 2400),
        _waiting_task_bytes,
        ONE_REPEAT,
    )
    yield fit(
        "memory",
        "B",
        "task in flight (jobs of 24)",
        (240, 1200),
        _in_flight_task_bytes,
        ONE_REPEAT,
    )
    yield fit(
        "memory",
        "B",
        "retained answer (job of one task)",
        (100, 600),
        _answer_bytes,
        ONE_REPEAT,
    )
    yield fit("memory", "B", "claim", (1000, 10_000), _claim_bytes, ONE_REPEAT)
    yield fit("memory", "B", "customer", (1, 140), _customer_bytes, ONE_REPEAT)
    yield fit(
        "memory", "B", "upstream of the zone", (8, 217), _upstream_bytes, ONE_REPEAT
    )
    yield fit("memory", "B", "entry host heard", (6, 108), _host_bytes, ONE_REPEAT)
    yield fit("memory", "B", "histogram", (1, 140), _histogram_bytes, ONE_REPEAT)


def _allocated_bytes(make: Callable[[], object]) -> float:
    """Return the bytes allocated by the object that `make` returns."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    retained = make()
    gc.collect()
    allocated = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del retained
    return float(allocated)


def _growth_bytes(host: DrivenHost, grow: Callable[[], object]) -> float:
    host.run_job(1)
    return _allocated_bytes(grow)


def _waiting_task_bytes(tasks: int) -> float:
    host = DrivenHost(Sizes(upstreams=3))
    host.run_job(1)
    starts = host.accept(host.submit(TASKS_PER_JOB))

    def grow() -> object:
        for _ in range(tasks // TASKS_PER_JOB):
            host.submit(TASKS_PER_JOB)
        return starts

    return _allocated_bytes(grow)


def _in_flight_task_bytes(tasks: int) -> float:
    host = DrivenHost(Sizes(upstreams=tasks // SLOTS_PER_UPSTREAM + 3))

    def grow() -> object:
        return [
            host.accept(host.submit(TASKS_PER_JOB))
            for _ in range(tasks // TASKS_PER_JOB)
        ] and None

    return _growth_bytes(host, grow)


def _answer_bytes(jobs: int) -> float:
    host = DrivenHost(Sizes(upstreams=3))
    return _growth_bytes(host, lambda: [host.run_job(1) for _ in range(jobs)] and None)


def _claim_bytes(count: int) -> float:
    def make() -> IdempotencyKeyTable:
        table = IdempotencyKeyTable()
        for number in range(count):
            submission = SubmissionId(make_host_id(0, 0), number)
            table.apply_claim("team-001", f"{number:032x}", submission, 0.0)
        return table

    return _allocated_bytes(make)


def _customer_bytes(count: int) -> float:
    return _allocated_bytes(lambda: DrivenHost(Sizes(customers=count)))


def _upstream_bytes(count: int) -> float:
    return _allocated_bytes(lambda: DrivenHost(Sizes(upstreams=count)))


def _host_bytes(count: int) -> float:
    def make() -> DrivenHost:
        host = DrivenHost(Sizes(hosts=6, zones=count // 6, customers=140))
        mesh = Mesh(host)
        mesh.join()
        mesh.run(4.0)
        return host

    return _allocated_bytes(make)


def _histogram_bytes(count: int) -> float:
    def make() -> Histograms:
        histograms = Histograms()
        for number in range(count):
            histograms.record(HistogramKey(f"team-{number}", "class-1"), 200.0)
        return histograms

    return _allocated_bytes(make)
