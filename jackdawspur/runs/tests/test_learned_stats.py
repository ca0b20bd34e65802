"""Slowdowns and run times that a leader has learned are passed to the next one."""

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
from jackdawspur.runs.tests.conftest import FENCE, ROUTE, TASK_RESOURCES, Leader

SLOW, FAST = UpstreamId("z1", "u0"), UpstreamId("z1", "u1")
HEARTBEAT_S = 0.5
# After this many heartbeats all unchanged values have been sent again.
RESEND_HEARTBEATS = 24
# Bytes that the encoding adds to the values.
HEADER_BYTES = 4
STEPS = (JobStep(1, TASK_RESOURCES, 200.0),)


class Host:
    """Host whose estimates learn from the jobs that a test lets it run."""

    def __init__(
        self, name: str, upstreams: int, incarnations: dict | None = None
    ) -> None:
        self.now = 100.0
        self.estimates = Estimates(HostId("z1", name, 1))
        self.upstreams = [UpstreamId("z1", f"u{n}") for n in range(upstreams)]
        entries = [
            UpstreamEntry(upstream, "roster", "127.0.0.1:1", Resources(), (), False)
            for upstream in self.upstreams
        ]
        self.estimates.set_upstreams(entries)
        self._incarnations = incarnations or {}

    def lead(self) -> None:
        self.estimates.start_leading(self.now)
        for upstream in self.upstreams:
            self.estimates.incarnation_seen(
                upstream, self._incarnations.get(upstream, 0)
            )

    def run_job(self, took_ms: dict[UpstreamId, float], route: str = "r") -> None:
        """End a job that had one task on each of the given upstreams."""
        step = JobStep(len(took_ms), TASK_RESOURCES, 200.0)
        request = JobRequest("j", "", (step,), replace(ROUTE, name=route))
        offer = Offer(request, "h", 1, self.now, self.now + 1.5)
        job = Job(offer, (200.0,), self.now)
        for task, (upstream, ms) in zip(job.tasks, took_ms.items(), strict=True):
            task.upstream = upstream
            since = self.now - ms / 1000
            self.estimates.ended(job, task, upstream, RunResult.DONE, since, self.now)
        self.estimates.learn_slowdowns(job)

    def run_jobs(self, jobs: int = 12, slow_ms: float = 1800.0) -> None:
        """Make the first upstream slower, and all tasks longer than declared."""
        for _ in range(jobs):
            took_ms = {upstream: 600.0 for upstream in self.upstreams} | {SLOW: slow_ms}
            self.run_job(took_ms)

    def expected_ms(self) -> float:
        return self.estimates.expected_ms(ROUTE, STEPS)[0]


def send_updates(
    sender: Host, receiver: Host, heartbeats: int = 8
) -> list[LearnedStats]:
    """Let one host receive the updates in another one's heartbeats."""
    received = []
    for _ in range(heartbeats):
        sender.now += HEARTBEAT_S
        receiver.now = sender.now
        learned = sender.estimates.next_update(sender.now)
        if learned is not None:
            received.append(learned)
            data = msgspec.msgpack.encode(learned)
            decoded = msgspec.msgpack.decode(data, type=LearnedStats)
            receiver.estimates.merge_update(decoded, receiver.now)
    return received


@pytest.fixture
def former_leader() -> Host:
    """Return a leader that has learned a slow upstream and long run times."""
    host = Host("a", 4)
    host.lead()
    host.run_jobs()
    return host


@pytest.fixture
def follower() -> Host:
    return Host("b", 4)


def test_a_new_leader_avoids_an_upstream_known_to_be_slow():
    # Guards against long jobs that are late on slow upstreams after a change of leader.
    earlier, later = Leader(), Leader()
    earlier.lead()
    for number in range(12):
        earlier.offer(f"j{number}", tasks=2, max_per_upstream=1)
        earlier.settle()
        fast, slow = earlier.upstreams[FAST], earlier.upstreams[SLOW]
        for upstream, seconds in ((fast, 0.2), (slow, 0.4)):
            earlier.advance(seconds)
            for task in list(upstream.running):
                upstream.end(task)
        earlier.advance(0.1)
    for _ in range(4):
        earlier.now += HEARTBEAT_S
        learned = earlier.dispatcher.estimates.next_update(earlier.now)
        if learned:
            later.dispatcher.estimates.merge_update(learned, earlier.now)
    later.now = earlier.now
    later.lead(2 * FENCE)
    slowdown = later.dispatcher.estimates.slowdown
    assert slowdown(SLOW) > 1.5 * slowdown(FAST)
    later.offer("long")
    later.settle()
    assert later.running() == {"long.0.0.0": [FAST]}


