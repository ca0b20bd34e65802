"""Replies that arrive late or out of order free no capacity that is in use."""

from jackdawspur.leases import CallOutcome, RunResult
from jackdawspur.runs.tests.conftest import FENCE, Leader

LATER_FENCE = FENCE * 2
# An idle upstream is polled once in this time.
IDLE_POLL_S = 1.3
# An unresponsive upstream is polled once in this time.
RETRY_S = 0.3


def test_a_late_refusal_frees_no_capacity_of_a_later_start():
    # A task ran twice. A start under an earlier term and one of the same run under the
    # current term were both open; the refusal of the first arrived after the second was
    # carried out, and the task was also started on another upstream.
    leader = Leader()
    leader.lead()
    leader.offer("aa")
    leader.collect()
    (early_start,) = leader.starts
    leader.starts.clear()
    leader.lead(LATER_FENCE)
    leader.offer("aa", host="h3", call=7)
    leader.collect()
    (later_start,) = leader.starts
    assert (later_start.upstream, later_start.run) == (
        early_start.upstream,
        early_start.run,
    )
    leader.upstreams[later_start.upstream].running["aa.0.0.0"] = later_start.run.number
    leader.dispatcher.start_replied(early_start, CallOutcome.FENCED, leader.now)
    leader.settle()
    assert leader.running() == {"aa.0.0.0": [later_start.upstream]}


def test_a_poll_before_an_upstream_was_relisted_frees_no_capacity():
    # A task ran twice. After a network partition an upstream left the list and came
    # back; the report of an earlier poll was taken for that of a new one, which had to
    # list a start made since then.
    leader = Leader(upstreams=1)
    leader.lead()
    (upstream_id,) = leader.upstreams
    for _ in range(8):
        leader.now += IDLE_POLL_S
        leader.settle()
    leader.now += IDLE_POLL_S
    leader.collect()
    old_poll = next(poll for poll in leader.polls if poll.upstream == upstream_id)
    leader.polls.clear()
    late_report = leader.upstreams[upstream_id].report(0)
    leader.dispatcher.set_upstreams([], leader.now)
    leader.dispatcher.tick(leader.now)
    leader.dispatcher.set_upstreams([leader.entry(upstream_id)], leader.now)
    leader.offer("aa")
    leader.settle()
    assert leader.running() == {"aa.0.0.0": [upstream_id]}
    leader.dispatcher.poll_replied(old_poll, late_report, leader.now)
    leader.collect()
    assert not leader.starts


def test_the_end_of_another_run_does_not_end_the_current_one():
    # A task ran twice. Its first run, under an earlier leader, had the same number as
    # the current one on another upstream; when it was stopped, the task counted as
    # waiting, and the end of its job left the current run without a stop.
    leader = Leader()
    first, other = leader.upstreams.values()
    other.running["aa.0.0.0"] = 1
    leader.unresponsive.add(other.id)
    leader.lead()
    leader.offer("aa")
    leader.settle()
    upstream_id = first.id
    assert leader.running() == {"aa.0.0.0": [upstream_id, other.id]}
    leader.unresponsive.clear()
    leader.advance(RETRY_S)
    assert leader.running() == {"aa.0.0.0": [upstream_id]}
    assert [end.result for end in other.ended] in ([], [RunResult.STOPPED])
    leader.dispatcher.drop("h2", "aa", 1, leader.now)
    leader.settle()
    assert not leader.running()


def test_one_fenced_start_stops_all_starts_until_polls_are_answered():
    # After a network partition ended, a job's tasks were refused by one upstream after
    # the other: all of them already obeyed the leader on the other side.
    leader = Leader(upstreams=8)
    leader.lead()
    leader.offer("aa")
    leader.collect()
    (effect,) = leader.starts
    leader.starts.clear()
    for upstream in leader.upstreams.values():
        upstream.fence = LATER_FENCE
    leader.dispatcher.start_replied(effect, CallOutcome.FENCED, leader.now)
    leader.collect()
    assert not leader.starts
    leader.settle()
    assert not leader.starts and not leader.running()
