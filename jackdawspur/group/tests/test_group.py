"""One host leads, and another takes over when it is gone."""

import pytest

from jackdawspur.group import Group, HostAddress, HostHeartbeat, Term
from jackdawspur.group._group import (
    FIRST_VACANT_S,
    HEARTBEAT_TIMEOUT_S,
    MEET_S,
    READ_MARGIN_S,
    UNHEARD_S,
    VACANT_S,
)
from jackdawspur.group.tests.beats import beat_of

UNIX_MS = 1_800_000_000_000
# Links over which a cut healed stand again half a second later.
RECONNECTED_TENTHS = 5


def address(name: str, started_ms: int = UNIX_MS - 60_000) -> HostAddress:
    return HostAddress(name, "z1", f"127.0.0.1:{9000 + len(name)}", started_ms)


class Hosts:
    """Let hosts hear each other, but over cut pairs."""

    def __init__(self, *names: str) -> None:
        self.now = 50.0
        self.groups = {name: Group(address(name), self.now) for name in names}
        self.away: set[str] = set()
        self.unready: set[str] = set()
        self.cut: set[frozenset[str]] = set()

    def beat(self, name: str) -> HostHeartbeat:
        return beat_of(self.groups[name], address(name), self.now)

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            present = [name for name in self.groups if name not in self.away]
            beats = {name: self.beat(name) for name in present}
            for name in present:
                for other in present:
                    if other != name and frozenset((name, other)) not in self.cut:
                        self.groups[name].record_heartbeat(beats[other], self.now)
            for name in present:
                ready = name not in self.unready
                self.groups[name].update_leadership(ready, UNIX_MS, self.now)

    def leaders(self) -> list[str]:
        return [name for name, group in self.groups.items() if group.is_leader]


@pytest.fixture
def hosts() -> Hosts:
    three = Hosts("a", "b", "c")
    three.advance(FIRST_VACANT_S + 1.0)
    return three


def test_one_host_leads_and_all_know_it(hosts: Hosts):
    (leader,) = hosts.leaders()
    assert {g.leader(hosts.now) for g in hosts.groups.values()} == {leader}


def test_a_silent_leading_host_is_replaced_under_a_higher_fence(hosts: Hosts):
    # Callers wait and nothing starts: the leading host lost power.
    (leader,) = hosts.leaders()
    before = hosts.groups[leader].fence
    hosts.away.add(leader)
    hosts.advance(HEARTBEAT_TIMEOUT_S + VACANT_S + 0.2)
    (second,) = [name for name in hosts.leaders() if name != leader]
    assert hosts.groups[second].fence > before


def test_a_host_that_woke_gives_up_the_lead(hosts: Hosts):
    # Upstreams obey two hosts in turn: the leading host stood still, was replaced, and
    # went on where it had stopped when it woke.
    (leader,) = hosts.leaders()
    hosts.away.add(leader)
    hosts.advance(1.0)
    hosts.away.clear()
    hosts.advance(0.2)
    (second,) = hosts.leaders()
    assert second != leader


def test_both_sides_of_a_cut_lead_and_one_after_it(hosts: Hosts):
    (leader,) = hosts.leaders()
    others = [name for name in hosts.groups if name != leader]
    hosts.cut = {frozenset((leader, other)) for other in others}
    hosts.advance(1.0)
    assert len(hosts.leaders()) == 2
    hosts.cut.clear()
    hosts.advance(0.3)
    assert len(hosts.leaders()) == 1


def test_a_host_that_is_to_stop_hands_the_lead_on(hosts: Hosts):
    (leader,) = hosts.leaders()
    hosts.groups[leader].draining = True
    hosts.advance(0.4)
    (second,) = hosts.leaders()
    assert second != leader


def test_the_last_host_leads_on_though_it_is_to_stop():
    hosts = Hosts("a")
    hosts.advance(2.0)
    hosts.groups["a"].draining = True
    hosts.advance(0.5)
    assert hosts.leaders() == ["a"]


def test_a_refused_fence_is_raised_above_clocks_that_differ(hosts: Hosts):
    (leader,) = hosts.leaders()
    group = hosts.groups[leader]
    before = group.fence
    group.resolve_contention(UNIX_MS, hosts.now)
    assert group.fence > before + (4000 << 22)


