"""Upstreams on which nothing runs are looked at rarely, and no decision gets worse."""

from collections import Counter

import pytest

from jackdawspur.leases import CallOutcome
from jackdawspur.model import UpstreamId
from jackdawspur.runs import PollUpstream
from jackdawspur.runs.tests.conftest import FENCE, Leading

CALM_S = 5.0
STEP_S = 0.01
# All that was not looked at for so long is, once one reply is lost.
WATCHED_S = 0.2
# Replies are overdue after 0.02 s at first, and the next pass comes 0.01 s later.
OVERDUE_S = 0.035


def looks_sent(leading: Leading, seconds: float) -> Counter:
    """Let time pass; count the looks by upstream."""
    looks = Counter()
    collect = leading.collect

    def counted():
        effects = collect()
        looks.update(e.upstream for e in effects if isinstance(e, PollUpstream))
        return effects

    leading.collect = counted
    leading.advance(seconds, STEP_S)
    leading.collect = collect
    return looks


def schedule_idle_poll(leading: Leading) -> None:
    """Let time pass until no look is due."""
    leading.advance(CALM_S, STEP_S)
    while leading.looks:
        leading.advance(STEP_S, STEP_S)


@pytest.fixture
def resting() -> Leading:
    """Return a host that leads six upstreams on which nothing has run for long."""
    one = Leading(upstreams=6)
    one.lead()
    schedule_idle_poll(one)
    return one


def test_upstreams_on_which_nothing_runs_are_looked_at_once_a_second(resting: Leading):
    looks = looks_sent(resting, 10.0)
    assert set(looks) == set(resting.upstreams)
    assert all(8 <= count <= 13 for count in looks.values())


def test_looks_at_many_upstreams_spread_over_time():
    # A host stands still for 20 ms once a second: it looks at all its upstreams in one
    # pass, each at the same moment as all others since it took the lead.
    leading = Leading(upstreams=40)
    leading.lead()
    leading.advance(4.0, STEP_S)
    looks = [looks_sent(leading, STEP_S) for _ in range(200)]
    most = max(one.total() for one in looks)
    assert most <= 8


def test_the_first_run_is_followed_by_a_look_that_waits_for_its_end(resting: Leading):
    # An end on an upstream that was at rest is heard of a second later.
    resting.offer("aa")
    effects = resting.collect()
    (order,) = resting.starts
    (look,) = [e for e in effects if isinstance(e, PollUpstream)]
    assert look.upstream == order.upstream
    assert look.wait_ms > 0 and look.lease_until_ms is not None


def test_a_handed_over_job_waits_for_an_upstream_that_fell_silent_at_rest(
    resting: Leading,
):
    # A task runs twice after a cut heals. The other side's leading host had taken over
    # an upstream that was at rest, and started the task there; this host had looked at
    # it before the cut, and took that answer for a proof that nothing runs there.
    last = list(resting.upstreams)[-1]
    resting.silent.add(last)
    resting.now += 0.5
    for upstream in resting.upstreams.values():
        upstream.clock_ms += 500
    resting.offer("aa", handovers=1)
    resting.collect()
    assert not resting.starts
    resting.settle()
    assert not resting.running()
    resting.silent.clear()
    resting.upstreams[last].fence = FENCE * 4
    resting.advance(0.3, STEP_S)
    assert not resting.running()


@pytest.mark.parametrize("rested_s", (0.0, 0.3, 0.5, 0.7))
def test_a_handed_over_job_starts_as_soon_as_upstreams_at_rest_have_answered(
    resting: Leading, rested_s: float
):
    # A caller waits 1.1 s longer after a change of the lead though all upstreams are
    # sound: none had been looked at just then.
    resting.now += rested_s
    resting.offer("aa", handovers=1)
    resting.settle()
    assert list(resting.running()) == ["aa.0.0.0"]


def test_one_lost_start_shows_all_upstreams_that_fell_silent_with_it(resting: Leading):
    # A zone is cut off, and each of its upstreams costs a job its time: nothing ran
    # there, so each was found silent by a start of its own that got lost.
    silent = set(list(resting.upstreams)[::2])
    resting.silent |= silent
    resting.now += WATCHED_S
    lost = number = 0
    while not lost:
        number += 1
        resting.offer(f"a{number}", call=number)
        resting.collect()
        lost = sum(order.upstream in silent for order in resting.starts)
        answered = [one for one in resting.starts if one.upstream not in silent]
        resting.starts = answered
        resting.advance(OVERDUE_S, OVERDUE_S)
    resting.advance(OVERDUE_S, STEP_S)
    assert lost == 1
    resting.offer("bb", tasks=6, call=99)
    resting.collect()
    assert resting.starts
    assert not {order.upstream for order in resting.starts} & silent


def test_a_run_at_an_upstream_taken_by_another_host_is_not_given_up_early(
    resting: Leading,
):
    # A task runs twice. It was started on an upstream that had been at rest for most
    # of a second, another host took that over, and the run counted as gone 1.5 s after
    # the last look instead of after the change: the other host may still stop it.
    resting.now += 0.9
    resting.offer("aa", deadline=resting.now + 5.0)
    resting.collect()
    (order,) = resting.starts
    resting.starts.clear()
    upstream = resting.upstreams[order.upstream]
    upstream.running["aa.0.0.0"] = order.run.number
    resting.dispatcher.start_replied(order, CallOutcome.OK, resting.now)
    upstream.fence = FENCE * 4
    resting.advance(1.4, STEP_S)
    assert resting.running() == {"aa.0.0.0": [order.upstream]}


def looked_at(leading: Leading) -> set[UpstreamId]:
    """Take the effects of a pass; return the upstreams that are looked at."""
    return {e.upstream for e in leading.collect() if isinstance(e, PollUpstream)}


def test_a_foreign_fence_on_one_upstream_has_all_looked_at(resting: Leading):
    # Jobs are started on one upstream after the other that obeys another host by now:
    # a look had shown the first, and the others were at rest.
    resting.now += WATCHED_S
    first = next(iter(resting.upstreams))
    resting.upstreams[first].fence = FENCE * 4
    resting.offer("aa")
    seen = looked_at(resting)
    (order,) = resting.starts
    assert order.upstream == first
    assert len(seen) < len(resting.upstreams)
    resting.starts.clear()
    resting.reply_looks()
    assert seen | looked_at(resting) == set(resting.upstreams)


def test_an_overdue_start_has_all_looked_at(resting: Leading):
    # Each upstream of a zone that was cut off costs a start before it is known.
    resting.now += WATCHED_S
    resting.offer("aa")
    seen = looked_at(resting)
    assert len(seen) < len(resting.upstreams)
    resting.reply_looks()
    resting.now += OVERDUE_S
    assert seen | looked_at(resting) == set(resting.upstreams)
