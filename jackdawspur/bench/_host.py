"""One entry host: a dispatcher whose effects the fakes carry out."""

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

# A reply that never comes is noticed after this time.
LOST_REPLY_S = 0.2
SHORTEST_WAKE_S = 0.001
INBOX_LIMIT = 5000
LEFT_SHARE = 0.5
LINK_MAX_AGE_S = 2.0
FOR_ANY_RUN = (Heartbeat, RecordsWanted, RecordsPassed)
FINAL_STATES = (TaskState.DONE, TaskState.FAILED, TaskState.STOPPED)


class SimulatedHost:
    """Run one dispatcher after the other at one entry host."""

    def __init__(
        self, zone: str, name: str, simulation: "Simulation", make: DispatcherFactory
    ) -> None:
        self.paused_since: float | None = None
        self.draining_since: float | None = None
        self._id = HostId(zone, name, 0)
        self._simulation = simulation
        self._make = make
        self._alive = False
        self._inbox: list[tuple[float, Event]] = []
        self._wake_at: float | None = None
        self._claims_read = 0
        self._seen: set[TaskId] = set()

    @property
    def id(self) -> HostId:
        """Return the present run, or the last one of a dead host."""
        return self._id

    @property
    def alive(self) -> bool:
        """Tell whether the process runs, paused or not."""
        return self._alive

    def boot(self, world: ClusterSpec | None) -> None:
        """Start a new run with a configuration, if one can be had."""
        self._id = HostId(self._id.zone, self._id.name, self._id.incarnation + 1)
        rng = random.Random(f"{self._simulation.seed} {self._id}")
        self._dispatcher = self._make(self._id, rng, self._simulation.loop.now)
        self._alive = True
        self.paused_since = self.draining_since = None
        self._claims_read = 0
        self._inbox.clear()
        self._seen.clear()
        self._wake_at = None
        if world is not None:
            self._handle(ClusterSpecUpdated(world))
        self.read_hosts()
        self.read_claims()

    def kill(self) -> None:
        """End the run at once; whatever it knew is gone."""
        self._alive = False

    def pause(self) -> None:
        """Stop the process without its knowing."""
        self.paused_since = self._simulation.loop.now

    def resume(self) -> None:
        """Go on, with what arrived meanwhile first."""
        self.paused_since = None
        inbox, self._inbox = self._inbox, []
        for arrived, event in inbox:
            # Links drop what waited too long, as the real ones do.
            age = self._simulation.loop.now - arrived
            if not isinstance(event, PeerMessageReceived) or age <= LINK_MAX_AGE_S:
                self._handle(event)
        self._handle(Tick())

    def receive(self, run: HostId, event: Event) -> None:
        """Take an event meant for one run; a dead run's events are lost."""
        if run != self._id or not self._alive:
            return
        if self.paused_since is None:
            self._handle(event)
        elif len(self._inbox) < INBOX_LIMIT:
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
            claims = self._simulation.log.read(self._claims_read)
            self._claims_read += len(claims)
            if claims:
                self._handle(ClaimsRead(claims))

    def take_results(self, reply: UpstreamReply) -> None:
        """Receive a reply to the standing read of an upstream's results."""
        self._count_repeats(reply.outcomes)
        self.receive(self._id, ResultsReplied(reply))

    def _reaches_platform(self) -> bool:
        return self._simulation.links.reaches_platform(self._id.zone)

    def _count_repeats(self, outcomes: tuple[TaskOutcome, ...]) -> None:
        for outcome in outcomes:
            if outcome.state in FINAL_STATES:
                self._simulation.traffic.duplicates += outcome.task in self._seen
                self._seen.add(outcome.task)

    def _handle(self, event: Event) -> None:
        now = self._simulation.loop.now
        for effect in self._dispatcher.handle(event, now):
            self._carry_out(effect)
        self._schedule_wake(now)

    def _schedule_wake(self, now: float) -> None:
        wanted = self._dispatcher.next_wake()
        if wanted is None:
            return
        wanted = max(wanted, now + SHORTEST_WAKE_S)
        if self._wake_at is not None and now < self._wake_at <= wanted:
            return
        self._wake_at = wanted
        run = self._id
        self._simulation.loop.at(wanted, lambda: self._wake(run, wanted))

    # A paused host gets its tick when it goes on.
    def _wake(self, run: HostId, when: float) -> None:
        if self._wake_at == when and self.paused_since is None:
            self._wake_at = None
            self.receive(run, Tick())

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

    def _later(self, delay: float, event: Event) -> None:
        run = self._id
        self._simulation.loop.after(delay, lambda: self.receive(run, event))

    def _send_starts(self, effect: StartTasks) -> None:
        simulation, run = self._simulation, self._id
        tasks = tuple(start.task for start in effect.starts)
        upstream = simulation.upstreams[effect.upstream]
        if not simulation.links.is_connected(run.zone, effect.upstream.zone):
            # Bytes may leave for a cut link before the sender notices.
            left = simulation.rng.random() < LEFT_SHARE
            self._later(LOST_REPLY_S, StartRequestFailed(effect.upstream, tasks, left))
            return
        delay = self._delay(effect.upstream.zone)

        def arrive() -> None:
            if not upstream.alive:
                self._later(
                    delay, StartRequestFailed(effect.upstream, tasks, maybe_sent=False)
                )
                return
            verdicts = tuple(upstream.start(run, effect.starts))
            simulation.traffic.refused_starts += sum(
                verdict.refusal is not None for verdict in verdicts
            )
            if simulation.should_drop_reply(run, upstream):
                lost = StartRequestFailed(effect.upstream, tasks, maybe_sent=True)
                self._later(LOST_REPLY_S, lost)
                return
            reply = UpstreamReply(effect.upstream, upstream.incarnation, verdicts)
            self._later(delay, StartsReplied(reply))

        simulation.loop.after(delay, arrive)

    def _send_control(self, effect: QueryTaskStatus | StopTasks, seal: bool) -> None:
        simulation, run = self._simulation, self._id
        upstream = simulation.upstreams[effect.upstream]
        delay = self._delay(effect.upstream.zone)
        lost = StatusQueryFailed(effect.upstream, effect.tasks)

        def arrive() -> None:
            joined = simulation.links.is_connected(run.zone, effect.upstream.zone)
            outcomes: tuple[TaskOutcome, ...] = ()
            if joined and upstream.alive:
                ask = upstream.status if seal else upstream.stop
                outcomes = tuple(ask(effect.tasks, seal) if seal else ask(effect.tasks))
            if not outcomes or simulation.should_drop_reply(run, upstream):
                if seal:
                    self._later(LOST_REPLY_S, lost)
                return
            reply = UpstreamReply(
                effect.upstream, upstream.incarnation, outcomes=outcomes
            )
            simulation.loop.after(delay, lambda: self._take_status(run, reply))

        simulation.loop.after(delay, arrive)

    def _take_status(self, run: HostId, reply: UpstreamReply) -> None:
        if run == self._id:
            self._count_repeats(reply.outcomes)
            self.receive(run, StatusReplied(reply))

    def _send_peer(self, effect: SendPeerMessage) -> None:
        simulation, run = self._simulation, self._id
        if isinstance(effect.message, Heartbeat):
            simulation.checker.version_seen(
                f"{run.zone}.{run.name}", effect.message.version, simulation.loop.now
            )
        peer = simulation.hosts.get((effect.to.zone, effect.to.name))
        if peer is None or not simulation.links.is_connected(run.zone, effect.to.zone):
            return
        if simulation.links.loses_peer_message():
            return
        event = PeerMessageReceived(run, effect.message)
        delay = self._delay(effect.to.zone)
        to = effect.to

        def arrive() -> None:
            # Links refuse what was meant for another run, but for some kinds.
            if to == peer.id or isinstance(event.message, FOR_ANY_RUN):
                peer.receive(peer.id, event)

        simulation.loop.after(delay, arrive)

    def _append(self, claim) -> None:
        run = self._id

        def reported(appended: bool | None) -> None:
            self.receive(run, ClaimAppendCompleted(claim, appended))

        if self._reaches_platform():
            self._simulation.log.append(claim, reported)
        else:
            self._later(LOST_REPLY_S, ClaimAppendCompleted(claim, False))