def test_the_smaller_side_of_a_cut_leaves_contested_upstreams(hosts: Hosts):
    # Hardly a job ends: a host that no other hears still reaches all upstreams, and it
    # and the leading host of the others stop each other's tasks in turn.
    (leader,) = hosts.leaders()
    others = [name for name in hosts.groups if name != leader]
    hosts.cut = {frozenset((leader, other)) for other in others}
    hosts.advance(1.0)
    (second,) = [name for name in hosts.leaders() if name != leader]
    for _ in range(2):
        for name in (leader, second):
            hosts.groups[name].resolve_contention(UNIX_MS, hosts.now)
    assert hosts.leaders() == [second]
    hosts.advance(1.0)
    assert hosts.leaders() == [second]
    hosts.cut.clear()
    hosts.advance(0.3)
    assert hosts.groups[leader].leader(hosts.now) == second
    assert not hosts.groups[leader].backing_off


def test_the_lead_changes_once_after_a_cut_has_healed(hosts: Hosts):
    # Jobs under way are handed over three times within half a second and end late.
    # The upstreams were reached before the other hosts after a cut, so each side's
    # leading host met a fence that it did not know, and claimed them from the other.
    (leader,) = hosts.leaders()
    others = [name for name in hosts.groups if name != leader]
    hosts.cut = {frozenset((leader, other)) for other in others}
    hosts.advance(1.0)
    fences = {hosts.groups[name].fence for name in hosts.leaders()}
    for tenth in range(1, 11):
        both = hosts.leaders()
        for name in both if len(both) == 2 else ():
            hosts.groups[name].claim(tenth / 10, UNIX_MS, hosts.now)
        if tenth == RECONNECTED_TENTHS:
            hosts.cut.clear()
        hosts.advance(0.1)
    (second,) = hosts.leaders()
    assert hosts.groups[second].fence in fences


def test_one_host_leads_soon_after_all_have_started():
    # After all hosts lost power no request is served though all hosts are back: each
    # waits for the others before it leads.
    hosts = Hosts("a", "b", "c")
    hosts.advance(0.6)
    assert len(hosts.leaders()) == 1


def far_beat(
    fence: int, leads: bool = True, sent_at: float = 0.0, started_ms: int = 1
) -> HostHeartbeat:
    host = HostAddress("far", "z9", "127.0.0.1:9", started_ms)
    return HostHeartbeat(
        host, sent_at, leads, fence, True, False, False, 1, 0.0, (), by_zone=True
    )


def test_a_group_does_not_split_and_join_with_every_upstream():
    # All work is handed over again and again: the number of upstreams was about the
    # limit, and with each that came or left the hosts changed between one group and one
    # a zone.
    group = Group(HostAddress("own", "z1", "127.0.0.1:1", 1), 0.0, most_upstreams=64)
    sizes = (64, 65, 64, 60, 66, 47, 60, 64)
    covers = []
    for size in sizes:
        group.set_upstream_count(size, 10.0)
        covers.append(group.covers("z2"))
    assert covers == [True, False, False, False, False, True, True, True]


def test_another_groups_lead_is_found_but_never_followed():
    group = Group(HostAddress("own", "z1", "127.0.0.1:1", 1), 0.0, most_upstreams=2)
    group.set_upstream_count(3, 0.0)
    group.record_heartbeat(far_beat(50), 1.0)
    assert [beat.host.name for beat in group.other_group_leaders(1.1)] == ["far"]
    assert group.leader(1.1) is None
    assert not group.known_peers
    assert [host.name for host in group.other_group_hosts] == ["far"]
    assert not group.other_group_leaders(4.0)


def test_a_job_elsewhere_is_given_up_when_that_lead_is_silent_or_another():
    # A caller waits in vain: the other zone's leading host died, or another leads there
    # that knows nothing of the job.
    group = Group(HostAddress("own", "z1", "127.0.0.1:1", 1), 0.0, most_upstreams=2)
    group.set_upstream_count(3, 0.0)
    term = Term("far", 50)
    assert group.is_term_active(term, 5.0, 5.3)
    assert not group.is_term_active(term, 5.0, 5.5)
    group.record_heartbeat(far_beat(50), 5.4)
    assert group.is_term_active(term, 5.0, 5.7)
    group.record_heartbeat(far_beat(0, leads=False), 5.8)
    assert not group.is_term_active(term, 5.0, 5.9)


def test_a_lead_that_was_never_heard_is_given_up_at_any_time_of_day():
    # Guards against a caller that waits for a rounded difference of times.
    group = Group(HostAddress("own", "z1", "127.0.0.1:1", 1), 0.0, most_upstreams=2)
    times = [1000.0 + 0.025 * tick for tick in range(200)]
    kept = [now for now in times if group.is_term_active(Term("far", 50), 5.0, now)]
    assert not kept


