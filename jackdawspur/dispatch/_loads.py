"""What other entry hosts and zones could take over, as last reported."""

from collections.abc import Iterator

from jackdawspur.dispatch._state import State
from jackdawspur.membership import ZoneSummary
from jackdawspur.messages import CustomerUsage
from jackdawspur.model import HostId
from jackdawspur.scheduling import HostLoad

__all__ = ["note_loads", "refresh_view"]

SIBLING_ROUND_TRIP_MS = 1.0
ZONE_ROUND_TRIP_MS = 2.0
# A zone's summary counts waiting tasks but not their length.
TASK_GUESS_MS = 300.0


def refresh_view(state: State, now: float) -> None:
    """Divide slots and quotas anew when the view has changed."""
    sharers = state.view.slot_holders()
    if sharers != state.sharers:
        state.sharers = sharers
        divide_slots(state, now)
    peers = state.view.peers()
    if peers != state.peers:
        for gone in sorted(set(state.peers) - set(peers)):
            state.peer_selector.forget(gone)
        state.peers = peers
        state.quotas.set_live_hosts((*peers, state.own))
        if state.crosses_zones:
            state.slots.set_remote_hosts(h for h in peers if h.zone != state.own.zone)


def divide_slots(state: State, now: float) -> None:
    """Take this host's share of the zone's slots."""
    if state.cluster_spec is None:
        return
    own = [u for u in state.cluster_spec.upstreams if u.id.zone == state.own.zone]
    state.slots.set_members(own, state.sharers or (state.own,), now)


def note_loads(state: State, now: float) -> None:
    """Spread the reports of siblings and zones over the hosts they stand for."""
    if state.cluster_spec is None:
        return
    _note_siblings(state, now)
    # In one order on every run: a set of texts has another one in each process.
    for zone in sorted({host.zone for host in state.view.peers()} - {state.own.zone}):
        _note_zone(state, state.view.zone_summary(zone), now)


def _note_siblings(state: State, now: float) -> None:
    share = state.slots.capacity()
    for host in state.view.siblings():
        beat = state.view.last_heartbeat(host)
        if beat is None:
            continue
        accepts = beat.ready and not beat.draining
        load = HostLoad(
            host,
            share,
            beat.free_slots,
            beat.waiting_tasks,
            beat.backlog_ms,
            SIBLING_ROUND_TRIP_MS,
            accepts,
        )
        state.peer_selector.update_load(load, now)


def _note_zone(state: State, summary: ZoneSummary, now: float) -> None:
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
            waiting * TASK_GUESS_MS,
            ZONE_ROUND_TRIP_MS,
        )
        state.peer_selector.update_load(load, now - summary.age)
    for host, usage in _split_usage(summary.usage, hosts):
        state.quotas.update_peer_usage(host, usage, now - summary.age)


def _split_usage(
    usage: tuple[CustomerUsage, ...], hosts: tuple[HostId, ...]
) -> Iterator[tuple[HostId, tuple[CustomerUsage, ...]]]:
    """Yield each host's part of a zone's usage, so that the parts add up to it."""
    count = len(hosts)
    for place, host in enumerate(hosts):
        part = tuple(
            CustomerUsage(
                one.customer,
                (one.running + place) // count,
                (one.waiting + place) // count,
            )
            for one in usage
        )
        yield host, part
