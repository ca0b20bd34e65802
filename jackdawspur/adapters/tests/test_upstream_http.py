"""Tests of the upstream interface over HTTP, against the worker stand-in."""

import pytest

from jackdawspur.adapters.tests.conftest import start, task
from jackdawspur.external import OutcomeUnknown, RefusalReason
from jackdawspur.model import TaskState
from jackdawspur.standins import WorkerFaults

WAIT_MS = 1000.0


@pytest.fixture
def inject_faults(loop, worker):
    def post(**faults):
        loop.post(worker.address, "/faults", WorkerFaults(**faults))

    return post


def refusals(reply):
    return [verdict.refusal for verdict in reply.unwrap().verdicts]


def states(reply):
    return [outcome.state for outcome in reply.unwrap().outcomes]


def test_a_full_worker_refuses_and_returns_results_to_their_holder(loop, upstream):
    reply = loop.call_and_wait(upstream.start, [start(index) for index in range(9)])
    assert refusals(reply) == [None] * 8 + [RefusalReason.FULL]
    poll = []
    upstream.results(0, WAIT_MS, poll.append)
    loop.settle()
    assert not poll
    loop.advance(0.1)
    loop.run_until(lambda: poll)
    outputs = {outcome.task: outcome.output for outcome in poll[0].unwrap().outcomes}
    assert outputs == {task(index): f"out {index}" for index in range(8)}


def test_status_shows_that_a_start_with_a_lost_reply_ran_once(
    loop, worker, upstream, inject_faults
):
    """An upstream starts a task, and its reply is lost.

    If the start were sent again, the task would run twice. The status query shows that
    it is running, and the worker counts one start.
    """
    inject_faults(lose_starts=1)
    reply = loop.call_and_wait(upstream.start, [start(0)])
    assert isinstance(reply.unwrap_err(), OutcomeUnknown)
    assert states(loop.call_and_wait(upstream.status, [task(0)], True)) == [
        TaskState.RUNNING
    ]
    counters = worker.worker.counters()
    assert (counters.starts, counters.started_twice) == (1, 0)


def test_results_of_a_lost_reply_are_sent_again(loop, upstream, inject_faults):
    """The reply to a poll with the last output of a job is lost.

    The worker keeps results until a poll with a larger cursor acknowledges them.
    """
    inject_faults(lose_results=1)
    loop.call_and_wait(upstream.start, [start(0), start(1, run_ms=200)])
    lost, repeated, following = [], [], []
    upstream.results(0, WAIT_MS, lost.append)
    loop.advance(0.1)
    loop.run_until(lambda: lost)
    assert isinstance(lost[0].unwrap_err(), OutcomeUnknown)
    upstream.results(0, WAIT_MS, repeated.append)
    loop.run_until(lambda: repeated)
    assert [outcome.task for outcome in repeated[0].unwrap().outcomes] == [task(0)]
    upstream.results(repeated[0].unwrap().cursor, WAIT_MS, following.append)
    loop.advance(0.1)
    loop.run_until(lambda: following)
    assert [outcome.task for outcome in following[0].unwrap().outcomes] == [task(1)]


def test_held_reply_that_is_sent_late_is_ignored(loop, worker, upstream, inject_faults):
    """An upstream holds its replies, then sends all of them at once.

    The requests have timed out, and the next one must get only its own verdict.
    """
    inject_faults(hold_replies=True)
    timed_out = []
    upstream.start([start(0)], timed_out.append)
    loop.settle()
    loop.advance(1.1)
    assert isinstance(timed_out[0].unwrap_err(), OutcomeUnknown)
    inject_faults()
    reply = loop.call_and_wait(upstream.start, [start(1)])
    assert [verdict.task for verdict in reply.unwrap().verdicts] == [task(1)]
    assert (len(timed_out), worker.worker.counters().starts) == (1, 2)


def test_poll_without_results_ends_in_time_and_blocks_no_start(loop, upstream):
    poll = []
    upstream.results(0, WAIT_MS, poll.append)
    loop.settle()
    assert refusals(loop.call_and_wait(upstream.start, [start(0, run_ms=9000)])) == [
        None
    ]
    assert not poll
    loop.advance(1.0)
    loop.run_until(lambda: poll)
    assert poll[0].unwrap().outcomes == ()


def test_sealed_task_is_refused_when_its_start_arrives_late(loop, upstream):
    """Guards against a task that runs twice after its start was delayed.

    The start is delayed in the network, the status query seals the task and it is
    placed on another upstream; then the late start arrives and must be refused.
    """
    sealed = loop.call_and_wait(upstream.status, [task(0)], True)
    assert states(sealed) == [TaskState.SEALED]
    late = loop.call_and_wait(upstream.start, [start(0), start(1)])
    assert refusals(late) == [RefusalReason.SEALED, None]


def test_frozen_worker_answers_after_it_thaws(loop, worker, upstream, inject_faults):
    """The host of a worker is suspended for longer than the lease of its task.

    When it resumes, it stops the task, which its holder may have given up long ago.
    """
    loop.call_and_wait(upstream.start, [start(0, run_ms=4000, lease_ms=3000)])
    inject_faults(frozen_ms=6000)
    replies = []
    upstream.status([task(0)], False, replies.append)
    loop.settle()
    assert not replies
    loop.advance(6.1)
    loop.run_until(lambda: replies)
    assert isinstance(replies[0].unwrap_err(), OutcomeUnknown)
    reply = loop.call_and_wait(upstream.status, [task(0)], False)
    assert states(reply) == [TaskState.STOPPED]


def test_stop_and_usage(loop, upstream, inject_faults):
    loop.call_and_wait(upstream.start, [start(0), start(1)])
    inject_faults(lose_stops=1)
    lost = loop.call_and_wait(upstream.stop, [task(0)])
    assert isinstance(lost.unwrap_err(), OutcomeUnknown)
    stopped = loop.call_and_wait(upstream.stop, [task(0), task(9)])
    assert states(stopped) == [TaskState.STOPPED, TaskState.SEALED]
    loop.advance(1.1)
    usage = loop.call_and_wait(upstream.usage).unwrap().usage
    assert (usage.slots, usage.busy, usage.leaving) == (8, 0, False)


def test_reply_for_other_tasks_is_malformed(loop, worker, upstream, monkeypatch):
    start_tasks = worker.worker.start
    other_starts = [start(5)]

    def start_with_other_tasks(request, now):
        reply = start_tasks(request, now)
        verdicts = tuple(type(v)(str(other_starts[0].task)) for v in reply.verdicts)
        return type(reply)(reply.incarnation, verdicts)

    monkeypatch.setattr(worker.worker, "start", start_with_other_tasks)
    reply = loop.call_and_wait(upstream.start, [start(0)])
    assert isinstance(reply.unwrap_err(), OutcomeUnknown)
