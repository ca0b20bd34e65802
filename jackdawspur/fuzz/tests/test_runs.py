"""A dispatcher and its upstreams under random orders of calls and replies."""

import random
from dataclasses import dataclass, field

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from jackdawspur.bench import JobDemand, RunCounters, SimulatedUpstream
from jackdawspur.fuzz.tests.mutations import FUZZ, REQUESTED_EXAMPLES
from jackdawspur.leases import (
    FENCE_STEP,
    CallOutcome,
    PollReport,
    Resources,
    UpstreamEntry,
)
from jackdawspur.model import HostId, UpstreamId
from jackdawspur.runs import (
    Dispatcher,
    JobRequest,
    JobStep,
    Offer,
    PollUpstream,
    Progress,
    Route,
    StartRun,
    StopRun,
)

INDICES = st.integers(0, 10**6)
STEPS_PER_EXAMPLE = 80
MIN_EXAMPLES = 80
TASK_RESOURCES = Resources(14_000, 64, 0)
CAPACITY = Resources(32_000, 131_072, 0)
ROUTE = Route("r", "h", "/q/", "roster", 6000.0, 3000.0, 1.6, 0, 4)
TASK_S = 0.12
DEADLINE_S = 6.0
# A caller whose request broke off sends it again after this delay.
RESEND_DELAY_S = 1.3

UpstreamCall = StartRun | StopRun | PollUpstream


@dataclass
class SimulatedUpstreams:
    """Fenced upstreams, the calls in transit to them and the replies to these."""

    now: float = 100.0
    counters: RunCounters = field(default_factory=RunCounters)
    sent_calls: list[UpstreamCall] = field(default_factory=list)
    abandoned_calls: list[UpstreamCall] = field(default_factory=list)
    replies: list[tuple[UpstreamCall, PollReport | CallOutcome]] = field(
        default_factory=list
    )

    def __post_init__(self) -> None:
        rng = random.Random(1)
        self.entries = [
            UpstreamEntry(
                UpstreamId("z1", f"u{n}"), "roster", "127.0.0.1:1", CAPACITY, (), False
            )
            for n in range(3)
        ]
        self.by_id = {
            entry.id: SimulatedUpstream(entry, 1.0, self.counters, rng)
            for entry in self.entries
        }

    def execute(self, call: UpstreamCall) -> PollReport | CallOutcome:
        """Execute a call at its upstream and return the reply."""
        upstream = self.by_id[call.upstream]
        upstream.advance(self.now)
        if isinstance(call, StartRun):
            demand = JobDemand({call.run.task: TASK_S}, TASK_RESOURCES)
            return upstream.start(
                call.run, call.lease_until_ms, call.fence, demand, self.now
            )
        if isinstance(call, StopRun):
            return upstream.stop(call.run, call.fence, self.now)
        outcome = upstream.renew_lease(
            call.fence, call.last_seen, call.lease_until_ms, self.now
        )
        return upstream.report(self.now) if outcome is CallOutcome.OK else outcome


