"""Upstreams that go down and up by turns, each time for more than a second."""

from jackdawspur.leases import LeasedUpstream
from jackdawspur.model import UpstreamId
from jackdawspur.runs import PollUpstream
from jackdawspur.runs._replies import LOSSY_FRACTION
from jackdawspur.runs.tests.conftest import PATIENT, Leading

FLAPPING, SOUND = UpstreamId("z1", "u0"), UpstreamId("z1", "u1")
STEP_S = 0.01
DOWN_S = 1.6
SOON_S = 0.5
# Calls are reset at once, and three in a row make an upstream silent; a look waits
# longer for its reply.
SILENT_S = 0.1


def held(leading: Leading, upstream: UpstreamId) -> LeasedUpstream:
    """Return what the leading host keeps of an upstream."""
    all_leased = leading.dispatcher.upstream_pool.upstreams
    return next(one for one in all_leased if one.entry.id == upstream)


def go_down(leading: Leading) -> None:
    """Let a job begin on the first upstream, which goes down for a while then."""
    leading.offer("aa", route=PATIENT, deadline=leading.now + 5.0)
    leading.settle()
    assert leading.running()["aa.0.0.0"] == [FLAPPING]
    leading.silent.add(FLAPPING)


def fall_silent(leading: Leading) -> PollUpstream:
    """Let an upstream lose a start and the next looks; return one sent before."""
    leading.advance(SOON_S, STEP_S)
    go_down(leading)
    early = [one for one in leading.looks if one.upstream == FLAPPING][-1]
    leading.looks.remove(early)
    leading.offer("bb", call=2)
    leading.collect()
    assert leading.lose_start(carried_out=False).upstream == FLAPPING
    leading.advance(SILENT_S, STEP_S)
    assert not held(leading, FLAPPING).responsive
    return early


def reply_late(leading: Leading, early: PollUpstream) -> None:
    """Let the reply to a look come after later ones were lost."""
    report = leading.upstreams[FLAPPING].report(early.last_seen)
    leading.dispatcher.poll_replied(early, report, leading.now)


def test_an_upstream_that_was_down_just_now_is_taken_last(leading: Leading):
    # Guards against tasks on an upstream that is about to go down again.
    go_down(leading)
    leading.advance(DOWN_S, STEP_S)
    leading.upstreams[FLAPPING].running.clear()
    leading.silent.clear()
    leading.advance(SOON_S, STEP_S)
    assert held(leading, FLAPPING).responsive
    leading.upstreams[SOUND].end("aa.0.0.0")
    leading.settle()
    leading.offer("bb", tasks=3, call=2)
    leading.settle()
    where = [places[0] for places in leading.running().values()]
    assert sorted(where) == [FLAPPING, SOUND, SOUND]


def test_a_reply_to_a_look_from_before_the_silence_prolongs_no_lease(
    leading: Leading,
):
    # Guards against waiting longer than needed for the end of a lease.
    early = fall_silent(leading)
    reply_late(leading, early)
    leading.collect()
    assert [one for one in leading.looks if one.upstream == FLAPPING]
    for look in leading.looks:
        assert look.upstream == SOUND or look.lease_until_ms is None


def test_a_reply_to_a_look_from_before_the_silence_opens_no_room(leading: Leading):
    # Guards against a start on an upstream that is down.
    leading.dispatcher._replies._lost_fraction = 2 * LOSSY_FRACTION
    early = fall_silent(leading)
    leading.upstreams[FLAPPING].end("aa.0.0.0")
    reply_late(leading, early)
    leading.offer("cc", call=3)
    leading.collect()
    assert [order.upstream for order in leading.starts] == [SOUND]
