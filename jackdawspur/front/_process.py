"""The process of a host on one circuits loop."""

import logging
from collections.abc import Callable

from circuits import Component, Event as LoopEvent, handler
from circuits.core.pollers import EPoll

from jackdawspur.adapters import TimerQueue
from jackdawspur.callers import HttpResponse
from jackdawspur.front._clock import now_s, unix_ms
from jackdawspur.front._heartbeats import Heartbeats
from jackdawspur.front._host_metrics import HostMetrics
from jackdawspur.front._leader_driver import LeaderDriver
from jackdawspur.front._mesh import Mesh
from jackdawspur.front._overload import assumed_fields, overload_fields, overload_policy
from jackdawspur.front._pages import OperatorPages
from jackdawspur.front._peer_updates import PeerUpdates
from jackdawspur.front._ports import PlatformPorts
from jackdawspur.front._ready_service import ReadyService
from jackdawspur.front._reload import reload_settings
from jackdawspur.front._routes import NO_ROUTES, RouteTable
from jackdawspur.front._servers import HostServers
from jackdawspur.front._service import CallerService
from jackdawspur.front._views import StoreView
from jackdawspur.group import (
    HEARTBEAT_INTERVAL_S,
    ConfigurationUpdate,
    Group,
    GroupMessage,
    HostAddress,
    HostHeartbeat,
    HostLimits,
    JobCancellation,
    JobOffer,
    JobRedirect,
    JobResult,
    UpstreamListUpdate,
)
from jackdawspur.settings import HostSettings

__all__ = ["FrontProcess"]

TICK_S = 0.025
NEVER_S = float("inf")
# Interval between ticks of a follower without callers, which has no timeouts to handle.
# Heartbeats are due at multiples of either interval.
IDLE_TICK_S = 0.05
# Average lateness of ticks above which the processor is overloaded.
SLOW_LATENESS_S = 0.035
LATENESS_SMOOTHING = 0.1
# Hosts discovered within this time are greeted together.
GREETING_DELAY_S = 0.01
# Shortest time between updates to a peer that lacks the configuration or the list.
UPDATE_INTERVAL_S = 0.5
# The balancer stops sending requests after two failed readiness probes, a second apart.
MIN_DRAIN_S = 2.2
EXIT_GRACE_S = 0.2
# Part of the grace period before SIGKILL that is reserved for closing connections.
DRAIN_MARGIN_S = 0.6

log = logging.getLogger("jackdawspur.host")


class flush(LoopEvent):
    """Lets the dispatcher handle what arrived during this pass of the loop."""


