"""Status of one entry host for operators."""

from dataclasses import dataclass

from jackdawspur.dispatch import EntryCore
from jackdawspur.metrics import HistogramSummary

__all__ = [
    "CustomerStatus",
    "HostStatus",
    "JobCounts",
    "build_host_status",
    "format_status",
]


@dataclass(frozen=True, slots=True)
class CustomerStatus:
    """Quota share of a customer on this host, and its running and waiting tasks."""

    customer: str
    share: int
    running: int
    waiting: int
    backlog_ms: float


@dataclass(frozen=True, slots=True)
class JobCounts:
    """Counters of jobs and messages since the start of this host."""

    complete: int
    failed: int
    refused: int
    delegated: int
    starts: int
    starts_refused: int
    starts_lost: int
    status_queries: int
    loans_asked: int


@dataclass(frozen=True, slots=True)
class HostStatus:
    """Status of one host: membership view, slots, queues, counters and histograms.

    `link_bytes` counts the bytes sent to other entry hosts since the host's start.
    """

    host: str
    ready: bool
    draining: bool
    version: int
    live_hosts: tuple[str, ...]
    unreachable_zones: tuple[str, ...]
    slots: int
    busy: int
    free: int
    waiting_tasks: int
    live_jobs: int
    ejected: tuple[str, ...]
    leaving: tuple[str, ...]
    log_up: bool
    link_bytes: int
    customers: tuple[CustomerStatus, ...]
    counts: JobCounts
    responses: tuple[HistogramSummary, ...]


def build_host_status(core: EntryCore, link_bytes: int, now: float) -> HostStatus:
    """Return the status of a host."""
    state = core.state
    upstreams = tuple(state.resource_tracker.upstreams())
    return HostStatus(
        host=str(core.host),
        ready=core.ready,
        draining=state.draining,
        version=state.cluster_spec.version if state.cluster_spec else -1,
        live_hosts=tuple(str(host) for host in state.view.peers()),
        unreachable_zones=state.view.unreachable_zones(now),
        slots=state.slots.capacity(),
        busy=state.slots.busy(),
        free=state.slots.free(now),
        waiting_tasks=state.queue.waiting(),
        live_jobs=state.live_jobs,
        ejected=tuple(str(u) for u in state.health.ejected()),
        leaving=tuple(str(u) for u in upstreams if state.view.is_upstream_leaving(u)),
        log_up=state.log_up,
        link_bytes=link_bytes,
        customers=tuple(_customer(core, name, now) for name in sorted(state.customers)),
        counts=_counts(core),
        responses=core.counters.responses.summarize(),
    )


def _customer(core: EntryCore, name: str, now: float) -> CustomerStatus:
    state = core.state
    return CustomerStatus(
        name,
        state.quotas.share(name, now),
        state.quotas.running(name),
        state.queue.waiting(name),
        state.queue.backlog_ms(name),
    )


def _counts(core: EntryCore) -> JobCounts:
    counters = core.counters
    return JobCounts(
        counters.complete,
        counters.failed,
        counters.refused,
        counters.delegated,
        counters.starts,
        counters.starts_refused,
        counters.starts_lost,
        counters.status_queries,
        counters.loans_asked,
    )


def format_status(status: HostStatus) -> str:
    """Return the status as text."""
    counts = status.counts
    lines = [
        f"host {status.host}: ready {status.ready}, draining {status.draining}, "
        f"version {status.version}, log up {status.log_up}",
        f"live hosts: {', '.join(status.live_hosts) or 'none'}",
        f"unreachable zones: {', '.join(status.unreachable_zones) or 'none'}",
        f"slots {status.slots}: {status.busy} busy, {status.free} free; "
        f"{status.waiting_tasks} tasks wait, {status.live_jobs} jobs live",
        f"ejected upstreams: {', '.join(status.ejected) or 'none'}",
        f"leaving upstreams: {', '.join(status.leaving) or 'none'}",
        f"jobs: {counts.complete} complete, {counts.failed} failed, "
        f"{counts.refused} refused, {counts.delegated} delegated",
        f"starts {counts.starts}: {counts.starts_refused} refused, "
        f"{counts.starts_lost} lost, {counts.status_queries} status queries",
    ]
    lines += [
        f"customer {c.customer}: share {c.share}, {c.running} running, "
        f"{c.waiting} waiting, backlog {c.backlog_ms:.0f} ms"
        for c in status.customers
    ]
    lines += [
        f"response {p.name.customer}/{p.name.job_class}: {p.count} jobs, "
        f"p50 {p.p50} ms, p99 {p.p99} ms, p99.9 {p.p999} ms"
        for p in status.responses
    ]
    return "\n".join(lines) + "\n"