def test_what_another_lead_said_before_it_got_the_job_does_not_count():
    group = Group(HostAddress("own", "z1", "127.0.0.1:1", 1), 0.0, most_upstreams=2)
    group.set_upstream_count(3, 0.0)
    group.record_heartbeat(far_beat(40), 4.9)
    assert group.is_term_active(Term("far", 50), 5.0, 5.1)


@pytest.fixture
def healing() -> Hosts:
    """Return two sides of a cut that has healed between their leading hosts alone.

    The host that follows on the first side would be chosen before the one that leads.
    """
    four = Hosts("a", "b", "c", "d")
    four.advance(FIRST_VACANT_S + 1.0)
    (mate,) = four.leaders()
    four.away.add(mate)
    four.advance(1.0)
    four.away.clear()
    four.advance(0.5)
    (first,) = four.leaders()
    others = [name for name in four.groups if name not in (first, mate)]
    four.cut = {frozenset((n, other)) for n in (first, mate) for other in others}
    four.advance(1.0)
    second = next(name for name in four.leaders() if name != first)
    four.cut.remove(frozenset((first, second)))
    return four


def test_no_third_host_leads_while_a_cut_heals(healing: Hosts):
    # All work is handed over twice: the side whose leading host gave up had a host that
    # did not hear the other side's yet, and led in its place for a moment.
    healing.advance(0.4)
    assert len(healing.leaders()) == 1
    (leader,) = healing.leaders()
    healing.cut.clear()
    healing.advance(0.3)
    assert healing.leaders() == [leader]


def test_a_host_that_stays_cut_off_from_the_others_lead_leads_in_the_end(
    healing: Hosts,
):
    healing.advance(UNHEARD_S + VACANT_S + 0.3)
    assert len(healing.leaders()) == 2


def test_hosts_that_read_the_store_late_have_one_leading_host():
    # All callers wait longer after a power cut: the store answers late, all hosts learn
    # of each other through it at one moment, and each takes the lead at once, since it
    # has started long enough ago. They then take the upstreams from each other in turn.
    three = Hosts("a", "b", "c")
    three.unready = set(three.groups)
    three.cut = {frozenset(pair) for pair in ("ab", "ac", "bc")}
    three.advance(FIRST_VACANT_S + 0.2)
    three.unready = set()
    three.advance(0.05)
    assert three.leaders() == []
    three.advance(MEET_S - 0.1)
    assert three.leaders() == []
    three.cut = set()
    three.advance(0.1)
    assert len(three.leaders()) == 1


def test_a_heartbeat_that_arrives_after_a_later_one_is_left():
    # A task runs twice at one time: a connection that broke delivered its last
    # heartbeat after the next connection's first one. By that old one a host took
    # itself for the one that leads, and a job went from a higher fence to a lower.
    group = Group(HostAddress("own", "z1", "127.0.0.1:1", 1), 0.0)
    group.record_heartbeat(far_beat(60, sent_at=2.0), 2.0)
    group.record_heartbeat(far_beat(50, sent_at=1.0), 2.1)
    (beat,) = group.last_heartbeats
    assert beat.fence == 60
    assert group.silent_s("far", 2.2) == pytest.approx(0.2)


def test_a_host_that_started_again_is_heard_though_its_clock_began_anew():
    group = Group(HostAddress("own", "z1", "127.0.0.1:1", 1), 0.0)
    # Its time of day was set back meanwhile.
    group.record_heartbeat(far_beat(60, sent_at=900.0, started_ms=2), 2.0)
    group.record_heartbeat(far_beat(70, sent_at=1.0, started_ms=1), 3.0)
    (beat,) = group.last_heartbeats
    assert beat.fence == 70


def test_a_host_without_a_list_keeps_no_upstream_back():
    # Jobs are late while hosts start one after the other: each had no list of upstreams
    # for a moment, so that none counted as known to all, and nothing started on most.
    group = Group(HostAddress("own", "z1", "127.0.0.1:1", 1), 0.0)
    host = HostAddress("other", "z1", "127.0.0.1:2", 1)
    beat = HostHeartbeat(
        host, 5.0, False, 0, True, False, False, 1, 1.0, (), upstreams=8
    )
    group.record_heartbeat(beat, 5.0)
    longest, all_read_at = group.peer_list_bounds(5.0)
    assert (longest, all_read_at) == (8, pytest.approx(4.0 - READ_MARGIN_S))
    started = HostAddress("started", "z1", "127.0.0.1:3", 1)
    without = HostHeartbeat(started, 5.0, False, 0, False, False, False, 1, 1e9, ())
    group.record_heartbeat(without, 5.0)
    assert group.peer_list_bounds(5.0) == (longest, all_read_at)
