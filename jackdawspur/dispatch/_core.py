"""The decisions of one entry host, behind one function."""

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
from jackdawspur.dispatch._in_flight import note_incarnation
from jackdawspur.dispatch._loads import divide_slots, refresh_view
from jackdawspur.dispatch._peers import (
    lend_urgently,
    receive,
    send_heartbeats,
    trade_slots,
)
from jackdawspur.dispatch._resolve import lose_status, reply_status
from jackdawspur.dispatch._run import (
    lose_starts,
    reply_results,
    reply_starts,
    start_waiting,
)
from jackdawspur.dispatch._state import State
from jackdawspur.dispatch._submit import (
    ask_cancel,
    close_call,
    end_claim,
    issue_ids,
    poll,
    read_claims,
    submit,
)
from jackdawspur.model import ClusterSpec, HostId

__all__ = ["TICK_S", "EntryCore"]

# Ticks must not come less often than this while the host runs.
TICK_S = 0.05
RESUME_HOLD_S = 0.5


class EntryCore:
    """Turn what happens to an entry host into what it shall do.

    All times are seconds on one monotonic clock; randomness comes from `rng` alone.
    With `crosses_zones` upstreams of other zones must be reachable from here too.
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
        """Return the run of the host that decides here."""
        return self._state.own

    @property
    def state(self) -> State:
        """Return the memory behind the decisions, to be read only."""
        return self._state

    @property
    def counters(self) -> Counters:
        """Return what was counted since the start."""
        return self._state.counters

    @property
    def ready(self) -> bool:
        """Tell whether new jobs are accepted."""
        return self._state.cluster_spec is not None and not self._state.draining

    @property
    def drained(self) -> bool:
        """Tell whether a host that shuts down may exit."""
        return is_drained(self._state)

    def next_wake(self) -> float | None:
        """Return when the next `Tick` is needed at the latest, if one is."""
        return self._state.next_wake()

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Return what to do about an event that happens now."""
        return self.handle_all((event,), now)

    def handle_all(self, events: tuple[Event, ...], now: float) -> list[Effect]:
        """Return what to do about events that came together.

        Starts that they make possible travel together.
        """
        state = self._state
        self._notice_gap(now)
        state.run_due(now)
        for event in events:
            _HANDLERS[type(event)](state, event, now)
        lend_urgently(state, now)
        start_waiting(state, now)
        trade_slots(state, now)
        return state.take_effects()

    def _notice_gap(self, now: float) -> None:
        """Give up old beliefs when this host was paused.

        Ticks come every `TICK_S`, so a long silence means that the process stood
        still. Others may have taken its slots over; deadlines passed unseen. The view
        starts afresh, and due timers run before anything is sent.
        """
        state = self._state
        gap = now - state.last_event_at
        state.last_event_at = now
        if state.view.reset_after_pause(now, gap):
            refresh_view(state, now)
            # Siblings tell within this time which upstreams began to leave meanwhile.
            state.hold_until = now + RESUME_HOLD_S


def _set_world(state: State, event: ClusterSpecUpdated, now: float) -> None:
    """Take a version into force; an older one changes nothing."""
    if (
        state.cluster_spec is not None
        and event.cluster_spec.version < state.cluster_spec.version
    ):
        return
    state.set_cluster_spec(event.cluster_spec, now)
    refresh_view(state, now)
    divide_slots(state, now)


def _name_hosts(state: State, event: BootstrapHostsLoaded, now: float) -> None:
    """Let the view count hosts that no configuration names yet.

    Else a host that starts while the log is down would know of no peer to ask for
    the configuration, though its siblings' heartbeats arrive.
    """
    if state.cluster_spec is None:
        state.view.set_cluster_spec(ClusterSpec(entry_hosts=event.hosts), now)


def _tick(state: State, _event: Tick, now: float) -> None:
    state.view.tick(now)
    refresh_view(state, now)
    state.slots.reclaim_expired(now)
    state.queue.quotas_changed()
    send_heartbeats(state, now)


def _list_hosts(state: State, event: HostListUpdated, now: float) -> None:
    state.view.record_host_list(event.hosts, now)


def _note_usage(state: State, event: UsageReplied, now: float) -> None:
    reply = event.reply
    note_incarnation(state, reply.upstream, reply.incarnation, now)
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
    CancelRequested: ask_cancel,
    SubmissionIdsRequested: issue_ids,
    CallClosed: close_call,
    StartsReplied: reply_starts,
    StartRequestFailed: lose_starts,
    ResultsReplied: reply_results,
    StatusReplied: reply_status,
    StatusQueryFailed: lose_status,
    UsageReplied: _note_usage,
    PeerMessageReceived: receive,
    BootstrapHostsLoaded: _name_hosts,
    ClusterSpecUpdated: _set_world,
    HostListUpdated: _list_hosts,
    ClaimAppendCompleted: end_claim,
    ClaimsRead: read_claims,
    DrainRequested: drain,
    Tick: _tick,
}
