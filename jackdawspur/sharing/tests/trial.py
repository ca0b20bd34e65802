"""Comparison of policies for sharing the slots of a zone, in virtual time.

Run it as a module to print the table quoted in docs/design/sharing.md.
"""

import heapq
import itertools
import random
from collections import Counter, deque
from dataclasses import dataclass, field

from jackdawspur.model import HostId, Upstream, UpstreamId
from jackdawspur.sharing import SlotPool

UPSTREAMS = 8
SLOTS = 8
NETWORK_LATENCY = 0.0005
HEARTBEAT_INTERVAL = 0.25
TICK_INTERVAL = 0.05
JOB_TASKS = (1, 2, 4, 8, 16)
MEAN_TASK_TIME = 0.4


@dataclass(frozen=True, slots=True)
class Policy:
    """Policy for sharing slots; `reserve` slots are borrowed ahead of need.

    With `whole_upstreams`, each upstream belongs to one host. With `undivided`, every
    host uses all slots; with `single_host`, one host gets all jobs.
    """

    name: str
    lends: bool = False
    reserve: int = 0
    whole_upstreams: bool = False
    undivided: bool = False
    single_host: bool = False


POLICIES = (
    Policy("one host, no sharing", single_host=True),
    Policy("no division", undivided=True),
    Policy("whole upstreams", whole_upstreams=True),
    Policy("slots"),
    Policy("slots, lent on demand", lends=True),
    Policy("slots, lent ahead (2)", lends=True, reserve=2),
    Policy("slots, lent ahead (4)", lends=True, reserve=4),
)


@dataclass(frozen=True, slots=True)
class _Task:
    arrived: float
    run: float


@dataclass
class Result:
    """Costs of one run; waits in seconds."""

    waits: list[float] = field(default_factory=list)
    refused: int = 0
    messages: int = 0

    def quantile(self, fraction: float) -> float:
        """Return a quantile of the waits."""
        return sorted(self.waits)[int(fraction * (len(self.waits) - 1))]


