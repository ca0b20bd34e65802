"""The process of an entry host, on one circuits loop."""

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
    ProcessBudget,
    ResourceLimits,
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
from jackdawspur.entry._routes import Routes
from jackdawspur.entry._statsd import StatsdReporter
from jackdawspur.entry._status import HostStatus, build_host_status
from jackdawspur.entry._upstreams import UpstreamDriver
from jackdawspur.external import ListedHost
from jackdawspur.messages import Heartbeat, Message, RecordsPassed, RecordsWanted
from jackdawspur.model import Answer, EntryHost, FailureCode, HostId, JobState
from jackdawspur.settings import EntrySettings

__all__ = ["EntryHostProcess", "run_entry"]

HOST_LIST_INTERVAL_S = 1.0
EXIT_GRACE_S = 0.2
MS_PER_S = 1000.0
# Arguments of `gc.set_threshold`: allocated objects before the youngest generation is
# collected, then collections of a generation before the next older one is collected.
GC_THRESHOLDS = (10_000, 20, 100)

log = logging.getLogger(__name__)


class flush(LoopEvent):
    """Make the core process the events queued in this pass of the loop."""


class EntryHostProcess(Component):
    """Connects the core of one host to its sockets."""

    channel = "entry"

    def init(self, settings: EntrySettings, poller: EPoll) -> None:
        """Open the sockets; circuits calls it with the arguments of the constructor."""
        self._settings = settings
        # A restarted host gets a higher incarnation, so it counts as another owner of
        # jobs.
        incarnation = int(time() * MS_PER_S)
        self._local_id = HostId(settings.zone, settings.name, incarnation)
        rng = random.Random(str(self._local_id))
        now = monotonic()
        self._core = EntryCore(self._local_id, rng, now, settings.crosses_zones)
        self._events: list[Event] = []
        self._flush_scheduled = False
        self._wake_at: float | None = None
        self._draining = False
        self._exiting = False
        self._last_host_list: tuple[ListedHost, ...] = ()
        self._statsd = StatsdReporter(settings.statsd, str(self._local_id))
        self._timer_queue = TimerQueue().register(self)
        self._routes = Routes(self)
        limits = ResourceLimits(settings.memory_mb, settings.max_descriptors)
        self._web = WebServer(
            settings.http, self._routes, budget=ProcessBudget(limits)
        ).register(self)
        self._links = Links(
            self._local_id,
            settings.link,
            poller,
            self._on_message,
            self._statsd.count_sent_bytes,
        ).register(self)
        self._links.set_peers(_configured_peers(settings))
        self._create_drivers(settings, rng, now)
        # Connections need the poller, which they find only once the loop runs.
        self._timer_queue.call_later(0.0, self._on_loop_running)
        log_started(self._local_id)

    def _create_drivers(
        self, settings: EntrySettings, rng: random.Random, now: float
    ) -> None:
        rate_limiter = AppendRateLimiter(len(settings.siblings) + 1, now)
        self._rate_limiter = rate_limiter
        self._replica = ConfigurationReplica(self._local_id, rng, rate_limiter, now)
        operator_api = OperatorApi(self._replica, _bootstrap_operators(settings))
        self._operator_api = operator_api
        self._configuration = ConfigurationDriver(
            self._replica,
            operator_api,
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
            self._local_id,
            self,
            self._timer_queue,
            self.post,
            lambda upstream: bool(self._core.state.in_flight_by_upstream.get(upstream)),
            settings.crosses_zones,
        )
        if settings.host_list is not None:
            client = HttpClient(split_address(settings.host_list), self._timer_queue)
            self._host_list = HttpHostList(client.register(self))

    def _on_loop_running(self) -> None:
        this_host = EntryHost(self._local_id.zone, self._local_id.name, "", "")
        self.post(BootstrapHostsLoaded((this_host, *_configured_peers(self._settings))))
        self._claims.start_reading()
        if self._settings.host_list is not None:
            self._fetch_list()
        self._tick()

    def _open_log(self, address: str) -> HttpLog:
        appends = HttpClient(split_address(address), self._timer_queue).register(self)
        reads = HttpClient(split_address(address), self._timer_queue).register(self)
        return HttpLog(appends, reads)

    def post(self, event: Event) -> None:
        """Queue an event for the core, which gets all events of this pass at once."""
        self._events.append(event)
        self._schedule_flush()

    def handle_operator_request(self, request: OperatorRequest) -> None:
        """Pass a request to the operator API."""
        self._configuration.handle_request(request)

    def reply(self, call_id: int, reply: HttpResponse) -> None:
        """Reply to an HTTP call."""
        self._web.reply(call_id, reply)

    def readiness(self) -> Readiness:
        """Return whether new jobs are accepted, and why not."""
        if self._draining:
            return Readiness(False, ReadinessReason.DRAINING)
        readiness = self._replica.readiness
        ready = readiness.ready and self._core.ready
        return Readiness(ready, readiness.reason)

    def status(self) -> HostStatus:
        """Return the status of this host for operators."""
        return build_host_status(self._core, self._statsd.link_bytes, monotonic())

    @handler("flush")
    def _on_flush(self) -> None:
        self._flush_scheduled = False
        events, self._events = self._events, []
        for effect in self._run_core(tuple(events)):
            _EFFECT_HANDLERS[type(effect)](self, effect)
        self._schedule_wake()
        self._exit_when_drained()

    def _run_core(self, events: tuple[Event, ...]) -> list[Effect]:
        """Return the effects of events; an exception fails only the calls among them.

        Otherwise circuits would swallow the exception, and the callers whose requests
        arrived in the same pass would wait until their timeout.
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

    def _schedule_wake(self) -> None:
        """Schedule a flush for the core's next timer, unless a tick comes first."""
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
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self.fire(flush())

    def _tick(self) -> None:
        self.post(Tick())
        self._configuration.tick()
        state = self._core.state
        self._configuration.handle_event(LivePeersChanged(state.view.peers()))
        self._operator_api.set_unreachable_zones(
            state.view.unreachable_zones(monotonic())
        )
        self._statsd.report(self._core)
        self._timer_queue.call_later(TICK_S, self._tick)

    def _fetch_list(self) -> None:
        def on_fetched(outcome) -> None:
            if isinstance(outcome, Ok) and outcome.ok_value is not self._last_host_list:
                self._last_host_list = outcome.ok_value
                self.post(HostListUpdated(self._last_host_list))
            self._timer_queue.call_later(HOST_LIST_INTERVAL_S, self._fetch_list)

        self._host_list.fetch(on_fetched)

    def _on_message(self, sender: HostId, message: Message) -> None:
        if isinstance(message, RecordsWanted):
            self._configuration.handle_event(RecordsRequested(sender, message))
        elif isinstance(message, RecordsPassed):
            self._configuration.handle_event(RecordsReceived(sender, message))
        else:
            if isinstance(message, Heartbeat):
                self._configuration.handle_event(HeartbeatReceived(message))
            self.post(PeerMessageReceived(sender, message))

    def _activate(self, effect: ActivateConfiguration) -> None:
        cluster_spec = effect.cluster_spec
        self._rate_limiter.set_host_count(max(1, len(cluster_spec.entry_hosts)))
        self._routes.set_configuration(effect.configuration)
        self._links.set_peers(
            cluster_spec.entry_hosts or _configured_peers(self._settings)
        )
        self._upstreams.set_upstreams(cluster_spec.upstreams)
        self.post(ClusterSpecUpdated(cluster_spec))

    def _reply_operator(self, reply: OperatorReply) -> None:
        self._routes.deliver_operator_reply(reply)

    def _start_tasks(self, effect: StartTasks) -> None:
        self._upstreams.start(effect)

    def _query_task_status(self, effect: QueryTaskStatus) -> None:
        self._upstreams.query_task_status(effect)

    def _stop_tasks(self, effect: StopTasks) -> None:
        self._upstreams.stop(effect)

    def _answer_call(self, effect: AnswerCall) -> None:
        log_answer(effect.answer)
        self._web.reply(effect.call, answer_response(effect.answer))

    def _issue_ids(self, effect: IssueIds) -> None:
        self._web.reply(effect.call, ids_response(effect.ids))

    def _send_to_peer(self, effect: SendPeerMessage) -> None:
        self._links.send(effect.to, effect.message)

    def _append_claim(self, effect: AppendClaim) -> None:
        self._claims.append(effect.claim)

    @handler("signal", channel="*")
    def _on_signal(self, event, signo, _stack) -> None:
        """Start to drain at the first signal, exit at the second."""
        event.stop()
        if self._draining:
            self.post(DrainRequested(0.0))
            self._timer_queue.call_later(EXIT_GRACE_S, self.root.stop)
            return
        self._draining = True
        log_draining(self._core.state.live_jobs)
        self.post(DrainRequested(self._settings.drain_ms))

    def _exit_when_drained(self) -> None:
        """Stop after all callers were answered; the delay lets the bytes be sent."""
        if self._exiting or not self._draining:
            return
        if self._core.drained and not self._web.open_calls:
            self._exiting = True
            log_drained()
            self._timer_queue.call_later(EXIT_GRACE_S, self.root.stop)


