"""The core logic of an entry host in a cluster of a given size, driven by events."""

import random
import time
from collections import Counter
from dataclasses import dataclass

from jackdawspur.dispatch import (
    AnswerCall,
    ClusterSpecUpdated,
    EntryCore,
    Event,
    PeerMessageReceived,
    ResultsReplied,
    StartsReplied,
    StartTasks,
    Submitted,
    Tick,
)
from jackdawspur.external import StartVerdict, UpstreamReply
from jackdawspur.messages import Message
from jackdawspur.model import (
    ClusterSpec,
    Customer,
    EntryHost,
    HostId,
    JobRequest,
    JobState,
    TaskOutcome,
    TaskSpec,
    TaskState,
    Upstream,
    UpstreamId,
)

__all__ = [
    "DrivenHost",
    "Sizes",
    "MeasurementError",
    "make_host_id",
    "make_cluster_spec",
]

RUN_MS = 200.0
QUOTA = 100_000
UPSTREAM_INCARNATION = 1
HOST_INCARNATION = 1
TICK_S = 0.05


class MeasurementError(Exception):
    """Raised when a host did not do the work to be measured."""


@dataclass(frozen=True, slots=True)
class Sizes:
    """Sizes of a cluster; `upstreams` and `hosts` count those of one zone."""

    upstreams: int = 64
    hosts: int = 1
    zones: int = 1
    customers: int = 1


def make_host_id(zone: int, host: int) -> HostId:
    """Return the id of an entry host of the synthetic cluster."""
    return HostId(f"zone-{zone:02}", f"e{host:02}", HOST_INCARNATION)


def make_cluster_spec(sizes: Sizes) -> ClusterSpec:
    """Return a cluster spec; only the first zone has upstreams."""
    hosts = [make_host_id(z, h) for z in range(sizes.zones) for h in range(sizes.hosts)]
    return ClusterSpec(
        version=1,
        customers=tuple(
            Customer(f"team-{number:03}", QUOTA) for number in range(sizes.customers)
        ),
        entry_hosts=tuple(
            EntryHost(host.zone, host.name, f"10.0.0.1:{n}", f"10.0.0.2:{n}")
            for n, host in enumerate(hosts)
        ),
        upstreams=tuple(
            Upstream(UpstreamId("zone-00", f"w{n:04}"), f"10.0.1.1:{n}")
            for n in range(sizes.upstreams)
        ),
    )


class DrivenHost:
    """Pass events to the core of one host and sum its processor time by event type."""

    def __init__(self, sizes: Sizes) -> None:
        self.sizes = sizes
        self.core = EntryCore(make_host_id(0, 0), random.Random(1), 0.0)
        self.now = 0.0
        self.cpu_s: Counter[type] = Counter()
        self.event_counts: Counter[type] = Counter()
        self._last_call = 0
        self._complete_jobs = 0
        self.handle(ClusterSpecUpdated(make_cluster_spec(sizes)))

    def handle(self, event: Event) -> list:
        """Pass an event to the core and return its effects."""
        started = time.process_time()
        effects = self.core.handle(event, self.now)
        kind = type(event.message if isinstance(event, PeerMessageReceived) else event)
        self.cpu_s[kind] += time.process_time() - started
        self.event_counts[kind] += 1
        return effects

    def receive(self, sender: HostId, message: Message) -> list:
        """Pass a peer's message to the core and return its effects."""
        return self.handle(PeerMessageReceived(sender, message))

    def tick(self) -> list:
        """Advance time by one tick and return the effects."""
        self.now += TICK_S
        return self.handle(Tick())

    def reset_counters(self) -> None:
        """Reset the processor times and counts of events."""
        self.cpu_s.clear()
        self.event_counts.clear()

    def submit(self, tasks: int, customer: int = 0) -> list:
        """Submit a job and return its effects."""
        self._last_call += 1
        specs = tuple(TaskSpec("x" * 32, RUN_MS) for _ in range(tasks))
        name = f"team-{customer:03}"
        request = JobRequest(name, f"class-{self._last_call % 4}", specs, 60_000.0)
        return self.handle(Submitted(self._last_call, request))

    def accept(self, effects: list) -> list[StartTasks]:
        """Accept all starts for the upstreams and return them."""
        starts = [effect for effect in effects if isinstance(effect, StartTasks)]
        for batch in starts:
            verdicts = tuple(StartVerdict(start.task) for start in batch.starts)
            reply = UpstreamReply(batch.upstream, UPSTREAM_INCARNATION, verdicts)
            self._count_complete(self.handle(StartsReplied(reply)))
        return starts

    def finish(self, starts: list[StartTasks]) -> None:
        """Complete all tasks of these starts."""
        for batch in starts:
            outcomes = tuple(
                TaskOutcome(start.task, TaskState.DONE, "y" * 32)
                for start in batch.starts
            )
            reply = UpstreamReply(
                batch.upstream, UPSTREAM_INCARNATION, outcomes=outcomes
            )
            self._count_complete(self.handle(ResultsReplied(reply)))

    def run_job(self, tasks: int, customer: int = 0) -> None:
        """Run one job from its submission to its complete answer."""
        complete_before = self._complete_jobs
        starts = self.accept(self.submit(tasks, customer))
        if sum(len(batch.starts) for batch in starts) != tasks:
            raise MeasurementError(f"not all {tasks} tasks started at once")
        self.now += RUN_MS / 1000.0
        self.handle(Tick())
        self.finish(starts)
        if self._complete_jobs != complete_before + 1:
            raise MeasurementError("the job did not complete")

    def _count_complete(self, effects: list) -> None:
        for effect in effects:
            if not isinstance(effect, AnswerCall):
                continue
            if effect.answer.state is not JobState.COMPLETE:
                raise MeasurementError(f"a job ended as {effect.answer}")
            self._complete_jobs += 1
