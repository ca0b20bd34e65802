"""An entry host on one circuits loop."""

import gc
import logging
import random
from time import monotonic, time

from circuits import Component, Event as LoopEvent, handler
from circuits.core.pollers import EPoll
from result import Ok

from jackdawspur.adapters import (
    HttpClient,
    HttpHostList,
    HttpLog,
    Links,
    TimerQueue,
    WebServer,
    split_address,
)
from jackdawspur.callers import HttpResponse, answer_response, ids_response
from jackdawspur.configuration import (
    ActivateConfiguration,
    AppendRateLimiter,
    ConfigurationReplica,
    HeartbeatReceived,
    LivePeersChanged,
    OperatorApi,
    OperatorEntry,
    OperatorReply,
    OperatorRequest,
    Readiness,
    ReadinessReason,
    RecordsReceived,
    RecordsRequested,
    Right,
)
from jackdawspur.dispatch import (
    TICK_S,
    AnswerCall,
    AppendClaim,
    BootstrapHostsLoaded,
    ClusterSpecUpdated,
    DrainRequested,
    Effect,
    EntryCore,
    Event,
    HostListUpdated,
    IssueIds,
    PeerMessageReceived,
    QueryTaskStatus,
    SendPeerMessage,
    StartTasks,
    StopTasks,
    Submitted,
    Tick,
)
from jackdawspur.entry._claims import ClaimDriver
from jackdawspur.entry._keeping import ConfigurationDriver
from jackdawspur.entry._log_lines import (
    log_answer,
    log_drained,
    log_draining,
    log_started,
)
from jackdawspur.entry._meter import Meter
from jackdawspur.entry._routes import Routes
from jackdawspur.entry._status import HostStatus, status_of
from jackdawspur.entry._upstreams import UpstreamDriver
from jackdawspur.external import ListedHost
from jackdawspur.messages import Heartbeat, Message, RecordsPassed, RecordsWanted
from jackdawspur.model import Answer, EntryHost, FailureCode, HostId, JobState
from jackdawspur.settings import EntrySettings

__all__ = ["EntryHostProcess", "run_entry"]

HOST_LIST_INTERVAL_S = 1.0
EXIT_GRACE_S = 0.2
MS_PER_S = 1000.0
# Objects until a young collection, then how many of each until the next older one.
COLLECTOR_THRESHOLDS = (10_000, 20, 100)

log = logging.getLogger(__name__)


class flush(LoopEvent):
    """Let the decisions handle what came in during this pass of the loop."""


