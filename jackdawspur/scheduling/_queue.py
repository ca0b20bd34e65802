"""The order in which waiting tasks start."""

import heapq
from collections.abc import Callable

from jackdawspur.model import Customer, SubmissionId, TaskSpec
from jackdawspur.scheduling._job import MS, NextTask, QueuedJob, Reservation, Urgency
from jackdawspur.scheduling._lanes import CustomerLane, WaitingJob
from jackdawspur.scheduling._parking import Parking

__all__ = ["JobQueue"]

Fits = Callable[[TaskSpec], bool]
MayStart = Callable[[str], bool]

# Seconds of urgency that a slot-second of service ahead of the others costs. High
# values approach strict fair queueing, zero is earliest latest-start first.
SERVICE_COST = 0.1
# Slot-seconds that a customer who was idle may be behind the others.
IDLE_CREDIT = 2.0
# Jobs whose next task fits nowhere that one call sets aside before it gives up.
LOOKAHEAD = 32
# Seconds after which tasks that fitted nowhere, and customers held back, are tried
# again without a word. Else a job alone in the queue would wait for ever when room came
# by something that its caller doesn't report, as a lent slot or a re-admitted upstream.
RECHECK_EVERY = 0.1
# Waiting jobs above which a new one is taken to come after all of them.
MAX_COMPARED = 256
# Entries a customer in the order, all but one stale, before they are cleared away.
STALE_ENTRIES = 4


def _always(customer: str) -> bool:
    return True


