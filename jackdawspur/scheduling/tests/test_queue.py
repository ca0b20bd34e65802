"""Tests that the order of waiting tasks is fair and starves no job."""

import random

import pytest

from jackdawspur.model import Contract, Customer, Objective, TaskSpec
from jackdawspur.scheduling import JobQueue, RunTimeEstimator
from jackdawspur.scheduling._customer_queue import MIN_STALE_TO_COMPACT
from jackdawspur.scheduling.tests import trial

MESSAGES = Contract(objective=Objective.MESSAGES)
LARGE = TaskSpec(cpus=16)


def fits_always(spec):
    return True


def drain(queue, now=0.0, fits=fits_always):
    while task := queue.next_task(now, fits):
        yield task


def test_longest_task_of_a_job_starts_first(queue, make_job):
    queue.add(make_job(estimates_ms=(100.0, 900.0, 300.0)))
    assert [task.index for task in drain(queue)] == [1, 2, 0]
    assert queue.waiting() == 0
    assert queue.backlog_ms() == 0.0


def test_refused_start_is_requeued_in_its_position(queue, make_job):
    job = make_job(estimates_ms=(100.0, 900.0, 300.0))
    queue.add(job)
    refused = queue.next_task(0.0, fits_always)
    queue.requeue(job, refused.index)
    assert queue.backlog_ms() == 1300.0
    assert [task.index for task in drain(queue)] == [1, 2, 0]
    queue.requeue(job, 2)
    assert job.submission in queue
    assert [task.index for task in drain(queue)] == [2]


def test_job_near_completion_goes_first(queue, make_job):
    wide, narrow = make_job(estimates_ms=(100.0,) * 9), make_job()
    queue.add(wide)
    started = [queue.next_task(0.0, fits_always).job for _ in range(8)]
    queue.add(narrow)
    assert set(started) == {wide}
    assert queue.next_task(0.0, fits_always).job is wide


def test_messages_objective_starts_a_job_together(queue, make_job):
    fewest_messages = make_job("a", (100.0,) * 4, contract=MESSAGES)
    queue.add(fewest_messages)
    queue.next_task(0.0, fits_always)
    queue.add(make_job("a", (10.0,)))
    rest = [task.job for task in drain(queue)]
    assert rest[:3] != [fewest_messages] * 3
    assert rest.count(fewest_messages) == 3


def test_burst_of_one_customer_leaves_the_others_tail_alone():
    """One customer's burst delays all others' answers.

    For six seconds one of twenty customers sends 20 additional jobs per second, about
    twice as many as all others together. In order of arrival every later job would wait
    behind its jobs.
    """

    def p99_of_others(queue, burst):
        rng = random.Random(5)
        jobs = trial.arrivals(rng, 0.7, 1200)
        if burst:
            jobs = trial.with_burst(jobs, rng, 120)
        ended = trial.run(queue, jobs, random.Random(6))
        others = [end for end in ended if end.arrival.customer != trial.BURST_CUSTOMER]
        ratios = [end.ratio for end in others]
        return trial.quantile(ratios, 0.99)

    without_burst = p99_of_others(JobQueue(), burst=False)
    burst = p99_of_others(JobQueue(), burst=True)
    by_arrival = trial.ORDERS["first in, first out"]()
    assert burst < 2 * without_burst
    assert burst < 0.2 * p99_of_others(by_arrival, burst=True)


def test_false_declarations_gain_no_slots(queue, make_job):
    """A customer that declares a tenth of its run times gets most of the slots.

    Two customers always have jobs of 1,000 ms tasks waiting, and one declares 100 ms
    under a new class name each time. If its declarations were used, its jobs would
    start first and it would be charged a tenth of its use.
    """
    estimator = RunTimeEstimator()
    declared = {"liar": TaskSpec(run_ms=100.0), "honest": TaskSpec(run_ms=1000.0)}
    started = {"liar": 0, "honest": 0}
    for step in range(800):
        for name, spec in declared.items():
            if not queue.waiting(name):
                estimates = estimator.estimates_ms(name, f"k{step}", (spec,) * 4)
                queue.add(make_job(name, estimates, step, step + 60.0, spec))
        task = queue.next_task(float(step), fits_always)
        started[task.job.customer] += 1
        queue.task_ended(task.job, task.index, 1000.0)
        estimator.observe(task.job.customer, f"k{step}", task.spec, 1000.0)
    assert started["liar"] <= 1.1 * started["honest"]


def test_weights_divide_the_slots(queue, make_job):
    queue.set_customers((Customer("a", 100, weight=3.0), Customer("b", 100)))
    started = {"a": 0, "b": 0}
    for _ in range(400):
        queue.add(make_job("a", (1000.0,)))
        queue.add(make_job("b", (1000.0,)))
    for _ in range(400):
        task = queue.next_task(0.0, fits_always)
        started[task.job.customer] += 1
        queue.task_ended(task.job, task.index, 1000.0)
    assert 2.7 <= started["a"] / started["b"] <= 3.3


def test_wide_job_does_not_starve_behind_narrow_ones(queue, make_job):
    """A wide job never starts although slots keep becoming free.

    Short jobs of the same customer arrive as fast as they start, and each has less work
    left than the wide job.
    """
    wide = make_job("a", (500.0,) * 24, deadline=60.0)
    queue.add(wide)
    for step in range(400):
        now = step / 10
        queue.add(make_job("a", (100.0,), arrived=now, deadline=now + 60.0))
        if queue.next_task(now, fits_always).job is wide:
            break
    assert now <= 30.0