class EntryHostProcess(Component):
    """Connect one host's decisions to its sockets."""

    channel = "entry"

    def init(self, settings: EntrySettings, poller: EPoll) -> None:
        """Open the sockets; circuits passes the constructor's arguments."""
        self._settings = settings
        # The start time grows from run to run, so a restarted host is another owner.
        incarnation = int(time() * MS_PER_S)
        self._own = HostId(settings.zone, settings.name, incarnation)
        rng = random.Random(str(self._own))
        now = monotonic()
        self._core = EntryCore(self._own, rng, now, settings.crosses_zones)
        self._events: list[Event] = []
        self._flushing = False
        self._wake_at: float | None = None
        self._draining = False
        self._exiting = False
        self._listed: tuple[ListedHost, ...] = ()
        self._meter = Meter(settings.statsd, str(self._own))
        self._timer_queue = TimerQueue().register(self)
        self._routes = Routes(self)
        self._web = WebServer(settings.http, self._routes).register(self)
        self._links = Links(
            self._own, settings.link, poller, self._on_message, self._meter.sent
        ).register(self)
        self._links.set_peers(_siblings(settings))
        self._open_platform(settings, rng, now)
        # Connections need the poller, which is found once the loop runs.
        self._timer_queue.call_later(0.0, self._begin)
        log_started(self._own)

    def _open_platform(
        self, settings: EntrySettings, rng: random.Random, now: float
    ) -> None:
        rate_limiter = AppendRateLimiter(len(settings.siblings) + 1, now)
        self._rate_limiter = rate_limiter
        self._keeper = ConfigurationReplica(self._own, rng, rate_limiter, now)
        desk = OperatorApi(self._keeper, _bootstrap(settings))
        self._desk = desk
        self._configuration = ConfigurationDriver(
            self._keeper,
            desk,
            self._open_log(settings.log),
            self._links.send,
            self._activate,
            self._reply_operator,
        )
        claims_log = self._open_log(settings.log)
        self._claims = ClaimDriver(
            claims_log, rate_limiter, self._timer_queue, self.post
        )
        self._upstreams = UpstreamDriver(
            self._own,
            self,
            self._timer_queue,
            self.post,
            lambda upstream: bool(self._core.state.in_flight_by_upstream.get(upstream)),
            settings.crosses_zones,
        )
        if settings.host_list is not None:
            client = HttpClient(split_address(settings.host_list), self._timer_queue)
            self._host_list = HttpHostList(client.register(self))

    def _begin(self) -> None:
        own = EntryHost(self._own.zone, self._own.name, "", "")
        self.post(BootstrapHostsLoaded((own, *_siblings(self._settings))))
        self._claims.begin()
        if self._settings.host_list is not None:
            self._fetch_list()
        self._tick()

    def _open_log(self, address: str) -> HttpLog:
        appends = HttpClient(split_address(address), self._timer_queue).register(self)
        reads = HttpClient(split_address(address), self._timer_queue).register(self)
        return HttpLog(appends, reads)

    def post(self, event: Event) -> None:
        """Hand an event to the decisions, with all others of this pass."""
        self._events.append(event)
        self._flush_soon()

    def handle_operator_request(self, request: OperatorRequest) -> None:
        """Hand a request to the operators' desk."""
        self._configuration.ask(request)

    def reply(self, call_id: int, reply: HttpResponse) -> None:
        """Reply to an HTTP call."""
        self._web.reply(call_id, reply)

    def readiness(self) -> Readiness:
        """Tell whether new jobs are accepted, and why not."""
        if self._draining:
            return Readiness(False, ReadinessReason.DRAINING)
        readiness = self._keeper.readiness
        ready = readiness.ready and self._core.ready
        return Readiness(ready, readiness.reason)

    def status(self) -> HostStatus:
        """Return what operators see of this host."""
        return status_of(self._core, self._meter.link_bytes, monotonic())

    @handler("flush")
    def _on_flush(self) -> None:
        self._flushing = False
        events, self._events = self._events, []
        for effect in self._decide(tuple(events)):
            _ACTIONS[type(effect)](self, effect)
        self._set_wake()
        self._exit_when_drained()

    def _decide(self, events: tuple[Event, ...]) -> list[Effect]:
        """Return the effects of events; a fault in them ends only their own calls.

        Without this circuits would swallow the exception and the callers whose
        requests came in the same pass would wait to their time limit.
        """
        try:
            return self._core.handle_all(events, monotonic())
        except Exception:
            log.exception("decisions failed", extra={"events": repr(events)[:2000]})
            text = "an internal error; whether the job ran is unknown"
            code = FailureCode.OUTCOME_UNKNOWN
            failed = Answer(JobState.FAILED, code=code, message=text)
            calls = [event.call for event in events if isinstance(event, Submitted)]
            return [AnswerCall(call, failed) for call in calls]

    def _set_wake(self) -> None:
        """Wake for the decisions' next timer, if no tick comes before it."""
        wake = self._core.next_wake()
        now = monotonic()
        if wake is None or wake > now + TICK_S:
            return
        if self._wake_at is not None and now < self._wake_at <= wake:
            return
        self._wake_at = wake
        self._timer_queue.call_later(max(0.0, wake - now), self._wake)

    def _wake(self) -> None:
        self._wake_at = None
        self._flush_soon()

    def _flush_soon(self) -> None:
        if not self._flushing:
            self._flushing = True
            self.fire(flush())

    def _tick(self) -> None:
        self.post(Tick())
        self._configuration.tick()
        state = self._core.state
        self._configuration.tell(LivePeersChanged(state.view.peers()))
        self._desk.set_unreachable_zones(state.view.unreachable_zones(monotonic()))
        self._meter.report(self._core)
        self._timer_queue.call_later(TICK_S, self._tick)

    def _fetch_list(self) -> None:
        def fetched(done) -> None:
            if isinstance(done, Ok) and done.ok_value is not self._listed:
                self._listed = done.ok_value
                self.post(HostListUpdated(self._listed))
            self._timer_queue.call_later(HOST_LIST_INTERVAL_S, self._fetch_list)

        self._host_list.fetch(fetched)

    def _on_message(self, sender: HostId, message: Message) -> None:
        if isinstance(message, RecordsWanted):
            self._configuration.tell(RecordsRequested(sender, message))
        elif isinstance(message, RecordsPassed):
            self._configuration.tell(RecordsReceived(sender, message))
        else:
            if isinstance(message, Heartbeat):
                self._configuration.tell(HeartbeatReceived(message))
            self.post(PeerMessageReceived(sender, message))

    def _activate(self, effect: ActivateConfiguration) -> None:
        world = effect.cluster_spec
        self._rate_limiter.set_host_count(max(1, len(world.entry_hosts)))
        self._routes.set_configuration(effect.configuration)
        self._links.set_peers(world.entry_hosts or _siblings(self._settings))
        self._upstreams.set_upstreams(world.upstreams)
        self.post(ClusterSpecUpdated(world))

    def _reply_operator(self, reply: OperatorReply) -> None:
        self._routes.deliver_operator_reply(reply)

    def _start(self, effect: StartTasks) -> None:
        self._upstreams.start(effect)

    def _ask_status(self, effect: QueryTaskStatus) -> None:
        self._upstreams.query_task_status(effect)

    def _stop_tasks(self, effect: StopTasks) -> None:
        self._upstreams.stop(effect)

    def _answer(self, effect: AnswerCall) -> None:
        log_answer(effect.answer)
        self._web.reply(effect.call, answer_response(effect.answer))

    def _issue(self, effect: IssueIds) -> None:
        self._web.reply(effect.call, ids_response(effect.ids))

    def _send(self, effect: SendPeerMessage) -> None:
        self._links.send(effect.to, effect.message)

    def _append_claim(self, effect: AppendClaim) -> None:
        self._claims.append(effect.claim)

    @handler("signal", channel="*")
    def _on_signal(self, event, signo, _stack) -> None:
        """Drain at the first signal, end at the second."""
        event.stop()
        if self._draining:
            self.post(DrainRequested(0.0))
            self._timer_queue.call_later(EXIT_GRACE_S, self.root.stop)
            return
        self._draining = True
        log_draining(self._core.state.live_jobs)
        self.post(DrainRequested(self._settings.drain_ms))

    def _exit_when_drained(self) -> None:
        """Stop once every caller has its answer and the bytes had time to leave."""
        if self._exiting or not self._draining:
            return
        if self._core.drained and not self._web.open_calls:
            self._exiting = True
            log_drained()
            self._timer_queue.call_later(EXIT_GRACE_S, self.root.stop)


