"""What one host knows and does at this moment, for its operators."""

from collections import Counter
from dataclasses import dataclass
from typing import Protocol

from jackdawspur.front._lead import LeadDriver
from jackdawspur.front._routes import RouteTable
from jackdawspur.front._service import CallerService
from jackdawspur.front._views import StoreView
from jackdawspur.group import Group, HostAddress
from jackdawspur.leases import LeasedUpstream

__all__ = ["FrontStatus", "StatusOwner", "status_of", "text_of"]

MS_PER_S = 1000.0


class StatusOwner(Protocol):
    """Show a host."""

    address: HostAddress
    group: Group
    routes: RouteTable
    views: StoreView
    lead: LeadDriver
    callers: CallerService
    ready: bool


@dataclass(frozen=True, slots=True)
class StoreStatus:
    """Tell what the store last said, and how old what was read is; -1 for never."""

    reachable: bool
    said: str
    list_age_s: float
    configuration: int
    configuration_age_s: float


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """Tell what another host last said and how long ago it was heard."""

    name: str
    zone: str
    alive: bool
    silent_s: float
    leads: bool
    ready: bool
    draining: bool
    slow: bool
    configuration: int


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """Tell how one upstream stands with the leading host.

    `owned` tells whether it obeys this host, `answers` whether it answered the last
    look. `allowed` is false while it is ejected. `pace` is the time that a task takes
    there over what it takes elsewhere.
    """

    name: str
    zone: str
    owned: bool
    answers: bool
    silent_ms: int
    draining: bool
    allowed: bool
    pace: float
    runs: int
    free_cpu_millis: int


@dataclass(frozen=True, slots=True)
class QueueStatus:
    """Count a route's open jobs on the leading host, and those not yet begun."""

    route: str
    open: int
    waiting: int


@dataclass(frozen=True, slots=True)
class FrontStatus:
    """Show a host; upstreams and queues only of one that leads."""

    host: str
    zone: str
    ready: bool
    draining: bool
    leads: bool
    leader: str
    fence: int
    callers_waiting: int
    store: StoreStatus
    peers: tuple[PeerStatus, ...]
    upstreams: tuple[UpstreamStatus, ...]
    queues: tuple[QueueStatus, ...]


def status_of(owner: StatusOwner, now: float) -> FrontStatus:
    """Return the status of a host."""
    group, term = owner.group, owner.group.term(now)
    return FrontStatus(
        host=owner.address.name,
        zone=owner.address.zone,
        ready=owner.ready,
        draining=group.draining,
        leads=group.is_leader,
        leader=term.leader if term else "",
        fence=term.fence if term else 0,
        callers_waiting=owner.callers.waiting,
        store=_store(owner, now),
        peers=_peers(group, now),
        upstreams=_upstreams(owner.lead, now),
        queues=_queues(owner.lead),
    )


def _store(owner: StatusOwner, now: float) -> StoreStatus:
    views = owner.views
    return StoreStatus(
        reachable=views.reachable,
        said=views.store_said,
        list_age_s=_age(views.list_read_at, now),
        configuration=owner.routes.version,
        configuration_age_s=_age(views.in_force_at, now),
    )


def _age(since: float | None, now: float) -> float:
    return -1.0 if since is None else round(now - since, 3)


def _peers(group: Group, now: float) -> tuple[PeerStatus, ...]:
    return tuple(
        PeerStatus(
            name=beat.host.name,
            zone=beat.host.zone,
            alive=group.is_running(beat.host.name, now),
            silent_s=round(group.silent_s(beat.host.name, now), 3),
            leads=beat.leads,
            ready=beat.ready,
            draining=beat.draining,
            slow=beat.slow,
            configuration=beat.configuration,
        )
        for beat in group.last_heartbeats
    )


def _upstreams(lead: LeadDriver, now: float) -> tuple[UpstreamStatus, ...]:
    held = lead.dispatcher.upstream_pool.upstreams
    return tuple(_upstream(one, lead, now) for one in held)


def _upstream(held: LeasedUpstream, lead: LeadDriver, now: float) -> UpstreamStatus:
    estimates, upstream = lead.dispatcher.estimates, held.entry.id
    return UpstreamStatus(
        name=upstream.name,
        zone=upstream.zone,
        owned=held.acquired,
        answers=held.responsive,
        silent_ms=round((now - held.last_reply_at) * MS_PER_S),
        draining=held.entry.draining,
        allowed=estimates.allows(upstream, now),
        pace=round(estimates.slowdown(upstream), 2),
        runs=len(held.runs),
        free_cpu_millis=held.free.cpu_millis,
    )


def _queues(lead: LeadDriver) -> tuple[QueueStatus, ...]:
    jobs = lead.dispatcher.open_jobs.values()
    opened = Counter(job.request.route.name for job in jobs)
    waiting = Counter(job.request.route.name for job in jobs if not job.started)
    return tuple(
        QueueStatus(route, count, waiting[route])
        for route, count in sorted(opened.items())
    )


def text_of(status: FrontStatus) -> str:
    """Return the status as lines for people."""
    store = status.store
    lines = [
        f"host {status.host} in {status.zone}: ready {status.ready}, "
        f"draining {status.draining}, {status.callers_waiting} callers wait",
        f"leading host: {status.leader or 'none'}, fence {status.fence}",
        f"store reachable {store.reachable} ({store.said or 'nothing wrong'}), "
        f"list {store.list_age_s} s old",
        f"configuration {store.configuration}, in force for "
        f"{store.configuration_age_s} s",
    ]
    lines += [_peer_line(peer) for peer in status.peers]
    lines += [_upstream_line(one) for one in status.upstreams]
    lines += [
        f"queue {queue.route}: {queue.open} jobs open, {queue.waiting} not begun"
        for queue in status.queues
    ]
    return "\n".join(lines) + "\n"


def _peer_line(peer: PeerStatus) -> str:
    words = [
        word
        for word, said in (
            ("alive", peer.alive),
            ("leads", peer.leads),
            ("ready", peer.ready),
            ("draining", peer.draining),
            ("slow", peer.slow),
        )
        if said
    ]
    return (
        f"host {peer.name} in {peer.zone}: {' '.join(words) or 'gone'}, "
        f"heard {peer.silent_s} s ago, configuration {peer.configuration}"
    )


def _upstream_line(one: UpstreamStatus) -> str:
    words = [
        "owned" if one.owned else "not owned",
        "answers" if one.answers else f"silent for {one.silent_ms} ms",
    ]
    words += ["draining"] * one.draining + ["ejected"] * (not one.allowed)
    return (
        f"upstream {one.name} in {one.zone}: {', '.join(words)}; {one.runs} runs, "
        f"{one.free_cpu_millis} thousandths of a core free, pace {one.pace}"
    )
