"""A simulated entry host: a dispatcher whose effects the fakes carry out."""

import random
from typing import TYPE_CHECKING

from jackdawspur.bench._dispatcher import DispatcherFactory
from jackdawspur.dispatch import (
    AnswerCall,
    AppendClaim,
    ClaimAppendCompleted,
    ClaimsRead,
    ClusterSpecUpdated,
    Effect,
    Event,
    HostListUpdated,
    IssueIds,
    PeerMessageReceived,
    QueryTaskStatus,
    ResultsReplied,
    SendPeerMessage,
    StartRequestFailed,
    StartsReplied,
    StartTasks,
    StatusQueryFailed,
    StatusReplied,
    StopTasks,
    Tick,
)
from jackdawspur.external import UpstreamReply
from jackdawspur.messages import Heartbeat, RecordsPassed, RecordsWanted
from jackdawspur.model import ClusterSpec, HostId, TaskId, TaskOutcome, TaskState

if TYPE_CHECKING:
    from jackdawspur.bench._simulation import Simulation

__all__ = ["SimulatedHost"]

# Time after which a missing reply counts as lost.
REPLY_TIMEOUT_S = 0.2
MIN_WAKE_INTERVAL_S = 0.001
MAX_INBOX = 5000
MAYBE_SENT_SHARE = 0.5
MAX_MESSAGE_AGE_S = 2.0
MESSAGES_FOR_ANY_INCARNATION = (Heartbeat, RecordsWanted, RecordsPassed)
FINAL_STATES = (TaskState.DONE, TaskState.FAILED, TaskState.STOPPED)


