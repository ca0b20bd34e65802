"""A host on one circuits loop."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from circuits import Component, Event as LoopEvent, handler
from circuits.core.pollers import EPoll

from jackdawspur.adapters import TimerQueue, WebServer
from jackdawspur.callers import HttpResponse
from jackdawspur.front._clock import now_s, unix_ms
from jackdawspur.front._gauges import Gauges
from jackdawspur.front._heartbeats import Heartbeats
from jackdawspur.front._lead import LeadDriver
from jackdawspur.front._mesh import Mesh
from jackdawspur.front._pages import OperatorPages
from jackdawspur.front._ports import CallerPort, StorePort, UpstreamPort
from jackdawspur.front._reload import reloaded
from jackdawspur.front._routes import NO_ROUTES, RouteTable
from jackdawspur.front._service import CallerService, ReadyService
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

__all__ = ["FrontProcess", "PlatformPorts"]

TICK_S = 0.025
NEVER_S = float("inf")
# A host that follows and has no callers has nothing to give up in time. Heartbeats are
# due at multiples of either tick.
CALM_TICK_S = 0.05
# A pass that comes this much late on average shows a processor that can't keep up.
SLOW_LATE_S = 0.035
LATE_SMOOTHING = 0.1
# Hosts learned of within this time are greeted together.
GREET_S = 0.01
# What a peer lacks is passed on to it at most this often.
PASS_EVERY_S = 0.5
# An own list of upstreams older than this is refreshed from a peer's.
STALE_LIST_S = 2.0
# The balancer stops sending after two missed looks at readiness, a second apart.
LEAST_DRAIN_S = 2.2
EXIT_GRACE_S = 0.2
# The last of the time until SIGKILL is left for closing.
DRAIN_MARGIN_S = 0.6

log = logging.getLogger("jackdawspur.host")


@dataclass(frozen=True, slots=True)
class PlatformPorts:
    """Carry the adapter's ways to the platform."""

    callers: CallerPort
    upstreams: UpstreamPort
    store: StorePort


class flush(LoopEvent):
    """Let the decisions handle what came in during this pass of the loop."""