_ACTIONS = {
    StartTasks: EntryHostProcess._start,
    QueryTaskStatus: EntryHostProcess._ask_status,
    StopTasks: EntryHostProcess._stop_tasks,
    AnswerCall: EntryHostProcess._answer,
    IssueIds: EntryHostProcess._issue,
    SendPeerMessage: EntryHostProcess._send,
    AppendClaim: EntryHostProcess._append_claim,
}


def _siblings(settings: EntrySettings) -> tuple[EntryHost, ...]:
    return tuple(EntryHost(s.zone, s.name, s.http, s.link) for s in settings.siblings)


def _bootstrap(settings: EntrySettings) -> tuple[OperatorEntry, ...]:
    """Return the operators who may confirm the first configuration."""
    return tuple(
        OperatorEntry(name=o.name, token_sha256=(o.token_sha256,), rights=tuple(Right))
        for o in settings.operators
    )


def run_entry(settings: EntrySettings) -> None:
    """Run an entry host until it is told to stop and has drained."""
    root = Component()
    poller = EPoll().register(root)
    EntryHostProcess(settings, poller).register(root)
    _calm_collector()
    root.run()


def _calm_collector() -> None:
    """Spare the collector what lives as long as the process.

    A full collection stopped the loop for 40 to 100 ms, and all jobs then in flight
    were late by it. Its cost grows with what it walks: the modules are frozen out of
    it. Events of circuits are cycles, which die young, so young ones stay frequent.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