class Trial:
    """Simulation of two hosts that share eight upstreams of eight slots.

    `skew` is the fraction of jobs that arrive at the first host.
    """

    def __init__(
        self, policy: Policy, load: float, seed: int, skew: float = 0.5
    ) -> None:
        self._policy = policy
        self._rng = random.Random(seed)
        self._skew = skew
        self._rate = load * UPSTREAMS * SLOTS / MEAN_TASK_TIME
        self._rate /= sum(JOB_TASKS) / len(JOB_TASKS)
        self._events: list[tuple] = []
        self._event_number = itertools.count()
        self._busy: Counter[UpstreamId] = Counter()
        self.result = Result()
        self.hosts = [HostId("z", f"entry-{n}", 1) for n in range(2)]
        self.pools = {host: SlotPool(host) for host in self.hosts}
        self.queues = {host: deque() for host in self.hosts}
        self.spare = {host: 0 for host in self.hosts}
        self._divide()

    def run(self, seconds: float) -> Result:
        """Run for a number of seconds, and return the costs."""
        self._schedule(0.0, self._arrive)
        self._schedule(0.0, self._tick)
        self._schedule(0.0, self._heartbeat)
        while self._events[0][0] < seconds:
            now, _, action, args = heapq.heappop(self._events)
            action(now, *args)
        return self.result

    def _divide(self) -> None:
        all_upstreams = [
            Upstream(UpstreamId("z", f"up-{n}"), "", SLOTS, rack=f"r{n % 2}")
            for n in range(UPSTREAMS)
        ]
        for index, host in enumerate(self.hosts):
            members, upstreams = self.hosts, all_upstreams
            if self._policy.whole_upstreams:
                members, upstreams = [host], all_upstreams[index::2]
            if self._policy.undivided or self._policy.single_host:
                members = [host]
            self.pools[host].set_members(upstreams, members, 0.0)

    def _schedule(self, time, action, *args) -> None:
        heapq.heappush(self._events, (time, next(self._event_number), action, args))

    def _arrive(self, now) -> None:
        host = self.hosts[
            self._rng.random() >= self._skew and not self._policy.single_host
        ]
        for _ in range(self._rng.choice(JOB_TASKS)):
            self.queues[host].append(_Task(now, self._run_time()))
        self._dispatch(now, host)
        self._schedule(now + self._rng.expovariate(self._rate), self._arrive)

    def _dispatch(self, now, host) -> None:
        pool, queue = self.pools[host], self.queues[host]
        for upstream in pool.select_slots(len(queue), now):
            pool.acquire(upstream, now)
            self._schedule(
                now + NETWORK_LATENCY, self._start, host, upstream, queue.popleft()
            )
        if self._policy.lends:
            for outgoing in pool.grant_pending_requests(len(queue), now):
                self._send(now, self._receive_grant, host, outgoing.grant)
        wanted = len(queue) + self._policy.reserve
        if self._policy.lends:
            for outgoing in pool.request_slots(
                wanted, {self._other(host): self.spare[host]}, now
            ):
                self._send(now, self._receive_request, host, outgoing.request)

    def _start(self, now, host, upstream, task) -> None:
        if self._busy[upstream] >= SLOTS:
            self.result.refused += 1
            self._schedule(
                now + NETWORK_LATENCY, self._handle_refusal, host, upstream, task
            )
            return
        self._busy[upstream] += 1
        self.result.waits.append(now - NETWORK_LATENCY - task.arrived)
        self._schedule(now + task.run, self._end, host, upstream)

    def _run_time(self) -> float:
        if self._rng.random() < 0.01:
            return self._rng.uniform(2.0, 5.0)
        return self._rng.uniform(0.05, 0.68)

    def _handle_refusal(self, now, host, upstream, task) -> None:
        self.pools[host].release(upstream)
        self.pools[host].start_backoff(upstream, now)
        self.queues[host].appendleft(task)

    def _end(self, now, host, upstream) -> None:
        self._busy[upstream] -= 1
        self._schedule(now + NETWORK_LATENCY, self._handle_end, host, upstream)

    def _handle_end(self, now, host, upstream) -> None:
        self.pools[host].release(upstream)
        self._dispatch(now, host)

    def _tick(self, now) -> None:
        for host, pool in self.pools.items():
            pool.reclaim_expired(now)
            waiting = len(self.queues[host]) + self._policy.reserve
            for outgoing in pool.release_idle_slots(waiting, now):
                self._send(now, self._receive_return, host, outgoing.message)
            self._dispatch(now, host)
        self._schedule(now + TICK_INTERVAL, self._tick)

    def _heartbeat(self, now) -> None:
        for host in self.hosts:
            self.spare[self._other(host)] = self.pools[host].lendable_count(now)
        self._schedule(now + HEARTBEAT_INTERVAL, self._heartbeat)

    def _receive_request(self, now, sender, request) -> None:
        host = self._other(sender)
        waiting = len(self.queues[host])
        grant = self.pools[host].lend(sender, request, waiting, now)
        if grant:
            self._send(now, self._receive_grant, host, grant)

    def _receive_grant(self, now, sender, grant) -> None:
        host = self._other(sender)
        for outgoing in self.pools[host].accept_grant(sender, grant, now):
            self._send(now, self._receive_return, host, outgoing.message)
        self._dispatch(now, host)

    def _receive_return(self, now, sender, message) -> None:
        host = self._other(sender)
        self.pools[host].accept_return(sender, message)
        self._dispatch(now, host)

    def _send(self, now, action, sender, message) -> None:
        self.result.messages += 1
        self._schedule(now + NETWORK_LATENCY, action, sender, message)

    def _other(self, host) -> HostId:
        return self.hosts[1 - self.hosts.index(host)]


def table(seconds: float, seeds: range) -> list[str]:
    """Return one line per skew, load and policy."""
    lines = []
    for skew, load, policy in itertools.product((0.5, 0.7), (0.7, 0.9), POLICIES):
        results = [Trial(policy, load, seed, skew).run(seconds) for seed in seeds]
        tasks = sum(len(result.waits) for result in results)
        mean = sum(sum(result.waits) for result in results) / tasks
        tail = sum(result.quantile(0.99) for result in results) / len(results)
        refused = 1000 * sum(result.refused for result in results) / tasks
        messages = 1000 * sum(result.messages for result in results) / tasks
        lines.append(
            f"{skew:.0%} {load:.0%} {policy.name:24} mean {1000 * mean:7.1f} ms "
            f"p99 {1000 * tail:7.0f} ms refused {refused:6.1f} "
            f"messages {messages:6.1f} per 1000 tasks"
        )
    return lines


if __name__ == "__main__":
    print("\n".join(table(60.0, range(2))))  # noqa: T201
