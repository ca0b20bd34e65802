"""Idle upstreams are polled rarely, and scheduling gets no worse by it."""

from collections import Counter

import pytest

from jackdawspur.leases import CallOutcome
from jackdawspur.model import UpstreamId
from jackdawspur.runs import PollUpstream
from jackdawspur.runs.tests.conftest import FENCE, Leader

IDLE_S = 5.0
STEP_S = 0.01
# Upstreams not polled for this long are polled once a reply is lost.
WATCH_INTERVAL_S = 0.2
# Replies are overdue after 0.02 s at first, and the next pass comes 0.01 s later.
OVERDUE_S = 0.035


def count_polls(leader: Leader, seconds: float) -> Counter:
    """Advance time and count the polls by upstream."""
    polls = Counter()
    collect = leader.collect

    def collect_and_count():
        effects = collect()
        polls.update(e.upstream for e in effects if isinstance(e, PollUpstream))
        return effects

    leader.collect = collect_and_count
    leader.advance(seconds, STEP_S)
    leader.collect = collect
    return polls


def make_idle(leader: Leader) -> None:
    """Advance time until no poll is due."""
    leader.advance(IDLE_S, STEP_S)
    while leader.polls:
        leader.advance(STEP_S, STEP_S)


@pytest.fixture
def idle_leader() -> Leader:
    """Return the leader of six upstreams that have been idle for a while."""
    new_leader = Leader(upstreams=6)
    new_leader.lead()
    make_idle(new_leader)
    return new_leader


def test_idle_upstreams_are_polled_once_a_second(idle_leader: Leader):
    polls = count_polls(idle_leader, 10.0)
    assert set(polls) == set(idle_leader.upstreams)
    assert all(8 <= count <= 13 for count in polls.values())


def test_polls_of_many_upstreams_are_spread_over_time():
    # A host was blocked for 20 ms once a second: it polled all its upstreams in the
    # same pass, since their intervals had all started with its term.
    leader = Leader(upstreams=40)
    leader.lead()
    leader.advance(4.0, STEP_S)
    polls = [count_polls(leader, STEP_S) for _ in range(200)]
    max_polls = max(count.total() for count in polls)
    assert max_polls <= 8


def test_the_first_run_causes_a_poll_that_waits_for_its_end(idle_leader: Leader):
    # The end of a run on an upstream that had been idle was reported a second late.
    idle_leader.offer("aa")
    effects = idle_leader.collect()
    (effect,) = idle_leader.starts
    (poll,) = [e for e in effects if isinstance(e, PollUpstream)]
    assert poll.upstream == effect.upstream
    assert poll.wait_ms > 0 and poll.lease_until_ms is not None


def test_a_handed_over_job_waits_for_an_idle_unresponsive_upstream(
    idle_leader: Leader,
):
    # A task ran twice after a network partition ended. The leader on the other side had
    # taken over an idle upstream and started the task there; this host had polled it
    # before the partition, and took that reply as proof that nothing ran there.
    last = list(idle_leader.upstreams)[-1]
    idle_leader.unresponsive.add(last)
    idle_leader.now += 0.5
    for upstream in idle_leader.upstreams.values():
        upstream.clock_ms += 500
    idle_leader.offer("aa", handovers=1)
    idle_leader.collect()
    assert not idle_leader.starts
    idle_leader.settle()
    assert not idle_leader.running()
    idle_leader.unresponsive.clear()
    idle_leader.upstreams[last].fence = FENCE * 4
    idle_leader.advance(0.3, STEP_S)
    assert not idle_leader.running()


@pytest.mark.parametrize("rested_s", (0.0, 0.3, 0.5, 0.7))
def test_a_handed_over_job_starts_once_idle_upstreams_have_replied(
    idle_leader: Leader, rested_s: float
):
    # A caller waited 1.1 s longer after a change of leader although all upstreams were
    # healthy: none had been polled recently.
    idle_leader.now += rested_s
    idle_leader.offer("aa", handovers=1)
    idle_leader.settle()
    assert list(idle_leader.running()) == ["aa.0.0.0"]


def test_one_lost_start_reveals_all_unresponsive_upstreams(idle_leader: Leader):
    # A zone was partitioned, and each of its upstreams made a job late: they were idle,
    # so each was found to be unresponsive only by a lost start of its own.
    unresponsive = set(list(idle_leader.upstreams)[::2])
    idle_leader.unresponsive |= unresponsive
    idle_leader.now += WATCH_INTERVAL_S
    lost = number = 0
    while not lost:
        number += 1
        idle_leader.offer(f"a{number}", call=number)
        idle_leader.collect()
        lost = sum(effect.upstream in unresponsive for effect in idle_leader.starts)
        answered = [
            start for start in idle_leader.starts if start.upstream not in unresponsive
        ]
        idle_leader.starts = answered
        idle_leader.advance(OVERDUE_S, OVERDUE_S)
    idle_leader.advance(OVERDUE_S, STEP_S)
    assert lost == 1
    idle_leader.offer("bb", tasks=6, call=99)
    idle_leader.collect()
    assert idle_leader.starts
    assert not {effect.upstream for effect in idle_leader.starts} & unresponsive


def test_a_run_on_an_upstream_of_another_leader_is_kept_long_enough(
    idle_leader: Leader,
):
    # A task ran twice. It was started on an upstream that had been idle for most of a
    # second, another host took over the upstream, and the run counted as gone 1.5 s
    # after the last poll instead of after the takeover: the other host may still stop
    # it.
    idle_leader.now += 0.9
    idle_leader.offer("aa", deadline=idle_leader.now + 5.0)
    idle_leader.collect()
    (effect,) = idle_leader.starts
    idle_leader.starts.clear()
    upstream = idle_leader.upstreams[effect.upstream]
    upstream.running["aa.0.0.0"] = effect.run.number
    idle_leader.dispatcher.start_replied(effect, CallOutcome.OK, idle_leader.now)
    upstream.fence = FENCE * 4
    idle_leader.advance(1.4, STEP_S)
    assert idle_leader.running() == {"aa.0.0.0": [effect.upstream]}


def polled_upstreams(leader: Leader) -> set[UpstreamId]:
    """Return the upstreams that are polled in this pass."""
    return {e.upstream for e in leader.collect() if isinstance(e, PollUpstream)}


def test_another_fence_on_one_upstream_causes_polls_of_all(idle_leader: Leader):
    # Jobs were started on one upstream after the other that already obeyed another
    # host: a poll had shown this for the first one only, as the others were idle.
    idle_leader.now += WATCH_INTERVAL_S
    first = next(iter(idle_leader.upstreams))
    idle_leader.upstreams[first].fence = FENCE * 4
    idle_leader.offer("aa")
    polled = polled_upstreams(idle_leader)
    (effect,) = idle_leader.starts
    assert effect.upstream == first
    assert len(polled) < len(idle_leader.upstreams)
    idle_leader.starts.clear()
    idle_leader.reply_polls()
    assert polled | polled_upstreams(idle_leader) == set(idle_leader.upstreams)


def test_an_overdue_start_causes_polls_of_all(idle_leader: Leader):
    # Each upstream of a partitioned zone lost a start before it was known to be
    # unresponsive.
    idle_leader.now += WATCH_INTERVAL_S
    idle_leader.offer("aa")
    polled = polled_upstreams(idle_leader)
    assert len(polled) < len(idle_leader.upstreams)
    idle_leader.reply_polls()
    idle_leader.now += OVERDUE_S
    assert polled | polled_upstreams(idle_leader) == set(idle_leader.upstreams)
