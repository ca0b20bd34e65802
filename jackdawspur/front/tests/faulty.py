"""Virtual hosts whose links, upstreams and callers break as the platform's do."""

import logging
import random
from collections.abc import Callable
from dataclasses import replace
from types import SimpleNamespace

from jackdawspur.adapters import Call
from jackdawspur.front import _process
from jackdawspur.front.tests.faulty_parts import Caller, FaultyUpstream, Starts
from jackdawspur.front.tests.virtual import CALL_S, LINK_S, MS_PER_S, ROOM, TASK, World
from jackdawspur.front.tests.virtual_parts import ROUTE, Life, VirtualDeadlines
from jackdawspur.group import decode_message
from jackdawspur.leases import CallOutcome, UpstreamEntry
from jackdawspur.model import UpstreamId
from jackdawspur.runs import JobRequest, JobStep

__all__ = ["FaultyWorld"]

ASKS_AGAIN_S = 1.3
# For the ways of a request and its answer, and a host's ticks.
WAYS_S = 0.1
ASKS_AGAIN_AFTER = (502, 504)
MOST_ATTEMPTS = 3
# The balancer sends nobody to a host that missed two looks at readiness.
UNREADY_S = 2.0
LEAST_LATE_S, MOST_LATE_S = 2.0, 12.0
# An entry of an upstream that crashed lapses in the store after the former; hosts keep
# each that vanished for the latter.
ENTRY_LAPSES_S = 1.5
KEPT_S = 2.5
# What was sent at first on a link that was cut is sent again for a while, as TCP does,
# until the host connects anew.
SENT_AGAIN_FOR_S = 0.4
SENT_AGAIN_EVERY_S = 0.25
SENDS_AGAIN = 12


class Timers(VirtualDeadlines):
    """Call back at virtual times, after what was read or before."""

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        life = self._life
        frozen = None if self._world.timers_first else life

        def act() -> None:
            if life.dead:
                return
            if life.thaws_at > self._world.now:
                self._world.after(life.thaws_at - self._world.now, act, frozen)
            else:
                callback()

        self._world.after(seconds, act, frozen)


