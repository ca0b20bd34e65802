"""Processor time of the core logic, without adapters, in microseconds."""

from collections.abc import Iterator
from functools import partial

from jackdawspur.dispatch import Tick
from jackdawspur.messages import Heartbeat, Pulse
from jackdawspur.slopes._fit import Slope, fit
from jackdawspur.slopes._host import DrivenHost, Sizes
from jackdawspur.slopes._mesh import Mesh

__all__ = ["core_slopes"]

MICRO = 1e6
MILLI = 1e3
MEASURED_JOBS = 4
MEASURED_MESSAGES = 20
TASKS_PER_JOB = 24
MEASURED_S = 3.0
WARM_UP_S = 1.5
# Long enough for several heartbeats of the links with the longest interval.
FULL_SIZE_S = 7.0
UPSTREAM_COUNTS = (8, 64, 217)
CONTROL_EVENTS = (Tick, Heartbeat, Pulse)


def core_slopes() -> Iterator[Slope]:
    """Yield the slopes of jobs, then those of heartbeats and ticks."""
    yield fit("core: job", "us", "task of it", (1, 24, 120, 360), _job_us_by_tasks)
    yield fit(
        "core: job of 24",
        "us",
        "upstream a zone",
        UPSTREAM_COUNTS,
        _job_us_by_upstreams,
    )
    yield fit("core: job of 24", "us", "live host a zone", (1, 6, 12), _job_us_by_hosts)
    yield fit("core: job of 24", "us", "customer", (1, 140), _job_us_by_customers)
    yield fit(
        "core: queued task start",
        "us",
        "upstream a zone",
        UPSTREAM_COUNTS,
        _queued_start_us,
    )
    yield from _control_slope("live host a zone", "hosts", (2, 6, 12))
    yield from _control_slope("zone", "zones", (1, 6, 18))
    yield from _control_slope("customer", "customers", (1, 140))
    yield from _control_slope("upstream a zone", "upstreams", UPSTREAM_COUNTS)
    yield from _message_slopes()
    title = "core: all control events, 217 upstreams, 12 hosts a zone, 140 customers"
    yield fit(
        f"{title}, ms of processor time per second",
        "ms",
        "zone",
        (1, 18),
        _full_size_ms,
    )


def _job_us(sizes: Sizes, tasks: int) -> float:
    host = DrivenHost(sizes)
    mesh = Mesh(host)
    mesh.join()
    mesh.run(0.5)
    host.run_job(tasks)
    host.reset_counters()
    for job in range(MEASURED_JOBS):
        mesh.run(0.1)
        _discard_control(host)
        host.run_job(tasks, job % sizes.customers)
    cpu_s = sum(s for kind, s in host.cpu_s.items() if kind not in CONTROL_EVENTS)
    return cpu_s / MEASURED_JOBS * MICRO


def _discard_control(host: DrivenHost) -> None:
    for kind in CONTROL_EVENTS:
        host.cpu_s.pop(kind, None)


def _job_us_by_tasks(tasks: int) -> float:
    return _job_us(Sizes(), tasks)


def _job_us_by_upstreams(upstreams: int) -> float:
    return _job_us(Sizes(upstreams=upstreams), TASKS_PER_JOB)


def _job_us_by_hosts(hosts: int) -> float:
    return _job_us(Sizes(upstreams=217, hosts=hosts), TASKS_PER_JOB)


def _job_us_by_customers(customers: int) -> float:
    return _job_us(Sizes(customers=customers), TASKS_PER_JOB)


def _queued_start_us(upstreams: int) -> float:
    """Return the cost of a task that is queued until another task ends."""
    host = DrivenHost(Sizes(upstreams=upstreams))
    slots = upstreams * 8
    batches = []
    for _ in range(slots // TASKS_PER_JOB + 2):
        batches += host.accept(host.submit(TASKS_PER_JOB))
    host.reset_counters()
    for batch in batches[:8]:
        host.finish([batch])
    ended_tasks = sum(len(batch.starts) for batch in batches[:8])
    return sum(host.cpu_s.values()) / ended_tasks * MICRO


def _run_in_mesh(sizes: Sizes, seconds: float = MEASURED_S) -> DrivenHost:
    """Return a host that has exchanged heartbeats for `seconds` after a warm-up."""
    host = DrivenHost(sizes)
    mesh = Mesh(host)
    mesh.join()
    mesh.run(WARM_UP_S)
    host.reset_counters()
    mesh.run(seconds)
    return host


def _control_slope(per: str, name: str, sizes: tuple[int, ...]) -> Iterator[Slope]:
    title = "core: all control events, ms of processor time per second"
    yield fit(title, "ms", per, sizes, partial(_control_ms, name))


def _control_ms(name: str, size: int) -> float:
    defaults = {"upstreams": 64, "hosts": 6, "zones": 1, "customers": 1}
    host = _run_in_mesh(Sizes(**(defaults | {name: size})))
    return sum(host.cpu_s.values()) / MEASURED_S * MILLI


def _full_size_ms(zones: int) -> float:
    sizes = Sizes(upstreams=217, hosts=12, zones=zones, customers=140)
    host = _run_in_mesh(sizes, FULL_SIZE_S)
    return sum(host.cpu_s.values()) / FULL_SIZE_S * MILLI


def _message_slopes() -> Iterator[Slope]:
    title = "core: {} received, 6 hosts a zone, 140 customers"
    zones = (1, 6, 18)
    yield fit(title.format("pulse"), "us", "zone", zones, partial(_message_us, False))
    yield fit(
        title.format("heartbeat"), "us", "zone", zones, partial(_message_us, True)
    )


def _message_us(full: bool, zones: int) -> float:
    """Return the cost of receiving a pulse, or full heartbeat, of a same-zone peer."""
    host = DrivenHost(Sizes(hosts=6, zones=zones, customers=140))
    mesh = Mesh(host)
    mesh.join()
    mesh.run(WARM_UP_S)
    host.reset_counters()
    for _ in range(MEASURED_MESSAGES):
        mesh.receive_from_peer(full)
    return sum(host.cpu_s.values()) / MEASURED_MESSAGES * MICRO
