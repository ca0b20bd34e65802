"""Upstreams that leave a share of all orders unanswered, and carry them out late.

The pattern: one order in five, of starts, stops and looks alike, gets no reply, while
the upstream is sound and does its other work. A call without a reply ends after
0.25 s at the latest, a look that waits 0.2 s later; leases reach 0.6 s ahead.
"""

from jackdawspur.leases import CallOutcome
from jackdawspur.runs import JobEnd, PollUpstream
from jackdawspur.runs._replies import LOSSY_FRACTION, Replies
from jackdawspur.runs.tests.conftest import PATIENT, Leading

CALL_S = 0.25
# Shorter than a call, longer than any usual reply.
SOON_S = 0.03


def pass_time(leading: Leading, seconds: float, step_s: float = 0.01) -> None:
    """Let time pass in the small steps of a host that works."""
    leading.advance(seconds, step_s)


def lost_look(leading: Leading) -> PollUpstream:
    """Take the look that waits at the first upstream, which gets no reply."""
    first = next(iter(leading.upstreams))
    pass_time(leading, SOON_S)
    leading.collect()
    look = [one for one in leading.looks if one.upstream == first][-1]
    leading.looks.remove(look)
    return look


def test_a_lost_start_runs_elsewhere_before_its_call_has_ended(leading: Leading):
    # A sugar reading of 60 ms comes 0.3 s late: its start was lost, and the host
    # waited for the end of the call before it asked whether the run is there.
    pass_time(leading, SOON_S)
    leading.offer("aa")
    leading.collect()
    leading.starts.clear()
    pass_time(leading, SOON_S)
    assert list(leading.running()) == ["aa.0.0.0"]


def test_a_start_whose_reply_is_late_keeps_its_run(leading: Leading):
    # A task runs twice: its start was carried out, and the reply was only overdue.
    pass_time(leading, SOON_S)
    leading.offer("aa")
    leading.collect()
    (order,) = leading.starts
    leading.starts.clear()
    upstream = leading.upstreams[order.upstream]
    upstream.running["aa.0.0.0"] = order.run.number
    leading.now += SOON_S
    leading.collect()
    leading.dispatcher.start_replied(order, CallOutcome.OK, leading.now)
    pass_time(leading, SOON_S)
    assert leading.running() == {"aa.0.0.0": [order.upstream]}


def test_a_refusal_under_the_fence_before_a_raise_shows_no_other_host(
    leading: Leading,
):
    # All work is handed over for nothing: a start went out before its host raised its
    # own fence to settle another one, was refused, and looked like another's claim.
    pass_time(leading, SOON_S)
    leading.offer("aa", tasks=2)
    leading.collect()
    first, second = leading.starts
    leading.starts.clear()
    assert first.upstream == second.upstream
    leading.dispatcher.start_replied(first, CallOutcome.UNKNOWN, leading.now)
    leading.dispatcher.start_replied(second, CallOutcome.FENCED, leading.now)
    held = {h.entry.id: h for h in leading.dispatcher.upstream_pool.upstreams}[
        first.upstream
    ]
    assert held.acquired
    leading.settle()
    assert len(leading.running()) == 2
    assert leading.dispatcher.upstream_pool.fenced_since is None


def test_one_lost_look_costs_no_run_and_no_lease(leading: Leading):
    # With one order in five lost, nothing is served: each lost look made its upstream
    # silent for 0.45 s, in which it got no tasks and its leases ended.
    leading.offer("aa")
    leading.settle()
    look = lost_look(leading)
    before = leading.dispatcher.upstream_pool.cpu_millis
    pass_time(leading, 0.3)
    leading.dispatcher.poll_replied(look, CallOutcome.UNKNOWN, leading.now)
    pass_time(leading, 0.4)
    assert leading.dispatcher.upstream_pool.all_leased(leading.now)
    assert leading.dispatcher.upstream_pool.cpu_millis == before
    assert list(leading.running()) == ["aa.0.0.0"]


