"""A simulated deployment: fakes and entry hosts on one virtual clock."""

import random
from collections.abc import Sequence

from jackdawspur.bench._checks import InvariantChecker
from jackdawspur.bench._clients import Clients
from jackdawspur.bench._deployment import DeploymentSpec, build_cluster_spec
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
POLL_INTERVAL_S = 1.0
REDELIVERY_DELAY_S = 0.2
DRAIN_TIMEOUT_S = 10.0
RESTART_DELAY_S = 1.0
LATE_START_GRACE_S = 3.0


class Simulation:
    """Simulate one run of a deployment; equal seeds give equal runs."""

    def __init__(
        self,
        deployment: DeploymentSpec,
        make_dispatcher: DispatcherFactory,
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
        self.cluster_spec = build_cluster_spec(deployment)
        self.clients = Clients(self, resubmits)
        self.upstreams = {
            item.id: self._make_upstream(item) for item in self.cluster_spec.upstreams
        }
        self.hosts = {
            (item.zone, item.name): SimulatedHost(
                item.zone, item.name, self, make_dispatcher
            )
            for item in self.cluster_spec.entry_hosts
        }
        self._leaving: set[UpstreamId] = set()

    def run(self, jobs: Sequence[Job], seconds: float, grace_s: float) -> None:
        """Submit jobs, then run until all are answered or `grace_s` has passed."""
        self._publish()
        for host in self.hosts.values():
            host.start_incarnation(self.cluster_spec)
        self.loop.every(POLL_INTERVAL_S, self._poll)
        for job in jobs:
            self.loop.at(job.at, lambda job=job: self.clients.submit(job))
        self.loop.run(seconds)
        while self.clients.waiting and self.loop.now < seconds + grace_s:
            self.loop.run(self.loop.now + POLL_INTERVAL_S)
        # Leave time for starts that arrive after a "not run" answer to be detected.
        self.loop.run(self.loop.now + LATE_START_GRACE_S)
        self.checker.finish(self.loop.now)

    def set_cluster_spec(self, cluster_spec: ClusterSpec) -> None:
        """Send a configuration to every live host."""
        self.cluster_spec = cluster_spec
        for host in self.hosts.values():
            host.receive(host.id, ClusterSpecUpdated(cluster_spec))

    def leave(self, upstream: UpstreamId) -> None:
        """Make an upstream leave; the list of hosts shows that after the list's lag."""
        self.upstreams[upstream].leave()
        self._leaving.add(upstream)
        self._publish()

    def kill(self, host: SimulatedHost, restart_s: float = RESTART_DELAY_S) -> None:
        """Kill a host and restart it after `restart_s`."""
        draining = host.draining_since is not None
        host.kill()
        self.clients.host_died(host, draining)
        self._publish()
        self.loop.after(restart_s, lambda: self._restart_host(host))

    def pause(self, host: SimulatedHost, seconds: float) -> None:
        """Pause a host, and resume it after some seconds."""
        host.pause()
        self.loop.after(seconds, host.resume)

    def drain(self, host: SimulatedHost) -> None:
        """Drain a host; kill it RESTART_DELAY_S after its timeout, and restart it."""
        host.draining_since = self.loop.now
        host.receive(host.id, DrainRequested(DRAIN_TIMEOUT_S * 1000))
        self.loop.after(DRAIN_TIMEOUT_S + RESTART_DELAY_S, lambda: self.kill(host))

    def should_drop_reply(self, host_id: HostId, upstream: FakeUpstream) -> bool:
        """Return whether to drop a reply of an upstream that carried out the call."""
        partitioned = not self.links.is_connected(host_id.zone, upstream.spec.id.zone)
        return partitioned or self.rng.random() < upstream.faults.lost_reply_share

    def _restart_host(self, host: SimulatedHost) -> None:
        host.start_incarnation(self.cluster_spec)
        self._publish()

    def _make_upstream(self, spec) -> FakeUpstream:
        rng = random.Random(f"{self.seed} {spec.id}")
        upstream = FakeUpstream(spec, self.loop, rng, self.checker)

        def on_task_ended(holder: HostId, outcome: TaskOutcome) -> None:
            is_repeated = self.rng.random() < upstream.faults.lost_reply_share
            delay = self.links.delay(holder.zone, spec.id.zone)
            reply = UpstreamReply(spec.id, upstream.incarnation, outcomes=(outcome,))
            self._deliver_results(holder, reply, delay)
            if is_repeated:
                # The reply that advanced the cursor was lost, so the host reads the
                # same result again.
                self._deliver_results(holder, reply, delay + REDELIVERY_DELAY_S)

        upstream.on_task_ended = on_task_ended
        return upstream

    def _deliver_results(
        self, holder: HostId, reply: UpstreamReply, delay: float
    ) -> None:
        host = self.hosts[holder.zone, holder.name]

        def arrive() -> None:
            if host.id != holder or not self.upstreams[reply.upstream].alive:
                return
            if self.links.is_connected(holder.zone, reply.upstream.zone):
                host.receive_results(reply)
            else:
                self._deliver_results(holder, reply, REDELIVERY_DELAY_S)

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
            ListedHost(item.zone, item.name, HostRole.UPSTREAM, item in self._leaving)
            for item, upstream in self.upstreams.items()
            if upstream.alive
        ]
        self.host_list.publish((*entries, *workers))
