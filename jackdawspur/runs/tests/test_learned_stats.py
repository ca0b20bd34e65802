"""What one leading host learned is known to the next."""

import math
import random
import struct
from dataclasses import replace

import msgspec
import pytest

from jackdawspur.leases import Resources, RunResult, UpstreamEntry
from jackdawspur.model import HostId, UpstreamId
from jackdawspur.runs import JobRequest, JobStep, LearnedRoute, LearnedStats, Offer
from jackdawspur.runs._estimates import Estimates
from jackdawspur.runs._job import Job
from jackdawspur.runs._learned import LearnedSlowdown
from jackdawspur.runs._update_sender import MAX_BYTES, UpdateSender
from jackdawspur.runs.tests.conftest import FENCE, ROUTE, TASK, Leading

SLOW, FIRST = UpstreamId("z1", "u0"), UpstreamId("z1", "u1")
BEAT_S = 0.5
# By then all is told again that did not change.
TO_ALL_AGAIN = 24
# Headers of what is told.
AROUND_BYTES = 4
STEPS = (JobStep(1, TASK, 200.0),)


class Host:
    """Learn on one host from tasks that end as a test says."""

    def __init__(self, name: str, upstreams: int, boots: dict | None = None) -> None:
        self.now = 100.0
        self.estimates = Estimates(HostId("z1", name, 1))
        self.upstreams = [UpstreamId("z1", f"u{n}") for n in range(upstreams)]
        entries = [
            UpstreamEntry(one, "roster", "127.0.0.1:1", Resources(), (), False)
            for one in self.upstreams
        ]
        self.estimates.set_upstreams(entries)
        self._boots = boots or {}

    def lead(self) -> None:
        self.estimates.start_leading(self.now)
        for one in self.upstreams:
            self.estimates.incarnation_seen(one, self._boots.get(one, 0))

    def run_job(self, took_ms: dict[UpstreamId, float], route: str = "r") -> None:
        """End a job that had one task on each of some upstreams."""
        step = JobStep(len(took_ms), TASK, 200.0)
        request = JobRequest("j", "", (step,), replace(ROUTE, name=route))
        offer = Offer(request, "h", 1, self.now, self.now + 1.5)
        job = Job(offer, (200.0,), self.now)
        for task, (one, ms) in zip(job.tasks, took_ms.items(), strict=True):
            task.upstream = one
            since = self.now - ms / 1000
            self.estimates.ended(job, task, one, RunResult.DONE, since, self.now)
        self.estimates.learn_slowdowns(job)

    def run_jobs(self, jobs: int = 12, slow_ms: float = 1800.0) -> None:
        """Let the first upstream take longer, and all longer than declared."""
        for _ in range(jobs):
            took = {one: 600.0 for one in self.upstreams} | {SLOW: slow_ms}
            self.run_job(took)

    def expected_ms(self) -> float:
        return self.estimates.expected_ms(ROUTE, STEPS)[0]


def tell(teller: Host, hearer: Host, beats: int = 8) -> list[LearnedStats]:
    """Let one host hear what another tells with its heartbeats."""
    heard = []
    for _ in range(beats):
        teller.now += BEAT_S
        hearer.now = teller.now
        learned = teller.estimates.next_update(teller.now)
        if learned is not None:
            heard.append(learned)
            data = msgspec.msgpack.encode(learned)
            again = msgspec.msgpack.decode(data, type=LearnedStats)
            hearer.estimates.merge_update(again, hearer.now)
    return heard


@pytest.fixture
def former() -> Host:
    """Return a host that leads and has learned."""
    host = Host("a", 4)
    host.lead()
    host.run_jobs()
    return host


@pytest.fixture
def following() -> Host:
    return Host("b", 4)


def test_a_new_leading_host_avoids_an_upstream_known_to_be_slow():
    # Guards against long jobs that are late on slow upstreams after a change of lead.
    leads, follows = Leading(), Leading()
    leads.lead()
    for number in range(12):
        leads.offer(f"j{number}", tasks=2, each=1)
        leads.settle()
        fast, slow = leads.upstreams[FIRST], leads.upstreams[SLOW]
        for upstream, seconds in ((fast, 0.2), (slow, 0.4)):
            leads.advance(seconds)
            for task in list(upstream.running):
                upstream.end(task)
        leads.advance(0.1)
    for _ in range(4):
        leads.now += BEAT_S
        learned = leads.dispatcher.estimates.next_update(leads.now)
        if learned:
            follows.dispatcher.estimates.merge_update(learned, leads.now)
    follows.now = leads.now
    follows.lead(2 * FENCE)
    pace = follows.dispatcher.estimates.slowdown
    assert pace(SLOW) > 1.5 * pace(FIRST)
    follows.offer("long")
    follows.settle()
    assert follows.running() == {"long.0.0.0": [FIRST]}


