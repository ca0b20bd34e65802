"""Tests of the worker stand-in, with times set by the tests."""

import pytest

from jackdawspur.external import RefusalReason
from jackdawspur.model import TaskState
from jackdawspur.standins import Worker, WorkerFaults, WorkerSettings
from jackdawspur.wire import StartBody, StartsRequest

HOLDER = "z1.e1.1"


@pytest.fixture
def worker():
    return Worker(WorkerSettings(), incarnation=5, seed=1)


def start(worker, *tasks, now=0.0, run_ms=100.0, lease_ms=1000.0, **sizes):
    starts = tuple(
        StartBody(task, f'{{"run_ms":{run_ms}}}', lease_ms, **sizes) for task in tasks
    )
    reply = worker.start(StartsRequest(HOLDER, starts), now)
    return [verdict.refusal for verdict in reply.verdicts]


def states(reply):
    return [outcome.state for outcome in reply.outcomes]


def test_expired_lease_stops_the_task_and_frees_its_slot(worker):
    start(worker, "s/0", run_ms=2000.0, lease_ms=500.0)
    assert states(worker.results(HOLDER, 0, 0.499)) == []
    assert states(worker.results(HOLDER, 0, 0.5)) == [TaskState.STOPPED]
    assert worker.busy == 0


def test_second_start_of_a_task_runs_and_is_counted(worker):
    """The worker must not hide double starts, because its purpose is to count them."""
    start(worker, "s/0")
    start(worker, "s/0")
    start(worker, "s/1")
    assert worker.busy == 3
    counters = worker.counters()
    assert (counters.starts, counters.started_twice) == (3, 1)
    start(worker, "s/0", now=5.0)
    assert worker.counters().started_twice == 2


def test_refusals_have_a_reason_and_are_counted(worker):
    assert start(worker, "s/0", lease_ms=0.0) == [RefusalReason.EXPIRED]
    assert start(worker, "s/0", cpus=33) == [RefusalReason.TOO_LARGE]
    worker.set_faults(WorkerFaults(leaving=True), 0.0)
    assert start(worker, "s/0") == [RefusalReason.LEAVING]
    assert worker.counters().refusals == {"expired": 1, "too_large": 1, "leaving": 1}
    assert worker.counters().starts == 0


def test_crash_drops_tasks_and_starts_a_new_incarnation(worker):
    """A cursor from before the crash must not acknowledge results from after it."""
    start(worker, "s/0")
    before = worker.results(HOLDER, 0, 1.0)
    worker.set_faults(WorkerFaults(die=True), 1.0)
    assert states(worker.status(("s/0",), False, 1.0)) == [TaskState.UNKNOWN]
    start(worker, "s/1", now=1.0)
    after = worker.results(HOLDER, before.cursor, 2.0)
    assert states(after) == [TaskState.DONE]
    assert after.incarnation == before.incarnation + 1
    restarted = Worker(WorkerSettings(), incarnation=6, seed=1)
    start(restarted, "s/2")
    assert states(restarted.results(HOLDER, after.cursor, 1.0)) == [TaskState.DONE]


def test_task_that_ran_long_ago_is_not_reported_as_sealed():
    worker = Worker(WorkerSettings(max_outcomes=1), incarnation=5, seed=1)
    start(worker, "s/0", "s/1")
    reply = worker.status(("s/0", "s/1", "s/2"), True, 1.0)
    assert states(reply) == [TaskState.UNKNOWN, TaskState.DONE, TaskState.SEALED]


def test_faults_change_run_times_and_ends(worker):
    worker.set_faults(WorkerFaults(fail_all=True), 0.0)
    start(worker, "s/0")
    assert states(worker.results(HOLDER, 0, 0.0)) == [TaskState.FAILED]
    worker.set_faults(WorkerFaults(slow_factor=3.0), 0.0)
    start(worker, "s/1")
    assert worker.next_change == pytest.approx(0.3)
    worker.set_faults(WorkerFaults(straggler_fraction=0.25), 10.0)
    slow = 0
    for index in range(400):
        start(worker, f"t/{index}", now=20.0 + index)
        slow += worker.next_change > 20.5 + index
    assert 70 <= slow <= 130


def test_usage_is_reported_with_a_lag(worker):
    start(worker, "s/0", "s/1", now=10.0, run_ms=9000.0, lease_ms=99999.0)
    worker.set_faults(WorkerFaults(leaving=True), 10.2)
    assert worker.usage(11.1).leaving is False
    assert worker.usage(11.1).busy == 2
    assert worker.usage(11.2).leaving is True


def test_holders_of_hosts_that_restart_are_bounded():
    worker = Worker(WorkerSettings(max_holders=2), incarnation=5, seed=1)
    for index in range(20):
        task = StartBody(f"s/{index}", "{}", 50.0)
        reply = worker.start(StartsRequest(f"h{index}", (task,)), float(index))
        assert reply.verdicts[0].refusal is None
    assert states(worker.results("h17", 0, 30.0)) == []
    assert states(worker.results("h19", 0, 30.0)) == [TaskState.STOPPED]