def test_a_new_leader_knows_the_run_times_of_routes(former_leader, follower):
    # Guards against a new leader that expects jobs to be as short as they declare.
    assert follower.expected_ms() == pytest.approx(200.0)
    send_updates(former_leader, follower)
    follower.lead()
    assert follower.expected_ms() == pytest.approx(former_leader.expected_ms(), rel=0.1)


def test_received_slowdowns_count_for_their_number_of_tasks():
    # Guards against giving a slowdown from one task the weight of dozens.
    changes = []
    for jobs in (1, 12):
        former_leader, follower = Host("a", 4), Host("b", 4)
        former_leader.lead()
        former_leader.run_jobs(jobs, slow_ms=850.0)
        send_updates(former_leader, follower)
        follower.lead()
        before = math.log(follower.estimates.slowdown(SLOW))
        follower.run_job(dict.fromkeys(follower.upstreams, 600.0))
        changes.append(1.0 - math.log(follower.estimates.slowdown(SLOW)) / before)
    assert changes[0] > 0.25
    assert changes[1] < 0.15


def test_old_received_values_count_for_less(former_leader):
    # Guards against upstreams that count as slow because of outdated values.
    observed_ms = 1100.0
    errors = []
    for age_s in (0.0, 100.0):
        receiver = Host("b", 4)
        send_updates(former_leader, receiver, RESEND_HEARTBEATS)
        receiver.now += age_s
        receiver.lead()
        receiver.run_job(dict.fromkeys(receiver.upstreams, 600.0) | {SLOW: observed_ms})
        observed = math.log(observed_ms / 600.0)
        errors.append(abs(math.log(receiver.estimates.slowdown(SLOW)) - observed))
    assert errors[1] < errors[0]
    late_receiver = Host("b", 4)
    send_updates(former_leader, late_receiver, RESEND_HEARTBEATS)
    late_receiver.now += 600.0
    late_receiver.lead()
    assert late_receiver.estimates.slowdown(SLOW) == 1.0
    assert late_receiver.expected_ms() == pytest.approx(200.0)


def test_a_restarted_upstream_has_no_received_slowdown(former_leader):
    # Guards against a repaired upstream that gets no tasks after a change of leader.
    receiver = Host("b", 4, incarnations={SLOW: 7})
    send_updates(former_leader, receiver)
    receiver.lead()
    assert receiver.estimates.slowdown(SLOW) == 1.0
    assert receiver.expected_ms() > 400.0


def test_slowdowns_of_earlier_incarnations_are_not_sent(former_leader, follower):
    # Guards against sending the slowdown of an earlier incarnation as the current
    # one's.
    former_leader.estimates.incarnation_seen(SLOW, 9)
    follower._incarnations[SLOW] = 9
    send_updates(former_leader, follower)
    follower.lead()
    assert follower.estimates.slowdown(SLOW) == 1.0


def test_a_recent_leader_keeps_values_with_more_tasks(former_leader):
    # Guards against a short term of another host that overwrites better values.
    former_leader.estimates.stop_leading(former_leader.now)
    other = Host("c", 4)
    other.lead()
    other.run_job(dict.fromkeys(other.upstreams, 300.0))
    send_updates(other, former_leader)
    former_leader.lead()
    assert former_leader.estimates.slowdown(SLOW) > 2.0
    assert former_leader.expected_ms() > 400.0


def test_a_leader_ignores_received_updates(former_leader, follower):
    # Guards against two hosts that both lead for a moment and mix their observations.
    follower.lead()
    send_updates(former_leader, follower)
    follower.estimates.start_leading(follower.now)
    assert follower.estimates.slowdown(SLOW) == 1.0


def test_the_first_leader_starts_without_estimates(follower):
    # Guards against estimates that no run has shown.
    assert follower.estimates.next_update(follower.now) is None
    follower.lead()
    assert follower.estimates.next_update(follower.now) is None
    assert [
        follower.estimates.slowdown(upstream) for upstream in follower.upstreams
    ] == [1.0] * 4


def moments(*values: float) -> bytes:
    return struct.pack("<5e", *values)


NAN, INF = float("nan"), float("inf")
VALID = (6.0, 5.3, 0.1, 0.0, 0.1)
INVALID_ROUTES = [
    LearnedRoute("roster", "r", 20, moments(*VALID[:at], invalid, *VALID[at + 1 :]))
    for at in range(5)
    for invalid in (NAN, INF, -INF, 60_000.0, -60_000.0)
] + [
    LearnedRoute("roster", "r", 0, moments(*VALID)),
    LearnedRoute("roster", "r", -5, moments(*VALID)),
    LearnedRoute("roster", "r", 1 << 40, moments(*VALID)),
    LearnedRoute("roster", "r", 20, moments(*VALID)[:-1]),
    LearnedRoute("roster", "r", 20, b""),
    LearnedRoute("x" * 5000, "r", 20, moments(*VALID)),
    LearnedRoute("", "", 20, moments(*VALID)),
]


