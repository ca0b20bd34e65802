"""Tests of hosts that resume after a pause."""

from msgspec.structs import replace

from jackdawspur.group._pauses import CATCH_UP_S, CATCH_UP_UPDATES, PauseDetector
from jackdawspur.group._vacancy import UNHEARD_LEADER_GRACE_S
from jackdawspur.group.tests.hosts import UNIX_MS, Hosts

# Longer than the time for which others count a host as running.
PAUSE_S = 3.5


def test_a_paused_follower_does_not_lead_before_it_reads_its_messages(hosts: Hosts):
    # Guards against taking one's own pause for the loss of the leader: the new term
    # would start with a list of upstreams from before the pause.
    (leader,) = hosts.leaders()
    follower = next(name for name in hosts.groups if name != leader)
    hosts.stopped.add(follower)
    hosts.advance(PAUSE_S)
    group = hosts.groups[follower]
    assert not group.update_leadership(True, UNIX_MS, hosts.now)
    hosts.stopped.clear()
    hosts.advance(1.0)
    assert hosts.leaders() == [leader]


def test_a_paused_follower_leads_if_it_hears_nobody(hosts: Hosts):
    (leader,) = hosts.leaders()
    followers = [name for name in hosts.groups if name != leader]
    hosts.stopped |= set(followers)
    hosts.advance(PAUSE_S)
    hosts.stopped = set(hosts.groups) - {followers[0]}
    hosts.advance(UNHEARD_LEADER_GRACE_S - 0.1)
    assert not hosts.groups[followers[0]].is_leader
    hosts.advance(0.2)
    assert hosts.groups[followers[0]].is_leader


def test_a_paused_leader_resigns_before_it_reads_its_messages(hosts: Hosts):
    # Guards against leading on, or raising the fence, with knowledge from before the
    # pause while the links to the next leader are still being connected.
    (leader,) = hosts.leaders()
    hosts.stopped.add(leader)
    hosts.advance(PAUSE_S)
    group = hosts.groups[leader]
    assert group.update_leadership(True, UNIX_MS, hosts.now)
    assert not group.is_leader
    assert not group.contend_for_upstreams(10.0, UNIX_MS, hosts.now)


def test_a_paused_leader_without_live_followers_goes_on_leading(hosts: Hosts):
    # Nobody else can have taken over, and no task would start for 0.6 s.
    (leader,) = hosts.leaders()
    hosts.stopped = set(hosts.groups) - {leader}
    hosts.advance(PAUSE_S)
    hosts.now += PAUSE_S
    group = hosts.groups[leader]
    assert not group.update_leadership(True, UNIX_MS, hosts.now)
    assert group.is_leader


def test_a_list_in_a_heartbeat_read_after_a_pause_is_as_old_as_the_pause(hosts: Hosts):
    # Guards against counting on a host that is cut off to know the upstreams that were
    # added since its last heartbeat, which lay unread.
    (leader,) = hosts.leaders()
    follower = next(name for name in hosts.groups if name != leader)
    group = hosts.groups[follower]
    last = hosts.heartbeat(leader)
    sent_at = hosts.now
    hosts.now += PAUSE_S
    group.record_heartbeat(replace(last, sent_at=sent_at + 0.01), hosts.now)
    _longest, all_read_at = group.peer_list_bounds(hosts.now)
    assert all_read_at <= sent_at - last.upstreams_age_s


def test_what_is_read_after_a_pause_may_have_arrived_at_its_start():
    pauses = PauseDetector()
    pauses.update(10.0)
    assert pauses.earliest_arrival(10.3) == 10.3
    # Read before the pause was noticed, just after it, and later.
    assert pauses.earliest_arrival(13.0) == 10.0
    pauses.update(13.1)
    assert pauses.earliest_arrival(13.0) == 10.0
    assert pauses.earliest_arrival(13.1 + CATCH_UP_S / 2) == 10.0
    pauses.update(13.3)
    assert pauses.earliest_arrival(13.5) == 13.5
    assert pauses.earliest_arrival(9.9) == 9.9


def test_a_pause_before_all_was_read_extends_the_one_before():
    # Guards against forgetting the age of what was not read between two pauses.
    pauses = PauseDetector()
    for now in (10.0, 13.0, 13.1, 16.0):
        pauses.update(now)
    assert pauses.earliest_arrival(16.1) == 10.0
    assert pauses.earliest_arrival(13.05) == 10.0
    assert pauses.is_catching_up(16.1)
    for _ in range(CATCH_UP_UPDATES):
        pauses.update(16.3)
    assert not pauses.is_catching_up(16.0 + CATCH_UP_S)


def test_a_busy_host_has_more_time_to_read_after_a_pause():
    # Guards against offering jobs before closed connections were probed.
    pauses = PauseDetector()
    for now in (10.0, 13.0, 13.35, 13.7):
        pauses.update(now)
    assert pauses.is_catching_up(13.75)
    pauses.update(14.0)
    assert not pauses.is_catching_up(14.0)
