"""The current status of a host, for operators."""

from dataclasses import dataclass
from typing import Protocol

from jackdawspur.front._leader_driver import LeaderDriver
from jackdawspur.front._load_status import (
    GroupStatus,
    QueueStatus,
    format_group,
    format_queue,
    group_loads,
    queues,
)
from jackdawspur.front._routes import RouteTable
from jackdawspur.front._service import CallerService
from jackdawspur.front._views import StoreView
from jackdawspur.group import Group, HostAddress
from jackdawspur.leases import LeasedUpstream

__all__ = ["FrontStatus", "StatusOwner", "build_status", "format_status"]

MS_PER_S = 1000.0


class StatusOwner(Protocol):
    """The host's parts that the status shows."""

    address: HostAddress
    group: Group
    routes: RouteTable
    view: StoreView
    leader_driver: LeaderDriver
    callers: CallerService
    ready: bool


@dataclass(frozen=True, slots=True)
class StoreStatus:
    """Reachability of the store, its last error, and the age of what was read.

    Ages are in seconds, -1 if nothing was read yet.
    """

    reachable: bool
    said: str
    list_age_s: float
    configuration: int
    configuration_age_s: float


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """State of another host by its last heartbeat, and the time since any message."""

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
    """State of an upstream as seen by the leader.

    `owned` is true if this host holds the lease, `answers` if the upstream is
    responsive. `allowed` is false while it is ejected. `pace` is the slowdown: the run
    time of a task there, divided by that on other upstreams.
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
class FrontStatus:
    """Status of a host; only a leader has upstreams, queues and groups."""

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
    groups: tuple[GroupStatus, ...]


def build_status(owner: StatusOwner, now: float) -> FrontStatus:
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
        upstreams=_upstreams(owner.leader_driver, now),
        queues=queues(owner, now),
        groups=group_loads(owner, now),
    )


def _store(owner: StatusOwner, now: float) -> StoreStatus:
    view = owner.view
    return StoreStatus(
        reachable=view.reachable,
        said=view.store_error,
        list_age_s=_age(view.list_read_at, now),
        configuration=owner.routes.version,
        configuration_age_s=_age(view.in_force_at, now),
    )


def _age(since: float | None, now: float) -> float:
    return -1.0 if since is None else round(now - since, 3)


def _peers(group: Group, now: float) -> tuple[PeerStatus, ...]:
    return tuple(
        PeerStatus(
            name=heartbeat.host.name,
            zone=heartbeat.host.zone,
            alive=group.is_running(heartbeat.host.name, now),
            silent_s=round(group.silent_s(heartbeat.host.name, now), 3),
            leads=heartbeat.leads,
            ready=heartbeat.ready,
            draining=heartbeat.draining,
            slow=heartbeat.slow,
            configuration=heartbeat.configuration,
        )
        for heartbeat in group.last_heartbeats
    )


def _upstreams(leader_driver: LeaderDriver, now: float) -> tuple[UpstreamStatus, ...]:
    upstreams = leader_driver.dispatcher.upstream_pool.upstreams
    return tuple(_upstream(leased, leader_driver, now) for leased in upstreams)


def _upstream(
    leased: LeasedUpstream, leader_driver: LeaderDriver, now: float
) -> UpstreamStatus:
    estimates, upstream = leader_driver.dispatcher.estimates, leased.entry.id
    return UpstreamStatus(
        name=upstream.name,
        zone=upstream.zone,
        owned=leased.acquired,
        answers=leased.responsive,
        silent_ms=round((now - leased.last_reply_at) * MS_PER_S),
        draining=leased.entry.draining,
        allowed=estimates.allows(upstream, now),
        pace=round(estimates.slowdown(upstream), 2),
        runs=len(leased.runs),
        free_cpu_millis=leased.free.cpu_millis,
    )


def format_status(status: FrontStatus) -> str:
    """Return the status as text."""
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
    lines += [_upstream_line(upstream) for upstream in status.upstreams]
    lines += [format_queue(queue) for queue in status.queues]
    lines += [format_group(group) for group in status.groups]
    return "\n".join(lines) + "\n"


def _peer_line(peer: PeerStatus) -> str:
    words = [
        word
        for word, applies in (
            ("alive", peer.alive),
            ("leads", peer.leads),
            ("ready", peer.ready),
            ("draining", peer.draining),
            ("slow", peer.slow),
        )
        if applies
    ]
    return (
        f"host {peer.name} in {peer.zone}: {' '.join(words) or 'gone'}, "
        f"heard {peer.silent_s} s ago, configuration {peer.configuration}"
    )


def _upstream_line(status: UpstreamStatus) -> str:
    words = [
        "owned" if status.owned else "not owned",
        "answers" if status.answers else f"silent for {status.silent_ms} ms",
    ]
    words += ["draining"] * status.draining + ["ejected"] * (not status.allowed)
    return (
        f"upstream {status.name} in {status.zone}: {', '.join(words)}; "
        f"{status.runs} runs, "
        f"{status.free_cpu_millis} thousandths of a core free, pace {status.pace}"
    )