class FaultyLife(Life):
    """Be one process of a host; `thaws_at` is when its timers go on."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.thaws_at = 0.0
        self.stood_still: list[tuple[float, float]] = []
        self.stopping = False


class FaultyWorld(World):
    """Run hosts under faults that a test draws."""

    life_type = FaultyLife

    def __init__(self, monkeypatch, most_upstreams: int, seed: int) -> None:
        super().__init__(monkeypatch, most_upstreams)
        self.rng = random.Random(seed)
        self.counters = Starts()
        self.callers: list[Caller] = []
        self.isolated: set[str] = set()
        self.one_way: set[tuple[str, str]] = set()
        self.late_share = 0.0
        self.lost_share = 0.0
        self.late_messages = False
        self.timers_first = False
        # The share of callers that ask again in any zone.
        self.roams = 0.0
        self._cut_since: dict[tuple[Life, Life], float] = {}
        self.unready_since: dict[str, float] = {}
        self._watch()

    def _patch(self, monkeypatch) -> None:
        super()._patch(monkeypatch)
        monkeypatch.setattr(
            _process, "TimerQueue", lambda *_: Timers(self, self._starting)
        )

    # Hosts.

    def start(self, name: str, zone: str) -> None:
        """Start a host, or start it again."""
        super().start(name, zone)
        life = self.lives[name]
        life.process.stop = lambda *_: self.kill(name)
        self.unready_since[name] = self.now

    def kill(self, name: str) -> None:
        """Let a host die; the connections of its callers break."""
        life = self.lives[name]
        life.dead = True
        for number in [n for one, n in self._calls if one is life]:
            self._broken(life, number)

    def stop_gracefully(self, name: str) -> None:
        """Tell a host to stop, and kill it when its time is over."""
        life = self.lives[name]
        life.stopping = True
        event = SimpleNamespace(stop=lambda: None)
        self.after(0.0, lambda: life.process._on_signal(event, 15, None), life)
        self.after(6.0, lambda: life.dead or self.kill(name))

    def freeze(self, name: str, seconds: float) -> None:
        """Let a host stand still; what arrived comes before its timers, or after."""
        life = self.lives[name]
        super().freeze(name, seconds)
        life.thaws_at = life.frozen_until + (-0.001 if self.timers_first else 0.001)
        life.stood_still.append((self.now, life.frozen_until))

    def _watch(self) -> None:
        """Look at readiness as the balancer does."""
        for name, life in self.lives.items():
            ready = not life.dead and life.frozen_until <= self.now
            if ready and life.process.ready:
                self.unready_since.pop(name, None)
            else:
                self.unready_since.setdefault(name, self.now)
        self.after(0.25, self._watch)

    # Upstreams.

    def add_upstreams(self, zone: str, count: int) -> None:
        for _ in range(count):
            one = UpstreamId(zone, f"u{len(self.upstreams)}")
            entry = UpstreamEntry(one, "s", f"{zone}:{one.name}", ROOM, (), False)
            self._add(entry)

    def _add(self, entry: UpstreamEntry) -> None:
        self.upstreams[entry.id] = FaultyUpstream(entry, 1.0, self.counters, self.rng)
        self.listed += (entry,)

    def unlist(self, one: UpstreamId) -> None:
        """Take an upstream off the list."""
        self.listed = tuple(entry for entry in self.listed if entry.id != one)

    def crash(self, one: UpstreamId, down_s: float) -> None:
        """Let an upstream crash, and come back as another boot if `down_s` ends."""
        upstream = self.upstreams[one]
        upstream.crash()
        self.after(ENTRY_LAPSES_S + KEPT_S, lambda: self.unlist(one))

        def boot() -> None:
            upstream.gone = True
            name = UpstreamId(one.zone, f"u{len(self.upstreams)}")
            self._add(UpstreamEntry(name, "s", upstream.entry.address, ROOM, (), False))

        self.after(down_s, boot)

    def restart(self, one: UpstreamId, down_s: float) -> None:
        """Let an upstream crash, and come back under the same name."""
        upstream = self.upstreams[one]
        upstream.crash()
        crashes = upstream.crashes

        def boot() -> None:
            if upstream.crashes == crashes:
                upstream.start_again(self.now)

        self.after(down_s, boot)

    def drain(self, one: UpstreamId, drain_s: float) -> None:
        """Empty an upstream and take it away."""
        self.listed = tuple(
            replace(entry, draining=True) if entry.id == one else entry
            for entry in self.listed
        )

        def leave() -> None:
            self.upstreams[one].crash()
            self.after(KEPT_S, lambda: self.unlist(one))

        self.after(drain_s, leave)

    # Callers.

    def ask(
        self,
        zone: str,
        seconds: float,
        tasks: int,
        life: Life | None = None,
        states_s: float | None = None,
    ) -> Caller:
        """Let a caller of a zone send a job, to a host if one is named."""
        job = f"{next(self._order):016x}"
        step = JobStep(tasks, TASK, seconds * MS_PER_S)
        request = JobRequest(job, "", (step,), ROUTE)
        caller = Caller(zone, request, states_s)
        self.callers.append(caller)
        self._send(caller, life)
        return caller

    def _host_for(self, zone: str) -> Life | None:
        """Return a host as the balancer chooses it."""

        def unready(life: Life) -> bool:
            since = self.unready_since.get(life.name, self.now)
            return self.now - since > UNREADY_S

        alive = [life for life in self.lives.values() if not life.dead]
        own = [life for life in alive if self.zones[life.name] == zone]
        for some in (own, alive):
            chosen = [one for one in some if not unready(one)]
            if chosen or some:
                return self.rng.choice(chosen or some)
        return None

    def _send(self, caller: Caller, life: Life | None = None) -> None:
        life = life or self._host_for(caller.zone)
        if life is None:
            self.after(0.2, lambda: self._send(caller))
            return
        asked = caller.ask(life, self.now)
        path = f"/q/{caller.request.id}"
        self.asked[path] = asked
        number = next(self._order)
        self._calls[life, number] = asked
        life.process._web.open_calls += 1
        call = Call(number, "POST", path, "", None, b"")
        self.after(CALL_S, lambda: life.process.callers.handle_call(call), life)
        self.after(asked.waits_s + WAYS_S, lambda: self._give_up(life, number))
        logging.getLogger("caller").info("%s asks %s", caller.request.id, life.name)

    def _give_up(self, life: Life, number: int) -> None:
        """Let a caller leave whose time is over."""
        asked = self._calls.pop((life, number), None)
        if asked is not None:
            asked.in_vain = True
            self._tell_closed(life, number)

    def replied(self, life: Life, number: int, reply) -> None:
        asked = self._calls.pop((life, number), None)
        if asked is None:
            return
        asked.reply, asked.answered_at = reply, self.now
        asked.whole = asked.caller.tasks <= self.counters.done
        logging.getLogger("caller").info(
            "%s gets %s from %s", asked.request.id, reply.status, life.name
        )
        if reply.status in ASKS_AGAIN_AFTER:
            self._ask_again(asked.caller)

    def _broken(self, life: Life, number: int) -> None:
        asked = self._calls.pop((life, number))
        asked.broken = True
        self._ask_again(asked.caller)

    def _ask_again(self, caller: Caller) -> None:
        if not caller.left and len(caller.attempts) < MOST_ATTEMPTS:
            caller.again += 1

            def again() -> None:
                caller.again -= 1
                if not caller.left:
                    self._roam(caller)
                    self._send(caller)

            self.after(ASKS_AGAIN_S, again)

    def _roam(self, caller: Caller) -> None:
        """Let a caller ask in another zone, as the platform may have it do."""
        if self.roams and self.rng.random() < self.roams:
            caller.zone = self.rng.choice(sorted(set(self.zones.values())))

    def reset(self, life: Life, number: int) -> None:
        """Break the connection of a caller."""
        if (life, number) in self._calls:
            self._broken(life, number)
            self._tell_closed(life, number)

    def leave(self, caller: Caller) -> None:
        """Let a caller leave."""
        caller.left = True
        for (life, number), asked in list(self._calls.items()):
            if asked.caller is caller:
                self._calls.pop((life, number))
                asked.broken = True
                self._tell_closed(life, number)

    def _tell_closed(self, life: Life, number: int) -> None:
        def closed() -> None:
            life.process._web.open_calls -= 1
            life.process.callers.caller_disconnected(number)

        self.after(CALL_S, closed, life)

    @property
    def open_calls(self) -> list[tuple[Life, int]]:
        """Return the calls that wait."""
        return list(self._calls)

    # Messages and calls.

    def lost(self, sender: str, name: str) -> bool:
        """Tell whether a host's messages do not arrive."""
        zones = self.zones[sender], self.zones[name]
        return (
            (sender, name) in self.silent_links
            or (sender, name) in self.one_way
            or bool({sender, name} & self.isolated)
            or not self.reachable(sender, name)
            or not self.reachable(*zones)
        )

    def carry(self, sender: Life, name: str, data: bytes) -> None:
        life, link = self.lives[name], (sender, self.lives[name])
        if life.dead:
            return
        if not self.lost(sender.name, name):
            self._cut_since.pop(link, None)
            self._deliver(sender, life, data)
        elif self.late_messages and (sender.name, name) not in self.silent_links:
            since = self._cut_since.setdefault(link, self.now)
            if self.now - since < SENT_AGAIN_FOR_S:
                self._send_again(sender, life, data, SENDS_AGAIN)

    def _deliver(self, sender: Life, life: Life, data: bytes) -> None:
        message = decode_message(data)
        same = self.zones[sender.name] == self.zones[life.name]
        self.after(LINK_S[same], lambda: life.process.mesh.deliver(message), life)

    def _send_again(self, sender: Life, life: Life, data: bytes, left: int) -> None:
        def again() -> None:
            if life.dead or not left:
                return
            if self.lost(sender.name, life.name):
                self._send_again(sender, life, data, left - 1)
            else:
                self._deliver(sender, life, data)

        self.after(SENT_AGAIN_EVERY_S, again)

    def _unreached(self, life: Life, upstream: FaultyUpstream) -> bool:
        zones = self.zones[life.name], upstream.entry.id.zone
        away = upstream.silent or (upstream.boot_over and not upstream.gone)
        return away or life.name in self.isolated or not self.reachable(*zones)

    def call(self, life: Life, effect, act, done) -> None:
        upstream = self.upstreams[effect.upstream]
        way_s = self.rng.uniform(0.0003, 0.002)

        def unknown() -> None:
            self.after(effect.timeout_s, lambda: done(CallOutcome.UNKNOWN), life)

        def late() -> None:
            if not upstream.boot_over and not upstream.silent:
                pending_polls = len(self.waiting)
                act(upstream)
                del self.waiting[pending_polls:]

        def arrive() -> None:
            if self._unreached(life, upstream):
                unknown()
            elif upstream.gone:
                self.after(way_s, lambda: done(CallOutcome.GONE), life)
            elif self.rng.random() < self.late_share:
                unknown()
                self.after(self.rng.uniform(LEAST_LATE_S, MOST_LATE_S), late)
            else:
                outcome = act(upstream)
                if outcome is not None:
                    self._return(life, upstream, effect, outcome, done)

        self.after(way_s, arrive)

    def _return(self, life: Life, upstream, effect, result, done) -> None:
        lost = self._unreached(life, upstream) or self.rng.random() < self.lost_share
        if lost:
            self.after(effect.timeout_s, lambda: done(CallOutcome.UNKNOWN), life)
        else:
            self.after(CALL_S, lambda: done(result), life)

    def _answer_look(self, effect, life: Life, done, until: float) -> None:
        upstream = self.upstreams[effect.upstream]
        if upstream.boot_over:
            self.after(effect.timeout_s, lambda: done(CallOutcome.UNKNOWN), life)
        elif not upstream.has_unacknowledged_ends and self.now < until:
            self.waiting.append((effect, life, done, until))
        else:
            self._return(life, upstream, effect, upstream.report(self.now), done)
