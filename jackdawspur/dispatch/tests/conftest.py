"""Harness that drives the dispatch logic of one host without adapters."""

import random
from dataclasses import dataclass, field

import pytest

from jackdawspur.dispatch import (
    AnswerCall,
    ClusterSpecUpdated,
    EntryCore,
    PeerMessageReceived,
    ResultsReplied,
    SendPeerMessage,
    StartsReplied,
    StartTasks,
    Submitted,
    Tick,
)
from jackdawspur.external import StartVerdict, UpstreamReply
from jackdawspur.messages import Heartbeat
from jackdawspur.model import (
    Answer,
    ClusterSpec,
    Customer,
    EntryHost,
    HostId,
    JobRequest,
    TaskId,
    TaskOutcome,
    TaskSpec,
    TaskState,
    Upstream,
    UpstreamId,
)

LOCAL_ID = HostId("north", "e1", 100)
ZONE_PEER = HostId("north", "e2", 200)
FIRST_INCARNATION = 7
SECOND_INCARNATION = 8
UPSTREAMS = tuple(
    Upstream(UpstreamId("north", f"w{n}"), f"127.0.0.1:1820{n}", rack=f"r{n % 2}")
    for n in range(2)
)
CLUSTER_SPEC = ClusterSpec(
    version=1,
    customers=(
        Customer("roster", quota_slots=64),
        Customer("maps", quota_slots=64),
    ),
    entry_hosts=(
        EntryHost("north", "e1", "127.0.0.1:1", "127.0.0.1:2"),
        EntryHost("north", "e2", "127.0.0.1:3", "127.0.0.1:4"),
        EntryHost("south", "e1", "127.0.0.1:5", "127.0.0.1:6"),
    ),
    upstreams=UPSTREAMS,
)


def make_request(tasks: int = 2, **changes) -> JobRequest:
    """Return a request with equal tasks."""
    fields = {"customer": "roster", "job_class": "confirm", "deadline_ms": 5000.0}
    specs = tuple(TaskSpec(f"{n}", 100.0) for n in range(tasks))
    return JobRequest(tasks=specs, **(fields | changes))


@dataclass
class CoreHarness:
    """Send events to one core and record its effects."""

    core: EntryCore
    now: float = 0.0
    effects: list = field(default_factory=list)

    def send_event(self, event) -> list:
        """Handle an event now, and return its effects."""
        effects = self.core.handle(event, self.now)
        self.effects += effects
        return effects

    def wait(self, seconds: float, step: float = 0.05) -> list:
        """Advance the time in steps, with a tick at each."""
        effects = []
        until = self.now + seconds
        while self.now < until - 1e-9:
            self.now = min(until, self.now + step)
            effects += self.send_event(Tick())
        return effects

    def submit(self, request: JobRequest, call: int = 1) -> list[StartTasks]:
        """Submit a job and return the starts that it caused."""
        return starts_in(self.send_event(Submitted(call, request)))

    def reply_to_starts(
        self, start: StartTasks, refusal=None, incarnation: int = FIRST_INCARNATION
    ) -> list:
        """Send the reply of an upstream to a batch of starts."""
        verdicts = tuple(StartVerdict(s.task, refusal) for s in start.starts)
        return self.send_event(
            StartsReplied(UpstreamReply(start.upstream, incarnation, verdicts))
        )

    def report_results(
        self,
        start: StartTasks,
        state=TaskState.DONE,
        incarnation: int = FIRST_INCARNATION,
    ) -> list:
        """Send an upstream's report that the tasks of a batch ended."""
        outcomes = tuple(
            TaskOutcome(s.task, state, f"out-{s.payload}") for s in start.starts
        )
        reply = UpstreamReply(start.upstream, incarnation, outcomes=outcomes)
        return self.send_event(ResultsReplied(reply))

    def receive_heartbeat(self, host: HostId, **changes) -> list:
        """Receive a heartbeat of a peer."""
        fields = {
            "sequence": int(self.now * 1000) + 1,
            "ready": True,
            "draining": False,
            "version": 1,
            "free_slots": 0,
            "waiting_tasks": 0,
            "backlog_ms": 0.0,
        }
        return self.send_event(
            PeerMessageReceived(host, Heartbeat(host, **(fields | changes)))
        )

    @property
    def started(self) -> list[TaskId]:
        """Return the tasks of all starts sent so far, repeated ones included."""
        return [s.task for e in starts_in(self.effects) for s in e.starts]


def starts_in(effects) -> list[StartTasks]:
    """Return the batches of starts among the effects."""
    return [e for e in effects if isinstance(e, StartTasks)]


def answers_in(effects) -> list[Answer]:
    """Return the answers to callers among the effects."""
    return [e.answer for e in effects if isinstance(e, AnswerCall)]


def messages_in(effects, kind) -> list:
    """Return the messages of one type among the effects."""
    sent = [e.message for e in effects if isinstance(e, SendPeerMessage)]
    return [message for message in sent if isinstance(message, kind)]


@pytest.fixture
def harness() -> CoreHarness:
    """Return a host with two upstreams and no live peer in its zone."""
    harness = CoreHarness(EntryCore(LOCAL_ID, random.Random(1), 0.0))
    harness.send_event(ClusterSpecUpdated(CLUSTER_SPEC))
    harness.wait(1.0)
    return harness
