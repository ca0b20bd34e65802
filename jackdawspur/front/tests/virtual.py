"""Whole hosts of several zones, with a store and upstreams, in virtual time.

Everything of a host is the product's own but its sockets and its clock.
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
from jackdawspur.front import PlatformPorts, _clock, _process
from jackdawspur.front._process import FrontProcess
from jackdawspur.front.tests.virtual_parts import (
    ROUTE,
    Callers,
    Life,
    Store,
    Upstreams,
    VirtualDeadlines,
    VirtualMesh,
    VirtualWeb,
)
from jackdawspur.group import HostAddress, decode_message
from jackdawspur.leases import CallOutcome, Resources, UpstreamEntry
from jackdawspur.model import UpstreamId
from jackdawspur.runs import JobRequest, JobStep
from jackdawspur.settings import check_host_settings

__all__ = ["Asked", "World"]

TASK = Resources(14_000, 64, 0)
ROOM = Resources(32_000, 131_072, 0)
UNIX_S = 1_800_000_000.0
# One way, in seconds, in a zone and between zones.
LINK_S = {True: 0.0005, False: 0.001}
CALL_S = 0.0005
STEP_S = 0.002
MS_PER_S = 1000.0


@dataclass
class Asked:
    """Keep what a caller asked and was answered; `states_s` is how long it waits."""

    request: JobRequest
    sent_at: float
    reply: HttpResponse | None = None
    answered_at: float = 0.0
    states_s: float | None = None

    @property
    def waits_s(self) -> float:
        """Return how long the caller waits."""
        route_s = self.request.route.timeout_ms / MS_PER_S
        return route_s if self.states_s is None else self.states_s


class World:
    """Run hosts; tests break what they like."""

    life_type = Life

    def __init__(self, monkeypatch, most_upstreams: int) -> None:
        self.now = 1000.0
        self.rng = random.Random(1)
        self.counters = RunCounters()
        self.lives: dict[str, Life] = {}
        self.zones: dict[str, str] = {}
        self.announced: dict[str, HostAddress] = {}
        self.upstreams: dict[UpstreamId, SimulatedUpstream] = {}
        self.listed: tuple[UpstreamEntry, ...] = ()
        self.asked: dict[str, Asked] = {}
        self.storeless: set[str] = set()
        self.evacuated: set[str] = set()
        # How many upstreams of the list a host reads, where these are not all.
        self.shown: dict[str, int] = {}
        # What a host's settings state besides, by name.
        self.stated: dict[str, dict[str, float]] = {}
        self.silent_links: set[tuple[str, str]] = set()
        self.cut: set[frozenset[str]] = set()
        self.waiting: list = []
        self._calls: dict[tuple[Life, int], Asked] = {}
        self._most_upstreams = most_upstreams
        self._order = itertools.count(1)
        self._events: list = []
        self._starting: Life | None = None
        self._patch(monkeypatch)
        self.after(STEP_S, self._advance)

    def _patch(self, monkeypatch) -> None:
        clock = SimpleNamespace(
            CLOCK_BOOTTIME=0,
            clock_gettime=lambda _clock: self.now,
            time=lambda: UNIX_S + self.now,
        )
        monkeypatch.setattr(_clock, "time", clock)
        made = {
            "TimerQueue": lambda *_: VirtualDeadlines(self, self._starting),
            "Mesh": lambda _link, _poller, deliver: VirtualMesh(
                self, self._starting, deliver
            ),
            "WebServer": lambda *_: VirtualWeb(self, self._starting),
        }
        for name, make in made.items():
            monkeypatch.setattr(_process, name, make)

    # Hosts and upstreams.

    def add_upstreams(self, zone: str, count: int) -> None:
        """Add upstreams of a zone to the list."""
        for _ in range(count):
            one = UpstreamId(zone, f"u{len(self.upstreams)}")
            entry = UpstreamEntry(one, "s", f"{zone}:{one.name}", ROOM, (), False)
            self.upstreams[one] = SimulatedUpstream(entry, 1.0, self.counters, self.rng)
            self.listed += (entry,)

    def start(self, name: str, zone: str) -> None:
        """Start a host, or start it again."""
        self.zones[name] = zone
        port = 10_000 + sorted(self.zones).index(name)
        places = ("callers", "ready", "link", "store")
        values = {place: f"127.0.0.1:{port}" for place in places}
        values |= {"name": name, "zone": zone, "metrics": None}
        values |= {"most_upstreams": self._most_upstreams, **self.stated.get(name, {})}
        settings = check_host_settings(values, "test")
        life = self._starting = self.lives[name] = self.life_type(name)
        parts = PlatformPorts(Callers(self), Upstreams(self, life), Store(self, life))
        process = FrontProcess(settings, None, lambda *_: parts, lambda: settings)
        process.fire = lambda _event: self.after(0.0, process._on_flush, life)
        life.process = process

    def kill(self, name: str) -> None:
        """Let a host die."""
        self.lives[name].dead = True

    def freeze(self, name: str, seconds: float) -> None:
        """Let a host stand still."""
        life = self.lives[name]
        life.frozen_until = max(life.frozen_until, self.now + seconds)

    def leaders(self) -> dict[str, str]:
        """Return the zone of each host that leads."""
        return {
            name: self.zones[name]
            for name, life in self.lives.items()
            if not life.dead and life.process.group.is_leader
        }

    def announce(self, host: HostAddress) -> None:
        """Keep where a host is."""
        self.announced[host.name] = host

    # Callers.

    def submit(
        self,
        host: str,
        seconds: float,
        tasks: int = 1,
        states_s: float | None = None,
    ) -> Asked:
        """Send a job to a host, and state how long its caller waits."""
        number = next(self._order)
        job = f"{number:016x}"
        step = JobStep(tasks, TASK, seconds * MS_PER_S)
        request = JobRequest(job, "", (step,), ROUTE)
        asked = Asked(request, self.now, states_s=states_s)
        self.asked[f"/q/{job}"] = asked
        life = self.lives[host]
        self._calls[life, number] = asked
        life.process._web.open_calls += 1
        call = Call(number, "POST", f"/q/{job}", "", None, b"")
        self.after(CALL_S, lambda: life.process.callers.handle_call(call), life)
        return asked

    def replied(self, life: Life, number: int, reply: HttpResponse) -> None:
        """Keep a reply."""
        asked = self._calls.pop((life, number))
        asked.reply, asked.answered_at = reply, self.now

    def demand_of(self, task: str) -> JobDemand:
        """Return how long the tasks of a task's job take."""
        request = self.asked[f"/q/{task.split('.', 1)[0]}"].request
        step = request.steps[0]
        seconds = {
            f"{request.id}.0.0.{n}": step.estimate_ms / MS_PER_S
            for n in range(step.count)
        }
        return JobDemand(seconds, step.resources)

    # Time and messages.

    def after(
        self, seconds: float, act: Callable[[], None], life: Life | None = None
    ) -> None:
        """Act after a time, unless the process is dead by then."""
        entry = (self.now + max(0.0, seconds), next(self._order), act, life)
        heapq.heappush(self._events, entry)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            at, _, act, life = heapq.heappop(self._events)
            self.now = max(self.now, at)
            if life is not None and life.dead:
                continue
            if life is not None and life.frozen_until > self.now:
                self.after(life.frozen_until - self.now, act, life)
                continue
            act()
        self.now = until

    def run_until(self, condition: Callable[[], bool], seconds: float) -> None:
        """Let time pass until a condition holds; fail if it never does."""
        end = self.now + seconds
        while not condition():
            assert self.now < end
            self.run(STEP_S)

    def reachable(self, one: str, other: str) -> bool:
        """Tell whether hosts or zones are not cut off from each other."""
        return frozenset((one, other)) not in self.cut

    def carry(self, sender: Life, name: str, data: bytes) -> None:
        """Deliver a message to a host."""
        zones = self.zones[sender.name], self.zones[name]
        life = self.lives[name]
        lost = (sender.name, name) in self.silent_links
        lost = lost or not self.reachable(sender.name, name)
        if lost or not self.reachable(*zones) or life.dead:
            return
        message = decode_message(data)
        delay_s = LINK_S[zones[0] == zones[1]]
        self.after(delay_s, lambda: life.process.mesh.deliver(message), life)

    def call(self, life: Life, effect, act, done) -> None:
        """Carry a call to an upstream, and its reply back."""
        upstream = self.upstreams[effect.upstream]
        zone = effect.upstream.zone

        def arrive() -> None:
            if upstream.silent or not self.reachable(self.zones[life.name], zone):
                self.after(effect.timeout_s, lambda: done(CallOutcome.UNKNOWN), life)
                return
            outcome = act(upstream)
            if outcome is not None:
                self.after(CALL_S, lambda: done(outcome), life)

        self.after(CALL_S, arrive)

    def _advance(self) -> None:
        for upstream in self.upstreams.values():
            upstream.advance(self.now)
        waiting, self.waiting = self.waiting, []
        for look in waiting:
            self._answer_look(*look)
        self.after(STEP_S, self._advance)

    def _answer_look(self, effect, life: Life, done, until: float) -> None:
        upstream = self.upstreams[effect.upstream]
        if not upstream.has_unacknowledged_ends and self.now < until:
            self.waiting.append((effect, life, done, until))
            return
        report = upstream.report(self.now)
        self.after(CALL_S, lambda: done(report), life)