class DispatcherMachine(RuleBasedStateMachine):
    """State machine of random events; checks for duplicate runs and overload."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = SimulatedUpstreams()
        self.fence = FENCE_STEP
        self.dispatcher = Dispatcher(HostId("z1", "h1", 1), self.simulation.now)
        self.offers: dict[str, Offer] = {}
        self.cancelled_offers: list[tuple[float, Offer]] = []
        self.listed_ids = {entry.id for entry in self.simulation.entries}
        self._update_list()
        self._start_leading()

    def _update_list(self) -> None:
        entries = [e for e in self.simulation.entries if e.id in self.listed_ids]
        self.dispatcher.set_upstreams(entries, self.simulation.now)

    def _start_leading(self) -> None:
        self.dispatcher.start_leading(self.fence, self.simulation.now)
        self._collect_effects()

    def _collect_effects(self) -> None:
        for effect in self.dispatcher.flush(self.simulation.now):
            if isinstance(effect, UpstreamCall):
                self.simulation.sent_calls.append(effect)
        counters = self.simulation.counters
        assert not counters.two_at_once, "a task ran twice at the same time"
        assert not counters.over_capacity, "an upstream ran more than its capacity"

    def _offer(self, offer: Offer) -> None:
        self.offers[offer.request.id] = offer
        self.dispatcher.offer(offer, self.simulation.now)
        self._collect_effects()

    @rule(tasks=st.integers(1, 4))
    def job_arrives(self, tasks):
        job_number = len(self.offers)
        request = JobRequest(
            f"{job_number:x}",
            "",
            (JobStep(tasks, TASK_RESOURCES, TASK_S * 1000),),
            ROUTE,
        )
        now = self.simulation.now
        self._offer(Offer(request, "h2", job_number, now, now + DEADLINE_S))

    @precondition(lambda self: self.offers)
    @rule(index=INDICES)
    def caller_cancels(self, index):
        offer = list(self.offers.values())[index % len(self.offers)]
        job = offer.request.id
        self.dispatcher.drop(offer.host, job, offer.call, self.simulation.now)
        self.cancelled_offers.append((self.simulation.now, offer))
        self._collect_effects()

    @precondition(lambda self: self.cancelled_offers)
    @rule()
    def caller_resends(self):
        cancelled_at, offer = self.cancelled_offers[0]
        now = self.simulation.now
        if now - cancelled_at < RESEND_DELAY_S:
            return
        self.cancelled_offers.pop(0)
        self._offer(
            Offer(offer.request, "h3", offer.call + 1000, now, now + DEADLINE_S)
        )

    @precondition(lambda self: self.simulation.sent_calls)
    @rule(index=INDICES, reply=st.booleans())
    def call_arrives(self, index, reply):
        call = self.simulation.sent_calls.pop(index % len(self.simulation.sent_calls))
        result = self.simulation.execute(call)
        if reply:
            self.simulation.replies.append((call, result))
        else:
            self._deliver_reply(call, CallOutcome.UNKNOWN)

    @rule()
    def all_calls_arrive(self):
        sent_calls, self.simulation.sent_calls = self.simulation.sent_calls, []
        for call in sent_calls:
            self.simulation.replies.append((call, self.simulation.execute(call)))

    @precondition(lambda self: self.simulation.sent_calls)
    @rule(index=INDICES)
    def call_is_abandoned(self, index):
        call = self.simulation.sent_calls.pop(index % len(self.simulation.sent_calls))
        self.simulation.abandoned_calls.append(call)
        self._deliver_reply(call, CallOutcome.UNKNOWN)

    @precondition(lambda self: self.simulation.abandoned_calls)
    @rule(index=INDICES)
    def abandoned_call_is_executed_late(self, index):
        call = self.simulation.abandoned_calls.pop(
            index % len(self.simulation.abandoned_calls)
        )
        self.simulation.execute(call)
        self._collect_effects()

    @precondition(lambda self: self.simulation.replies)
    @rule(index=INDICES)
    def reply_arrives(self, index):
        self._deliver_reply(
            *self.simulation.replies.pop(index % len(self.simulation.replies))
        )

    @rule()
    def all_replies_arrive(self):
        replies, self.simulation.replies = self.simulation.replies, []
        for call, result in replies:
            self._deliver_reply(call, result)

    @rule(seconds=st.sampled_from([0.001, 0.01, 0.04, 0.15, 0.4]))
    def time_passes(self, seconds):
        self.simulation.now += seconds
        for upstream in self.simulation.by_id.values():
            upstream.advance(self.simulation.now)
        self.dispatcher.tick(self.simulation.now)
        self._collect_effects()

    @rule(index=INDICES)
    def list_changes(self, index):
        self.listed_ids ^= {
            self.simulation.entries[index % len(self.simulation.entries)].id
        }
        self._update_list()
        self._collect_effects()

    @rule(index=INDICES)
    def another_host_acquires_an_upstream(self, index):
        upstream = list(self.simulation.by_id.values())[
            index % len(self.simulation.by_id)
        ]
        upstream.renew_lease(self.fence + FENCE_STEP // 2, 0, None, self.simulation.now)

    @rule()
    def leadership_restarts(self):
        crashes = self.dispatcher.upstream_pool.crashes
        progress_by_host = self.dispatcher.open_jobs.progress_by_host(crashes)
        progress = {
            job: reported
            for jobs in progress_by_host.values()
            for job, reported in jobs.items()
        }
        jobs = [job.offer for job in self.dispatcher.open_jobs.values()]
        self.fence += FENCE_STEP
        self._start_leading()
        for offer in jobs:
            reported = progress.get(offer.request.id, Progress())
            done = offer.progress.done + reported.done
            merged = Progress(done, offer.progress.troubles + reported.troubles)
            new_offer = Offer(
                offer.request,
                offer.host,
                offer.call,
                offer.arrived,
                offer.deadline,
                offer.handovers + 1,
                merged,
            )
            self._offer(new_offer)

    def _deliver_reply(
        self, call: UpstreamCall, result: PollReport | CallOutcome
    ) -> None:
        now = self.simulation.now
        if isinstance(call, StartRun):
            self.dispatcher.start_replied(call, result, now)
        elif isinstance(call, StopRun):
            self.dispatcher.stop_replied(call, result, now)
        else:
            self.dispatcher.poll_replied(call, result, now)
        self._collect_effects()


TestRuns = DispatcherMachine.TestCase
TestRuns.settings = settings(
    FUZZ,
    stateful_step_count=STEPS_PER_EXAMPLE,
    max_examples=REQUESTED_EXAMPLES or MIN_EXAMPLES,
)
