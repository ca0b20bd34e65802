"""A simulation of hosts with faults of links, upstreams and callers."""

import logging
import random
from dataclasses import replace
from types import SimpleNamespace

from jackdawspur.front import _process
from jackdawspur.front.tests.faulty_parts import (
    Caller,
    FaultyNode,
    FaultyUpstream,
    TaskCounters,
    Timers,
)
from jackdawspur.front.tests.virtual import CALL_S, LINK_S, MS_PER_S, SIZE, TASK, World
from jackdawspur.front.tests.virtual_parts import ROUTE, Node
from jackdawspur.group import decode_message
from jackdawspur.leases import CallOutcome, UpstreamEntry
from jackdawspur.model import UpstreamId
from jackdawspur.runs import JobRequest, JobStep

__all__ = ["FaultyWorld"]

RETRY_DELAY_S = 1.3
# Added to a caller's timeout for the latency of request and answer and a host's ticks.
MARGIN_S = 0.1
RETRYABLE_STATUSES = (502, 504)
MAX_ATTEMPTS = 3
# A host that is unready for longer than two readiness probes take gets requests only if
# its zone has no ready one.
UNREADY_S = 2.0
MIN_DELAY_S, MAX_DELAY_S = 2.0, 12.0
# Time until the store's entry of a crashed upstream expires.
ENTRY_EXPIRY_S = 1.5
# Time for which hosts retain an entry that vanished from the list.
VANISHED_RETENTION_S = 2.5
# What is sent on a link just after a partition began is retransmitted for a while, as
# TCP does until the host reconnects.
RETRANSMIT_WINDOW_S = 0.4
RETRANSMIT_INTERVAL_S = 0.25
MAX_RETRANSMITS = 12


