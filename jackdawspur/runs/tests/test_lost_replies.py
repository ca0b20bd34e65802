"""Healthy upstreams that leave some calls unanswered and carry them out late.

One call in five, whether start, stop or poll, gets no reply. A call without a reply
times out after 0.25 s at the latest, a poll that waits for a run to end 0.2 s later;
leases last 0.6 s.
"""

from jackdawspur.leases import CallOutcome
from jackdawspur.runs import JobEnd, PollUpstream
from jackdawspur.runs._replies import LOSSY_FRACTION, Replies
from jackdawspur.runs.tests.conftest import LONG_TIMEOUT, Leader

CALL_TIMEOUT_S = 0.25
# Shorter than a call's timeout, longer than any usual reply.
SHORT_S = 0.03


def advance_in_steps(leader: Leader, seconds: float, step_s: float = 0.01) -> None:
    """Advance time in the small steps of a busy host."""
    leader.advance(seconds, step_s)


def lose_poll(leader: Leader) -> PollUpstream:
    """Remove and return the pending poll of the first upstream, without a reply."""
    first = next(iter(leader.upstreams))
    advance_in_steps(leader, SHORT_S)
    leader.collect()
    poll = [poll for poll in leader.polls if poll.upstream == first][-1]
    leader.polls.remove(poll)
    return poll


def test_a_lost_start_is_repeated_before_its_call_ends(leader: Leader):
    # A job of 60 ms was answered 0.3 s late: its start was lost, and the host waited
    # for the end of the call before it checked whether the run existed.
    advance_in_steps(leader, SHORT_S)
    leader.offer("aa")
    leader.collect()
    leader.starts.clear()
    advance_in_steps(leader, SHORT_S)
    assert list(leader.running()) == ["aa.0.0.0"]


def test_a_start_whose_reply_is_late_keeps_its_run(leader: Leader):
    # A task ran twice: its start was carried out, and only the reply was overdue.
    advance_in_steps(leader, SHORT_S)
    leader.offer("aa")
    leader.collect()
    (effect,) = leader.starts
    leader.starts.clear()
    upstream = leader.upstreams[effect.upstream]
    upstream.running["aa.0.0.0"] = effect.run.number
    leader.now += SHORT_S
    leader.collect()
    leader.dispatcher.start_replied(effect, CallOutcome.OK, leader.now)
    advance_in_steps(leader, SHORT_S)
    assert leader.running() == {"aa.0.0.0": [effect.upstream]}


def test_a_refusal_under_a_lower_own_fence_shows_no_other_leader(
    leader: Leader,
):
    # All work was handed over for nothing: a start was sent before its host raised its
    # own fence to resolve another start, was refused, and looked like another leader's
    # claim.
    advance_in_steps(leader, SHORT_S)
    leader.offer("aa", tasks=2)
    leader.collect()
    first, second = leader.starts
    leader.starts.clear()
    assert first.upstream == second.upstream
    leader.dispatcher.start_replied(first, CallOutcome.UNKNOWN, leader.now)
    leader.dispatcher.start_replied(second, CallOutcome.FENCED, leader.now)
    upstream = {u.entry.id: u for u in leader.dispatcher.upstream_pool.upstreams}[
        first.upstream
    ]
    assert upstream.acquired
    leader.settle()
    assert len(leader.running()) == 2
    assert leader.dispatcher.upstream_pool.fenced_since is None


def test_one_lost_poll_ends_no_run_and_no_lease(leader: Leader):
    # With one call in five lost, no job was served: each lost poll made its upstream
    # unresponsive for 0.45 s, in which it got no tasks and its leases expired.
    leader.offer("aa")
    leader.settle()
    poll = lose_poll(leader)
    capacity_before = leader.dispatcher.upstream_pool.cpu_millis
    advance_in_steps(leader, 0.3)
    leader.dispatcher.poll_replied(poll, CallOutcome.UNKNOWN, leader.now)
    advance_in_steps(leader, 0.4)
    assert leader.dispatcher.upstream_pool.all_leased(leader.now)
    assert leader.dispatcher.upstream_pool.cpu_millis == capacity_before
    assert list(leader.running()) == ["aa.0.0.0"]