class FrontProcess(Component):
    """Connects the dispatcher and the group of a host to its sockets."""

    channel = "front"

    def init(
        self,
        settings: HostSettings,
        poller: EPoll,
        make_ports: Callable[[Component, TimerQueue], PlatformPorts],
        read_settings: Callable[[], HostSettings],
    ) -> None:
        """Open the sockets; circuits calls this with the constructor's arguments."""
        self._settings = settings
        self._read_settings = read_settings
        self._reload_requested = False
        now = now_s()
        limits = HostLimits(settings.processor, settings.link_mbps)
        self.address = _address(settings, limits)
        self.routes: RouteTable = NO_ROUTES
        self.metrics = HostMetrics()
        self._timer_queue = TimerQueue(now_s).register(self)
        self._ports = make_ports(self, self._timer_queue)
        max_upstreams = min(settings.most_upstreams, limits.max_upstreams)
        self.group = Group(self.address, now, max_upstreams)
        self.view = StoreView(self)
        self.mesh = Mesh(settings.link, poller, self._on_message).register(self)
        self.leader_driver = LeaderDriver(
            self, self._ports.upstreams, now, overload_policy(settings)
        )
        self._listen(settings)
        self._flush_pending = False
        self._flush_due = NEVER_S
        self._greet_pending = False
        self._heartbeats = Heartbeats(self, self.mesh)
        self._peer_updates = PeerUpdates(self, self.mesh)
        self._heartbeat_due = self._update_due = self._tick_due = now
        self._last_leader: str | None = None
        self._by_zone = False
        self.average_lateness_s = 0.0
        self._draining_since: float | None = None
        self._exiting = False
        self._timer_queue.call_later(0.0, self._start_work)
        self._log_start(limits)

    def _listen(self, settings: HostSettings) -> None:
        self.callers = CallerService(self, self._ports.callers)
        self._servers = HostServers(
            self, settings, self.callers, ReadyService(self), OperatorPages(self)
        )
        self._web = self._servers.callers
        self._job_memory = self._servers.job_memory(
            self.callers.job_sizes, self.leader_driver.dispatcher.open_jobs.sizes
        )

    def _log_start(self, limits: HostLimits) -> None:
        settings = self._settings
        host = {"host": settings.name, "zone": settings.zone}
        stated = limits.log_fields() | overload_fields(settings)
        stated |= self._servers.limits.log_fields()
        stated["assumed"] += assumed_fields(settings)
        log.info("host started", extra=host | stated)

    @property
    def ready(self) -> bool:
        """Return whether the host serves: with routes and a leader, not draining."""
        now = now_s()
        has_leader = self.group.leader(now) is not None
        serves = has_leader and self.leader_driver.is_group_available(now)
        return bool(self.routes.version) and serves and not self.group.draining

    @property
    def can_lead(self) -> bool:
        """Return whether this host can lead: with routes and upstreams."""
        return bool(self.routes.version) and bool(self.view.entries)

    @property
    def _stops_at(self) -> float:
        """Return the time at which a draining host stops at the latest."""
        return self._draining_since + self._settings.grace_s - DRAIN_MARGIN_S

    def reply(self, call_id: int, reply: HttpResponse) -> None:
        """Reply to a caller."""
        self._web.reply(call_id, reply)

    def reply_ready(self, call_id: int, reply: HttpResponse) -> None:
        """Reply to a readiness probe."""
        self._servers.ready.reply(call_id, reply)

    def reply_metrics(self, call_id: int, reply: HttpResponse) -> None:
        """Reply to an operator."""
        self._servers.metrics.reply(call_id, reply)

    def send(self, host: str, message: GroupMessage) -> None:
        """Send a message to another host."""
        self.mesh.send(host, message)

    def upstreams_changed(self) -> None:
        """Apply a new list of upstreams, of all zones or of this host's zone."""
        now = now_s()
        self.group.set_upstream_count(len(self.view.entries), now)
        if self.group.by_zone == self._by_zone:
            self.leader_driver.upstreams_changed(now)
        else:
            self._zones_changed(now)

    def _zones_changed(self, now: float) -> None:
        """Apply the upstreams of the zones that the group has now."""
        self._by_zone = self.group.by_zone
        self.leader_driver.upstreams_changed(now)
        if self.group.is_leader:
            # Hosts that now belong to another group elect its leader.
            log.info("group changed", extra={"by_zone": self._by_zone})
            self._send_heartbeats(now, to_all=True)

    def on_new_hosts(self) -> None:
        """Schedule connecting to new hosts.

        Hosts that start together have no leader until they have discovered each other.
        Each discovers many within milliseconds and connects to them together.
        """
        if not self._greet_pending:
            self._greet_pending = True
            self._timer_queue.call_later(GREETING_DELAY_S, self._greet)

    def _greet(self) -> None:
        self._greet_pending = False
        self._connect(now_s())

    def _connect(self, now: float) -> None:
        dialled = self.mesh.set_peers(self._heartbeats.peers(now))
        self._heartbeats.greet(dialled, now)

    def waiting_jobs(self, route: str) -> int:
        """Return the number of a route's jobs known here that have not started."""
        return self.leader_driver.dispatcher.open_jobs.count_not_started(route)

    def set_routes(self, routes: RouteTable) -> None:
        """Put routes in force if their version is newer."""
        if routes.version > self.routes.version:
            log.info(
                "configuration in force",
                extra={"version": routes.version, "before": self.routes.version},
            )
            before = self.routes
            self.routes = routes
            self._web.set_request_limits(routes.max_head_bytes, routes.max_body_bytes)
            self.callers.on_configured()
            if routes.priorities_by_service != before.priorities_by_service:
                self.upstreams_changed()

    def decode_configuration(self, document: bytes) -> RouteTable:
        """Decode the routes of a document; raise `ConfigurationDecodeError`."""
        return self._ports.callers.decode_configuration(document)

    def flush_soon(self) -> None:
        """Schedule a flush at the end of this pass of the loop."""
        if not self._flush_pending:
            self._flush_pending = True
            self.fire(flush())

    def flush_at(self, when: float) -> None:
        """Schedule a flush at a time, unless an earlier one is scheduled."""
        if when < self._flush_due:
            self._flush_due = when
            wait_s = max(0.0, when - now_s())
            self._timer_queue.call_later(wait_s, self._on_flush_due)

    def _on_flush_due(self) -> None:
        self._flush_due = NEVER_S
        self.flush_soon()

    @handler("flush")
    def _on_flush(self) -> None:
        self._flush_pending = False
        now = now_s()
        self._job_memory.update()
        if self.group.pauses.pause_s(now):
            # Replies that waited to be read must not cause starts before it resigns.
            self._follow_leader(now)
        self.leader_driver.flush(now)

    def _start_work(self) -> None:
        self._tick_due = now_s()
        self._tick()
        self._ports.store.start_watch(self.view)
        self._ports.store.announce(self.address)

    def _tick(self) -> None:
        now = now_s()
        late = min(1.0, max(0.0, now - self._tick_due))
        self.average_lateness_s += LATENESS_SMOOTHING * (late - self.average_lateness_s)
        tick_s = IDLE_TICK_S if self._is_idle_follower(now) else TICK_S
        self._tick_due = now + tick_s
        # Scheduled first, so that an exception below costs only one tick: without ticks
        # a host sends no heartbeats, and no signal would stop it.
        self._timer_queue.call_later(tick_s, self._tick)
        if self._reload_requested:
            self._reload_requested = False
            self._settings = reload_settings(self._settings, self._read_settings)
            policy = overload_policy(self._settings)
            self.leader_driver.dispatcher.set_policy(policy)
        self.group.slow = self.average_lateness_s > SLOW_LATENESS_S
        self.group.store_reachable = self.view.reachable
        self._connect(now)
        self._follow_leader(now)
        self.callers.tick(now)
        self.leader_driver.tick(now)
        if now >= self._heartbeat_due:
            self._send_heartbeats(now)
        if now >= self._update_due:
            self._update_due = now + UPDATE_INTERVAL_S
            self._peer_updates.send(now)
        if not self.group.draining:
            # Refused callers reconnect, and the balancer sends them to another zone.
            available = self.leader_driver.is_group_available(now)
            self._web.set_draining(not available)
        self._exit_when_drained(now)
        self.flush_soon()

    def _is_idle_follower(self, now: float) -> bool:
        """Return whether this host is a follower without callers."""
        group = self.group
        follows = group.leader(now) is not None and not group.is_leader
        return follows and not self.callers.waiting and not group.draining

    def _send_heartbeats(self, now: float, to_all: bool = False) -> None:
        """Send heartbeats; those due between two ticks are sent at the earlier one."""
        self._heartbeat_due = now + HEARTBEAT_INTERVAL_S - TICK_S / 2
        self._heartbeats.send(now, to_all)

    def _follow_leader(self, now: float) -> None:
        if self.group.pauses.pause_s(now):
            self.view.log_pause(now)
        changed = self.group.update_leadership(self.can_lead, unix_ms(), now)
        if self.group.by_zone != self._by_zone:
            self._zones_changed(now)
        if changed:
            self.leader_driver.leadership_changed(now)
        leader = self.group.leader(now)
        lost = leader is None and self._last_leader is not None
        if leader != self._last_leader:
            self.view.log_leader(self.group.term(now), now)
        self._last_leader = leader
        if changed or lost:
            # A host that lost its leader informs all others, which elect the next one.
            self._send_heartbeats(now, to_all=True)
        if self.group.contend_for_upstreams(
            self.leader_driver.fenced_s(now), unix_ms(), now
        ):
            self.leader_driver.leadership_changed(now)
            self._send_heartbeats(now, to_all=True)
        self.callers.offer_waiting(now)

    def _on_message(self, message: GroupMessage) -> None:
        now = now_s()
        if isinstance(message, HostHeartbeat):
            self._on_heartbeat(message, now)
        elif isinstance(message, JobOffer):
            self.leader_driver.receive_offer(message, now)
        elif isinstance(message, JobRedirect):
            self.callers.redirect(message)
        elif isinstance(message, JobCancellation):
            self.leader_driver.cancel_job(
                message.sender, message.job, message.call, now
            )
        elif isinstance(message, JobResult):
            self.callers.receive_result(message)
        elif isinstance(message, ConfigurationUpdate):
            self.view.on_configuration(message.version, message.document)
        elif isinstance(message, UpstreamListUpdate):
            self.view.on_upstream_update(message, now)
        self.flush_soon()

    def _on_heartbeat(self, heartbeat: HostHeartbeat, now: float) -> None:
        if self.group.record_heartbeat(heartbeat, now):
            self.on_new_hosts()
        for progress in heartbeat.progress:
            self.callers.record_progress(progress)
        if not self.group.includes(heartbeat):
            if heartbeat.leads:
                self.leader_driver.exchange.record_capacity_offer(heartbeat, now)
                self.leader_driver.exchange.record_loads(heartbeat, now)
            return
        self._heartbeats.redial_if_unresponsive(
            heartbeat.host.name, heartbeat.silent_s, now
        )
        self.leader_driver.exchange.record_learned(heartbeat, now)
        self.leader_driver.exchange.record_demand(heartbeat, now)
        self.leader_driver.drop_handed_over(heartbeat.host.name, heartbeat.follows, now)

    @handler("signal", channel="*")
    def _on_signal(self, event, signo, _stack) -> None:
        """Start to drain at the first stop signal."""
        event.stop()
        if self._draining_since is None:
            self._draining_since = now_s()
            self.group.draining = True
            self.callers.stop_by(self._stops_at)
            self._web.set_draining(True)
            log.info("draining", extra={"waiting_callers": self.callers.waiting})

    def request_reload(self) -> None:
        """Reload the settings at the next tick; safe to call in a signal handler."""
        self._reload_requested = True

    def _exit_when_drained(self, now: float) -> None:
        """Stop once no caller waits and the balancer sends no more requests."""
        if self._draining_since is None or self._exiting:
            return
        idle = not self._web.open_calls and not self.group.is_leader
        settled = now - self._draining_since > MIN_DRAIN_S
        if now > self._stops_at or (idle and settled):
            self._exiting = True
            self._web.close_idle_connections()
            self._timer_queue.call_later(EXIT_GRACE_S, self._exit)

    def _exit(self) -> None:
        """Stop, unless a request arrived on a connection before it was closed."""
        if self._web.open_calls and now_s() <= self._stops_at:
            self._exiting = False
            return
        log.info("host stopped", extra={"waiting_callers": self.callers.waiting})
        self.root.stop()


def _address(settings: HostSettings, limits: HostLimits) -> HostAddress:
    """Return the address of this incarnation, as announced to other hosts."""
    link = settings.announced or settings.link
    return HostAddress(settings.name, settings.zone, link, unix_ms(), limits.cores)