def test_a_new_leading_host_knows_the_run_times_of_routes(former, following):
    # Guards against jobs that a new leading host takes for as short as they declare.
    assert following.expected_ms() == pytest.approx(200.0)
    tell(former, following)
    following.lead()
    assert following.expected_ms() == pytest.approx(former.expected_ms(), rel=0.1)


def test_what_was_told_counts_for_as_many_tasks_as_were_seen():
    # Guards against a pace of one task that is believed like one of dozens.
    moved = []
    for jobs in (1, 12):
        former, following = Host("a", 4), Host("b", 4)
        former.lead()
        former.run_jobs(jobs, slow_ms=850.0)
        tell(former, following)
        following.lead()
        before = math.log(following.estimates.slowdown(SLOW))
        following.run_job(dict.fromkeys(following.upstreams, 600.0))
        moved.append(1.0 - math.log(following.estimates.slowdown(SLOW)) / before)
    assert moved[0] > 0.25
    assert moved[1] < 0.15


def test_what_was_told_long_ago_counts_for_less(former):
    # Guards against upstreams that count as slow for a past that nobody remembers.
    shown_ms = 1100.0
    off = []
    for age_s in (0.0, 100.0):
        hearer = Host("b", 4)
        tell(former, hearer, TO_ALL_AGAIN)
        hearer.now += age_s
        hearer.lead()
        hearer.run_job(dict.fromkeys(hearer.upstreams, 600.0) | {SLOW: shown_ms})
        shown = math.log(shown_ms / 600.0)
        off.append(abs(math.log(hearer.estimates.slowdown(SLOW)) - shown))
    assert off[1] < off[0]
    forgotten = Host("b", 4)
    tell(former, forgotten, TO_ALL_AGAIN)
    forgotten.now += 600.0
    forgotten.lead()
    assert forgotten.estimates.slowdown(SLOW) == 1.0
    assert forgotten.expected_ms() == pytest.approx(200.0)


def test_an_upstream_that_started_again_is_not_judged_by_its_past(former):
    # Guards against a repaired upstream that stays empty after a change of the lead.
    hearer = Host("b", 4, boots={SLOW: 7})
    tell(former, hearer)
    hearer.lead()
    assert hearer.estimates.slowdown(SLOW) == 1.0
    assert hearer.expected_ms() > 400.0


def test_what_an_upstream_did_before_it_started_again_is_not_told(former, following):
    # Guards against the pace of an earlier boot that is told as the present one's.
    former.estimates.incarnation_seen(SLOW, 9)
    following._boots[SLOW] = 9
    tell(former, following)
    following.lead()
    assert following.estimates.slowdown(SLOW) == 1.0


def test_a_host_that_led_lately_keeps_what_rests_on_more_tasks(former):
    # Guards against a short lead of another host that wipes out what was known.
    former.estimates.stop_leading(former.now)
    other = Host("c", 4)
    other.lead()
    other.run_job(dict.fromkeys(other.upstreams, 300.0))
    tell(other, former)
    former.lead()
    assert former.estimates.slowdown(SLOW) > 2.0
    assert former.expected_ms() > 400.0


def test_a_leading_host_keeps_its_own_view(former, following):
    # Guards against two hosts that both lead for a moment and mix what they see.
    following.lead()
    tell(former, following)
    following.estimates.start_leading(following.now)
    assert following.estimates.slowdown(SLOW) == 1.0


def test_the_first_leading_host_begins_as_ever(following):
    # Guards against beliefs without a source.
    assert following.estimates.next_update(following.now) is None
    following.lead()
    assert following.estimates.next_update(following.now) is None
    assert [following.estimates.slowdown(one) for one in following.upstreams] == [
        1.0
    ] * 4


def moments(*values: float) -> bytes:
    return struct.pack("<5e", *values)


