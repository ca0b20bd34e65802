"""Tests of ejection, return and blame."""

import random

import pytest

from jackdawspur.health import BASE_BACKOFF_S, Condition, UpstreamHealth
from jackdawspur.model import EjectionPolicy, HostId, SubmissionId, UpstreamId

ZONE = "zone-1"
UPSTREAMS = tuple(UpstreamId(ZONE, f"up-{n}") for n in range(6))
BAD = UPSTREAMS[0]


def _job(host, number):
    return SubmissionId(host, number)


@pytest.fixture
def hosts():
    return [HostId(ZONE, f"entry-{n}", 1) for n in range(3)]


@pytest.fixture
def fleet(hosts):
    states = {host: UpstreamHealth(host) for host in hosts}
    for state in states.values():
        state.set_upstreams(UPSTREAMS)
    return states


def _share_news(fleet, now):
    for sender, state in fleet.items():
        for host, other in fleet.items():
            if host != sender:
                other.apply_peer_report(sender, state.unhealthy_upstreams(now), now)


def _try_one(fleet, host, number, now):
    state = fleet[host]
    probe = state.probe_allowed(BAD, now)
    if not probe and not state.allows(BAD, now):
        return 0
    state.started(BAD)
    state.failed(BAD, _job(host, number), "maps", now)
    return 1


def test_an_always_failing_upstream_costs_at_most_three_jobs(fleet, hosts):
    """Jobs of all callers fail because one worker fails whatever it starts.

    Three entry hosts send it one-task jobs in random order; each hears of the
    others' failures by heartbeat. The worker fails every task.
    """
    rng = random.Random(7)
    cost = 0
    for step in range(200):
        now = step * 0.02
        cost += _try_one(fleet, rng.choice(hosts), step, now)
        _share_news(fleet, now)
    assert 1 <= cost <= 3


def test_ends_of_earlier_starts_do_not_hide_failures(fleet, hosts):
    """A worker that turned bad goes on drawing jobs, each of which fails.

    Tasks that it had started before still end well, one between any two failures,
    and would clear what was held against it.
    """
    state = fleet[hosts[0]]
    for number in range(2):
        state.started(BAD)
        state.started(BAD)
        state.failed(BAD, _job(hosts[0], number), "maps", 1.0 + number)
        state.succeeded(BAD, "maps", 1.0, 1.5 + number, sent_at=0.5)
    assert state.condition(BAD, 3.0) is Condition.EJECTED


def test_a_borrower_tells_the_lender_what_failed(fleet, hosts):
    """Each zone loses jobs of its own to one bad worker whose slots are lent.

    The lender's own tasks ran elsewhere meanwhile, so it would go on lending.
    """
    far = HostId("zone-2", "entry-0", 1)
    state = fleet[hosts[0]]
    state.peer_task_failed(BAD, _job(far, 1), "maps", 1.0)
    assert state.condition(BAD, 1.0) is Condition.SUSPECT
    state.peer_task_failed(BAD, _job(far, 2), "maps", 1.1)
    assert state.condition(BAD, 1.1) is Condition.EJECTED


def test_hosts_that_fail_at_once_lose_one_job_each(fleet, hosts):
    """Jobs fail at three entry hosts in the same moment, before any heartbeat.

    Each host starts one job on the bad worker; the news crosses afterwards and must
    eject it everywhere without another failure.
    """
    cost = sum(_try_one(fleet, host, 0, 0.0) for host in hosts)
    for now in (0.1, 0.2, 0.3):
        _share_news(fleet, now)
        cost += sum(_try_one(fleet, host, 1, now) for host in hosts)
    assert cost == 3


def test_only_one_host_probes_and_back_off_grows(fleet, hosts):
    """A worker stays broken for minutes; probing it must not cost a job per host.

    All hosts ejected it. After the back-off one host probes, fails, and waits twice
    as long.
    """
    for host in hosts:
        _try_one(fleet, host, 0, 0.0)
    _share_news(fleet, 0.1)
    times = []
    for step in range(1, 600):
        now = step * 0.1
        _share_news(fleet, now)
        for host in hosts:
            if _try_one(fleet, host, step, now):
                times.append(now)
    gaps = [later - sooner for sooner, later in zip(times, times[1:], strict=False)]
    assert len(times) <= 4
    assert times[0] >= BASE_BACKOFF_S
    assert all(b > a for a, b in zip(gaps, gaps[1:], strict=False))


