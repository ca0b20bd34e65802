"""In-memory state of the dispatch logic of one entry host."""

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

__all__ = [
    "Action",
    "PendingForward",
    "InFlightTask",
    "RemoteCall",
    "Reservation",
    "State",
]

ANSWER_TTL_S = 600.0
MAX_ANSWER_BYTES = 8_388_608
# Memory of a stored answer without its outputs.
ANSWER_BASE_BYTES = 600
# Retry-after of refusals while the log is unavailable.
LOG_RETRY_MS = 1000.0
# How long after its deadline a repeated delegation is still recognized, in seconds.
# Links drop older messages, so no copy arrives later.
DELEGATE_REPEAT_S = 10.0


@dataclass(frozen=True, slots=True)
class RemoteCall:
    """Call that another entry host forwarded to this one."""

    host: HostId
    call: int


@dataclass(frozen=True, slots=True)
class PendingForward:
    """Call forwarded to another host, and repeated until its deadline, in seconds."""

    submission: SubmissionId
    message: Forward | CancelForward
    deadline: float


@dataclass(frozen=True, slots=True)
class Reservation:
    """Reservation of an upstream, which gets no other starts, for a large task."""

    submission: SubmissionId
    upstream: UpstreamId


@dataclass(slots=True)
class InFlightTask:
    """Task whose start was sent and whose end is not known yet."""

    job: Job
    index: int
    placement: Placement