class FrontProcess(Component):
    """Connect one host's decisions to its sockets."""

    channel = "front"

    def init(
        self,
        settings: HostSettings,
        poller: EPoll,
        make_ports: Callable[[Component, TimerQueue], PlatformPorts],
        read_settings: Callable[[], HostSettings],
    ) -> None:
        """Open the sockets; circuits passes the constructor's arguments."""
        self._settings = settings
        self._read_settings = read_settings
        self._reload_asked = False
        now = now_s()
        limits = HostLimits(settings.processor, settings.link_mbps)
        self.address = _address(settings, limits)
        self.routes: RouteTable = NO_ROUTES
        self.gauges = Gauges()
        self._timer_queue = TimerQueue(now_s).register(self)
        self._ports = make_ports(self, self._timer_queue)
        most_upstreams = min(settings.most_upstreams, limits.max_upstreams)
        self.group = Group(self.address, now, most_upstreams)
        self.views = StoreView(self)
        self.mesh = Mesh(settings.link, poller, self._on_message).register(self)
        self.lead = LeadDriver(self, self._ports.upstreams, now)
        self.callers = CallerService(self, self._ports.callers)
        self._open_web(settings)
        self._flushing = False
        self._flush_due = NEVER_S
        self._greeting = False
        self._heartbeats = Heartbeats(self, self.mesh)
        self._beat_due = self._pass_due = self._tick_due = now
        self._followed: str | None = None
        self._by_zone = False
        self.late_s = 0.0
        self._drain_from: float | None = None
        self._exiting = False
        self._timer_queue.call_later(0.0, self._begin)
        place = {"host": settings.name, "zone": settings.zone}
        log.info("host started", extra={**place, **limits.log_fields()})

    def _open_web(self, settings: HostSettings) -> None:
        self._web = WebServer(settings.callers, self.callers, "callers").register(self)
        self._ready_web = WebServer(
            settings.ready, ReadyService(self), "ready"
        ).register(self)
        if settings.metrics is not None:
            self._metrics_web = WebServer(
                settings.metrics, OperatorPages(self), "metrics"
            ).register(self)

    @property
    def ready(self) -> bool:
        """Tell whether new connections are wanted: with routes and a leading host."""
        led = self.group.leader(now_s()) is not None
        return bool(self.routes.version) and led and not self.group.draining

    @property
    def able(self) -> bool:
        """Tell whether this host could lead: with routes and upstreams."""
        return bool(self.routes.version) and bool(self.views.entries)

    @property
    def _stops_at(self) -> float:
        """Return when a host that drains ends at the latest."""
        return self._drain_from + self._settings.grace_s - DRAIN_MARGIN_S

    def reply(self, call_id: int, reply: HttpResponse) -> None:
        """Reply to a caller."""
        self._web.reply(call_id, reply)

    def reply_ready(self, call_id: int, reply: HttpResponse) -> None:
        """Reply to a look at readiness."""
        self._ready_web.reply(call_id, reply)

    def reply_metrics(self, call_id: int, reply: HttpResponse) -> None:
        """Reply to an operator."""
        self._metrics_web.reply(call_id, reply)

    def send(self, host: str, message: GroupMessage) -> None:
        """Send a message to another host."""
        self.mesh.send(host, message)

    def upstreams_changed(self) -> None:
        """Use a new list of upstreams, of all zones or of the own one."""
        now = now_s()
        self.group.set_upstream_count(len(self.views.entries), now)
        if self.group.by_zone == self._by_zone:
            self.lead.upstreams_changed(now)
        else:
            self._zones_changed(now)

    def _zones_changed(self, now: float) -> None:
        """Use the upstreams of the zones that the group has now."""
        self._by_zone = self.group.by_zone
        self.lead.upstreams_changed(now)
        if self.group.is_leader:
            # Hosts that now belong to another group choose its leading host.
            log.info("group changed", extra={"by_zone": self._by_zone})
            self._beat(now, to_all=True)

    def hosts_learned(self) -> None:
        """Connect to new hosts at once.

        While hosts start together none leads until they have found each other. They
        learn of many within milliseconds, which are connected to together.
        """
        if not self._greeting:
            self._greeting = True
            self._timer_queue.call_later(GREET_S, self._greet)

    def _greet(self) -> None:
        self._greeting = False
        self._connect(now_s())

    def _connect(self, now: float) -> None:
        dialled = self.mesh.set_peers(self._heartbeats.peers(now))
        self._heartbeats.greet(dialled, now)

    def waiting_jobs(self, route: str) -> int:
        """Return the number of a route's jobs that wait, as far as known here."""
        return self.lead.dispatcher.open_jobs.count_not_started(route)

    def set_routes(self, routes: RouteTable) -> None:
        """Serve these routes from now on; older versions are ignored."""
        if routes.version > self.routes.version:
            log.info(
                "configuration in force",
                extra={"version": routes.version, "before": self.routes.version},
            )
            services = self.routes.services
            self.routes = routes
            self.callers.configured()
            if routes.services != services:
                self.upstreams_changed()

    def decode_configuration(self, document: bytes) -> RouteTable:
        """Return the routes of a document; raise `ConfigurationDecodeError`."""
        return self._ports.callers.decode_configuration(document)

    def flush_soon(self) -> None:
        """Let the decisions act at the end of this pass."""
        if not self._flushing:
            self._flushing = True
            self.fire(flush())

    def flush_at(self, when: float) -> None:
        """Let the decisions act at a time; one already set for before that will do."""
        if when < self._flush_due:
            self._flush_due = when
            wait_s = max(0.0, when - now_s())
            self._timer_queue.call_later(wait_s, self._flush_overdue)

    def _flush_overdue(self) -> None:
        self._flush_due = NEVER_S
        self.flush_soon()

    @handler("flush")
    def _on_flush(self) -> None:
        self._flushing = False
        self.lead.flush(now_s())

    def _begin(self) -> None:
        self._tick_due = now_s()
        self._tick()
        self._ports.store.start_watch(self.views)
        self._ports.store.announce(self.address)

    def _tick(self) -> None:
        now = now_s()
        late = min(1.0, max(0.0, now - self._tick_due))
        self.late_s += LATE_SMOOTHING * (late - self.late_s)
        tick_s = CALM_TICK_S if self._calm(now) else TICK_S
        self._tick_due = now + tick_s
        # First, so that an error further down costs one tick and not all to come: a
        # host without ticks tells nobody that it lives, and no signal would stop it.
        self._timer_queue.call_later(tick_s, self._tick)
        if self._reload_asked:
            self._reload_asked = False
            self._settings = reloaded(self._settings, self._read_settings)
        self.group.slow = self.late_s > SLOW_LATE_S
        self.group.store_reachable = self.views.reachable
        self._connect(now)
        self._follow_leader(now)
        self.callers.tick(now)
        self.lead.tick(now)
        if now >= self._beat_due:
            self._beat(now)
        if now >= self._pass_due:
            self._pass_due = now + PASS_EVERY_S
            self._pass_on(now)
        self._exit_when_drained(now)
        self.flush_soon()

    def _calm(self, now: float) -> bool:
        """Tell whether this host only follows."""
        group = self.group
        led = group.leader(now) is not None and not group.is_leader
        return led and not self.callers.waiting and not group.draining

    def _beat(self, now: float, to_all: bool = False) -> None:
        """Send heartbeats; those due between two ticks go with the earlier one."""
        self._beat_due = now + HEARTBEAT_INTERVAL_S - TICK_S / 2
        self._heartbeats.send(now, to_all)

    def _follow_leader(self, now: float) -> None:
        changed = self.group.update_leadership(self.able, unix_ms(), now)
        if self.group.by_zone != self._by_zone:
            self._zones_changed(now)
        if changed:
            self.lead.leadership_changed(now)
        leader = self.group.leader(now)
        lost = leader is None and self._followed is not None
        if leader != self._followed:
            self.views.note_leader(self.group.term(now), now)
        self._followed = leader
        if changed or lost:
            # Who lost the leading host tells all others, which chooses the next one.
            self._beat(now, to_all=True)
        if self.group.contend_for_upstreams(self.lead.fenced_for(now), unix_ms(), now):
            self.lead.leadership_changed(now)
            self._beat(now, to_all=True)
        self.callers.offer_waiting(now)

    def _pass_on(self, now: float) -> None:
        """Give peers what the store refuses them: a newer configuration, the list."""
        group = self.group
        others = group.other_group_leaders(now) if group.is_leader else []
        for beat in (*group.live_heartbeats(now), *others):
            if beat.configuration < self.routes.version and self.views.document:
                passed = ConfigurationUpdate(self.routes.version, self.views.document)
                self.mesh.send(beat.host.name, passed)
            age = self.views.age_s(now)
            fresh = beat.upstreams_age_s > STALE_LIST_S > age
            # A host that started after the store went away has none, and could not
            # lead when the others are gone.
            if fresh or beat.upstreams_age_s - age > STALE_LIST_S:
                passed = UpstreamListUpdate(
                    group.clock_lower_bound(beat.host.name, now),
                    age,
                    self.views.entries,
                    tuple(self.views.evacuated),
                )
                self.mesh.send(beat.host.name, passed)

    def _on_message(self, message: GroupMessage) -> None:
        now = now_s()
        if isinstance(message, HostHeartbeat):
            self._heard(message, now)
        elif isinstance(message, JobOffer):
            self.lead.offered(message, now)
        elif isinstance(message, JobRedirect):
            self.callers.passed_on(message)
        elif isinstance(message, JobCancellation):
            self.lead.dropped(message.sender, message.job, message.call, now)
        elif isinstance(message, JobResult):
            self.callers.answered(message)
        elif isinstance(message, ConfigurationUpdate):
            self.views.on_configuration(message.version, message.document)
        elif isinstance(message, UpstreamListUpdate):
            self.views.upstreams_passed(message, now)
        self.flush_soon()

    def _heard(self, beat: HostHeartbeat, now: float) -> None:
        if self.group.record_heartbeat(beat, now):
            self.hosts_learned()
        for progress in beat.progress:
            self.callers.note_progress(progress)
        if not self.group.includes(beat):
            if beat.leads:
                self.lead.room_heard(beat, now)
            return
        self._heartbeats.redial_if_silent(beat.host.name, beat.silent_s, now)
        self.lead.learned_heard(beat, now)
        self.lead.follower_heard(beat.host.name, beat.follows, now)

    @handler("signal", channel="*")
    def _on_signal(self, event, signo, _stack) -> None:
        """Drain at the first signal that asks to stop."""
        event.stop()
        if self._drain_from is None:
            self._drain_from = now_s()
            self.group.draining = True
            self.callers.stop_by(self._stops_at)
            self._web.drain()
            log.info("draining", extra={"waiting_callers": self.callers.waiting})

    def ask_reload(self) -> None:
        """Read the settings again at the next tick; safe in a signal handler."""
        self._reload_asked = True

    def _exit_when_drained(self, now: float) -> None:
        """Stop once no caller waits and the balancer sends nobody any more."""
        if self._drain_from is None or self._exiting:
            return
        idle = not self._web.open_calls and not self.group.is_leader
        settled = now - self._drain_from > LEAST_DRAIN_S
        if now > self._stops_at or (idle and settled):
            self._exiting = True
            self._web.close_idle_connections()
            self._timer_queue.call_later(EXIT_GRACE_S, self._exit)

    def _exit(self) -> None:
        """Stop, unless a request came on a connection that was to be closed."""
        if self._web.open_calls and now_s() <= self._stops_at:
            self._exiting = False
            return
        log.info("host stopped", extra={"waiting_callers": self.callers.waiting})
        self.root.stop()


def _address(settings: HostSettings, limits: HostLimits) -> HostAddress:
    """Return what other hosts learn of this one, and of this run of it."""
    link = settings.announced or settings.link
    return HostAddress(settings.name, settings.zone, link, unix_ms(), limits.cores)
