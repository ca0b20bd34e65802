"""Processor time of the decisions, in microseconds, without any adapter."""

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
JOBS = 4
RECEIVED = 20
TASKS = 24
CONTROL_S = 3.0
WARM_S = 1.5
# Long enough for several rounds of the slowest links' heartbeats.
FULL_S = 7.0
UPSTREAMS = (8, 64, 217)
CONTROL = (Tick, Heartbeat, Pulse)


def core_slopes() -> Iterator[Slope]:
    """Yield the slopes of jobs first, then those of control."""
    yield fit("core: job", "us", "task of it", (1, 24, 120, 360), _by_tasks)
    yield fit("core: job of 24", "us", "upstream a zone", UPSTREAMS, _by_upstreams)
    yield fit("core: job of 24", "us", "live host a zone", (1, 6, 12), _by_hosts)
    yield fit("core: job of 24", "us", "customer", (1, 140), _by_customers)
    yield fit("core: queued task start", "us", "upstream a zone", UPSTREAMS, _busy)
    yield from _control("live host a zone", "hosts", (2, 6, 12))
    yield from _control("zone", "zones", (1, 6, 18))
    yield from _control("customer", "customers", (1, 140))
    yield from _control("upstream a zone", "upstreams", UPSTREAMS)
    yield from _messages()
    title = "core: all control, 217 upstreams, 12 hosts a zone, 140 customers"
    yield fit(f"{title}, ms of processor time a second", "ms", "zone", (1, 18), _full)


def _job_us(sizes: Sizes, tasks: int) -> float:
    host = DrivenHost(sizes)
    mesh = Mesh(host)
    mesh.join()
    mesh.run(0.5)
    host.run_job(tasks)
    host.forget()
    for job in range(JOBS):
        mesh.run(0.1)
        _skip_control(host)
        host.run_job(tasks, job % sizes.customers)
    spent = sum(s for kind, s in host.spent_s.items() if kind not in CONTROL)
    return spent / JOBS * MICRO


def _skip_control(host: DrivenHost) -> None:
    for kind in CONTROL:
        host.spent_s.pop(kind, None)


def _by_tasks(tasks: int) -> float:
    return _job_us(Sizes(), tasks)


def _by_upstreams(upstreams: int) -> float:
    return _job_us(Sizes(upstreams=upstreams), TASKS)


def _by_hosts(hosts: int) -> float:
    return _job_us(Sizes(upstreams=217, hosts=hosts), TASKS)


def _by_customers(customers: int) -> float:
    return _job_us(Sizes(customers=customers), TASKS)


def _busy(upstreams: int) -> float:
    """Return what a task costs whose start had to wait for another's end."""
    host = DrivenHost(Sizes(upstreams=upstreams))
    slots = upstreams * 8
    running = []
    for _ in range(slots // TASKS + 2):
        running += host.accept(host.submit(TASKS))
    host.forget()
    for one in running[:8]:
        host.finish([one])
    ended = sum(len(one.starts) for one in running[:8])
    return sum(host.spent_s.values()) / ended * MICRO


def _in_mesh(sizes: Sizes, seconds: float = CONTROL_S) -> DrivenHost:
    """Return a host that has handled some seconds of heartbeats in its mesh."""
    host = DrivenHost(sizes)
    mesh = Mesh(host)
    mesh.join()
    mesh.run(WARM_S)
    host.forget()
    mesh.run(seconds)
    return host


def _control(per: str, name: str, sizes: tuple[int, ...]) -> Iterator[Slope]:
    title = "core: all control, ms of processor time a second"
    yield fit(title, "ms", per, sizes, partial(_control_ms, name))


def _control_ms(name: str, size: int) -> float:
    usual = {"upstreams": 64, "hosts": 6, "zones": 1, "customers": 1}
    host = _in_mesh(Sizes(**(usual | {name: size})))
    return sum(host.spent_s.values()) / CONTROL_S * MILLI


def _full(zones: int) -> float:
    sizes = Sizes(upstreams=217, hosts=12, zones=zones, customers=140)
    host = _in_mesh(sizes, FULL_S)
    return sum(host.spent_s.values()) / FULL_S * MILLI


def _messages() -> Iterator[Slope]:
    title = "core: {} received, 6 hosts a zone, 140 customers"
    zones = (1, 6, 18)
    yield fit(title.format("pulse"), "us", "zone", zones, partial(_each_us, False))
    yield fit(title.format("heartbeat"), "us", "zone", zones, partial(_each_us, True))


def _each_us(full: bool, zones: int) -> float:
    """Return what a pulse, or a full heartbeat, of a sibling costs its receiver."""
    host = DrivenHost(Sizes(hosts=6, zones=zones, customers=140))
    mesh = Mesh(host)
    mesh.join()
    mesh.run(WARM_S)
    host.forget()
    for _ in range(RECEIVED):
        mesh.hear_sibling(full)
    return sum(host.spent_s.values()) / RECEIVED * MICRO