def test_large_task_is_overtaken_and_then_gets_a_reservation(queue, make_job):
    """One task that needs half an upstream blocks all others, or never runs.

    It is at the head of the queue and fits on no upstream, while small tasks behind it
    would fit. If these may overtake it, they take each free processor before it can.
    """
    large = make_job("a", (100.0,), spec=LARGE)
    queue.add(large)
    for _ in range(3):
        queue.add(make_job("b", (100.0,), arrived=1.0))
    small = list(drain(queue, 1.0, lambda spec: spec != LARGE))
    assert len(small) == 3
    assert queue.reservation(1.1) is None
    assert queue.reservation(2.0).job is large
    queue.task_ended(small[0].job, 0, 100.0)
    assert queue.next_task(2.0, fits_always).job is large
    assert queue.reservation(9.0) is None


def test_customer_at_its_quota_does_not_delay_others(queue, make_job):
    first, second = make_job("a", (100.0,) * 2), make_job("b", arrived=5.0)
    queue.add(first)
    queue.add(second)
    task = queue.next_task(5.0, fits_always)
    assert task.job is first
    assert queue.next_task(5.0, fits_always, lambda name: name != "a").job is second
    assert queue.next_task(5.0, fits_always, lambda name: False) is None
    queue.task_ended(task.job, task.index, 100.0)
    assert queue.next_task(5.0, fits_always).job is first


def test_cancellation_burst_does_not_delay_others(queue, make_job):
    """The next start takes long after one customer cancelled 10,000 jobs.

    The cancelled jobs are still in the customer's heap, and the next call of
    `next_task` would have to remove them all.
    """
    jobs = [make_job("a", (100.0,) * 2) for _ in range(10_000)]
    remaining_job = make_job("b", arrived=99.0)
    for job in [*jobs, remaining_job]:
        queue.add(job)
    assert sum(queue.remove(job.submission) for job in jobs) == 20_000
    remaining = len(queue._customer_queues["a"]._jobs)
    assert remaining <= MIN_STALE_TO_COMPACT + 1
    assert queue.next_task(99.0, fits_always).job is remaining_job
    assert (queue.waiting(), queue.backlog_ms(), len(queue)) == (0, 0.0, 0)


def _drain_remaining(queue):
    """Return all waiting tasks, including unschedulable ones and those at a quota."""
    queue.quotas_changed()
    remaining = []
    for _ in range(2):
        queue.capacity_changed()
        remaining += [(t.job.submission, t.index) for t in drain(queue, 999.0)]
    return remaining


@pytest.mark.parametrize("seed", range(40))
def test_every_task_leaves_the_queue_once(queue, make_job, seed):
    """A task starts twice or never after refusals, cancellations or full upstreams."""
    rng = random.Random(seed)
    left_queue, running = [], []
    jobs, cancelled = [], set()
    for step in range(120):
        action = rng.randrange(6)
        if action < 2:
            spec = LARGE if rng.random() < 0.3 else None
            estimates = tuple(rng.uniform(1.0, 99.0) for _ in range(rng.randint(1, 5)))
            jobs.append(make_job(rng.choice("abc"), estimates, step, spec=spec))
            queue.add(jobs[-1])
        elif action == 2 and jobs:
            job = rng.choice(jobs)
            if queue.remove(job.submission):
                cancelled.add(job.submission)
        elif action == 3 and running:
            task = running.pop(rng.randrange(len(running)))
            if rng.random() < 0.5:
                queue.task_ended(task.job, task.index, rng.uniform(1.0, 99.0))
            elif task.job.submission not in cancelled:
                left_queue.remove((task.job.submission, task.index))
                queue.requeue(task.job, task.index)
        else:
            small = rng.random() < 0.5
            task = queue.next_task(
                float(step),
                lambda spec, small=small: not small or spec != LARGE,
                lambda name: rng.random() < 0.8,
            )
            if task:
                left_queue.append((task.job.submission, task.index))
                running.append(task)
    left_queue += _drain_remaining(queue)
    assert len(left_queue) == len(set(left_queue))
    remaining_jobs = [job for job in jobs if job.submission not in cancelled]
    expected = {(j.submission, i) for j in remaining_jobs for i in range(len(j.tasks))}
    assert expected <= set(left_queue)
    assert (queue.waiting(), len(queue)) == (0, 0)
    assert queue.backlog_ms() == pytest.approx(0.0, abs=1e-6)


def test_job_added_after_cancels_at_the_quota_starts(queue, make_job):
    """A customer's new job never starts although slots are free and no other job waits.

    An earlier job was cancelled while the customer was at its quota, and then a task
    ended. The cancelled job was still at the head of the customer's queue, so the queue
    wasn't scheduled again when the new job was added.
    """
    running, cancelled = make_job(), make_job(arrived=1.0)
    queue.add(running)
    queue.add(cancelled)
    task = queue.next_task(1.0, fits_always)
    assert queue.next_task(1.0, fits_always, lambda name: False) is None
    queue.remove(cancelled.submission)
    queue.task_ended(task.job, task.index, 100.0)
    added = make_job(arrived=2.0)
    queue.add(added)
    assert queue.next_task(2.0, fits_always).job is added


def test_unschedulable_job_starts_without_a_report_of_free_capacity(queue, make_job):
    """The only waiting job never starts although an upstream has capacity for it.

    It fitted on no upstream when it arrived. Then a peer in the zone lent a slot on a
    larger upstream, and no task ended that would have made the queue try again.
    """
    job = make_job(spec=LARGE)
    queue.add(job)
    assert queue.next_task(0.0, lambda spec: spec != LARGE) is None
    assert queue.next_task(0.5, fits_always).job is job