class SimulatedHost:
    """Simulate one entry host; each restart creates a new dispatcher."""

    def __init__(
        self,
        zone: str,
        name: str,
        simulation: "Simulation",
        make_dispatcher: DispatcherFactory,
    ) -> None:
        self.paused_since: float | None = None
        self.draining_since: float | None = None
        self._id = HostId(zone, name, 0)
        self._simulation = simulation
        self._make_dispatcher = make_dispatcher
        self._alive = False
        self._inbox: list[tuple[float, Event]] = []
        self._wake_at: float | None = None
        self._log_offset = 0
        self._final_results_seen: set[TaskId] = set()

    @property
    def id(self) -> HostId:
        """Return the id of the current incarnation, or of the last one if dead."""
        return self._id

    @property
    def alive(self) -> bool:
        """Return whether the process is running or paused."""
        return self._alive

    def start_incarnation(self, cluster_spec: ClusterSpec | None) -> None:
        """Start a new incarnation, with a configuration if one is available."""
        self._id = HostId(self._id.zone, self._id.name, self._id.incarnation + 1)
        rng = random.Random(f"{self._simulation.seed} {self._id}")
        self._dispatcher = self._make_dispatcher(
            self._id, rng, self._simulation.loop.now
        )
        self._alive = True
        self.paused_since = self.draining_since = None
        self._log_offset = 0
        self._inbox.clear()
        self._final_results_seen.clear()
        self._wake_at = None
        if cluster_spec is not None:
            self._handle(ClusterSpecUpdated(cluster_spec))
        self.read_hosts()
        self.read_claims()

    def kill(self) -> None:
        """Kill the process immediately; its state is lost."""
        self._alive = False

    def pause(self) -> None:
        """Pause the process; it gets no notice."""
        self.paused_since = self._simulation.loop.now

    def resume(self) -> None:
        """Resume, and first handle the events that arrived during the pause."""
        self.paused_since = None
        inbox, self._inbox = self._inbox, []
        for arrived, event in inbox:
            # As in the product, links drop messages that are too old.
            age = self._simulation.loop.now - arrived
            if not isinstance(event, PeerMessageReceived) or age <= MAX_MESSAGE_AGE_S:
                self._handle(event)
        self._handle(Tick())

    def receive(self, host_id: HostId, event: Event) -> None:
        """Handle an event; drop it if its incarnation has been replaced or is dead."""
        if host_id != self._id or not self._alive:
            return
        if self.paused_since is None:
            self._handle(event)
        elif len(self._inbox) < MAX_INBOX:
            self._inbox.append((self._simulation.loop.now, event))

    def read_hosts(self) -> None:
        """Read the platform's list of hosts."""
        listed = self._simulation.host_list.fetch()
        if listed is not None and self._reaches_platform():
            self.receive(self._id, HostListUpdated(listed))

    def read_claims(self) -> None:
        """Read new claims from the log."""
        if not self._alive or self.paused_since is not None:
            return
        if self._reaches_platform():
            claims = self._simulation.log.read(self._log_offset)
            self._log_offset += len(claims)
            if claims:
                self._handle(ClaimsRead(claims))

    def receive_results(self, reply: UpstreamReply) -> None:
        """Receive a reply to the long poll of an upstream's results."""
        self._count_repeats(reply.outcomes)
        self.receive(self._id, ResultsReplied(reply))

    def _reaches_platform(self) -> bool:
        return self._simulation.links.reaches_platform(self._id.zone)

    def _count_repeats(self, outcomes: tuple[TaskOutcome, ...]) -> None:
        for outcome in outcomes:
            if outcome.state in FINAL_STATES:
                self._simulation.traffic.duplicates += (
                    outcome.task in self._final_results_seen
                )
                self._final_results_seen.add(outcome.task)

    def _handle(self, event: Event) -> None:
        now = self._simulation.loop.now
        for effect in self._dispatcher.handle(event, now):
            self._carry_out(effect)
        self._schedule_wake(now)

    def _schedule_wake(self, now: float) -> None:
        wake_at = self._dispatcher.next_wake()
        if wake_at is None:
            return
        wake_at = max(wake_at, now + MIN_WAKE_INTERVAL_S)
        if self._wake_at is not None and now < self._wake_at <= wake_at:
            return
        self._wake_at = wake_at
        host_id = self._id
        self._simulation.loop.at(wake_at, lambda: self._wake(host_id, wake_at))

    # A paused host gets its tick when it resumes.
    def _wake(self, host_id: HostId, when: float) -> None:
        if self._wake_at == when and self.paused_since is None:
            self._wake_at = None
            self.receive(host_id, Tick())

    def _carry_out(self, effect: Effect) -> None:
        traffic = self._simulation.traffic
        match effect:
            case StartTasks():
                traffic.starts += len(effect.starts)
                self._send_starts(effect)
            case QueryTaskStatus():
                traffic.status_queries += 1
                self._send_control(effect, seal=True)
            case StopTasks():
                traffic.stops += 1
                self._send_control(effect, seal=False)
            case AnswerCall(call=call, answer=answer):
                self._simulation.clients.answered(call, answer)
            case IssueIds(call=call, ids=ids):
                self._simulation.clients.ids_issued(call, ids)
            case SendPeerMessage():
                traffic.count_peer(effect)
                self._send_peer(effect)
            case AppendClaim(claim=claim):
                traffic.appends += 1
                self._append(claim)

    def _delay(self, zone: str) -> float:
        return self._simulation.links.delay(self._id.zone, zone)

    def _receive_later(self, delay: float, event: Event) -> None:
        host_id = self._id
        self._simulation.loop.after(delay, lambda: self.receive(host_id, event))

    def _send_starts(self, effect: StartTasks) -> None:
        simulation, host_id = self._simulation, self._id
        tasks = tuple(start.task for start in effect.starts)
        upstream = simulation.upstreams[effect.upstream]
        if not simulation.links.is_connected(host_id.zone, effect.upstream.zone):
            # Bytes may be sent over a partitioned link before the sender notices.
            maybe_sent = simulation.rng.random() < MAYBE_SENT_SHARE
            self._receive_later(
                REPLY_TIMEOUT_S, StartRequestFailed(effect.upstream, tasks, maybe_sent)
            )
            return
        delay = self._delay(effect.upstream.zone)

        def arrive() -> None:
            if not upstream.alive:
                self._receive_later(
                    delay, StartRequestFailed(effect.upstream, tasks, maybe_sent=False)
                )
                return
            verdicts = tuple(upstream.start(host_id, effect.starts))
            simulation.traffic.refused_starts += sum(
                verdict.refusal is not None for verdict in verdicts
            )
            if simulation.should_drop_reply(host_id, upstream):
                failure = StartRequestFailed(effect.upstream, tasks, maybe_sent=True)
                self._receive_later(REPLY_TIMEOUT_S, failure)
                return
            reply = UpstreamReply(effect.upstream, upstream.incarnation, verdicts)
            self._receive_later(delay, StartsReplied(reply))

        simulation.loop.after(delay, arrive)

    def _send_control(self, effect: QueryTaskStatus | StopTasks, seal: bool) -> None:
        simulation, host_id = self._simulation, self._id
        upstream = simulation.upstreams[effect.upstream]
        delay = self._delay(effect.upstream.zone)
        failure = StatusQueryFailed(effect.upstream, effect.tasks)

        def arrive() -> None:
            connected = simulation.links.is_connected(
                host_id.zone, effect.upstream.zone
            )
            outcomes: tuple[TaskOutcome, ...] = ()
            if connected and upstream.alive:
                query = upstream.status if seal else upstream.stop
                outcomes = tuple(
                    query(effect.tasks, seal) if seal else query(effect.tasks)
                )
            if not outcomes or simulation.should_drop_reply(host_id, upstream):
                if seal:
                    self._receive_later(REPLY_TIMEOUT_S, failure)
                return
            reply = UpstreamReply(
                effect.upstream, upstream.incarnation, outcomes=outcomes
            )
            simulation.loop.after(delay, lambda: self._receive_status(host_id, reply))

        simulation.loop.after(delay, arrive)

    def _receive_status(self, host_id: HostId, reply: UpstreamReply) -> None:
        if host_id == self._id:
            self._count_repeats(reply.outcomes)
            self.receive(host_id, StatusReplied(reply))

    def _send_peer(self, effect: SendPeerMessage) -> None:
        simulation, host_id = self._simulation, self._id
        if isinstance(effect.message, Heartbeat):
            simulation.checker.version_seen(
                f"{host_id.zone}.{host_id.name}",
                effect.message.version,
                simulation.loop.now,
            )
        peer = simulation.hosts.get((effect.to.zone, effect.to.name))
        if peer is None or not simulation.links.is_connected(
            host_id.zone, effect.to.zone
        ):
            return
        if simulation.links.loses_peer_message():
            return
        event = PeerMessageReceived(host_id, effect.message)
        delay = self._delay(effect.to.zone)
        to = effect.to

        def arrive() -> None:
            # Links reject messages for another incarnation, except for some types.
            if to == peer.id or isinstance(event.message, MESSAGES_FOR_ANY_INCARNATION):
                peer.receive(peer.id, event)

        simulation.loop.after(delay, arrive)

    def _append(self, claim) -> None:
        host_id = self._id

        def on_result(appended: bool | None) -> None:
            self.receive(host_id, ClaimAppendCompleted(claim, appended))

        if self._reaches_platform():
            self._simulation.log.append(claim, on_result)
        else:
            self._receive_later(REPLY_TIMEOUT_S, ClaimAppendCompleted(claim, False))
