"""Upstreams that go down and up repeatedly, each time for more than a second."""

from jackdawspur.leases import LeasedUpstream
from jackdawspur.model import UpstreamId
from jackdawspur.runs import PollUpstream
from jackdawspur.runs._replies import LOSSY_FRACTION
from jackdawspur.runs.tests.conftest import LONG_TIMEOUT, Leader

FLAPPING, HEALTHY = UpstreamId("z1", "u0"), UpstreamId("z1", "u1")
STEP_S = 0.01
DOWN_S = 1.6
SHORT_S = 0.5
# Calls are reset at once, and three in a row make an upstream unresponsive; a poll
# waits longer for its reply.
FAILURE_S = 0.1


def find_upstream(leader: Leader, upstream: UpstreamId) -> LeasedUpstream:
    """Return the leader's state of an upstream."""
    upstreams = leader.dispatcher.upstream_pool.upstreams
    return next(u for u in upstreams if u.entry.id == upstream)


def go_down(leader: Leader) -> None:
    """Start a job on the first upstream, which then goes down for a while."""
    leader.offer("aa", route=LONG_TIMEOUT, deadline=leader.now + 5.0)
    leader.settle()
    assert leader.running()["aa.0.0.0"] == [FLAPPING]
    leader.unresponsive.add(FLAPPING)


def become_unresponsive(leader: Leader) -> PollUpstream:
    """Let an upstream lose a start and the next polls; return an earlier poll."""
    leader.advance(SHORT_S, STEP_S)
    go_down(leader)
    early_poll = [poll for poll in leader.polls if poll.upstream == FLAPPING][-1]
    leader.polls.remove(early_poll)
    leader.offer("bb", call=2)
    leader.collect()
    assert leader.lose_start(carried_out=False).upstream == FLAPPING
    leader.advance(FAILURE_S, STEP_S)
    assert not find_upstream(leader, FLAPPING).responsive
    return early_poll


def reply_late(leader: Leader, early_poll: PollUpstream) -> None:
    """Deliver the reply to a poll after later polls were lost."""
    report = leader.upstreams[FLAPPING].report(early_poll.last_seen)
    leader.dispatcher.poll_replied(early_poll, report, leader.now)


def test_a_flapping_upstream_is_chosen_last(leader: Leader):
    # Guards against starting tasks on an upstream that is about to go down again.
    go_down(leader)
    leader.advance(DOWN_S, STEP_S)
    leader.upstreams[FLAPPING].running.clear()
    leader.unresponsive.clear()
    leader.advance(SHORT_S, STEP_S)
    assert find_upstream(leader, FLAPPING).responsive
    leader.upstreams[HEALTHY].end("aa.0.0.0")
    leader.settle()
    leader.offer("bb", tasks=3, call=2)
    leader.settle()
    locations = [upstream_ids[0] for upstream_ids in leader.running().values()]
    assert sorted(locations) == [FLAPPING, HEALTHY, HEALTHY]


def test_a_reply_to_a_poll_before_the_failure_extends_no_lease(
    leader: Leader,
):
    # Guards against waiting longer than necessary for a lease to expire.
    early_poll = become_unresponsive(leader)
    reply_late(leader, early_poll)
    leader.collect()
    assert [poll for poll in leader.polls if poll.upstream == FLAPPING]
    for poll in leader.polls:
        assert poll.upstream == HEALTHY or poll.lease_until_ms is None


def test_a_reply_to_a_poll_before_the_failure_frees_no_capacity(leader: Leader):
    # Guards against a start on an upstream that is down.
    leader.dispatcher._replies._lost_fraction = 2 * LOSSY_FRACTION
    early_poll = become_unresponsive(leader)
    leader.upstreams[FLAPPING].end("aa.0.0.0")
    reply_late(leader, early_poll)
    leader.offer("cc", call=3)
    leader.collect()
    assert [effect.upstream for effect in leader.starts] == [HEALTHY]
