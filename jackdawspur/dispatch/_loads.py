"""Loads of other entry hosts and zones, as last reported."""

from collections.abc import Iterator

from jackdawspur.dispatch._state import State
from jackdawspur.membership import ZoneSummary
from jackdawspur.messages import CustomerUsage
from jackdawspur.model import HostId
from jackdawspur.scheduling import HostLoad

__all__ = ["update_peer_loads", "apply_view_changes"]

ZONE_PEER_ROUND_TRIP_MS = 1.0
REMOTE_ZONE_ROUND_TRIP_MS = 2.0
# The summary of a zone counts waiting tasks without their run times.
ASSUMED_TASK_MS = 300.0


def apply_view_changes(state: State, now: float) -> None:
    """Divide slots and quotas again if hosts joined or left the membership view."""
    slot_holders = state.view.slot_holders()
    if slot_holders != state.slot_holders:
        state.slot_holders = slot_holders
        divide_slots(state, now)
    peers = state.view.peers()
    if peers != state.peers:
        for gone in sorted(set(state.peers) - set(peers)):
            state.peer_selector.forget(gone)
        state.peers = peers
        state.quotas.set_live_hosts((*peers, state.local_id))
        if state.crosses_zones:
            state.slots.set_remote_hosts(
                h for h in peers if h.zone != state.local_id.zone
            )


def divide_slots(state: State, now: float) -> None:
    """Compute this host's share of the slots of its zone."""
    if state.cluster_spec is None:
        return
    local_upstreams = [
        u for u in state.cluster_spec.upstreams if u.id.zone == state.local_id.zone
    ]
    state.slots.set_members(
        local_upstreams, state.slot_holders or (state.local_id,), now
    )


def update_peer_loads(state: State, now: float) -> None:
    """Update the loads of peers from the reports of hosts and zones."""
    if state.cluster_spec is None:
        return
    _update_zone_peer_loads(state, now)
    # Sorted for determinism: the order of a set of strings differs by process.
    for zone in sorted(
        {host.zone for host in state.view.peers()} - {state.local_id.zone}
    ):
        _update_remote_zone_loads(state, state.view.zone_summary(zone), now)


def _update_zone_peer_loads(state: State, now: float) -> None:
    share = state.slots.capacity()
    for host in state.view.zone_peers():
        heartbeat = state.view.last_heartbeat(host)
        if heartbeat is None:
            continue
        accepts = heartbeat.ready and not heartbeat.draining
        load = HostLoad(
            host,
            share,
            heartbeat.free_slots,
            heartbeat.waiting_tasks,
            heartbeat.backlog_ms,
            ZONE_PEER_ROUND_TRIP_MS,
            accepts,
        )
        state.peer_selector.update_load(load, now)


def _update_remote_zone_loads(state: State, summary: ZoneSummary, now: float) -> None:
    hosts = state.view.ready_hosts(summary.zone)
    if not hosts:
        return
    waiting = summary.waiting_tasks // len(hosts)
    for host in hosts:
        load = HostLoad(
            host,
            state.zone_slots.get(summary.zone, 0) // len(hosts),
            summary.free_slots // len(hosts),
            waiting,
            waiting * ASSUMED_TASK_MS,
            REMOTE_ZONE_ROUND_TRIP_MS,
        )
        state.peer_selector.update_load(load, now - summary.age)
    for host, usage in _split_usage(summary.usage, hosts):
        state.quotas.update_peer_usage(host, usage, now - summary.age)


def _split_usage(
    usage: tuple[CustomerUsage, ...], hosts: tuple[HostId, ...]
) -> Iterator[tuple[HostId, tuple[CustomerUsage, ...]]]:
    """Yield an equal share of a zone's usage per host; the shares add up to it."""
    count = len(hosts)
    for index, host in enumerate(hosts):
        share = tuple(
            CustomerUsage(
                entry.customer,
                (entry.running + index) // count,
                (entry.waiting + index) // count,
            )
            for entry in usage
        )
        yield host, share
