"""Memory that the decisions hold, by ``tracemalloc``, in bytes."""

import gc
import tracemalloc
from collections.abc import Callable, Iterator

from jackdawspur.metrics import HistogramKey, Histograms
from jackdawspur.model import SubmissionId
from jackdawspur.ownership import IdempotencyKeyTable
from jackdawspur.slopes._fit import Slope, fit
from jackdawspur.slopes._host import DrivenHost, Sizes, peer_of
from jackdawspur.slopes._mesh import Mesh

__all__ = ["memory_slopes"]

TASKS = 24
SLOTS = 8
ONCE = 1


def memory_slopes() -> Iterator[Slope]:
    """Yield what one more of each kind of state holds."""
    yield fit("memory", "B", "waiting task (jobs of 24)", (240, 2400), _waiting, ONCE)
    yield fit("memory", "B", "task in flight (jobs of 24)", (240, 1200), _flying, ONCE)
    yield fit("memory", "B", "kept answer (job of 1)", (100, 600), _answers, ONCE)
    yield fit("memory", "B", "claim", (1000, 10_000), _claims, ONCE)
    yield fit("memory", "B", "customer", (1, 140), _customers, ONCE)
    yield fit("memory", "B", "upstream of the zone", (8, 217), _upstreams, ONCE)
    yield fit("memory", "B", "entry host heard", (6, 108), _hosts, ONCE)
    yield fit("memory", "B", "histogram", (1, 140), _histograms, ONCE)


def _held(make: Callable[[], object]) -> float:
    """Return the bytes that what `make` returns holds."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return float(held)


def _grown(host: DrivenHost, grow: Callable[[], object]) -> float:
    host.run_job(1)
    return _held(grow)


def _waiting(tasks: int) -> float:
    host = DrivenHost(Sizes(upstreams=3))
    host.run_job(1)
    starts = host.accept(host.submit(TASKS))

    def grow() -> object:
        for _ in range(tasks // TASKS):
            host.submit(TASKS)
        return starts

    return _held(grow)


def _flying(tasks: int) -> float:
    host = DrivenHost(Sizes(upstreams=tasks // SLOTS + 3))

    def grow() -> object:
        return [host.accept(host.submit(TASKS)) for _ in range(tasks // TASKS)] and None

    return _grown(host, grow)


def _answers(jobs: int) -> float:
    host = DrivenHost(Sizes(upstreams=3))
    return _grown(host, lambda: [host.run_job(1) for _ in range(jobs)] and None)


def _claims(count: int) -> float:
    def make() -> IdempotencyKeyTable:
        table = IdempotencyKeyTable()
        for number in range(count):
            submission = SubmissionId(peer_of(0, 0), number)
            table.apply_claim("team-001", f"{number:032x}", submission, 0.0)
        return table

    return _held(make)


def _customers(count: int) -> float:
    return _held(lambda: DrivenHost(Sizes(customers=count)))


def _upstreams(count: int) -> float:
    return _held(lambda: DrivenHost(Sizes(upstreams=count)))


def _hosts(count: int) -> float:
    def make() -> DrivenHost:
        host = DrivenHost(Sizes(hosts=6, zones=count // 6, customers=140))
        mesh = Mesh(host)
        mesh.join()
        mesh.run(4.0)
        return host

    return _held(make)


def _histograms(count: int) -> float:
    def make() -> Histograms:
        histograms = Histograms()
        for number in range(count):
            histograms.record(HistogramKey(f"team-{number}", "class-1"), 200.0)
        return histograms

    return _held(make)
