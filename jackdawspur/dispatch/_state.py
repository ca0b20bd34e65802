"""All that one entry host holds in memory."""

import random
from collections import Counter, OrderedDict
from dataclasses import dataclass

from jackdawspur.dispatch._counters import Counters
from jackdawspur.dispatch._effects import Effect
from jackdawspur.dispatch._job import Job, Placement
from jackdawspur.dispatch._resource_tracker import ResourceTracker
from jackdawspur.dispatch._timers import Action, Timers
from jackdawspur.health import UpstreamHealth
from jackdawspur.limits import CallLimits, Quotas, RetryBudget
from jackdawspur.membership import View
from jackdawspur.messages import CancelForward, FailedTask, Forward
from jackdawspur.model import (
    ClusterSpec,
    Customer,
    HostId,
    Objective,
    SubmissionId,
    TaskId,
    UpstreamId,
)
from jackdawspur.ownership import IdempotencyKeyTable, IdIssuer
from jackdawspur.scheduling import (
    AdmissionController,
    JobQueue,
    PeerSelector,
    RunTimeEstimator,
    UpstreamSizes,
)
from jackdawspur.sharing import SlotPool

__all__ = ["Action", "Forwarded", "InFlightTask", "RemoteCall", "Reserved", "State"]

ANSWERS_KEPT_S = 600.0
MAX_KEPT_BYTES = 8_388_608
ANSWER_BASE_BYTES = 600
LOG_RETRY_MS = 1000.0
# A copy of a message can't arrive this long after the deadline: links drop old ones.
DELEGATE_COPIES_S = 10.0


@dataclass(frozen=True, slots=True)
class RemoteCall:
    """Name a call that another entry host forwarded here."""

    host: HostId
    call: int


@dataclass(frozen=True, slots=True)
class Forwarded:
    """Keep a call that was forwarded until its answer; `limit` in seconds."""

    submission: SubmissionId
    message: Forward | CancelForward
    limit: float


@dataclass(frozen=True, slots=True)
class Reserved:
    """Name the upstream that is left to empty for a job's large task."""

    submission: SubmissionId
    upstream: UpstreamId


@dataclass(slots=True)
class InFlightTask:
    """Tie a task that was sent to its job, until its end is known."""

    job: Job
    index: int
    placement: Placement