class FaultyWorld(World):
    """Runs hosts under faults that a test injects."""

    node_type = FaultyNode

    def __init__(self, monkeypatch, most_upstreams: int, seed: int) -> None:
        super().__init__(monkeypatch, most_upstreams)
        self.rng = random.Random(seed)
        self.counters = TaskCounters()
        self.callers: list[Caller] = []
        self.isolated: set[str] = set()
        self.one_way: set[tuple[str, str]] = set()
        self.delay_rate = 0.0
        self.loss_rate = 0.0
        self.late_messages = False
        self.timers_first = False
        # The fraction of callers that retry in any zone.
        self.roaming_fraction = 0.0
        # Whether callers also retry when their timeout passes without an answer.
        self.retry_unanswered = False
        # Time after which a running host knows that a caller has disconnected.
        self.disconnect_notice_s = 0.0
        self._partitioned_since: dict[tuple[Node, Node], float] = {}
        self.unready_since: dict[str, float] = {}
        self._watch()

    def _patch(self, monkeypatch) -> None:
        super()._patch(monkeypatch)
        monkeypatch.setattr(
            _process, "TimerQueue", lambda *_: Timers(self, self._starting)
        )

    # Hosts.

    def start(self, name: str, zone: str) -> None:
        """Start or restart a host."""
        super().start(name, zone)
        node = self.nodes[name]
        node.process.stop = lambda *_: self.kill(name)
        self.unready_since[name] = self.now

    def kill(self, name: str) -> None:
        """Kill a host; the connections of its callers break."""
        node = self.nodes[name]
        node.dead = True
        for number in [n for caller_node, n in self._calls if caller_node is node]:
            self._break_call(node, number)

    def stop_gracefully(self, name: str) -> None:
        """Send a host the stop signal, and kill it when its grace period is over."""
        node = self.nodes[name]
        node.stopping = True
        event = SimpleNamespace(stop=lambda: None)
        self.after(0.0, lambda: node.process._on_signal(event, 15, None), node)
        self.after(6.0, lambda: node.dead or self.kill(name))

    def freeze(self, name: str, seconds: float) -> None:
        """Pause a host; received messages are handled before its timers, or after."""
        node = self.nodes[name]
        super().freeze(name, seconds)
        node.resumes_at = node.frozen_until + (-0.001 if self.timers_first else 0.001)
        node.pauses.append((self.now, node.frozen_until))

    def _watch(self) -> None:
        """Probe readiness as the balancer does."""
        for name, node in self.nodes.items():
            ready = not node.dead and node.frozen_until <= self.now
            if ready and node.process.ready:
                self.unready_since.pop(name, None)
            else:
                self.unready_since.setdefault(name, self.now)
        self.after(0.25, self._watch)

    # Upstreams.

    def add_upstreams(self, zone: str, count: int) -> None:
        for _ in range(count):
            name = UpstreamId(zone, f"u{len(self.upstreams)}")
            entry = UpstreamEntry(name, "s", f"{zone}:{name.name}", SIZE, (), False)
            self._add(entry)

    def _add(self, entry: UpstreamEntry) -> None:
        self.upstreams[entry.id] = FaultyUpstream(entry, 1.0, self.counters, self.rng)
        self.listed += (entry,)

    def unlist(self, name: UpstreamId) -> None:
        """Remove an upstream from the list."""
        self.listed = tuple(entry for entry in self.listed if entry.id != name)

    def crash(self, name: UpstreamId, down_s: float) -> None:
        """Crash an upstream; after `down_s` a new one replaces it at its address."""
        upstream = self.upstreams[name]
        upstream.crash()
        self.after(ENTRY_EXPIRY_S + VANISHED_RETENTION_S, lambda: self.unlist(name))

        def replace_upstream() -> None:
            upstream.is_replaced = True
            new = UpstreamId(name.zone, f"u{len(self.upstreams)}")
            self._add(UpstreamEntry(new, "s", upstream.entry.address, SIZE, (), False))

        self.after(down_s, replace_upstream)

    def restart(self, name: UpstreamId, down_s: float) -> None:
        """Crash an upstream; after `down_s` it restarts under the same name."""
        upstream = self.upstreams[name]
        upstream.crash()
        crashes = upstream.crashes

        def restart_upstream() -> None:
            if upstream.crashes == crashes:
                upstream.restart(self.now)

        self.after(down_s, restart_upstream)

    def drain(self, name: UpstreamId, drain_s: float) -> None:
        """Drain an upstream and remove it."""
        self.listed = tuple(
            replace(entry, draining=True) if entry.id == name else entry
            for entry in self.listed
        )

        def leave() -> None:
            self.upstreams[name].crash()
            self.after(VANISHED_RETENTION_S, lambda: self.unlist(name))

        self.after(drain_s, leave)

    # Callers.

    def ask(
        self,
        zone: str,
        seconds: float,
        tasks: int,
        node: Node | None = None,
        caller_timeout_s: float | None = None,
    ) -> Caller:
        """Send a job of a caller in a zone, to the given host if any."""
        job = f"{next(self._order):016x}"
        step = JobStep(tasks, TASK, seconds * MS_PER_S)
        request = JobRequest(job, "", (step,), ROUTE)
        caller = Caller(zone, request, caller_timeout_s)
        self.callers.append(caller)
        self._send(caller, node)
        return caller

    def _host_for(self, zone: str) -> Node | None:
        """Choose a host as the balancer does."""

        def unready(node: Node) -> bool:
            since = self.unready_since.get(node.name, self.now)
            return self.now - since > UNREADY_S

        alive = [node for node in self.nodes.values() if not node.dead]
        in_zone = [node for node in alive if self.zones[node.name] == zone]
        for candidates in (in_zone, alive):
            chosen = [node for node in candidates if not unready(node)]
            if chosen or candidates:
                return self.rng.choice(chosen or candidates)
        return None

    def _send(self, caller: Caller, node: Node | None = None) -> None:
        node = node or self._host_for(caller.zone)
        if node is None:
            self.after(0.2, lambda: self._send(caller))
            return
        attempt = caller.ask(node, self.now)
        path = f"/q/{caller.request.id}"
        self.sent[path] = attempt
        number = next(self._order)
        self._calls[node, number] = attempt
        node.process._web.open_calls += 1
        self.deliver(node, number, path)
        self.after(attempt.timeout_s + MARGIN_S, lambda: self._give_up(node, number))
        logging.getLogger("caller").info("%s asks %s", caller.request.id, node.name)

    def _give_up(self, node: Node, number: int) -> None:
        """Disconnect a caller whose timeout has passed."""
        attempt = self._calls.pop((node, number), None)
        if attempt is not None:
            attempt.unanswered = True
            self._notify_disconnect(node, number)
            if self.retry_unanswered:
                self._retry(attempt.caller)

    def replied(self, node: Node, number: int, reply) -> None:
        attempt = self._calls.pop((node, number), None)
        if attempt is None:
            return
        attempt.reply, attempt.answered_at = reply, self.now
        attempt.all_done = attempt.caller.tasks <= self.counters.done
        logging.getLogger("caller").info(
            "%s gets %s from %s", attempt.request.id, reply.status, node.name
        )
        if reply.status in RETRYABLE_STATUSES:
            self._retry(attempt.caller)

    def _break_call(self, node: Node, number: int) -> None:
        attempt = self._calls.pop((node, number))
        attempt.broken = True
        self._retry(attempt.caller)

    def _retry(self, caller: Caller) -> None:
        if not caller.left and len(caller.attempts) < MAX_ATTEMPTS:
            caller.pending_retries += 1

            def retry() -> None:
                caller.pending_retries -= 1
                if not caller.left:
                    self._roam(caller)
                    self._send(caller)

            self.after(RETRY_DELAY_S, retry)

    def _roam(self, caller: Caller) -> None:
        """Move a caller to a random zone, as the platform may do."""
        if self.roaming_fraction and self.rng.random() < self.roaming_fraction:
            caller.zone = self.rng.choice(sorted(set(self.zones.values())))

    def reset(self, node: Node, number: int) -> None:
        """Break the connection of a caller."""
        if (node, number) in self._calls:
            self._break_call(node, number)
            self._notify_disconnect(node, number)

    def leave(self, caller: Caller) -> None:
        """Disconnect a caller that no longer waits."""
        caller.left = True
        for (node, number), attempt in list(self._calls.items()):
            if attempt.caller is caller:
                self._calls.pop((node, number))
                attempt.broken = True
                self._notify_disconnect(node, number)

    def _notify_disconnect(self, node: Node, number: int) -> None:
        def closed() -> None:
            node.process._web.open_calls -= 1
            node.process.callers.caller_disconnected(number)

        def arrive() -> None:
            self.after(self.disconnect_notice_s, closed, node)

        self.after(CALL_S, arrive, node)

    @property
    def open_calls(self) -> list[tuple[Node, int]]:
        """Return the unanswered calls."""
        return list(self._calls)

    # Messages and calls.

    def is_lost(self, sender: str, name: str) -> bool:
        """Return whether messages from one host to another are lost."""
        zones = self.zones[sender], self.zones[name]
        return (
            (sender, name) in self.silent_links
            or (sender, name) in self.one_way
            or bool({sender, name} & self.isolated)
            or not self.reachable(sender, name)
            or not self.reachable(*zones)
        )

    def transmit(self, sender: Node, name: str, data: bytes) -> None:
        node, link = self.nodes[name], (sender, self.nodes[name])
        if node.dead:
            return
        if not self.is_lost(sender.name, name):
            self._partitioned_since.pop(link, None)
            self._deliver(sender, node, data)
        elif self.late_messages and (sender.name, name) not in self.silent_links:
            since = self._partitioned_since.setdefault(link, self.now)
            if self.now - since < RETRANSMIT_WINDOW_S:
                self._retransmit(sender, node, data, MAX_RETRANSMITS)

    def _deliver(self, sender: Node, node: Node, data: bytes) -> None:
        message = decode_message(data)
        same = self.zones[sender.name] == self.zones[node.name]
        self.after(LINK_S[same], lambda: node.process.mesh.deliver(message), node)

    def _retransmit(self, sender: Node, node: Node, data: bytes, left: int) -> None:
        def retransmit() -> None:
            if node.dead or not left:
                return
            if self.is_lost(sender.name, node.name):
                self._retransmit(sender, node, data, left - 1)
            else:
                self._deliver(sender, node, data)

        self.after(RETRANSMIT_INTERVAL_S, retransmit)

    def _unreachable(self, node: Node, upstream: FaultyUpstream) -> bool:
        zones = self.zones[node.name], upstream.entry.id.zone
        unresponsive = upstream.silent or (
            upstream.is_down and not upstream.is_replaced
        )
        return unresponsive or node.name in self.isolated or not self.reachable(*zones)

    def call(self, node: Node, effect, act, done) -> None:
        upstream = self.upstreams[effect.upstream]
        latency_s = self.rng.uniform(0.0003, 0.002)

        def unknown() -> None:
            self.after(effect.timeout_s, lambda: done(CallOutcome.UNKNOWN), node)

        def late() -> None:
            if not upstream.is_down and not upstream.silent:
                pending_polls = len(self.open_polls)
                act(upstream)
                del self.open_polls[pending_polls:]

        def arrive() -> None:
            if self._unreachable(node, upstream):
                unknown()
            elif upstream.is_replaced:
                self.after(latency_s, lambda: done(CallOutcome.GONE), node)
            elif self.rng.random() < self.delay_rate:
                unknown()
                self.after(self.rng.uniform(MIN_DELAY_S, MAX_DELAY_S), late)
            else:
                outcome = act(upstream)
                if outcome is not None:
                    self._return(node, upstream, effect, outcome, done)

        self.after(latency_s, arrive)

    def _return(self, node: Node, upstream, effect, result, done) -> None:
        lost = self._unreachable(node, upstream) or self.rng.random() < self.loss_rate
        if lost:
            self.after(effect.timeout_s, lambda: done(CallOutcome.UNKNOWN), node)
        else:
            self.after(CALL_S, lambda: done(result), node)

    def _answer_poll(self, effect, node: Node, done, until: float) -> None:
        upstream = self.upstreams[effect.upstream]
        if upstream.is_down:
            self.after(effect.timeout_s, lambda: done(CallOutcome.UNKNOWN), node)
        elif not upstream.has_unacknowledged_ends and self.now < until:
            self.open_polls.append((effect, node, done, until))
        else:
            self._return(node, upstream, effect, upstream.report(self.now), done)