def test_a_mended_upstream_returns_by_a_trickle(fleet, hosts):
    state = fleet[hosts[0]]
    for number in range(2):
        state.started(BAD)
        state.failed(BAD, _job(hosts[0], number), "maps", 0.0)
    assert state.condition(BAD, 0.0) is Condition.EJECTED
    assert not state.probe_allowed(BAD, BASE_BACKOFF_S - 0.1)
    assert state.probe_allowed(BAD, BASE_BACKOFF_S)
    limits = []
    for _ in range(6):
        state.started(BAD)
        assert not state.probe_allowed(BAD, BASE_BACKOFF_S)
        state.succeeded(BAD, "maps", 1.0, BASE_BACKOFF_S + 1)
        limits.append(state.concurrency_limit(BAD, BASE_BACKOFF_S + 1))
    assert limits[:4] == [1, 2, 4, 8]
    assert state.condition(BAD, BASE_BACKOFF_S + 1) is Condition.HEALTHY


def test_a_class_that_fails_everywhere_ejects_nobody(fleet, hosts):
    """A customer ships a broken job class: its tasks fail on every worker.

    Other classes go on well. Ejecting workers for it would hurt everyone else.
    """
    state = fleet[hosts[0]]
    for number in range(30):
        upstream = UPSTREAMS[number % len(UPSTREAMS)]
        now = number * 0.05
        state.started(upstream)
        state.failed(upstream, _job(hosts[0], number), "broken", now)
        state.started(upstream)
        state.succeeded(upstream, "maps", 1.0, now)
    assert not state.ejected()


def test_one_failing_job_does_not_eject_its_upstream(fleet, hosts):
    state = fleet[hosts[0]]
    for _ in range(8):
        state.started(BAD)
    for _ in range(8):
        state.failed(BAD, _job(hosts[0], 1), "maps", 0.0)
    assert state.condition(BAD, 0.0) is Condition.SUSPECT


def test_mass_failure_ejects_no_more_than_the_cap(fleet, hosts):
    """A switch fails and starts to all workers time out at once.

    The workers are not the cause: at most the named fraction is ejected, the rest
    stays usable one task at a time.
    """
    state = fleet[hosts[0]]
    for upstream in UPSTREAMS:
        for _ in range(4):
            state.started(upstream)
            state.lost(upstream, 0.0)
    assert len(state.ejected()) == 2
    assert sum(state.allows(upstream, 0.0) for upstream in UPSTREAMS) == 4


def test_a_lost_start_weighs_less_than_a_failed_job(fleet, hosts):
    state = fleet[hosts[0]]
    for _ in range(2):
        state.started(BAD)
        state.lost(BAD, 0.0)
    assert not state.ejected()
    state.started(BAD)
    state.lost(BAD, 0.0)
    assert state.ejected() == (BAD,)


def test_a_slow_upstream_is_marked(fleet, hosts):
    state = fleet[hosts[0]]
    for upstream in UPSTREAMS:
        for _ in range(20):
            state.started(upstream)
            state.succeeded(upstream, "maps", 3.0 if upstream == BAD else 1.0, 0.0)
    assert state.is_straggler(BAD)
    assert state.slowness(UPSTREAMS[1]) == 1.0


def test_limits_of_the_configuration_are_in_force():
    """An operator raises the limits, and the upstream is ejected as before."""
    state = UpstreamHealth(HostId("north", "e1", 1))
    state.set_upstreams((BAD,))
    state.set_ejection_policy(
        EjectionPolicy(after_failures=3, max_share=1.0, readmit_after_s=60.0)
    )
    for number in range(3):
        assert state.condition(BAD, 0.0) is not Condition.EJECTED
        state.started(BAD)
        state.failed(BAD, _job(HostId("north", "e1", 1), number), "maps", 0.0)
    assert state.condition(BAD, 0.0) is Condition.EJECTED
    assert not state.probe_allowed(BAD, 59.0)
    assert state.probe_allowed(BAD, 60.0)
