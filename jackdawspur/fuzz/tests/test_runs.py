"""A leading host with its upstreams in every order of orders and replies."""

import random
from dataclasses import dataclass, field

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from jackdawspur.bench import JobDemand, RunCounters, SimulatedUpstream
from jackdawspur.fuzz.tests.mutations import FUZZ, MORE
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

PLACES = st.integers(0, 10**6)
STEPS = 80
FEWEST = 80
TASK = Resources(14_000, 64, 0)
ROOM = Resources(32_000, 131_072, 0)
ROUTE = Route("r", "h", "/q/", "roster", 6000.0, 3000.0, 1.6, 0, 4)
TASK_S = 0.12
DEADLINE_S = 6.0
# A caller whose request broke off asks again after this.
RESEND_S = 1.3

Order = StartRun | StopRun | PollUpstream


@dataclass
class Upstreams:
    """Keep fenced upstreams, orders on their way to them and replies to these."""

    now: float = 100.0
    counters: RunCounters = field(default_factory=RunCounters)
    sent: list[Order] = field(default_factory=list)
    forgotten: list[Order] = field(default_factory=list)
    replies: list[tuple[Order, PollReport | CallOutcome]] = field(default_factory=list)

    def __post_init__(self) -> None:
        rng = random.Random(1)
        self.entries = [
            UpstreamEntry(
                UpstreamId("z1", f"u{n}"), "roster", "127.0.0.1:1", ROOM, (), False
            )
            for n in range(3)
        ]
        self.all = {
            entry.id: SimulatedUpstream(entry, 1.0, self.counters, rng)
            for entry in self.entries
        }

    def carry_out(self, order: Order) -> PollReport | CallOutcome:
        """Let an upstream do what it is told, and return its reply."""
        upstream = self.all[order.upstream]
        upstream.advance(self.now)
        if isinstance(order, StartRun):
            work = JobDemand({order.run.task: TASK_S}, TASK)
            return upstream.start(
                order.run, order.lease_until_ms, order.fence, work, self.now
            )
        if isinstance(order, StopRun):
            return upstream.stop(order.run, order.fence, self.now)
        outcome = upstream.hold(
            order.fence, order.last_seen, order.lease_until_ms, self.now
        )
        return upstream.report(self.now) if outcome is CallOutcome.OK else outcome