class State:
    """Hold the decisions' memory; functions of this package change it."""

    def __init__(
        self, own: HostId, rng: random.Random, now: float, crosses_zones: bool
    ) -> None:
        self.own = own
        self.crosses_zones = crosses_zones
        self.rng = rng
        self.last_event_at = now
        self.cluster_spec: ClusterSpec | None = None
        self.customers: dict[str, Customer] = {}
        self.pack = False
        self.zone_slots: Counter[str] = Counter()
        self._open_parts(own, rng, now)
        self.jobs: dict[SubmissionId, Job] = {}
        self.claiming: dict[SubmissionId, Job] = {}
        self.retried: dict[SubmissionId, SubmissionId] = {}
        self.flights: dict[TaskId, InFlightTask] = {}
        self.in_flight_by_upstream: dict[UpstreamId, set[TaskId]] = {}
        self.attempts: dict[UpstreamId, int] = {}
        self.incarnations: dict[UpstreamId, int] = {}
        self._open_calls()
        self.dropped_delegations: OrderedDict[SubmissionId, float] = OrderedDict()
        self.log_up = True
        self.claims_blind_until = now
        self.log_retry_ms = LOG_RETRY_MS
        self.draining = False
        self.heartbeats = 0
        self.sharers: tuple[HostId, ...] = ()
        self.peers: tuple[HostId, ...] = ()
        self.hold_until = now
        self.counters = Counters()
        self._effects: list[Effect] = []
        self._timers = Timers()
        self._remote_number = 0
        self._kept: OrderedDict[SubmissionId, int] = OrderedDict()
        self._kept_bytes = 0

    def _open_calls(self) -> None:
        self.pending_forwards: dict[int, Forwarded] = {}
        self.remote_calls: dict[int, RemoteCall] = {}
        self.impatient_calls: set[int] = set()
        self._job_of_call: dict[int, Job] = {}

    def _open_parts(self, own: HostId, rng: random.Random, now: float) -> None:
        self.reserved: Reserved | None = None
        self.failed: dict[UpstreamId, list[FailedTask]] = {}
        self.ids = IdIssuer(own)
        self.claims = IdempotencyKeyTable()
        self.view = View(own, now)
        self.slots = SlotPool(own)
        self.resource_tracker = ResourceTracker()
        self.health = UpstreamHealth(own)
        self.queue = JobQueue()
        self.run_times = RunTimeEstimator()
        self.admission = AdmissionController(rng)
        self.peer_selector = PeerSelector(own.zone, rng)
        self.sizes = UpstreamSizes(())
        self.quotas = Quotas(own)
        self.retries = RetryBudget()
        self.limits = CallLimits()

    @property
    def live_jobs(self) -> int:
        """Return the number of jobs that have no answer yet."""
        return len(self.jobs) - len(self._kept)

    def emit(self, effect: Effect) -> None:
        """Add an effect for the adapters to carry out."""
        self._effects.append(effect)

    def take_effects(self) -> list[Effect]:
        """Return the effects since the last call."""
        effects, self._effects = self._effects, []
        return effects

    def schedule(self, at: float, action: Action) -> None:
        """Run an action once the time has come."""
        self._timers.add(at, action)

    def next_wake(self) -> float | None:
        """Return when the next scheduled action is due."""
        return self._timers.next_due()

    def run_due(self, now: float) -> None:
        """Run the scheduled actions whose time has come."""
        self._timers.run_due(now)

    def attach(self, call: int, job: Job) -> None:
        """Let a call wait for a job."""
        job.calls.add(call)
        self._job_of_call[call] = job

    def detach(self, call: int) -> None:
        """Let a call wait no longer."""
        job = self._job_of_call.pop(call, None)
        if job is not None:
            job.calls.discard(call)

    def detach_all(self, job: Job) -> list[int]:
        """Return the calls that waited for a job, and let them wait no longer."""
        calls = sorted(job.calls)
        for call in calls:
            self.detach(call)
        return calls

    def next_remote_call(self) -> int:
        """Return a number for a forwarded call; callers' own are positive."""
        self._remote_number -= 1
        return self._remote_number

    def latest_attempt(self, submission: SubmissionId) -> SubmissionId:
        """Return the attempt that took the place of one that gave up its claim."""
        while submission in self.retried:
            submission = self.retried[submission]
        return submission

    def spare(self, now: float) -> dict[HostId, int]:
        """Return the slots that others last said they could lend."""
        spare = {}
        for host in self.view.siblings():
            load = self.view.last_heartbeat(host)
            if load is not None:
                spare[host] = load.free_slots
        if not self.crosses_zones:
            return spare
        for zone in sorted({host.zone for host in self.peers} - {self.own.zone}):
            hosts = self.view.ready_hosts(zone)
            free = self.view.zone_summary(zone).free_slots
            spare.update(dict.fromkeys(hosts, free // max(1, len(hosts))))
        return spare

    def pool_slots(self) -> int:
        """Return the slots that hosts which share with this one hold together."""
        if not self.crosses_zones:
            return self.zone_slots[self.own.zone]
        zones = {host.zone for host in self.peers} | {self.own.zone}
        return sum(self.zone_slots[zone] for zone in zones)

    def waiting_elsewhere(self) -> int:
        """Return the tasks that wait at hosts which share with this one."""
        loads = (self.view.last_heartbeat(host) for host in self.view.siblings())
        waiting = sum(load.waiting_tasks for load in loads if load is not None)
        if self.crosses_zones:
            zones = {host.zone for host in self.peers} - {self.own.zone}
            waiting += sum(self.view.zone_summary(z).waiting_tasks for z in zones)
        return waiting

    def find_job(self, submission: SubmissionId) -> Job | None:
        """Return a job that is under way or whose answer is still kept."""
        return self.jobs.get(submission)

    def find_claiming(self, customer: str, key: str) -> Job | None:
        """Return the job whose claim of the key is under way here."""
        for job in self.claiming.values():
            if job.customer == customer and job.request.key == key:
                return job
        return None

    def keep_answer(self, job: Job, now: float) -> None:
        """Keep an ended job's answer for repeats, within bounded memory."""
        size = ANSWER_BASE_BYTES + sum(len(o) for o in job.answer.outputs)
        self._kept[job.submission] = size
        self._kept_bytes += size
        job.outputs.clear()
        self.schedule(now + ANSWERS_KEPT_S, lambda at: self._drop(job.submission, at))
        while self._kept_bytes > MAX_KEPT_BYTES:
            self._drop(next(iter(self._kept)), now)

    def _drop(self, submission: SubmissionId, now: float) -> None:
        size = self._kept.pop(submission, None)
        if size is None:
            return
        self._kept_bytes -= size
        self.retried.pop(submission, None)
        job = self.jobs.pop(submission)
        if job.origin is not None:
            self._remember_delegation(job, now)

    def _remember_delegation(self, job: Job, now: float) -> None:
        """Remember that a job of another host ended here, though not how.

        Its owner repeats the message until its deadline when the answer got lost. With
        full memory the answer is gone by then, and the job would run a second time.
        """
        dropped = self.dropped_delegations
        while dropped and next(iter(dropped.values())) < now:
            dropped.popitem(last=False)
        dropped[job.submission] = max(now, job.deadline) + DELEGATE_COPIES_S

    def set_cluster_spec(self, world: ClusterSpec, now: float) -> None:
        """Take a newer version of the configuration into force."""
        self.cluster_spec = world
        self.customers = {customer.name: customer for customer in world.customers}
        objectives = {c.contract.objective for c in world.customers}
        self.pack = objectives == {Objective.MESSAGES}
        own = [u for u in world.upstreams if u.id.zone == self.own.zone]
        self.zone_slots = Counter()
        for upstream in world.upstreams:
            self.zone_slots[upstream.id.zone] += upstream.slots
        self.sizes = UpstreamSizes(own)
        reached = world.upstreams if self.crosses_zones else own
        self.resource_tracker.set_upstreams(reached)
        self.health.set_ejection_policy(world.ejection)
        self.health.set_upstreams(u.id for u in reached)
        self.queue.set_customers(world.customers)
        self.quotas.set_cluster_spec(world)
        self.retries.set_customers(frozenset(self.customers))
        self.view.set_cluster_spec(world, now)
