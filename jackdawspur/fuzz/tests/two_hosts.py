"""Two entry hosts, two upstreams, a log and links, all controlled by a test."""

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

__all__ = ["FuzzUpstream", "TwoHosts"]

STEP_S = 0.05
MAX_MESSAGE_AGE_S = 2.0


@dataclass
class FuzzUpstream:
    """The actual state of one upstream, whether hosts know of it or not."""

    id: UpstreamId
    incarnation: int = 1
    tasks: dict[TaskId, TaskState] = field(default_factory=dict)
    holders: dict[TaskId, HostId] = field(default_factory=dict)
    sealed: set[TaskId] = field(default_factory=set)

    def restart(self) -> None:
        """Lose all state and start a new incarnation."""
        self.incarnation += 1
        self.tasks.clear()
        self.sealed.clear()

    def status(self, tasks) -> tuple[TaskOutcome, ...]:
        """Return the states of tasks and seal those that never arrived."""
        self.sealed.update(task for task in tasks if task not in self.tasks)
        absent = TaskState.SEALED if self.incarnation == 1 else TaskState.UNKNOWN
        return tuple(TaskOutcome(t, self.tasks.get(t, absent), "out") for t in tasks)


class TwoHosts:
    """Execute effects only on request, and check invariants of starts and answers."""

    def __init__(self) -> None:
        self.now = 0.0
        self.cores: dict[str, EntryCore] = {}
        self.upstreams = {u.id: FuzzUpstream(u.id) for u in UPSTREAMS}
        self.paused: set[str] = set()
        self.log: list[Claim] = []
        self.log_cursors: dict[str, int] = {}
        self.sent_batches: list[tuple[HostId, StartTasks]] = []
        self.status_queries: list[tuple[HostId, QueryTaskStatus]] = []
        self.pending_claims: list[tuple[HostId, Claim]] = []
        self.pending_messages: list[tuple[float, HostId, SendPeerMessage]] = []
        self.events: list[tuple[HostId, Event]] = []
        self.issued_ids = []
        self.calls: dict[int, tuple[HostId, str | None]] = {}
        self.unreceived_calls: set[int] = set()
        self.answers: dict[int, Answer] = {}
        self.started: Counter[str] = Counter()
        self.declared_not_run: set[str] = set()
        for host in (LOCAL_ID, ZONE_PEER):
            self.start_host(host)
        self.tick(1.0)

    def start_host(self, host: HostId) -> None:
        """Start a new incarnation of a host, without any state."""
        rng = random.Random(str(host))
        self.cores[host.name] = EntryCore(host, rng, self.now)
        self.paused.discard(host.name)
        self.log_cursors[host.name] = 0
        self.deliver_event(host, ClusterSpecUpdated(CLUSTER_SPEC))

    def deliver_event(self, host: HostId, event: Event) -> None:
        """Pass an event to an incarnation of a host, if it is still running."""
        core = self.cores[host.name]
        if core.host == host and host.name not in self.paused:
            for effect in core.handle(event, self.now):
                self._execute(host, effect)

    def make_call(self, name: str, make_event, work: str | None) -> None:
        """Send a caller's request to a host.

        `work` identifies the requested job across resubmissions.
        """
        call_id = len(self.calls) + 1
        host = self.cores[name].host
        self.calls[call_id] = (host, work)
        if name in self.paused:
            self.unreceived_calls.add(call_id)
        self.deliver_event(host, make_event(call_id))

    def tick(self, seconds: float) -> None:
        """Advance time in steps, at the hosts that are not paused."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for core in list(self.cores.values()):
                self.deliver_event(core.host, Tick())
            self._deliver_heartbeats()

    def deliver_message(self, index: int, keep: bool = False) -> None:
        """Deliver a message of a link, unless it is too old."""
        sent_at, sender, effect = self.pending_messages[index]
        if not keep:
            del self.pending_messages[index]
        if self.now - sent_at <= MAX_MESSAGE_AGE_S:
            self.deliver_event(effect.to, PeerMessageReceived(sender, effect.message))

    def accept_batch(self, index: int, reply: bool) -> None:
        """Let an upstream accept a batch of starts; its reply may get lost."""
        host, effect = self.sent_batches.pop(index)
        upstream = self.upstreams[effect.upstream]
        verdicts = tuple(
            self._verdict(upstream, host, start) for start in effect.starts
        )
        if reply:
            answer = UpstreamReply(upstream.id, upstream.incarnation, verdicts)
            self.deliver_event(host, StartsReplied(answer))
        else:
            self.fail_batch(host, effect, maybe_sent=True)

    def refuse_batch(self, index: int) -> None:
        """Let an upstream refuse a batch of starts."""
        host, effect = self.sent_batches.pop(index)
        upstream = self.upstreams[effect.upstream]
        refusal = RefusalReason.FULL
        verdicts = tuple(StartVerdict(start.task, refusal) for start in effect.starts)
        self.deliver_event(
            host,
            StartsReplied(UpstreamReply(upstream.id, upstream.incarnation, verdicts)),
        )

    def fail_batch(self, host: HostId, effect: StartTasks, maybe_sent: bool) -> None:
        """Report to a host that its batch of starts got no reply."""
        tasks = tuple(start.task for start in effect.starts)
        self.deliver_event(host, StartRequestFailed(effect.upstream, tasks, maybe_sent))

    def answer_status_query(self, index: int) -> None:
        """Let an upstream answer a status query."""
        host, effect = self.status_queries.pop(index)
        upstream = self.upstreams[effect.upstream]
        outcomes = upstream.status(effect.tasks)
        reply = UpstreamReply(upstream.id, upstream.incarnation, outcomes=outcomes)
        self.deliver_event(host, StatusReplied(reply))

    def read_claims(self, name: str) -> None:
        """Let a host read the log to its end."""
        cursor, self.log_cursors[name] = self.log_cursors[name], len(self.log)
        self.deliver_event(self.cores[name].host, ClaimsRead(tuple(self.log[cursor:])))

    def _verdict(self, upstream: FuzzUpstream, host: HostId, start) -> StartVerdict:
        if start.task in upstream.sealed:
            return StartVerdict(start.task, RefusalReason.SEALED)
        if start.task in upstream.tasks:
            return StartVerdict(start.task, RefusalReason.DUPLICATE)
        upstream.tasks[start.task] = TaskState.RUNNING
        upstream.holders[start.task] = host
        self.started[start.payload] += 1
        assert self.started[start.payload] == 1, f"{start.payload} started twice"
        work = start.payload.split("/")[0]
        assert work not in self.declared_not_run, f"{work} was reported as not run"
        return StartVerdict(start.task)

    def _execute(self, host: HostId, effect) -> None:
        match effect:
            case StartTasks():
                self.sent_batches.append((host, effect))
            case QueryTaskStatus():
                self.status_queries.append((host, effect))
            case StopTasks(upstream=upstream, tasks=tasks):
                self._stop_tasks(self.upstreams[upstream], tasks)
            case AppendClaim(claim=claim):
                self.pending_claims.append((host, claim))
            case SendPeerMessage():
                self.pending_messages.append((self.now, host, effect))
            case IssueIds(ids=ids):
                self.issued_ids += ids
            case AnswerCall(call=call, answer=answer):
                self._check_answer(call, answer)

    def _stop_tasks(self, upstream: FuzzUpstream, tasks) -> None:
        for task in tasks:
            if upstream.tasks.get(task) is TaskState.RUNNING:
                upstream.tasks[task] = TaskState.STOPPED
        upstream.status(tasks)

    def _check_answer(self, call: int, answer: Answer) -> None:
        assert call not in self.answers, f"call {call} answered twice"
        self.answers[call] = answer
        work = self.calls[call][1]
        if not answer.not_run or work is None:
            return
        started_payloads = [p for p in self.started if p.split("/")[0] == work]
        assert not started_payloads, f"{work} is reported as not run: {answer}"
        self.declared_not_run.add(work)

    def _deliver_heartbeats(self) -> None:
        """Deliver heartbeats at once, so that the hosts consider each other alive."""
        heartbeats = [sent for sent in self.pending_messages if _is_heartbeat(sent[2])]
        self.pending_messages = [
            sent for sent in self.pending_messages if not _is_heartbeat(sent[2])
        ]
        for _, sender, effect in heartbeats:
            peer = self.cores.get(effect.to.name)
            if peer is not None and effect.to.zone == LOCAL_ID.zone:
                self.deliver_event(
                    peer.host, PeerMessageReceived(sender, effect.message)
                )


def _is_heartbeat(effect: SendPeerMessage) -> bool:
    return isinstance(effect.message, Heartbeat | Pulse)