class State:
    """State that the functions of this package read and change.

    `pack` fills few upstreams, to save messages as all contracts ask.
    `claiming` holds jobs whose claim of a key is not decided. `newer_attempts` maps
    submissions to later attempts to run them. `slot_holders` and `peers` are those of
    the view when slots and quotas were divided last. Keys are not claimed before
    `claims_incomplete_until`, and tasks are not started before `starts_held_until`.
    """

    def __init__(
        self, local_id: HostId, rng: random.Random, now: float, crosses_zones: bool
    ) -> None:
        self.local_id = local_id
        self.crosses_zones = crosses_zones
        self.rng = rng
        self.last_event_at = now
        self.cluster_spec: ClusterSpec | None = None
        self.customers: dict[str, Customer] = {}
        self.pack = False
        self.zone_slots: Counter[str] = Counter()
        self._init_components(local_id, rng, now)
        self.jobs: dict[SubmissionId, Job] = {}
        self.claiming: dict[SubmissionId, Job] = {}
        self.newer_attempts: dict[SubmissionId, SubmissionId] = {}
        self.in_flight_tasks: dict[TaskId, InFlightTask] = {}
        self.in_flight_by_upstream: dict[UpstreamId, set[TaskId]] = {}
        self.status_attempts: dict[UpstreamId, int] = {}
        self.incarnations: dict[UpstreamId, int] = {}
        self._init_calls()
        self.dropped_delegations: OrderedDict[SubmissionId, float] = OrderedDict()
        self.log_up = True
        self.claims_incomplete_until = now
        self.log_retry_ms = LOG_RETRY_MS
        self.draining = False
        self.heartbeat_sequence = 0
        self.slot_holders: tuple[HostId, ...] = ()
        self.peers: tuple[HostId, ...] = ()
        self.starts_held_until = now
        self.counters = Counters()
        self._effects: list[Effect] = []
        self._timers = Timers()
        self._last_remote_call = 0
        self._stored_answers: OrderedDict[SubmissionId, int] = OrderedDict()
        self._stored_bytes = 0

    def _init_calls(self) -> None:
        self.pending_forwards: dict[int, PendingForward] = {}
        self.remote_calls: dict[int, RemoteCall] = {}
        self.no_wait_calls: set[int] = set()
        self._job_of_call: dict[int, Job] = {}

    def _init_components(
        self, local_id: HostId, rng: random.Random, now: float
    ) -> None:
        self.reservation: Reservation | None = None
        self.recent_failures: dict[UpstreamId, list[FailedTask]] = {}
        self.ids = IdIssuer(local_id)
        self.claims = IdempotencyKeyTable()
        self.view = View(local_id, now)
        self.slots = SlotPool(local_id)
        self.resource_tracker = ResourceTracker()
        self.health = UpstreamHealth(local_id)
        self.queue = JobQueue()
        self.run_times = RunTimeEstimator()
        self.admission = AdmissionController(rng)
        self.peer_selector = PeerSelector(local_id.zone, rng)
        self.sizes = UpstreamSizes(())
        self.quotas = Quotas(local_id)
        self.retries = RetryBudget()
        self.limits = CallLimits()

    @property
    def live_jobs(self) -> int:
        """Return the number of jobs that have no answer yet."""
        return len(self.jobs) - len(self._stored_answers)

    def emit(self, effect: Effect) -> None:
        """Add an effect to be executed by the adapters."""
        self._effects.append(effect)

    def take_effects(self) -> list[Effect]:
        """Return the effects added since the last call."""
        effects, self._effects = self._effects, []
        return effects

    def schedule(self, at: float, action: Action) -> None:
        """Schedule an action at a time."""
        self._timers.add(at, action)

    def next_wake(self) -> float | None:
        """Return the time of the next scheduled action, or None."""
        return self._timers.next_due()

    def run_due(self, now: float) -> None:
        """Run the scheduled actions that are due."""
        self._timers.run_due(now)

    def attach(self, call: int, job: Job) -> None:
        """Register a call that waits for the end of a job."""
        job.calls.add(call)
        self._job_of_call[call] = job

    def detach(self, call: int) -> None:
        """Unregister a waiting call, if it is registered."""
        job = self._job_of_call.pop(call, None)
        if job is not None:
            job.calls.discard(call)

    def detach_all(self, job: Job) -> list[int]:
        """Unregister the calls that wait for a job, and return them."""
        calls = sorted(job.calls)
        for call in calls:
            self.detach(call)
        return calls

    def next_remote_call(self) -> int:
        """Return a negative number for a forwarded call; local calls are positive."""
        self._last_remote_call -= 1
        return self._last_remote_call

    def latest_attempt(self, submission: SubmissionId) -> SubmissionId:
        """Return the newest attempt to run a submission, or the submission itself."""
        while submission in self.newer_attempts:
            submission = self.newer_attempts[submission]
        return submission

    def spare_slots(self, now: float) -> dict[HostId, int]:
        """Return the slots that other hosts last reported as lendable."""
        spare_slots = {}
        for host in self.view.zone_peers():
            load = self.view.last_heartbeat(host)
            if load is not None:
                spare_slots[host] = load.free_slots
        if not self.crosses_zones:
            return spare_slots
        for zone in sorted({host.zone for host in self.peers} - {self.local_id.zone}):
            hosts = self.view.ready_hosts(zone)
            free = self.view.zone_summary(zone).free_slots
            spare_slots.update(dict.fromkeys(hosts, free // max(1, len(hosts))))
        return spare_slots

    def total_slots(self) -> int:
        """Return the total slots of all zones whose slots this host can use."""
        if not self.crosses_zones:
            return self.zone_slots[self.local_id.zone]
        zones = {host.zone for host in self.peers} | {self.local_id.zone}
        return sum(self.zone_slots[zone] for zone in zones)

    def remote_waiting_tasks(self) -> int:
        """Return the number of tasks that wait at hosts sharing slots with this one."""
        loads = (self.view.last_heartbeat(host) for host in self.view.zone_peers())
        waiting = sum(load.waiting_tasks for load in loads if load is not None)
        if self.crosses_zones:
            zones = {host.zone for host in self.peers} - {self.local_id.zone}
            waiting += sum(self.view.zone_summary(z).waiting_tasks for z in zones)
        return waiting

    def find_job(self, submission: SubmissionId) -> Job | None:
        """Return a job that is live or whose answer is still stored, or None."""
        return self.jobs.get(submission)

    def find_claiming(self, customer: str, key: str) -> Job | None:
        """Return the local job whose claim of the key is not decided yet, or None."""
        for job in self.claiming.values():
            if job.customer == customer and job.request.key == key:
                return job
        return None

    def store_answer(self, job: Job, now: float) -> None:
        """Store the answer of an ended job for repeats, within bounded memory."""
        size = ANSWER_BASE_BYTES + sum(len(o) for o in job.answer.outputs)
        self._stored_answers[job.submission] = size
        self._stored_bytes += size
        job.outputs.clear()
        self.schedule(
            now + ANSWER_TTL_S, lambda at: self._drop_answer(job.submission, at)
        )
        while self._stored_bytes > MAX_ANSWER_BYTES:
            self._drop_answer(next(iter(self._stored_answers)), now)

    def _drop_answer(self, submission: SubmissionId, now: float) -> None:
        size = self._stored_answers.pop(submission, None)
        if size is None:
            return
        self._stored_bytes -= size
        self.newer_attempts.pop(submission, None)
        job = self.jobs.pop(submission)
        if job.origin is not None:
            self._record_dropped_delegation(job, now)

    def _record_dropped_delegation(self, job: Job, now: float) -> None:
        """Record that a job of another host ended here, without its answer.

        The owner repeats the delegation until the deadline if the answer was lost. If
        the answer was dropped for lack of memory, the repeat would run the job again.
        """
        dropped = self.dropped_delegations
        while dropped and next(iter(dropped.values())) < now:
            dropped.popitem(last=False)
        dropped[job.submission] = max(now, job.deadline) + DELEGATE_REPEAT_S

    def set_cluster_spec(self, cluster_spec: ClusterSpec, now: float) -> None:
        """Apply a newer version of the configuration."""
        self.cluster_spec = cluster_spec
        self.customers = {
            customer.name: customer for customer in cluster_spec.customers
        }
        objectives = {c.contract.objective for c in cluster_spec.customers}
        self.pack = objectives == {Objective.MESSAGES}
        local_upstreams = [
            u for u in cluster_spec.upstreams if u.id.zone == self.local_id.zone
        ]
        self.zone_slots = Counter()
        for upstream in cluster_spec.upstreams:
            self.zone_slots[upstream.id.zone] += upstream.slots
        self.sizes = UpstreamSizes(local_upstreams)
        reachable = cluster_spec.upstreams if self.crosses_zones else local_upstreams
        self.resource_tracker.set_upstreams(reachable)
        self.health.set_ejection_policy(cluster_spec.ejection)
        self.health.set_upstreams(u.id for u in reachable)
        self.queue.set_customers(cluster_spec.customers)
        self.quotas.set_cluster_spec(cluster_spec)
        self.retries.set_customers(frozenset(self.customers))
        self.view.set_cluster_spec(cluster_spec, now)