_EFFECT_HANDLERS = {
    StartTasks: EntryHostProcess._start_tasks,
    QueryTaskStatus: EntryHostProcess._query_task_status,
    StopTasks: EntryHostProcess._stop_tasks,
    AnswerCall: EntryHostProcess._answer_call,
    IssueIds: EntryHostProcess._issue_ids,
    SendPeerMessage: EntryHostProcess._send_to_peer,
    AppendClaim: EntryHostProcess._append_claim,
}


def _configured_peers(settings: EntrySettings) -> tuple[EntryHost, ...]:
    return tuple(EntryHost(s.zone, s.name, s.http, s.link) for s in settings.siblings)


def _bootstrap_operators(settings: EntrySettings) -> tuple[OperatorEntry, ...]:
    """Return the operators that may confirm the first configuration."""
    return tuple(
        OperatorEntry(name=o.name, token_sha256=(o.token_sha256,), rights=tuple(Right))
        for o in settings.operators
    )


def run_entry(settings: EntrySettings) -> None:
    """Run an entry host until it is stopped by a signal and has drained."""
    root = Component()
    poller = EPoll().register(root)
    EntryHostProcess(settings, poller).register(root)
    _tune_garbage_collector()
    root.run()


def _tune_garbage_collector() -> None:
    """Freeze the objects that exist now, and make full garbage collections rarer.

    A full collection stopped the loop for 40 to 100 ms and delayed all jobs in flight.
    Its cost grows with the number of objects that it traverses, so those of the loaded
    modules are frozen. Events of circuits are short-lived reference cycles, so
    collections of the youngest generation stay frequent.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
