"""The queue of waiting tasks."""

import heapq
from collections.abc import Callable

from jackdawspur.model import Customer, SubmissionId, TaskSpec
from jackdawspur.scheduling._customer_queue import CustomerQueue, WaitingJob
from jackdawspur.scheduling._job import (
    MS_PER_S,
    NextTask,
    QueuedJob,
    Reservation,
    Urgency,
)
from jackdawspur.scheduling._unschedulable import UnschedulablePool

__all__ = ["JobQueue"]

Fits = Callable[[TaskSpec], bool]
MayStart = Callable[[str], bool]

# Seconds that each slot-second of service to a customer adds to the virtual start times
# of its jobs. High values approach strict fair queueing; with zero the job with the
# earliest latest start time is first.
SERVICE_PENALTY = 0.1
# Slot-seconds by which the service to a customer that was idle may lag behind that to
# the others.
IDLE_CREDIT_S = 2.0
# Maximum number of jobs that one call of `next_task` finds unschedulable.
LOOKAHEAD = 32
# Seconds between retries of unschedulable tasks and of customers at their quota when no
# change is reported. Capacity may appear without a report by the caller, such as a lent
# slot or a readmitted upstream; a job alone in the queue would then wait forever.
RECHECK_INTERVAL_S = 0.1
# Number of waiting jobs above which a new job is assumed to start after all of them.
MAX_JOBS_COMPARED = 256
# Average number of heap entries per customer, all but one stale, above which stale
# entries are removed.
MAX_ENTRIES_PER_CUSTOMER = 4


def _always(customer: str) -> bool:
    return True