def test_an_upstream_that_misses_three_looks_in_a_row_is_silent(leading: Leading):
    # An upstream that broke down gets tasks until its callers' time is over.
    first = next(iter(leading.upstreams))
    leading.silent.add(first)
    pass_time(leading, 0.3)
    assert not leading.dispatcher.upstream_pool.all_leased(leading.now)
    leading.offer("aa", tasks=2)
    pass_time(leading, SOON_S)
    assert all(first not in places for places in leading.running().values())


def test_a_host_that_stood_still_reads_replies_before_it_misses_them(
    leading: Leading,
):
    # A host that froze for a second raises its fence everywhere as it wakes, though all
    # replies lie in its sockets.
    pass_time(leading, SOON_S)
    leading.offer("aa")
    leading.collect()
    (order,) = leading.starts
    leading.now += 1.0
    leading.collect()
    held = {h.entry.id: h for h in leading.dispatcher.upstream_pool.upstreams}[
        order.upstream
    ]
    assert held.fence == order.fence


def test_two_looks_wait_where_replies_get_lost_all_the_time(leading: Leading):
    # Tasks of 0.2 s end 0.1 s late: the only look that would tell of their ends is
    # lost in one of five cases, which is noticed 0.2 s later.
    leading.offer("aa")
    leading.settle()
    leading.dispatcher._replies._lost_fraction = 2 * LOSSY_FRACTION
    leading.reply_looks()
    leading.collect()
    leading.collect()
    place = leading.running()["aa.0.0.0"][0]
    assert [look.upstream for look in leading.looks].count(place) == 2


def test_looks_wait_less_where_replies_get_lost_all_the_time(leading: Leading):
    # Room stands empty for 0.2 s: the looks that would tell of the ends there are lost.
    leading.offer("aa")
    leading.settle()
    calm = leading.looks[-1].wait_ms
    leading.dispatcher._replies._lost_fraction = 2 * LOSSY_FRACTION
    leading.reply_looks()
    leading.collect()
    assert 0 < leading.looks[-1].wait_ms < calm


def test_single_losses_close_no_upstream_where_replies_get_lost_all_the_time(
    leading: Leading,
):
    # With half of all orders lost half of the room is closed: each lost start closed
    # its upstream until a look was answered, which was lost as well.
    leading.dispatcher._replies._lost_fraction = 2 * LOSSY_FRACTION
    pass_time(leading, SOON_S)
    leading.offer("aa")
    leading.collect()
    (lost,) = leading.starts
    leading.starts.clear()
    leading.now += SOON_S
    leading.offer("bb", call=2)
    leading.collect()
    assert [order.run.task for order in leading.starts] == ["bb.0.0.0"]
    assert leading.starts[0].upstream == lost.upstream


def test_calls_end_soon_where_replies_are_quick():
    # Starts wait for a connection: each call without a reply kept one for 0.25 s.
    replies = Replies()
    for _ in range(50):
        replies.record_time(0.002)
    assert replies.overdue_s < replies.timeout_s <= 4 * SOON_S < CALL_S


def test_losses_of_the_last_second_count():
    replies = Replies()
    for number in range(200):
        replies.record_loss() if number % 20 == 0 else replies.record_reply()
    assert replies.lossy
    for _ in range(200):
        replies.record_reply()
    assert not replies.lossy


def test_a_reply_is_overdue_after_a_few_times_the_usual():
    replies = Replies()
    for _ in range(50):
        replies.record_time(0.002)
    quick_s = replies.overdue_s
    for _ in range(50):
        replies.record_time(0.06)
    assert quick_s < SOON_S < 0.06 < replies.overdue_s <= CALL_S


def test_an_end_that_was_heard_of_late_does_not_make_its_upstream_slow():
    # Guards against taking a sound upstream for slow when a reply is lost.
    leading = Leading(upstreams=3)
    leading.lead()
    leading.offer("aa", tasks=3, each=1, route=PATIENT, deadline=leading.now + 5.0)
    leading.settle()
    pass_time(leading, 0.1)
    late = lost_look(leading).upstream
    for upstream in leading.upstreams.values():
        upstream.end(next(iter(upstream.running)))
    pass_time(leading, 0.5)
    assert [answer.outcome.end for answer in leading.answers] == [JobEnd.COMPLETE]
    assert leading.dispatcher.estimates.slowdown(late) < 1.2
