"""Entry point of the dispatch logic of one entry host."""

import random

from jackdawspur.dispatch._counters import Counters
from jackdawspur.dispatch._drain import drain, is_drained
from jackdawspur.dispatch._effects import Effect
from jackdawspur.dispatch._events import (
    BootstrapHostsLoaded,
    CallClosed,
    CancelRequested,
    ClaimAppendCompleted,
    ClaimsRead,
    ClusterSpecUpdated,
    DrainRequested,
    Event,
    HostListUpdated,
    PeerMessageReceived,
    Polled,
    ResultsReplied,
    StartRequestFailed,
    StartsReplied,
    StatusQueryFailed,
    StatusReplied,
    SubmissionIdsRequested,
    Submitted,
    Tick,
    UsageReplied,
)
from jackdawspur.dispatch._in_flight import record_incarnation
from jackdawspur.dispatch._loads import apply_view_changes, divide_slots
from jackdawspur.dispatch._peers import (
    grant_urgent_requests,
    handle_peer_message,
    request_and_return_slots,
    send_heartbeats,
)
from jackdawspur.dispatch._resolve import handle_status_failure, handle_status_reply
from jackdawspur.dispatch._run import (
    handle_results,
    handle_start_failure,
    handle_start_reply,
    start_waiting_tasks,
)
from jackdawspur.dispatch._state import State
from jackdawspur.dispatch._submit import (
    close_call,
    handle_claim_appended,
    handle_claims_read,
    issue_ids,
    poll,
    request_cancel,
    submit,
)
from jackdawspur.model import ClusterSpec, HostId

__all__ = ["TICK_S", "EntryCore"]

# Longest interval between two `Tick` events while the host runs, in seconds.
TICK_S = 0.05
# How long starts are held back after a pause of the process, in seconds.
STARTS_HOLD_S = 0.5


class EntryCore:
    """Turn the events of an entry host into effects for its adapters.

    All times are seconds on one monotonic clock; `rng` is the only source of
    randomness. With `crosses_zones` the host also uses slots of other zones, whose
    upstreams it must be able to reach.
    """

    def __init__(
        self,
        host: HostId,
        rng: random.Random,
        now: float,
        crosses_zones: bool = False,
    ) -> None:
        self._state = State(host, rng, now, crosses_zones)

    @property
    def host(self) -> HostId:
        """Return the id of this host, with its incarnation."""
        return self._state.local_id

    @property
    def state(self) -> State:
        """Return the state of the dispatch logic; callers must not change it."""
        return self._state

    @property
    def counters(self) -> Counters:
        """Return the counters since the start of the host."""
        return self._state.counters

    @property
    def ready(self) -> bool:
        """Return whether new jobs are accepted."""
        return self._state.cluster_spec is not None and not self._state.draining

    @property
    def drained(self) -> bool:
        """Return whether a host that is shutting down may exit."""
        return is_drained(self._state)

    def next_wake(self) -> float | None:
        """Return the time by which the next `Tick` must arrive, or None."""
        return self._state.next_wake()

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Return the effects of one event."""
        return self.handle_all((event,), now)

    def handle_all(self, events: tuple[Event, ...], now: float) -> list[Effect]:
        """Return the effects of events that arrived together.

        Starts that become possible are sent in common batches.
        """
        state = self._state
        self._detect_pause(now)
        state.run_due(now)
        for event in events:
            _HANDLERS[type(event)](state, event, now)
        grant_urgent_requests(state, now)
        start_waiting_tasks(state, now)
        request_and_return_slots(state, now)
        return state.take_effects()

    def _detect_pause(self, now: float) -> None:
        """Reset the view of other hosts if this process was paused.

        Ticks arrive every `TICK_S`, so a long gap means that the process was paused.
        Meanwhile other hosts may have taken over its slots, and deadlines may have
        passed. Due timers run before anything is sent.
        """
        state = self._state
        gap = now - state.last_event_at
        state.last_event_at = now
        if state.view.reset_after_pause(now, gap):
            apply_view_changes(state, now)
            # Within this time the heartbeats of hosts in the zone report which
            # upstreams started to leave during the pause.
            state.starts_held_until = now + STARTS_HOLD_S


def _set_cluster_spec(state: State, event: ClusterSpecUpdated, now: float) -> None:
    """Apply a version of the cluster spec, unless it is older than the present one."""
    if (
        state.cluster_spec is not None
        and event.cluster_spec.version < state.cluster_spec.version
    ):
        return
    state.set_cluster_spec(event.cluster_spec, now)
    apply_view_changes(state, now)
    divide_slots(state, now)


def _set_bootstrap_hosts(state: State, event: BootstrapHostsLoaded, now: float) -> None:
    """Add the hosts named in the settings to the view until a configuration is read.

    Without them, a host that starts while the log is down would know no peer to ask
    for the configuration, although heartbeats of its zone arrive.
    """
    if state.cluster_spec is None:
        state.view.set_cluster_spec(ClusterSpec(entry_hosts=event.hosts), now)


def _tick(state: State, _event: Tick, now: float) -> None:
    state.view.tick(now)
    apply_view_changes(state, now)
    state.slots.reclaim_expired(now)
    state.queue.quotas_changed()
    send_heartbeats(state, now)


def _record_host_list(state: State, event: HostListUpdated, now: float) -> None:
    state.view.record_host_list(event.hosts, now)


def _record_usage(state: State, event: UsageReplied, now: float) -> None:
    reply = event.reply
    record_incarnation(state, reply.upstream, reply.incarnation, now)
    if reply.usage is None:
        return
    if reply.usage.leaving:
        state.view.mark_leaving(reply.upstream, now)
    else:
        state.view.clear_leaving(reply.upstream, now)
        state.queue.capacity_changed()


_HANDLERS = {
    Submitted: submit,
    Polled: poll,
    CancelRequested: request_cancel,
    SubmissionIdsRequested: issue_ids,
    CallClosed: close_call,
    StartsReplied: handle_start_reply,
    StartRequestFailed: handle_start_failure,
    ResultsReplied: handle_results,
    StatusReplied: handle_status_reply,
    StatusQueryFailed: handle_status_failure,
    UsageReplied: _record_usage,
    PeerMessageReceived: handle_peer_message,
    BootstrapHostsLoaded: _set_bootstrap_hosts,
    ClusterSpecUpdated: _set_cluster_spec,
    HostListUpdated: _record_host_list,
    ClaimAppendCompleted: handle_claim_appended,
    ClaimsRead: handle_claims_read,
    DrainRequested: drain,
    Tick: _tick,
}
