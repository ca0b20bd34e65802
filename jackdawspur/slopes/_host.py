"""One entry host's decisions in a world of a given size, driven by events."""

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

__all__ = ["DrivenHost", "Sizes", "WrongRun", "peer_of", "world_of_size"]

RUN_MS = 200.0
QUOTA = 100_000
UPSTREAM_RUN = 1
HOST_RUN = 1
TICK_S = 0.05


class WrongRun(Exception):
    """Raise when a host did not do what was to be measured."""


@dataclass(frozen=True, slots=True)
class Sizes:
    """State the size of a world; upstreams and hosts are those of one zone."""

    upstreams: int = 64
    hosts: int = 1
    zones: int = 1
    customers: int = 1


def peer_of(zone: int, host: int) -> HostId:
    """Return the name of an entry host of the made-up world."""
    return HostId(f"zone-{zone:02}", f"e{host:02}", HOST_RUN)


def world_of_size(sizes: Sizes) -> ClusterSpec:
    """Return a world; only the first zone has upstreams."""
    hosts = [peer_of(z, h) for z in range(sizes.zones) for h in range(sizes.hosts)]
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
    """Hand events to one host and add up the processor time that it takes."""

    def __init__(self, sizes: Sizes) -> None:
        self.sizes = sizes
        self.core = EntryCore(peer_of(0, 0), random.Random(1), 0.0)
        self.now = 0.0
        self.spent_s: Counter[type] = Counter()
        self.handled: Counter[type] = Counter()
        self._calls = 0
        self._complete = 0
        self.do(ClusterSpecUpdated(world_of_size(sizes)))

    def do(self, event: Event) -> list:
        """Let an event happen now and return its effects."""
        begun = time.process_time()
        effects = self.core.handle(event, self.now)
        kind = type(event.message if isinstance(event, PeerMessageReceived) else event)
        self.spent_s[kind] += time.process_time() - begun
        self.handled[kind] += 1
        return effects

    def hear(self, sender: HostId, message: Message) -> list:
        """Let a message of a peer arrive."""
        return self.do(PeerMessageReceived(sender, message))

    def tick(self) -> list:
        """Let the time of one tick pass."""
        self.now += TICK_S
        return self.do(Tick())

    def forget(self) -> None:
        """Begin to add up afresh."""
        self.spent_s.clear()
        self.handled.clear()

    def submit(self, tasks: int, customer: int = 0) -> list:
        """Submit a job and return the effects."""
        self._calls += 1
        specs = tuple(TaskSpec("x" * 32, RUN_MS) for _ in range(tasks))
        name = f"team-{customer:03}"
        request = JobRequest(name, f"class-{self._calls % 4}", specs, 60_000.0)
        return self.do(Submitted(self._calls, request))

    def accept(self, effects: list) -> list[StartTasks]:
        """Let all upstreams take what was sent to them."""
        starts = [one for one in effects if isinstance(one, StartTasks)]
        for one in starts:
            verdicts = tuple(StartVerdict(start.task) for start in one.starts)
            reply = UpstreamReply(one.upstream, UPSTREAM_RUN, verdicts)
            self._note(self.do(StartsReplied(reply)))
        return starts

    def finish(self, starts: list[StartTasks]) -> None:
        """Let all tasks of these starts end well."""
        for one in starts:
            outcomes = tuple(
                TaskOutcome(start.task, TaskState.DONE, "y" * 32)
                for start in one.starts
            )
            reply = UpstreamReply(one.upstream, UPSTREAM_RUN, outcomes=outcomes)
            self._note(self.do(ResultsReplied(reply)))

    def run_job(self, tasks: int, customer: int = 0) -> None:
        """Take one job from its submission to its complete answer."""
        before = self._complete
        starts = self.accept(self.submit(tasks, customer))
        if sum(len(one.starts) for one in starts) != tasks:
            raise WrongRun(f"not all {tasks} tasks started at once")
        self.now += RUN_MS / 1000.0
        self.do(Tick())
        self.finish(starts)
        if self._complete != before + 1:
            raise WrongRun("the job did not complete")

    def _note(self, effects: list) -> None:
        for effect in effects:
            if not isinstance(effect, AnswerCall):
                continue
            if effect.answer.state is not JobState.COMPLETE:
                raise WrongRun(f"a job ended as {effect.answer}")
            self._complete += 1
