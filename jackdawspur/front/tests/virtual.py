"""A simulation of whole hosts of several zones, a store and upstreams in virtual time.

Hosts run the production code except for sockets and clock.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass
from types import SimpleNamespace

from jackdawspur.adapters import Call
from jackdawspur.bench import JobDemand, RunCounters, SimulatedUpstream
from jackdawspur.callers import HttpResponse
from jackdawspur.front import PlatformPorts, _clock, _process, _servers
from jackdawspur.front._process import FrontProcess
from jackdawspur.front.tests.virtual_parts import (
    ROUTE,
    Callers,
    Node,
    Store,
    Upstreams,
    VirtualMesh,
    VirtualTimerQueue,
    VirtualWeb,
)
from jackdawspur.group import HostAddress, decode_message
from jackdawspur.leases import CallOutcome, Resources, UpstreamEntry
from jackdawspur.model import UpstreamId
from jackdawspur.runs import JobRequest, JobStep, Route
from jackdawspur.settings import check_host_settings

__all__ = ["SentRequest", "World"]

TASK = Resources(14_000, 64, 0)
# Capacity of an upstream.
SIZE = Resources(32_000, 131_072, 0)
UNIX_S = 1_800_000_000.0
# One-way latency in seconds, by whether both hosts are in the same zone.
LINK_S = {True: 0.0005, False: 0.001}
# One-way latency of calls to hosts and upstreams in seconds.
CALL_S = 0.0005
# Time between two updates of upstreams and open polls.
STEP_S = 0.002
MS_PER_S = 1000.0


@dataclass
class SentRequest:
    """A caller's request and the reply; `caller_timeout_s` is its stated timeout."""

    request: JobRequest
    sent_at: float
    reply: HttpResponse | None = None
    answered_at: float = 0.0
    caller_timeout_s: float | None = None

    @property
    def timeout_s(self) -> float:
        """Return how long the caller waits."""
        route_s = self.request.route.timeout_ms / MS_PER_S
        return route_s if self.caller_timeout_s is None else self.caller_timeout_s


