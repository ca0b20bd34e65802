"""Simulated sockets, timers, store and upstreams of a host in virtual time."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from jackdawspur.adapters import Call
from jackdawspur.bench import SimulatedUpstream
from jackdawspur.callers import HttpResponse
from jackdawspur.front import (
    CallerRequest,
    RequestKind,
    RouteTable,
    StoreListener,
    StorePort,
    UpstreamPort,
)
from jackdawspur.front._mesh import DIALS_PER_PASS
from jackdawspur.front._process import FrontProcess
from jackdawspur.group import GroupMessage, HostAddress, encode_message
from jackdawspur.leases import CallOutcome
from jackdawspur.platform import PlatformCallerCodec
from jackdawspur.runs import PollUpstream, Route, StartRun, StopRun

if TYPE_CHECKING:
    from jackdawspur.front.tests.virtual import World

__all__ = [
    "ROUTE",
    "Callers",
    "Node",
    "Store",
    "Upstreams",
    "VirtualTimerQueue",
    "VirtualMesh",
    "VirtualWeb",
]

ROUTE = Route("r", "h", "/q/", "s", 1500.0, 60.0, 1.6, 0, 3)
READ_S = 0.01
MS_PER_S = 1000.0


class Node:
    """One process of a host, until it is killed."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.dead = False
        self.frozen_until = 0.0
        self.process: FrontProcess | None = None


class VirtualTimerQueue:
    """Calls back at virtual times."""

    def __init__(self, world: "World", node: Node) -> None:
        self._world = world
        self._node = node

    def register(self, _owner) -> "VirtualTimerQueue":
        return self

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        self._world.after(seconds, callback, self._node)


class VirtualMesh:
    """Delivers messages to reachable hosts."""

    dropped_messages = 0
    bytes_sent = 0

    def __init__(self, world: "World", node: Node, deliver) -> None:
        self._world = world
        self._node = node
        self.deliver = deliver
        self._peers: dict[str, HostAddress] = {}

    def register(self, _owner) -> "VirtualMesh":
        return self

    def set_peers(self, hosts: tuple[HostAddress, ...]) -> list[str]:
        wanted = {host.name: host for host in hosts}
        retained = {n: h for n, h in self._peers.items() if wanted.get(n) == h}
        dialled = [name for name in wanted if name not in retained][:DIALS_PER_PASS]
        self._peers = retained | {name: wanted[name] for name in dialled}
        return dialled

    def redial(self, name: str) -> None:
        self._world.silent_links.discard((self._node.name, name))

    def send(self, name: str, message: GroupMessage) -> None:
        if name in self._peers:
            self._world.transmit(self._node, name, encode_message(message))


class VirtualWeb:
    """Passes replies to the simulated callers."""

    def __init__(self, world: "World", node: Node) -> None:
        self._world = world
        self._node = node
        self.open_calls = 0

    def register(self, _owner) -> "VirtualWeb":
        return self

    def reply(self, call_id: int, reply: HttpResponse) -> None:
        self.open_calls -= 1
        self._world.replied(self._node, call_id, reply)

    def set_draining(self, draining: bool) -> None:
        pass

    def set_request_limits(self, max_head_bytes: int, max_body_bytes: int) -> None:
        pass

    def close_idle_connections(self) -> None:
        pass


class Callers(PlatformCallerCodec):
    """Looks up the simulated requests by path."""

    def __init__(self, world: "World") -> None:
        self._world = world

    def decode_call(
        self, call: Call, routes: RouteTable, max_size: int = 0
    ) -> CallerRequest:
        sent = self._world.sent[call.path]
        request = sent.request
        return CallerRequest(
            RequestKind.SUBMIT,
            request.route,
            request.id,
            request,
            sent.caller_timeout_s,
        )

    def decode_configuration(self, document: bytes) -> RouteTable:
        return RouteTable(1, self._world.routes)


class Store(StorePort):
    """Reads the simulated configuration, hosts and list of upstreams."""

    def __init__(self, world: "World", node: Node) -> None:
        self._world = world
        self._node = node

    def start_watch(self, listener: StoreListener) -> None:
        self._listener = listener
        self._every(lambda: READ_S, self._read_configuration)
        self._every(lambda: READ_S, self._read_hosts)
        self._every(lambda: listener.upstream_list_interval_s, self._read_list)

    def announce(self, host: HostAddress) -> None:
        self._world.after(READ_S, lambda: self._world.announce(host), self._node)

    def _every(self, pause_s: Callable[[], float], read: Callable[[], None]) -> None:
        def read_and_reschedule() -> None:
            if self._node.name not in self._world.storeless:
                read()
            self._world.after(pause_s(), read_and_reschedule, self._node)

        self._world.after(READ_S, read_and_reschedule, self._node)

    def _read_configuration(self) -> None:
        self._listener.on_configuration(1, b"1")
        self._listener.on_evacuated_zones(frozenset(self._world.evacuated))

    def _read_hosts(self) -> None:
        self._listener.on_hosts(tuple(self._world.announced.values()))

    def _read_list(self) -> None:
        limit = self._world.list_limits.get(self._node.name)
        entries = self._world.listed[:limit]
        if entries:
            self._listener.on_upstreams(entries)


class Upstreams(UpstreamPort):
    """Calls simulated upstreams."""

    def __init__(self, world: "World", node: Node) -> None:
        self._world = world
        self._node = node

    def start(self, effect: StartRun, done: Callable[[CallOutcome], None]) -> None:
        world = self._world
        demand = world.demand_of(effect.run.task)

        def act(upstream: SimulatedUpstream) -> CallOutcome:
            return upstream.start(
                effect.run, effect.lease_until_ms, effect.fence, demand, world.now
            )

        world.call(self._node, effect, act, done)

    def stop(self, effect: StopRun, done: Callable[[CallOutcome], None]) -> None:
        def act(upstream: SimulatedUpstream) -> CallOutcome:
            return upstream.stop(effect.run, effect.fence, self._world.now)

        self._world.call(self._node, effect, act, done)

    def poll_runs(self, effect: PollUpstream, done: Callable) -> None:
        world = self._world

        def act(upstream: SimulatedUpstream) -> CallOutcome | None:
            outcome = upstream.renew_lease(
                effect.fence, effect.last_seen, effect.lease_until_ms, world.now
            )
            if outcome is not CallOutcome.OK:
                return outcome
            until = world.now + effect.wait_ms / MS_PER_S
            world.open_polls.append((effect, self._node, done, until))
            return None

        world.call(self._node, effect, act, done)

    def close_connections_except(self, addresses: set[str]) -> None:
        pass
