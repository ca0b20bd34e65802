"""A deployment of fakes and entry hosts on one virtual clock."""

import random
from collections.abc import Sequence

from jackdawspur.bench._checks import InvariantChecker
from jackdawspur.bench._clients import Clients
from jackdawspur.bench._deployment import DeploymentSpec, build_world
from jackdawspur.bench._dispatcher import DispatcherFactory
from jackdawspur.bench._host import SimulatedHost
from jackdawspur.bench._links import FakeLinks
from jackdawspur.bench._loop import VirtualLoop
from jackdawspur.bench._platform import FakeHostList, FakeLog
from jackdawspur.bench._traffic import Traffic
from jackdawspur.bench._upstream import FakeUpstream
from jackdawspur.bench._workload import Job
from jackdawspur.dispatch import ClusterSpecUpdated, DrainRequested, UsageReplied
from jackdawspur.external import HostRole, ListedHost, UpstreamReply
from jackdawspur.model import ClusterSpec, HostId, TaskOutcome, UpstreamId

__all__ = ["Simulation"]

LIST_LAG_S = 2.0
POLL_S = 1.0
REDELIVER_S = 0.2
DRAIN_BOUND_S = 10.0
RESTART_S = 1.0
LATE_START_S = 3.0


class Simulation:
    """Hold every fake of one run; the seed decides all of it."""

    def __init__(
        self,
        deployment: DeploymentSpec,
        make: DispatcherFactory,
        seed: int,
        list_lag_s: float = LIST_LAG_S,
        resubmits: bool = False,
    ) -> None:
        self.deployment = deployment
        self.seed = seed
        self.rng = random.Random(f"simulation {seed}")
        self.loop = VirtualLoop()
        self.checker = InvariantChecker()
        self.traffic = Traffic()
        self.links = FakeLinks(deployment, self.rng)
        self.host_list = FakeHostList(self.loop, list_lag_s)
        self.log = FakeLog(self.loop, self.rng)
        self.log.on_append = self._read_claims
        self.world = build_world(deployment)
        self.clients = Clients(self, resubmits)
        self.upstreams = {
            item.id: self._upstream(item) for item in self.world.upstreams
        }
        self.hosts = {
            (item.zone, item.name): SimulatedHost(item.zone, item.name, self, make)
            for item in self.world.entry_hosts
        }
        self._left: set[UpstreamId] = set()

    def run(self, jobs: Sequence[Job], seconds: float, grace_s: float) -> None:
        """Let jobs arrive, then wait until all are answered or `grace_s` passed."""
        self._publish()
        for host in self.hosts.values():
            host.boot(self.world)
        self.loop.every(POLL_S, self._poll)
        for job in jobs:
            self.loop.at(job.at, lambda job=job: self.clients.submit(job))
        self.loop.run(seconds)
        while self.clients.waiting and self.loop.now < seconds + grace_s:
            self.loop.run(self.loop.now + POLL_S)
        # A start that comes after its "not run" would show by now.
        self.loop.run(self.loop.now + LATE_START_S)
        self.checker.finish(self.loop.now)

    def set_cluster_spec(self, world: ClusterSpec) -> None:
        """Bring a configuration to every host that lives."""
        self.world = world
        for host in self.hosts.values():
            host.receive(host.id, ClusterSpecUpdated(world))

    def leave(self, upstream: UpstreamId) -> None:
        """Have an upstream leave, and the platform list it, with its lag."""
        self.upstreams[upstream].leave()
        self._left.add(upstream)
        self._publish()

    def kill(self, host: SimulatedHost, restart_s: float = RESTART_S) -> None:
        """Kill a host, and start it anew after a while."""
        draining = host.draining_since is not None
        host.kill()
        self.clients.host_died(host, draining)
        self._publish()
        self.loop.after(restart_s, lambda: self._boot(host))

    def pause(self, host: SimulatedHost, seconds: float) -> None:
        """Pause a host and let it go on later."""
        host.pause()
        self.loop.after(seconds, host.resume)

    def drain(self, host: SimulatedHost) -> None:
        """Ask a host to stop, and replace it when its time is over."""
        host.draining_since = self.loop.now
        host.receive(host.id, DrainRequested(DRAIN_BOUND_S * 1000))
        self.loop.after(DRAIN_BOUND_S + RESTART_S, lambda: self.kill(host))

    def should_drop_reply(self, run: HostId, upstream: FakeUpstream) -> bool:
        """Decide whether an upstream's reply is lost after the effect."""
        cut = not self.links.is_connected(run.zone, upstream.spec.id.zone)
        return cut or self.rng.random() < upstream.faults.lost_replies

    def _boot(self, host: SimulatedHost) -> None:
        host.boot(self.world)
        self._publish()

    def _upstream(self, spec) -> FakeUpstream:
        rng = random.Random(f"{self.seed} {spec.id}")
        upstream = FakeUpstream(spec, self.loop, rng, self.checker)

        def ended(holder: HostId, outcome: TaskOutcome) -> None:
            repeats = self.rng.random() < upstream.faults.lost_replies
            delay = self.links.delay(holder.zone, spec.id.zone)
            reply = UpstreamReply(spec.id, upstream.incarnation, outcomes=(outcome,))
            self._deliver(holder, reply, delay)
            if repeats:
                # The cursor's advance was lost, so the same result is read again.
                self._deliver(holder, reply, delay + REDELIVER_S)

        upstream.ended = ended
        return upstream

    def _deliver(self, holder: HostId, reply: UpstreamReply, delay: float) -> None:
        host = self.hosts[holder.zone, holder.name]

        def arrive() -> None:
            if host.id != holder or not self.upstreams[reply.upstream].alive:
                return
            if self.links.is_connected(holder.zone, reply.upstream.zone):
                host.take_results(reply)
            else:
                self._deliver(holder, reply, REDELIVER_S)

        self.loop.after(delay, arrive)

    def _poll(self) -> None:
        self._publish()
        for host in self.hosts.values():
            host.read_hosts()
            host.read_claims()
            for upstream in self.upstreams.values():
                if not upstream.alive:
                    continue
                if self.links.is_connected(host.id.zone, upstream.spec.id.zone):
                    reply = UpstreamReply(
                        upstream.spec.id, upstream.incarnation, usage=upstream.usage
                    )
                    host.receive(host.id, UsageReplied(reply))

    def _read_claims(self) -> None:
        for host in self.hosts.values():
            host.read_claims()

    def _publish(self) -> None:
        entries = [
            ListedHost(zone, name, HostRole.ENTRY, host.draining_since is not None)
            for (zone, name), host in self.hosts.items()
            if host.alive or not self.loop.now
        ]
        workers = [
            ListedHost(item.zone, item.name, HostRole.UPSTREAM, item in self._left)
            for item, upstream in self.upstreams.items()
            if upstream.alive
        ]
        self.host_list.publish((*entries, *workers))