class RunsMachine(RuleBasedStateMachine):
    """Choose what happens next; no task may run twice, nor an upstream be overfull."""

    def __init__(self) -> None:
        super().__init__()
        self.world = Upstreams()
        self.fence = FENCE_STEP
        self.dispatcher = Dispatcher(HostId("z1", "h1", 1), self.world.now)
        self.offers: dict[str, Offer] = {}
        self.left: list[tuple[float, Offer]] = []
        self.listed = {entry.id for entry in self.world.entries}
        self._list()
        self._lead()

    def _list(self) -> None:
        entries = [e for e in self.world.entries if e.id in self.listed]
        self.dispatcher.set_upstreams(entries, self.world.now)

    def _lead(self) -> None:
        self.dispatcher.start_leading(self.fence, self.world.now)
        self._act()

    def _act(self) -> None:
        for effect in self.dispatcher.flush(self.world.now):
            if isinstance(effect, Order):
                self.world.sent.append(effect)
        counters = self.world.counters
        assert not counters.two_at_once, "a task ran twice at one time"
        assert not counters.over_capacity, "an upstream was driven over its capacity"

    def _offer(self, offer: Offer) -> None:
        self.offers[offer.request.id] = offer
        self.dispatcher.offer(offer, self.world.now)
        self._act()

    @rule(tasks=st.integers(1, 4))
    def job_comes(self, tasks):
        number = len(self.offers)
        request = JobRequest(
            f"{number:x}", "", (JobStep(tasks, TASK, TASK_S * 1000),), ROUTE
        )
        now = self.world.now
        self._offer(Offer(request, "h2", number, now, now + DEADLINE_S))

    @precondition(lambda self: self.offers)
    @rule(place=PLACES)
    def caller_leaves(self, place):
        offer = list(self.offers.values())[place % len(self.offers)]
        job = offer.request.id
        self.dispatcher.drop(offer.host, job, offer.call, self.world.now)
        self.left.append((self.world.now, offer))
        self._act()

    @precondition(lambda self: self.left)
    @rule()
    def caller_asks_again(self):
        since, offer = self.left[0]
        now = self.world.now
        if now - since < RESEND_S:
            return
        self.left.pop(0)
        self._offer(
            Offer(offer.request, "h3", offer.call + 1000, now, now + DEADLINE_S)
        )

    @precondition(lambda self: self.world.sent)
    @rule(place=PLACES, reply=st.booleans())
    def order_arrives(self, place, reply):
        order = self.world.sent.pop(place % len(self.world.sent))
        result = self.world.carry_out(order)
        if reply:
            self.world.replies.append((order, result))
        else:
            self._reply(order, CallOutcome.UNKNOWN)

    @rule()
    def all_arrive(self):
        sent, self.world.sent = self.world.sent, []
        for order in sent:
            self.world.replies.append((order, self.world.carry_out(order)))

    @precondition(lambda self: self.world.sent)
    @rule(place=PLACES)
    def order_is_given_up(self, place):
        order = self.world.sent.pop(place % len(self.world.sent))
        self.world.forgotten.append(order)
        self._reply(order, CallOutcome.UNKNOWN)

    @precondition(lambda self: self.world.forgotten)
    @rule(place=PLACES)
    def order_is_carried_out_late(self, place):
        order = self.world.forgotten.pop(place % len(self.world.forgotten))
        self.world.carry_out(order)
        self._act()

    @precondition(lambda self: self.world.replies)
    @rule(place=PLACES)
    def reply_comes(self, place):
        self._reply(*self.world.replies.pop(place % len(self.world.replies)))

    @rule()
    def all_replies_come(self):
        replies, self.world.replies = self.world.replies, []
        for order, result in replies:
            self._reply(order, result)

    @rule(seconds=st.sampled_from([0.001, 0.01, 0.04, 0.15, 0.4]))
    def time_passes(self, seconds):
        self.world.now += seconds
        for upstream in self.world.all.values():
            upstream.advance(self.world.now)
        self.dispatcher.tick(self.world.now)
        self._act()

    @rule(place=PLACES)
    def list_changes(self, place):
        self.listed ^= {self.world.entries[place % len(self.world.entries)].id}
        self._list()
        self._act()

    @rule(place=PLACES)
    def another_host_claims(self, place):
        upstream = list(self.world.all.values())[place % len(self.world.all)]
        upstream.hold(self.fence + FENCE_STEP // 2, 0, None, self.world.now)

    @rule()
    def lead_begins_anew(self):
        crashes = self.dispatcher.upstream_pool.crashes
        told = self.dispatcher.open_jobs.progress_by_host(crashes)
        progress = {job: one for jobs in told.values() for job, one in jobs.items()}
        jobs = [job.offer for job in self.dispatcher.open_jobs.values()]
        self.fence += FENCE_STEP
        self._lead()
        for offer in jobs:
            new = progress.get(offer.request.id, Progress())
            done = offer.progress.done + new.done
            known = Progress(done, offer.progress.troubles + new.troubles)
            again = Offer(
                offer.request,
                offer.host,
                offer.call,
                offer.arrived,
                offer.deadline,
                offer.handovers + 1,
                known,
            )
            self._offer(again)

    def _reply(self, order: Order, result: PollReport | CallOutcome) -> None:
        now = self.world.now
        if isinstance(order, StartRun):
            self.dispatcher.start_replied(order, result, now)
        elif isinstance(order, StopRun):
            self.dispatcher.stop_replied(order, result, now)
        else:
            self.dispatcher.poll_replied(order, result, now)
        self._act()


TestRuns = RunsMachine.TestCase
TestRuns.settings = settings(
    FUZZ, stateful_step_count=STEPS, max_examples=MORE or FEWEST
)