def test_an_upstream_is_unresponsive_after_three_missed_polls(leader: Leader):
    # A failed upstream got tasks until the deadlines of their callers had passed.
    first = next(iter(leader.upstreams))
    leader.unresponsive.add(first)
    advance_in_steps(leader, 0.3)
    assert not leader.dispatcher.upstream_pool.all_leased(leader.now)
    leader.offer("aa", tasks=2)
    advance_in_steps(leader, SHORT_S)
    assert all(first not in upstream_ids for upstream_ids in leader.running().values())


def test_a_paused_host_reads_replies_before_it_counts_them_as_missed(
    leader: Leader,
):
    # A host that was paused for a second raised its fence on all upstreams when it
    # continued, although all replies were waiting in its sockets.
    advance_in_steps(leader, SHORT_S)
    leader.offer("aa")
    leader.collect()
    (effect,) = leader.starts
    leader.now += 1.0
    leader.collect()
    upstream = {u.entry.id: u for u in leader.dispatcher.upstream_pool.upstreams}[
        effect.upstream
    ]
    assert upstream.fence == effect.fence


def test_two_polls_wait_where_replies_are_often_lost(leader: Leader):
    # Tasks of 0.2 s ended 0.1 s late: the only poll that would report their ends was
    # lost in one of five cases, which is noticed 0.2 s later.
    leader.offer("aa")
    leader.settle()
    leader.dispatcher._replies._lost_fraction = 2 * LOSSY_FRACTION
    leader.reply_polls()
    leader.collect()
    leader.collect()
    upstream_id = leader.running()["aa.0.0.0"][0]
    assert [poll.upstream for poll in leader.polls].count(upstream_id) == 2


def test_polls_wait_less_where_replies_are_often_lost(leader: Leader):
    # Capacity stayed unused for 0.2 s: the polls that would report ended runs were
    # lost.
    leader.offer("aa")
    leader.settle()
    default_wait_ms = leader.polls[-1].wait_ms
    leader.dispatcher._replies._lost_fraction = 2 * LOSSY_FRACTION
    leader.reply_polls()
    leader.collect()
    assert 0 < leader.polls[-1].wait_ms < default_wait_ms


def test_single_losses_exclude_no_upstream_where_replies_are_often_lost(
    leader: Leader,
):
    # With half of all calls lost, half of the capacity was not used: each lost start
    # excluded its upstream until a poll was answered, and polls were lost as well.
    leader.dispatcher._replies._lost_fraction = 2 * LOSSY_FRACTION
    advance_in_steps(leader, SHORT_S)
    leader.offer("aa")
    leader.collect()
    (lost_start,) = leader.starts
    leader.starts.clear()
    leader.now += SHORT_S
    leader.offer("bb", call=2)
    leader.collect()
    assert [effect.run.task for effect in leader.starts] == ["bb.0.0.0"]
    assert leader.starts[0].upstream == lost_start.upstream


def test_calls_time_out_early_where_replies_are_fast():
    # Starts waited for a connection: each call without a reply used one for 0.25 s.
    replies = Replies()
    for _ in range(50):
        replies.record_time(0.002)
    assert replies.overdue_s < replies.timeout_s <= 4 * SHORT_S < CALL_TIMEOUT_S


def test_lossy_covers_the_losses_of_the_last_second():
    replies = Replies()
    for number in range(200):
        replies.record_loss() if number % 20 == 0 else replies.record_reply()
    assert replies.lossy
    for _ in range(200):
        replies.record_reply()
    assert not replies.lossy


def test_overdue_time_follows_the_usual_reply_time():
    replies = Replies()
    for _ in range(50):
        replies.record_time(0.002)
    fast_overdue_s = replies.overdue_s
    for _ in range(50):
        replies.record_time(0.06)
    assert fast_overdue_s < SHORT_S < 0.06 < replies.overdue_s <= CALL_TIMEOUT_S


def test_a_late_reported_end_does_not_make_its_upstream_slow():
    # Guards against treating a healthy upstream as slow when a reply is lost.
    leader = Leader(upstreams=3)
    leader.lead()
    leader.offer(
        "aa", tasks=3, max_per_upstream=1, route=LONG_TIMEOUT, deadline=leader.now + 5.0
    )
    leader.settle()
    advance_in_steps(leader, 0.1)
    late_upstream = lose_poll(leader).upstream
    for upstream in leader.upstreams.values():
        upstream.end(next(iter(upstream.running)))
    advance_in_steps(leader, 0.5)
    assert [answer.outcome.end for answer in leader.answers] == [JobEnd.COMPLETE]
    assert leader.dispatcher.estimates.slowdown(late_upstream) < 1.2
