"""Two entry hosts, two upstreams, a log and links, all at the mercy of a test."""

import random
from collections import Counter
from dataclasses import dataclass, field

from jackdawspur.dispatch import (
    AnswerCall,
    AppendClaim,
    Claim,
    ClaimsRead,
    ClusterSpecUpdated,
    EntryCore,
    Event,
    IssueIds,
    PeerMessageReceived,
    QueryTaskStatus,
    SendPeerMessage,
    StartRequestFailed,
    StartsReplied,
    StartTasks,
    StatusReplied,
    StopTasks,
    Tick,
)
from jackdawspur.dispatch.tests.conftest import (
    CLUSTER_SPEC,
    LOCAL_ID,
    UPSTREAMS,
    ZONE_PEER,
)
from jackdawspur.external import RefusalReason, StartVerdict, UpstreamReply
from jackdawspur.messages import Heartbeat, Pulse
from jackdawspur.model import Answer, HostId, TaskId, TaskOutcome, TaskState, UpstreamId

__all__ = ["Rack", "TwoHosts"]

STEP_S = 0.05
LINK_AGE_S = 2.0


@dataclass
class Rack:
    """Keep what one upstream truly did."""

    id: UpstreamId
    run: int = 1
    tasks: dict[TaskId, TaskState] = field(default_factory=dict)
    holders: dict[TaskId, HostId] = field(default_factory=dict)
    barred: set[TaskId] = field(default_factory=set)

    def restart(self) -> None:
        """Forget all under a new run."""
        self.run += 1
        self.tasks.clear()
        self.barred.clear()

    def status(self, tasks) -> tuple[TaskOutcome, ...]:
        """Tell how far tasks are, and bar the ones that are not there."""
        self.barred.update(task for task in tasks if task not in self.tasks)
        proof = TaskState.SEALED if self.run == 1 else TaskState.UNKNOWN
        return tuple(TaskOutcome(t, self.tasks.get(t, proof), "out") for t in tasks)