class JobQueue:
    """Order waiting tasks: fair between customers, urgent jobs first in each.

    Start-time fair queueing on slot-seconds, corrected by measured run times, so a
    wrong declaration buys nothing for longer than one task.
    """

    def __init__(self, service_cost: float = SERVICE_COST) -> None:
        self._service_cost = service_cost
        self._jobs: dict[SubmissionId, WaitingJob] = {}
        self._lanes: dict[str, CustomerLane] = {}
        self._order: list[tuple[float, int, CustomerLane]] = []
        self._parking = Parking()
        self._held: set[str] = set()
        self._active: set[CustomerLane] = set()
        self._last_service = 0.0
        self._entries = 0
        self._rechecked_at = float("-inf")
        self._waiting = 0
        self._backlog_ms = 0.0

    def __len__(self) -> int:
        return len(self._jobs)

    def __contains__(self, submission: SubmissionId) -> bool:
        return submission in self._jobs

    def set_customers(self, customers: tuple[Customer, ...]) -> None:
        """Take the customers' weights from the configuration."""
        for customer in customers:
            self._lane(customer.name).weight = max(customer.weight, 0.001)

    def waiting(self, customer: str | None = None) -> int:
        """Return the number of tasks not yet started."""
        if customer is None:
            return self._waiting
        lane = self._lanes.get(customer)
        return lane.waiting if lane else 0

    def waiting_by_customer(self) -> dict[str, int]:
        """Return the number of waiting tasks of each customer that has some."""
        return {lane.name: lane.waiting for lane in self._active}

    def backlog_ms(self, customer: str | None = None) -> float:
        """Return the expected slot-milliseconds of the waiting tasks."""
        if customer is None:
            return max(0.0, self._backlog_ms)
        lane = self._lanes.get(customer)
        return max(0.0, lane.backlog_ms) if lane else 0.0

    def active_weight(self) -> float:
        """Return the sum of weights of customers with waiting tasks."""
        return sum(lane.weight for lane in self._active)

    def weight(self, customer: str) -> float:
        """Return a customer's weight."""
        lane = self._lanes.get(customer)
        return lane.weight if lane else 1.0

    def add(self, job: QueuedJob) -> None:
        """Let all tasks of a job wait."""
        self._insert(WaitingJob(job, range(len(job.tasks))))

    def requeue(self, job: QueuedJob, index: int) -> None:
        """Let a task wait again that its upstream refused to start."""
        lane = self._lane(job.customer)
        estimate = job.estimates_ms[index]
        lane.service -= estimate / MS / lane.weight
        waiting = self._jobs.get(job.submission)
        if waiting is None:
            self._insert(WaitingJob(job, (index,)))
            return
        waiting.requeue(index)
        self._count(lane, 1, estimate)
        self._queue_job(waiting, lane)

    def next_task(
        self, now: float, fits: Fits, may_start: MayStart = _always
    ) -> NextTask | None:
        """Take the task to start next, or None when nothing that waits may start."""
        if now - self._rechecked_at >= RECHECK_EVERY:
            self._rechecked_at = now
            self.capacity_changed()
            self.quotas_changed()
        for parked in self._parking.released(fits):
            self._queue_job(parked, self._lanes[parked.customer])
        tries = LOOKAHEAD
        while tries and (lane := self._first_lane()) is not None:
            job = lane.head()
            if not may_start(lane.name):
                self._hold(lane)
            elif fits(job.spec):
                return self._take(job, lane)
            else:
                self._park(job, lane, now)
                tries -= 1
        return None

    def task_ended(self, job: QueuedJob, index: int, run_ms: float) -> None:
        """Charge the measured run time in place of the estimate."""
        lane = self._lane(job.customer)
        over_ms = run_ms - job.estimates_ms[index]
        lane.service += over_ms / MS / lane.weight
        self.capacity_changed()
        self._held.discard(lane.name)
        # A lane that paid too little is put right when it comes to the top.
        if lane.waiting and (over_ms < 0 or not lane.entry):
            self._queue_lane(lane)

    def capacity_changed(self) -> None:
        """Try tasks again that fitted nowhere; call when an upstream has room."""
        self._parking.recheck()

    def quotas_changed(self) -> None:
        """Try customers again that might not start; call when shares move."""
        held, self._held = self._held, set()
        for name in held:
            self._queue_lane(self._lanes[name])

    def remove(self, submission: SubmissionId) -> int:
        """Forget a job's waiting tasks and return their number."""
        job = self._jobs.pop(submission, None)
        if job is None:
            return 0
        lane = self._lanes[job.customer]
        count = len(job.left)
        self._count(lane, -count, -job.left_ms)
        job.left.clear()
        lane.dropped()
        return count

    def ahead_ms(self, job: QueuedJob, customer: str | None = None) -> float:
        """Return the expected slot-milliseconds that would start before a new job's.

        With a customer, those of its jobs only.
        """
        if len(self._jobs) > MAX_COMPARED:
            return self.backlog_ms(customer)
        key = WaitingJob(job, range(len(job.tasks))).key
        return sum(
            one.left_ms
            for one in self._jobs.values()
            if one.key <= key and customer in (None, one.customer)
        )

    def most_urgent(self) -> Urgency | None:
        """Return how urgent the first job in order is; None when none may start."""
        lane = self._first_lane()
        if lane is None:
            return None
        job = lane.head()
        return Urgency(job.key, len(job.left))

    def reservation(self, now: float) -> Reservation | None:
        """Return the task for which one upstream should be left to empty."""
        job = self._parking.overdue(now)
        return Reservation(job.job, job.spec) if job else None

    def _first_lane(self) -> CustomerLane | None:
        """Return the lane to serve next after clearing entries that moved."""
        order = self._order
        while order:
            key, entry, lane = order[0]
            job = lane.head() if entry == lane.entry else None
            if job is not None and key >= self._key(job, lane):
                return lane
            heapq.heappop(order)
            if entry == lane.entry:
                self._queue_lane(lane)
        return None

    def _least_service(self) -> float:
        if not self._active:
            return self._last_service
        return min(lane.service for lane in self._active)

    def _key(self, job: WaitingJob, lane: CustomerLane) -> float:
        return job.key + self._service_cost * lane.service

    def _take(self, job: WaitingJob, lane: CustomerLane) -> NextTask:
        index = job.take()
        estimate = job.job.estimates_ms[index]
        self._last_service = lane.service
        lane.service += estimate / MS / lane.weight
        self._count(lane, -1, -estimate)
        lane.advance(job)
        if not job.left:
            del self._jobs[job.job.submission]
        self._queue_lane(lane)
        return NextTask(job.job, index)

    def _insert(self, job: WaitingJob) -> None:
        lane = self._lane(job.customer)
        if not lane.waiting:
            # Idle time is not saved up beyond the credit: a customer that comes back
            # after an hour must not hold all slots for as long.
            lane.service = max(lane.service, self._least_service() - IDLE_CREDIT)
        self._jobs[job.job.submission] = job
        self._count(lane, len(job.left), job.left_ms)
        self._queue_job(job, lane)

    def _queue_job(self, job: WaitingJob, lane: CustomerLane) -> None:
        became_head = lane.push(job)
        # A lane out of the order may have a removed job for its head still.
        if (became_head or not lane.entry) and lane.name not in self._held:
            self._queue_lane(lane)

    def _queue_lane(self, lane: CustomerLane) -> None:
        job = lane.head()
        if job is None:
            lane.entry = 0
            return
        self._entries += 1
        lane.entry = self._entries
        entry = (self._key(job, lane), lane.entry, lane)
        # The lane that was just served stands on top, so it is replaced in place.
        if self._order and self._order[0][2] is lane:
            heapq.heapreplace(self._order, entry)
        else:
            heapq.heappush(self._order, entry)
        if len(self._order) > STALE_ENTRIES * len(self._lanes) + LOOKAHEAD:
            self._order = [e for e in self._order if e[1] == e[2].entry]
            heapq.heapify(self._order)

    def _hold(self, lane: CustomerLane) -> None:
        heapq.heappop(self._order)
        lane.entry = 0
        self._held.add(lane.name)

    def _park(self, job: WaitingJob, lane: CustomerLane, now: float) -> None:
        lane.pop()
        self._parking.park(job, now)
        self._queue_lane(lane)

    def _lane(self, customer: str) -> CustomerLane:
        lane = self._lanes.get(customer)
        if lane is None:
            lane = self._lanes[customer] = CustomerLane(customer)
        return lane

    def _count(self, lane: CustomerLane, tasks: int, estimate_ms: float) -> None:
        self._waiting += tasks
        self._backlog_ms += estimate_ms
        lane.waiting += tasks
        lane.backlog_ms += estimate_ms
        if lane.waiting:
            self._active.add(lane)
        else:
            self._active.discard(lane)