@pytest.mark.parametrize("route", INVALID_ROUTES)
def test_invalid_run_times_are_ignored(follower, route):
    # Guards against one invalid value that makes every job of a route hopeless.
    follower.estimates.merge_update(LearnedStats(b"", (route,)), follower.now)
    follower.lead()
    assert follower.expected_ms() == pytest.approx(200.0)


@pytest.mark.parametrize("size", [1, 5, 7, 60, 61, 6000])
def test_invalid_slowdowns_are_ignored(follower, size):
    # Guards against malformed bytes that make upstreams count as slow or raise an error
    # in the core logic.
    rng = random.Random(size)
    for _ in range(20):
        follower.estimates.merge_update(LearnedStats(rng.randbytes(size)), follower.now)
    follower.lead()
    assert [
        follower.estimates.slowdown(upstream) for upstream in follower.upstreams
    ] == [1.0] * 4
    follower.run_jobs()
    assert follower.estimates.slowdown(SLOW) > 2.0


def test_any_received_level_is_a_valid_slowdown(former_leader, follower):
    # Guards against a slowdown out of bounds, which would distort all estimates for its
    # upstream.
    for update in send_updates(former_leader, Host("c", 4)):
        for level in (0, 255):
            slowdowns = bytearray(update.paces)
            slowdowns[4::6] = bytes([level]) * (len(slowdowns) // 6)
            follower.estimates.merge_update(
                LearnedStats(bytes(slowdowns)), follower.now
            )
    follower.lead()
    assert all(0.49 < follower.estimates.slowdown(u) < 20.1 for u in follower.upstreams)


def test_updates_are_limited_in_bytes_and_cover_everything():
    # Guards against heartbeats that grow with the number of upstreams.
    former_leader, follower = Host("a", 350), Host("b", 350)
    former_leader.lead()
    for number in range(20):
        former_leader.run_job(
            dict.fromkeys(former_leader.upstreams, 600.0), f"route{number}"
        )
        former_leader.run_job(
            dict.fromkeys(former_leader.upstreams, 600.0) | {SLOW: 1800.0}
        )
    received = send_updates(former_leader, follower, heartbeats=50)
    sizes = [len(msgspec.msgpack.encode(learned)) for learned in received]
    assert max(sizes) <= MAX_BYTES + HEADER_BYTES
    assert len({key for update in received for key in _keys(update)}) == 350
    assert len({route.route for update in received for route in update.routes}) == 22


def test_unchanged_values_are_sent_again_among_changing_ones():
    # Guards against a host that starts late and never receives a constant slowdown.
    update_sender, times_sent = UpdateSender(), 0
    routes = [LearnedRoute("s" * 40, "r" * 40, 20, moments(*VALID))]
    routes_sent = 0
    for heartbeat in range(200):
        level = 50 + 100 * (heartbeat % 2)
        slowdowns = [
            LearnedSlowdown(key, level if key else 80, 8) for key in range(350)
        ]
        update = update_sender.next(slowdowns, routes, heartbeat * HEARTBEAT_S)
        times_sent += bytes(4) in _keys(update)
        routes_sent += len(update.routes)
    assert times_sent >= 3
    assert routes_sent >= 8


def _keys(learned: LearnedStats) -> list[bytes]:
    return [learned.paces[at : at + 4] for at in range(0, len(learned.paces), 6)]


def test_updates_use_few_bytes_over_time():
    # Guards against learned values that use a host's control bandwidth of 9 KB/s.
    former_leader, follower, rng = Host("a", 35), Host("b", 35), random.Random(3)
    former_leader.lead()
    sizes = []
    for _ in range(240):
        for _ in range(10):
            chosen = rng.sample(former_leader.upstreams, 4)
            work_ms = rng.lognormvariate(5.5, 0.5)
            took_ms = {
                upstream: work_ms * max(0.3, rng.gauss(1.0, 0.15))
                for upstream in chosen
            }
            former_leader.run_job(took_ms, f"route{rng.randrange(6)}")
        received = send_updates(former_leader, follower, heartbeats=1)
        sizes += [len(msgspec.msgpack.encode(learned)) for learned in received]
    bytes_per_s = sum(sizes) / (240 * HEARTBEAT_S)
    assert bytes_per_s < 320
    follower.lead()
    for upstream in former_leader.upstreams:
        ratio = follower.estimates.slowdown(
            upstream
        ) / former_leader.estimates.slowdown(upstream)
        assert 0.7 < ratio < 1.4