class JobQueue:
    """Waiting tasks, ordered fairly between customers and by urgency within a customer.

    This is start-time fair queueing on slot-seconds. Estimates are replaced by measured
    run times, so a wrong declaration brings no advantage beyond one task.
    """

    def __init__(self, service_penalty: float = SERVICE_PENALTY) -> None:
        self._service_penalty = service_penalty
        self._jobs: dict[SubmissionId, WaitingJob] = {}
        self._customer_queues: dict[str, CustomerQueue] = {}
        self._order: list[tuple[float, int, CustomerQueue]] = []
        self._unschedulable = UnschedulablePool()
        self._at_quota: set[str] = set()
        self._active: set[CustomerQueue] = set()
        self._last_service = 0.0
        self._entry_count = 0
        self._rechecked_at = float("-inf")
        self._waiting = 0
        self._backlog_ms = 0.0

    def __len__(self) -> int:
        return len(self._jobs)

    def __contains__(self, submission: SubmissionId) -> bool:
        return submission in self._jobs

    def set_customers(self, customers: tuple[Customer, ...]) -> None:
        """Apply the configured weights of customers."""
        for customer in customers:
            self._queue_of(customer.name).weight = max(customer.weight, 0.001)

    def waiting(self, customer: str | None = None) -> int:
        """Return the number of tasks not yet started."""
        if customer is None:
            return self._waiting
        customer_queue = self._customer_queues.get(customer)
        return customer_queue.waiting if customer_queue else 0

    def waiting_by_customer(self) -> dict[str, int]:
        """Return the number of waiting tasks of each customer that has any."""
        return {
            customer_queue.name: customer_queue.waiting
            for customer_queue in self._active
        }

    def backlog_ms(self, customer: str | None = None) -> float:
        """Return the expected work of waiting tasks, in slot-milliseconds."""
        if customer is None:
            return max(0.0, self._backlog_ms)
        customer_queue = self._customer_queues.get(customer)
        return max(0.0, customer_queue.backlog_ms) if customer_queue else 0.0

    def active_weight(self) -> float:
        """Return the total weight of the customers with waiting tasks."""
        return sum(customer_queue.weight for customer_queue in self._active)

    def weight(self, customer: str) -> float:
        """Return a customer's weight."""
        customer_queue = self._customer_queues.get(customer)
        return customer_queue.weight if customer_queue else 1.0

    def add(self, job: QueuedJob) -> None:
        """Add a job with all its tasks."""
        self._insert(WaitingJob(job, range(len(job.tasks))))

    def requeue(self, job: QueuedJob, index: int) -> None:
        """Add a task again that its upstream refused to start."""
        customer_queue = self._queue_of(job.customer)
        estimate = job.estimates_ms[index]
        customer_queue.service -= estimate / MS_PER_S / customer_queue.weight
        waiting_job = self._jobs.get(job.submission)
        if waiting_job is None:
            self._insert(WaitingJob(job, (index,)))
            return
        waiting_job.requeue(index)
        self._add_to_counts(customer_queue, 1, estimate)
        self._push_job(waiting_job, customer_queue)

    def next_task(
        self, now: float, fits: Fits, may_start: MayStart = _always
    ) -> NextTask | None:
        """Remove and return the task to start next, or None if none may start."""
        if now - self._rechecked_at >= RECHECK_INTERVAL_S:
            self._rechecked_at = now
            self.capacity_changed()
            self.quotas_changed()
        for schedulable in self._unschedulable.pop_schedulable(fits):
            self._push_job(schedulable, self._customer_queues[schedulable.customer])
        remaining_tries = LOOKAHEAD
        while remaining_tries and (customer_queue := self._first_queue()) is not None:
            job = customer_queue.head()
            if not may_start(customer_queue.name):
                self._set_at_quota(customer_queue)
            elif fits(job.spec):
                return self._start_task(job, customer_queue)
            else:
                self._mark_unschedulable(job, customer_queue, now)
                remaining_tries -= 1
        return None

    def task_ended(self, job: QueuedJob, index: int, run_ms: float) -> None:
        """Charge the customer the measured run time instead of the estimate."""
        customer_queue = self._queue_of(job.customer)
        excess_ms = run_ms - job.estimates_ms[index]
        customer_queue.service += excess_ms / MS_PER_S / customer_queue.weight
        self.capacity_changed()
        self._at_quota.discard(customer_queue.name)
        # A queue that was charged too little is moved when it reaches the top.
        if customer_queue.waiting and (excess_ms < 0 or not customer_queue.entry):
            self._schedule_customer(customer_queue)

    def capacity_changed(self) -> None:
        """Retry unschedulable tasks; call when an upstream has free capacity."""
        self._unschedulable.recheck()

    def quotas_changed(self) -> None:
        """Retry customers that were at their quota; call when shares change."""
        at_quota, self._at_quota = self._at_quota, set()
        for name in at_quota:
            self._schedule_customer(self._customer_queues[name])

    def remove(self, submission: SubmissionId) -> int:
        """Remove a job's waiting tasks and return their number."""
        job = self._jobs.pop(submission, None)
        if job is None:
            return 0
        customer_queue = self._customer_queues[job.customer]
        count = len(job.waiting_indexes)
        self._add_to_counts(customer_queue, -count, -job.remaining_ms)
        job.waiting_indexes.clear()
        customer_queue.record_removed()
        return count

    def ahead_ms(self, job: QueuedJob, customer: str | None = None) -> float:
        """Return the expected work that would start before a new job.

        The result is in slot-milliseconds; with `customer`, only its jobs count.
        """
        if len(self._jobs) > MAX_JOBS_COMPARED:
            return self.backlog_ms(customer)
        key = WaitingJob(job, range(len(job.tasks))).key
        return sum(
            other.remaining_ms
            for other in self._jobs.values()
            if other.key <= key and customer in (None, other.customer)
        )

    def most_urgent(self) -> Urgency | None:
        """Return the urgency of the first job in order, or None if none may start."""
        customer_queue = self._first_queue()
        if customer_queue is None:
            return None
        job = customer_queue.head()
        return Urgency(job.key, len(job.waiting_indexes))

    def reservation(self, now: float) -> Reservation | None:
        """Return the task for which an upstream should be reserved, or None."""
        job = self._unschedulable.overdue(now)
        return Reservation(job.job, job.spec) if job else None

    def _first_queue(self) -> CustomerQueue | None:
        """Return the customer queue to serve next, after removing stale entries."""
        order = self._order
        while order:
            key, entry, customer_queue = order[0]
            job = customer_queue.head() if entry == customer_queue.entry else None
            if job is not None and key >= self._key(job, customer_queue):
                return customer_queue
            heapq.heappop(order)
            if entry == customer_queue.entry:
                self._schedule_customer(customer_queue)
        return None

    def _least_service(self) -> float:
        if not self._active:
            return self._last_service
        return min(customer_queue.service for customer_queue in self._active)

    def _key(self, job: WaitingJob, customer_queue: CustomerQueue) -> float:
        return job.key + self._service_penalty * customer_queue.service

    def _start_task(self, job: WaitingJob, customer_queue: CustomerQueue) -> NextTask:
        index = job.pop_longest_task()
        estimate = job.job.estimates_ms[index]
        self._last_service = customer_queue.service
        customer_queue.service += estimate / MS_PER_S / customer_queue.weight
        self._add_to_counts(customer_queue, -1, -estimate)
        customer_queue.advance(job)
        if not job.waiting_indexes:
            del self._jobs[job.job.submission]
        self._schedule_customer(customer_queue)
        return NextTask(job.job, index)

    def _insert(self, job: WaitingJob) -> None:
        customer_queue = self._queue_of(job.customer)
        if not customer_queue.waiting:
            # Idle time earns no more than the credit: otherwise a customer that was
            # idle for an hour could use all slots for as long.
            customer_queue.service = max(
                customer_queue.service, self._least_service() - IDLE_CREDIT_S
            )
        self._jobs[job.job.submission] = job
        self._add_to_counts(customer_queue, len(job.waiting_indexes), job.remaining_ms)
        self._push_job(job, customer_queue)

    def _push_job(self, job: WaitingJob, customer_queue: CustomerQueue) -> None:
        became_head = customer_queue.push(job)
        # A queue that is not in the order may still have a removed job at its head.
        if (
            became_head or not customer_queue.entry
        ) and customer_queue.name not in self._at_quota:
            self._schedule_customer(customer_queue)

    def _schedule_customer(self, customer_queue: CustomerQueue) -> None:
        job = customer_queue.head()
        if job is None:
            customer_queue.entry = 0
            return
        self._entry_count += 1
        customer_queue.entry = self._entry_count
        entry = (self._key(job, customer_queue), customer_queue.entry, customer_queue)
        # The queue that was just served is on top of the heap and replaced in place.
        if self._order and self._order[0][2] is customer_queue:
            heapq.heapreplace(self._order, entry)
        else:
            heapq.heappush(self._order, entry)
        if (
            len(self._order)
            > MAX_ENTRIES_PER_CUSTOMER * len(self._customer_queues) + LOOKAHEAD
        ):
            self._order = [e for e in self._order if e[1] == e[2].entry]
            heapq.heapify(self._order)

    def _set_at_quota(self, customer_queue: CustomerQueue) -> None:
        heapq.heappop(self._order)
        customer_queue.entry = 0
        self._at_quota.add(customer_queue.name)

    def _mark_unschedulable(
        self, job: WaitingJob, customer_queue: CustomerQueue, now: float
    ) -> None:
        customer_queue.pop()
        self._unschedulable.mark_unschedulable(job, now)
        self._schedule_customer(customer_queue)

    def _queue_of(self, customer: str) -> CustomerQueue:
        customer_queue = self._customer_queues.get(customer)
        if customer_queue is None:
            customer_queue = self._customer_queues[customer] = CustomerQueue(customer)
        return customer_queue

    def _add_to_counts(
        self, customer_queue: CustomerQueue, tasks: int, estimate_ms: float
    ) -> None:
        self._waiting += tasks
        self._backlog_ms += estimate_ms
        customer_queue.waiting += tasks
        customer_queue.backlog_ms += estimate_ms
        if customer_queue.waiting:
            self._active.add(customer_queue)
        else:
            self._active.discard(customer_queue)