NAN, INF = float("nan"), float("inf")
SANE = (6.0, 5.3, 0.1, 0.0, 0.1)
ABSURD_ROUTES = [
    LearnedRoute("roster", "r", 20, moments(*SANE[:at], bad, *SANE[at + 1 :]))
    for at in range(5)
    for bad in (NAN, INF, -INF, 60_000.0, -60_000.0)
] + [
    LearnedRoute("roster", "r", 0, moments(*SANE)),
    LearnedRoute("roster", "r", -5, moments(*SANE)),
    LearnedRoute("roster", "r", 1 << 40, moments(*SANE)),
    LearnedRoute("roster", "r", 20, moments(*SANE)[:-1]),
    LearnedRoute("roster", "r", 20, b""),
    LearnedRoute("x" * 5000, "r", 20, moments(*SANE)),
    LearnedRoute("", "", 20, moments(*SANE)),
]


@pytest.mark.parametrize("route", ABSURD_ROUTES)
def test_absurd_run_times_are_not_believed(following, route):
    # Guards against one broken value that makes every job of a route hopeless.
    following.estimates.merge_update(LearnedStats(b"", (route,)), following.now)
    following.lead()
    assert following.expected_ms() == pytest.approx(200.0)


@pytest.mark.parametrize("size", [1, 5, 7, 60, 61, 6000])
def test_foreign_paces_are_not_believed(following, size):
    # Guards against bytes of strangers that slow upstreams down or stop the decisions.
    rng = random.Random(size)
    for _ in range(20):
        following.estimates.merge_update(
            LearnedStats(rng.randbytes(size)), following.now
        )
    following.lead()
    assert [following.estimates.slowdown(one) for one in following.upstreams] == [
        1.0
    ] * 4
    following.run_jobs()
    assert following.estimates.slowdown(SLOW) > 2.0


def test_any_level_that_is_told_is_a_possible_pace(former, following):
    # Guards against a pace out of bounds, by which all work of an upstream is judged.
    for told in tell(former, Host("c", 4)):
        for level in (0, 255):
            paces = bytearray(told.paces)
            paces[4::6] = bytes([level]) * (len(paces) // 6)
            following.estimates.merge_update(LearnedStats(bytes(paces)), following.now)
    following.lead()
    assert all(
        0.49 < following.estimates.slowdown(u) < 20.1 for u in following.upstreams
    )


def test_what_is_told_is_bounded_in_bytes_and_comes_round():
    # Guards against heartbeats that grow with the number of upstreams.
    former, following = Host("a", 350), Host("b", 350)
    former.lead()
    for number in range(20):
        former.run_job(dict.fromkeys(former.upstreams, 600.0), f"route{number}")
        former.run_job(dict.fromkeys(former.upstreams, 600.0) | {SLOW: 1800.0})
    heard = tell(former, following, beats=50)
    sizes = [len(msgspec.msgpack.encode(learned)) for learned in heard]
    assert max(sizes) <= MAX_BYTES + AROUND_BYTES
    assert len({key for one in heard for key in _keys(one)}) == 350
    assert len({route.route for one in heard for route in one.routes}) == 22


def test_what_does_not_change_is_told_again_among_much_that_does():
    # Guards against a host that starts late and never hears of a steady upstream.
    telling, times = UpdateSender(), 0
    routes = [LearnedRoute("s" * 40, "r" * 40, 20, moments(*SANE))]
    routes_told = 0
    for beat in range(200):
        level = 50 + 100 * (beat % 2)
        paces = [LearnedSlowdown(key, level if key else 80, 8) for key in range(350)]
        told = telling.next(paces, routes, beat * BEAT_S)
        times += bytes(4) in _keys(told)
        routes_told += len(told.routes)
    assert times >= 3
    assert routes_told >= 8


def _keys(learned: LearnedStats) -> list[bytes]:
    return [learned.paces[at : at + 4] for at in range(0, len(learned.paces), 6)]


def test_what_is_told_all_the_time_takes_few_bytes():
    # Guards against a host's control that spends its 9 KB/s on what it learned.
    former, following, rng = Host("a", 35), Host("b", 35), random.Random(3)
    former.lead()
    sizes = []
    for _ in range(240):
        for _ in range(10):
            chosen = rng.sample(former.upstreams, 4)
            work_ms = rng.lognormvariate(5.5, 0.5)
            took = {one: work_ms * max(0.3, rng.gauss(1.0, 0.15)) for one in chosen}
            former.run_job(took, f"route{rng.randrange(6)}")
        heard = tell(former, following, beats=1)
        sizes += [len(msgspec.msgpack.encode(learned)) for learned in heard]
    a_second = sum(sizes) / (240 * BEAT_S)
    assert a_second < 320
    following.lead()
    for one in former.upstreams:
        ratio = following.estimates.slowdown(one) / former.estimates.slowdown(one)
        assert 0.7 < ratio < 1.4