class World:
    """A simulated cluster with callers, into which tests inject faults."""

    node_type = Node
    routes: tuple[Route, ...] = (ROUTE,)

    def __init__(self, monkeypatch, most_upstreams: int) -> None:
        self.now = 1000.0
        self.rng = random.Random(1)
        self.counters = RunCounters()
        self.nodes: dict[str, Node] = {}
        self.zones: dict[str, str] = {}
        self.announced: dict[str, HostAddress] = {}
        self.upstreams: dict[UpstreamId, SimulatedUpstream] = {}
        self.listed: tuple[UpstreamEntry, ...] = ()
        self.sent: dict[str, SentRequest] = {}
        # Names of hosts that can't read the store.
        self.storeless: set[str] = set()
        # Zones in which no run may start.
        self.evacuated: set[str] = set()
        # Number of upstreams of the list that a host reads, by its name, if limited.
        self.list_limits: dict[str, int] = {}
        # Additional settings by name of the host.
        self.settings: dict[str, dict[str, float]] = {}
        self.silent_links: set[tuple[str, str]] = set()
        self.partitions: set[frozenset[str]] = set()
        self.open_polls: list = []
        self._calls: dict[tuple[Node, int], SentRequest] = {}
        self._most_upstreams = most_upstreams
        self._order = itertools.count(1)
        self._events: list = []
        self._starting: Node | None = None
        self._patch(monkeypatch)
        self.after(STEP_S, self._advance)

    def _patch(self, monkeypatch) -> None:
        clock = SimpleNamespace(
            CLOCK_BOOTTIME=0,
            clock_gettime=lambda _clock: self.now,
            time=lambda: UNIX_S + self.now,
        )
        monkeypatch.setattr(_clock, "time", clock)
        replacements = {
            "TimerQueue": lambda *_: VirtualTimerQueue(self, self._starting),
            "Mesh": lambda _link, _poller, deliver: VirtualMesh(
                self, self._starting, deliver
            ),
        }
        monkeypatch.setattr(
            _servers, "WebServer", lambda *_, **__: VirtualWeb(self, self._starting)
        )
        for name, make in replacements.items():
            monkeypatch.setattr(_process, name, make)

    # Hosts and upstreams.

    def add_upstreams(self, zone: str, count: int) -> None:
        """Add upstreams of a zone to the list."""
        for _ in range(count):
            name = UpstreamId(zone, f"u{len(self.upstreams)}")
            entry = UpstreamEntry(name, "s", f"{zone}:{name.name}", SIZE, (), False)
            self.upstreams[name] = SimulatedUpstream(
                entry, 1.0, self.counters, self.rng
            )
            self.listed += (entry,)

    def start(self, name: str, zone: str) -> None:
        """Start or restart a host."""
        self.zones[name] = zone
        port = 10_000 + sorted(self.zones).index(name)
        address_keys = ("callers", "ready", "link", "store")
        values = {key: f"127.0.0.1:{port}" for key in address_keys}
        values |= {"name": name, "zone": zone, "metrics": None}
        values |= {
            "most_upstreams": self._most_upstreams,
            **self.settings.get(name, {}),
        }
        settings = check_host_settings(values, "test")
        node = self._starting = self.nodes[name] = self.node_type(name)
        ports = PlatformPorts(Callers(self), Upstreams(self, node), Store(self, node))
        process = FrontProcess(settings, None, lambda *_: ports, lambda: settings)
        process.fire = lambda _event: self.after(0.0, process._on_flush, node)
        node.process = process

    def kill(self, name: str) -> None:
        """Kill a host."""
        self.nodes[name].dead = True

    def freeze(self, name: str, seconds: float) -> None:
        """Pause a host."""
        node = self.nodes[name]
        node.frozen_until = max(node.frozen_until, self.now + seconds)

    def leaders(self) -> dict[str, str]:
        """Return the zone of each host that leads."""
        return {
            name: self.zones[name]
            for name, node in self.nodes.items()
            if not node.dead and node.process.group.is_leader
        }

    def announce(self, host: HostAddress) -> None:
        """Record the address of a host."""
        self.announced[host.name] = host

    # Callers.

    def submit(
        self,
        host: str,
        seconds: float,
        tasks: int = 1,
        caller_timeout_s: float | None = None,
    ) -> SentRequest:
        """Send a job to a host, with the caller's timeout if it states one."""
        number = next(self._order)
        job = f"{number:016x}"
        step = JobStep(tasks, TASK, seconds * MS_PER_S)
        request = JobRequest(job, "", (step,), ROUTE)
        sent = SentRequest(request, self.now, caller_timeout_s=caller_timeout_s)
        self.sent[f"/q/{job}"] = sent
        node = self.nodes[host]
        self._calls[node, number] = sent
        node.process._web.open_calls += 1
        self.deliver(node, number, f"/q/{job}")
        return sent

    def deliver(self, node: Node, number: int, path: str) -> None:
        """Pass a request to a host, once it runs."""

        def arrive() -> None:
            call = Call(number, "POST", path, "", None, b"", self.now)
            node.process.callers.handle_call(call)

        self.after(CALL_S, arrive, node)

    def replied(self, node: Node, number: int, reply: HttpResponse) -> None:
        """Record a reply."""
        sent = self._calls.pop((node, number))
        sent.reply, sent.answered_at = reply, self.now

    def demand_of(self, task: str) -> JobDemand:
        """Return the run times and resources of the job of a task."""
        request = self.sent[f"/q/{task.split('.', 1)[0]}"].request
        step = request.steps[0]
        seconds = {
            f"{request.id}.0.0.{n}": step.estimate_ms / MS_PER_S
            for n in range(step.count)
        }
        return JobDemand(seconds, step.resources)

    # Time and messages.

    def after(
        self, seconds: float, act: Callable[[], None], node: Node | None = None
    ) -> None:
        """Schedule an action; it is skipped if the node is dead at that time."""
        entry = (self.now + max(0.0, seconds), next(self._order), act, node)
        heapq.heappush(self._events, entry)

    def run(self, seconds: float) -> None:
        """Advance the time."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            at, _, act, node = heapq.heappop(self._events)
            self.now = max(self.now, at)
            if node is not None and node.dead:
                continue
            if node is not None and node.frozen_until > self.now:
                self.after(node.frozen_until - self.now, act, node)
                continue
            act()
        self.now = until

    def run_until(self, condition: Callable[[], bool], seconds: float) -> None:
        """Advance the time until a condition holds; fail if it does not in time."""
        end = self.now + seconds
        while not condition():
            assert self.now < end
            self.run(STEP_S)

    def reachable(self, name: str, other: str) -> bool:
        """Return whether two hosts or zones are not partitioned from each other."""
        return frozenset((name, other)) not in self.partitions

    def transmit(self, sender: Node, name: str, data: bytes) -> None:
        """Deliver a message to a host."""
        zones = self.zones[sender.name], self.zones[name]
        node = self.nodes[name]
        lost = (sender.name, name) in self.silent_links
        lost = lost or not self.reachable(sender.name, name)
        if lost or not self.reachable(*zones) or node.dead:
            return
        message = decode_message(data)
        delay_s = LINK_S[zones[0] == zones[1]]
        self.after(delay_s, lambda: node.process.mesh.deliver(message), node)

    def call(self, node: Node, effect, act, done) -> None:
        """Deliver a call to an upstream, and its reply."""
        upstream = self.upstreams[effect.upstream]
        zone = effect.upstream.zone

        def arrive() -> None:
            if upstream.silent or not self.reachable(self.zones[node.name], zone):
                self.after(effect.timeout_s, lambda: done(CallOutcome.UNKNOWN), node)
                return
            outcome = act(upstream)
            if outcome is not None:
                self.after(CALL_S, lambda: done(outcome), node)

        self.after(CALL_S, arrive)

    def _advance(self) -> None:
        for upstream in self.upstreams.values():
            upstream.advance(self.now)
        waiting, self.open_polls = self.open_polls, []
        for poll in waiting:
            self._answer_poll(*poll)
        self.after(STEP_S, self._advance)

    def _answer_poll(self, effect, node: Node, done, until: float) -> None:
        upstream = self.upstreams[effect.upstream]
        if not upstream.has_unacknowledged_ends and self.now < until:
            self.open_polls.append((effect, node, done, until))
            return
        report = upstream.report(self.now)
        self.after(CALL_S, lambda: done(report), node)
