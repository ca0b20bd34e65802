"""Compare ways to share a zone's slots, on virtual time.

Run it as a module for the table that docs/design/sharing.md quotes.
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
ONE_WAY = 0.0005
HEARTBEAT = 0.25
TICK = 0.05
JOB_TASKS = (1, 2, 4, 8, 16)
MEAN_TASK = 0.4


@dataclass(frozen=True, slots=True)
class Way:
    """Name a way of sharing; `reserve` is borrowed ahead of need."""

    name: str
    lends: bool = False
    reserve: int = 0
    whole: bool = False
    blind: bool = False
    single: bool = False


WAYS = (
    Way("one host, no sharing", single=True),
    Way("no division", blind=True),
    Way("whole upstreams", whole=True),
    Way("slots"),
    Way("slots, lent on demand", lends=True),
    Way("slots, lent ahead (2)", lends=True, reserve=2),
    Way("slots, lent ahead (4)", lends=True, reserve=4),
)


@dataclass(frozen=True, slots=True)
class _Task:
    arrived: float
    run: float


@dataclass
class Result:
    """Hold what one run cost; waits in seconds."""

    waits: list[float] = field(default_factory=list)
    refused: int = 0
    messages: int = 0

    def quantile(self, share: float) -> float:
        """Return that quantile of the waits."""
        return sorted(self.waits)[int(share * (len(self.waits) - 1))]


class Trial:
    """Run two hosts that share eight upstreams of eight slots."""

    def __init__(self, way: Way, load: float, seed: int, skew: float = 0.5) -> None:
        self._way = way
        self._rng = random.Random(seed)
        self._skew = skew
        self._rate = load * UPSTREAMS * SLOTS / MEAN_TASK
        self._rate /= sum(JOB_TASKS) / len(JOB_TASKS)
        self._events: list[tuple] = []
        self._order = itertools.count()
        self._busy: Counter[UpstreamId] = Counter()
        self.result = Result()
        self.hosts = [HostId("z", f"entry-{n}", 1) for n in range(2)]
        self.tables = {host: SlotPool(host) for host in self.hosts}
        self.queues = {host: deque() for host in self.hosts}
        self.spare = {host: 0 for host in self.hosts}
        self._divide()

    def run(self, seconds: float) -> Result:
        """Return the costs of a run of that length."""
        self._at(0.0, self._arrive)
        self._at(0.0, self._tick)
        self._at(0.0, self._beat)
        while self._events[0][0] < seconds:
            now, _, action, args = heapq.heappop(self._events)
            action(now, *args)
        return self.result

    def _divide(self) -> None:
        all_of = [
            Upstream(UpstreamId("z", f"up-{n}"), "", SLOTS, rack=f"r{n % 2}")
            for n in range(UPSTREAMS)
        ]
        for index, host in enumerate(self.hosts):
            members, mine = self.hosts, all_of
            if self._way.whole:
                members, mine = [host], all_of[index::2]
            if self._way.blind or self._way.single:
                members = [host]
            self.tables[host].set_members(mine, members, 0.0)

    def _at(self, time, action, *args) -> None:
        heapq.heappush(self._events, (time, next(self._order), action, args))

    def _arrive(self, now) -> None:
        host = self.hosts[self._rng.random() >= self._skew and not self._way.single]
        for _ in range(self._rng.choice(JOB_TASKS)):
            self.queues[host].append(_Task(now, self._run_time()))
        self._dispatch(now, host)
        self._at(now + self._rng.expovariate(self._rate), self._arrive)

    def _dispatch(self, now, host) -> None:
        table, queue = self.tables[host], self.queues[host]
        for upstream in table.select_slots(len(queue), now):
            table.acquire(upstream, now)
            self._at(now + ONE_WAY, self._start, host, upstream, queue.popleft())
        if self._way.lends:
            for lend in table.grant_pending_requests(len(queue), now):
                self._send(now, self._granted, host, lend.grant)
        need = len(queue) + self._way.reserve
        if self._way.lends:
            for ask in table.request_slots(
                need, {self._other(host): self.spare[host]}, now
            ):
                self._send(now, self._asked, host, ask.request)

    def _start(self, now, host, upstream, task) -> None:
        if self._busy[upstream] >= SLOTS:
            self.result.refused += 1
            self._at(now + ONE_WAY, self._refused, host, upstream, task)
            return
        self._busy[upstream] += 1
        self.result.waits.append(now - ONE_WAY - task.arrived)
        self._at(now + task.run, self._end, host, upstream)

    def _run_time(self) -> float:
        if self._rng.random() < 0.01:
            return self._rng.uniform(2.0, 5.0)
        return self._rng.uniform(0.05, 0.68)

    def _refused(self, now, host, upstream, task) -> None:
        self.tables[host].release(upstream)
        self.tables[host].start_backoff(upstream, now)
        self.queues[host].appendleft(task)

    def _end(self, now, host, upstream) -> None:
        self._busy[upstream] -= 1
        self._at(now + ONE_WAY, self._ended, host, upstream)

    def _ended(self, now, host, upstream) -> None:
        self.tables[host].release(upstream)
        self._dispatch(now, host)

    def _tick(self, now) -> None:
        for host, table in self.tables.items():
            table.reclaim_expired(now)
            waiting = len(self.queues[host]) + self._way.reserve
            for back in table.release_idle_slots(waiting, now):
                self._send(now, self._returned, host, back.message)
            self._dispatch(now, host)
        self._at(now + TICK, self._tick)

    def _beat(self, now) -> None:
        for host in self.hosts:
            self.spare[self._other(host)] = self.tables[host].lendable_count(now)
        self._at(now + HEARTBEAT, self._beat)

    def _asked(self, now, sender, request) -> None:
        host = self._other(sender)
        waiting = len(self.queues[host])
        grant = self.tables[host].lend(sender, request, waiting, now)
        if grant:
            self._send(now, self._granted, host, grant)

    def _granted(self, now, sender, grant) -> None:
        host = self._other(sender)
        for back in self.tables[host].accept_grant(sender, grant, now):
            self._send(now, self._returned, host, back.message)
        self._dispatch(now, host)

    def _returned(self, now, sender, message) -> None:
        host = self._other(sender)
        self.tables[host].accept_return(sender, message)
        self._dispatch(now, host)

    def _send(self, now, action, sender, message) -> None:
        self.result.messages += 1
        self._at(now + ONE_WAY, action, sender, message)

    def _other(self, host) -> HostId:
        return self.hosts[1 - self.hosts.index(host)]


def table(seconds: float, seeds: range) -> list[str]:
    """Return one line a way and load."""
    lines = []
    for skew, load, way in itertools.product((0.5, 0.7), (0.7, 0.9), WAYS):
        results = [Trial(way, load, seed, skew).run(seconds) for seed in seeds]
        tasks = sum(len(one.waits) for one in results)
        mean = sum(sum(one.waits) for one in results) / tasks
        tail = sum(one.quantile(0.99) for one in results) / len(results)
        refused = 1000 * sum(one.refused for one in results) / tasks
        messages = 1000 * sum(one.messages for one in results) / tasks
        lines.append(
            f"{skew:.0%} {load:.0%} {way.name:24} mean {1000 * mean:7.1f} ms "
            f"p99 {1000 * tail:7.0f} ms refused {refused:6.1f} "
            f"messages {messages:6.1f} per 1000 tasks"
        )
    return lines


if __name__ == "__main__":
    print("\n".join(table(60.0, range(2))))  # noqa: T201