class TwoHosts:
    """Carry out effects only when told to, and judge what happens."""

    def __init__(self) -> None:
        self.now = 0.0
        self.cores: dict[str, EntryCore] = {}
        self.racks = {u.id: Rack(u.id) for u in UPSTREAMS}
        self.paused: set[str] = set()
        self.log: list[Claim] = []
        self.cursors: dict[str, int] = {}
        self.sent: list[tuple[HostId, StartTasks]] = []
        self.asked: list[tuple[HostId, QueryTaskStatus]] = []
        self.claims: list[tuple[HostId, Claim]] = []
        self.links: list[tuple[float, HostId, SendPeerMessage]] = []
        self.events: list[tuple[HostId, Event]] = []
        self.ids = []
        self.calls: dict[int, tuple[HostId, str | None]] = {}
        self.unheard: set[int] = set()
        self.answers: dict[int, Answer] = {}
        self.started: Counter[str] = Counter()
        self.not_run: set[str] = set()
        for host in (LOCAL_ID, ZONE_PEER):
            self.boot(host)
        self.tick(1.0)

    def boot(self, host: HostId) -> None:
        """Start a run of a host that remembers nothing."""
        rng = random.Random(str(host))
        self.cores[host.name] = EntryCore(host, rng, self.now)
        self.paused.discard(host.name)
        self.cursors[host.name] = 0
        self.give(host, ClusterSpecUpdated(CLUSTER_SPEC))

    def give(self, host: HostId, event: Event) -> None:
        """Let an event happen at a run of a host, if that still is there."""
        core = self.cores[host.name]
        if core.host == host and host.name not in self.paused:
            for effect in core.handle(event, self.now):
                self._take(host, effect)

    def call(self, name: str, make, request: str | None) -> None:
        """Let a caller ask a host something; `request` names the work."""
        number = len(self.calls) + 1
        host = self.cores[name].host
        self.calls[number] = (host, request)
        if name in self.paused:
            self.unheard.add(number)
        self.give(host, make(number))

    def tick(self, seconds: float) -> None:
        """Let time pass at the hosts that are awake."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for core in list(self.cores.values()):
                self.give(core.host, Tick())
            self._beat()

    def deliver(self, place: int, keep: bool = False) -> None:
        """Let a link bring a message, as long as it is not too old."""
        at, sender, effect = self.links[place]
        if not keep:
            del self.links[place]
        if self.now - at <= LINK_AGE_S:
            self.give(effect.to, PeerMessageReceived(sender, effect.message))

    def start(self, place: int, reply: bool) -> None:
        """Let an upstream take a batch; its reply may get lost."""
        host, effect = self.sent.pop(place)
        rack = self.racks[effect.upstream]
        verdicts = tuple(self._verdict(rack, host, one) for one in effect.starts)
        if reply:
            answer = UpstreamReply(rack.id, rack.run, verdicts)
            self.give(host, StartsReplied(answer))
        else:
            self.lose(host, effect, left=True)

    def refuse(self, place: int) -> None:
        """Let an upstream refuse a batch."""
        host, effect = self.sent.pop(place)
        rack = self.racks[effect.upstream]
        full = RefusalReason.FULL
        verdicts = tuple(StartVerdict(one.task, full) for one in effect.starts)
        self.give(host, StartsReplied(UpstreamReply(rack.id, rack.run, verdicts)))

    def lose(self, host: HostId, effect: StartTasks, left: bool) -> None:
        """Let a host notice that no reply came for its batch."""
        tasks = tuple(one.task for one in effect.starts)
        self.give(host, StartRequestFailed(effect.upstream, tasks, left))

    def tell_status(self, place: int) -> None:
        """Let an upstream answer a status query."""
        host, effect = self.asked.pop(place)
        rack = self.racks[effect.upstream]
        outcomes = rack.status(effect.tasks)
        reply = UpstreamReply(rack.id, rack.run, outcomes=outcomes)
        self.give(host, StatusReplied(reply))

    def read_claims(self, name: str) -> None:
        """Let a host read the log to its end."""
        cursor, self.cursors[name] = self.cursors[name], len(self.log)
        self.give(self.cores[name].host, ClaimsRead(tuple(self.log[cursor:])))

    def _verdict(self, rack: Rack, host: HostId, one) -> StartVerdict:
        if one.task in rack.barred:
            return StartVerdict(one.task, RefusalReason.SEALED)
        if one.task in rack.tasks:
            return StartVerdict(one.task, RefusalReason.DUPLICATE)
        rack.tasks[one.task] = TaskState.RUNNING
        rack.holders[one.task] = host
        self.started[one.payload] += 1
        assert self.started[one.payload] == 1, f"{one.payload} started twice"
        request = one.payload.split("/")[0]
        assert request not in self.not_run, f"{request} was called not run"
        return StartVerdict(one.task)

    def _take(self, host: HostId, effect) -> None:
        match effect:
            case StartTasks():
                self.sent.append((host, effect))
            case QueryTaskStatus():
                self.asked.append((host, effect))
            case StopTasks(upstream=upstream, tasks=tasks):
                self._stop(self.racks[upstream], tasks)
            case AppendClaim(claim=claim):
                self.claims.append((host, claim))
            case SendPeerMessage():
                self.links.append((self.now, host, effect))
            case IssueIds(ids=ids):
                self.ids += ids
            case AnswerCall(call=call, answer=answer):
                self._judge(call, answer)

    def _stop(self, rack: Rack, tasks) -> None:
        for task in tasks:
            if rack.tasks.get(task) is TaskState.RUNNING:
                rack.tasks[task] = TaskState.STOPPED
        rack.status(tasks)

    def _judge(self, call: int, answer: Answer) -> None:
        assert call not in self.answers, f"call {call} answered twice"
        self.answers[call] = answer
        request = self.calls[call][1]
        if not answer.not_run or request is None:
            return
        ran = [p for p in self.started if p.split("/")[0] == request]
        assert not ran, f"{request} is called not run: {answer}"
        self.not_run.add(request)

    def _beat(self) -> None:
        """Bring heartbeats at once, so that hosts know each other."""
        beats = [one for one in self.links if _is_beat(one[2])]
        self.links = [one for one in self.links if not _is_beat(one[2])]
        for _, sender, effect in beats:
            peer = self.cores.get(effect.to.name)
            if peer is not None and effect.to.zone == LOCAL_ID.zone:
                self.give(peer.host, PeerMessageReceived(sender, effect.message))


def _is_beat(effect: SendPeerMessage) -> bool:
    return isinstance(effect.message, Heartbeat | Pulse)
