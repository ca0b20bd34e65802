"""Tests of ejection, readmission and failure attribution."""

import random

import pytest

from jackdawspur.health import BASE_BACKOFF_S, Condition, UpstreamHealth
from jackdawspur.model import EjectionPolicy, HostId, SubmissionId, UpstreamId

ZONE = "zone-1"
UPSTREAMS = tuple(UpstreamId(ZONE, f"up-{n}") for n in range(6))
FAULTY = UPSTREAMS[0]


def _submission(host, number):
    return SubmissionId(host, number)


@pytest.fixture
def hosts():
    return [HostId(ZONE, f"entry-{n}", 1) for n in range(3)]


@pytest.fixture
def health_by_host(hosts):
    states = {host: UpstreamHealth(host) for host in hosts}
    for state in states.values():
        state.set_upstreams(UPSTREAMS)
    return states


def _exchange_reports(health_by_host, now):
    for sender, state in health_by_host.items():
        for host, other in health_by_host.items():
            if host != sender:
                other.apply_peer_report(sender, state.unhealthy_upstreams(now), now)


def _send_failing_task(health_by_host, host, number, now):
    state = health_by_host[host]
    probe = state.probe_allowed(FAULTY, now)
    if not probe and not state.allows(FAULTY, now):
        return 0
    state.started(FAULTY)
    state.failed(FAULTY, _submission(host, number), "maps", now)
    return 1


def test_always_failing_upstream_fails_at_most_three_jobs(health_by_host, hosts):
    """Callers' jobs keep failing because one worker fails every task.

    Three entry hosts send it jobs of one task in random order, and learn of each
    other's failures from heartbeats.
    """
    rng = random.Random(7)
    failed_jobs = 0
    for step in range(200):
        now = step * 0.02
        failed_jobs += _send_failing_task(health_by_host, rng.choice(hosts), step, now)
        _exchange_reports(health_by_host, now)
    assert 1 <= failed_jobs <= 3


def test_successes_of_earlier_starts_do_not_clear_failures(health_by_host, hosts):
    """A worker that became faulty keeps getting jobs, each of which fails.

    Tasks that it started earlier still succeed, one between any two failures, and
    would clear the recorded failures.
    """
    state = health_by_host[hosts[0]]
    for number in range(2):
        state.started(FAULTY)
        state.started(FAULTY)
        state.failed(FAULTY, _submission(hosts[0], number), "maps", 1.0 + number)
        state.succeeded(FAULTY, "maps", 1.0, 1.5 + number, sent_at=0.5)
    assert state.condition(FAULTY, 3.0) is Condition.EJECTED


def test_borrower_reports_failed_task_to_lender(health_by_host, hosts):
    """Every zone loses jobs on one faulty worker whose slots are lent.

    No task of the lender ran on the worker, so without the borrower's report it would
    keep lending the slots.
    """
    other_zone_host = HostId("zone-2", "entry-0", 1)
    state = health_by_host[hosts[0]]
    state.peer_task_failed(FAULTY, _submission(other_zone_host, 1), "maps", 1.0)
    assert state.condition(FAULTY, 1.0) is Condition.SUSPECT
    state.peer_task_failed(FAULTY, _submission(other_zone_host, 2), "maps", 1.1)
    assert state.condition(FAULTY, 1.1) is Condition.EJECTED


def test_hosts_that_fail_at_the_same_time_lose_one_job_each(health_by_host, hosts):
    """Jobs fail on three entry hosts at the same time, before any heartbeat.

    Each host starts one job on the faulty worker. The reports exchanged afterwards must
    eject it on all hosts without another failure.
    """
    failed_jobs = sum(
        _send_failing_task(health_by_host, host, 0, 0.0) for host in hosts
    )
    for now in (0.1, 0.2, 0.3):
        _exchange_reports(health_by_host, now)
        failed_jobs += sum(
            _send_failing_task(health_by_host, host, 1, now) for host in hosts
        )
    assert failed_jobs == 3


def test_only_one_host_probes_and_backoff_grows(health_by_host, hosts):
    """Probing a worker that stays broken for minutes costs each host a job.

    All hosts ejected it. After the backoff only one host may probe; its probe fails,
    and the backoff doubles.
    """
    for host in hosts:
        _send_failing_task(health_by_host, host, 0, 0.0)
    _exchange_reports(health_by_host, 0.1)
    failure_times = []
    for step in range(1, 600):
        now = step * 0.1
        _exchange_reports(health_by_host, now)
        for host in hosts:
            if _send_failing_task(health_by_host, host, step, now):
                failure_times.append(now)
    gaps = [
        later - earlier
        for earlier, later in zip(failure_times, failure_times[1:], strict=False)
    ]
    assert len(failure_times) <= 4
    assert failure_times[0] >= BASE_BACKOFF_S
    assert all(b > a for a, b in zip(gaps, gaps[1:], strict=False))


def test_limit_of_recovered_upstream_grows_gradually(health_by_host, hosts):
    state = health_by_host[hosts[0]]
    for number in range(2):
        state.started(FAULTY)
        state.failed(FAULTY, _submission(hosts[0], number), "maps", 0.0)
    assert state.condition(FAULTY, 0.0) is Condition.EJECTED
    assert not state.probe_allowed(FAULTY, BASE_BACKOFF_S - 0.1)
    assert state.probe_allowed(FAULTY, BASE_BACKOFF_S)
    limits = []
    for _ in range(6):
        state.started(FAULTY)
        assert not state.probe_allowed(FAULTY, BASE_BACKOFF_S)
        state.succeeded(FAULTY, "maps", 1.0, BASE_BACKOFF_S + 1)
        limits.append(state.concurrency_limit(FAULTY, BASE_BACKOFF_S + 1))
    assert limits[:4] == [1, 2, 4, 8]
    assert state.condition(FAULTY, BASE_BACKOFF_S + 1) is Condition.HEALTHY


def test_class_that_fails_on_all_upstreams_ejects_none(health_by_host, hosts):
    """Workers are ejected because tasks of a faulty job class fail on all of them.

    Other classes succeed on the workers, and would suffer from the ejections.
    """
    state = health_by_host[hosts[0]]
    for number in range(30):
        upstream = UPSTREAMS[number % len(UPSTREAMS)]
        now = number * 0.05
        state.started(upstream)
        state.failed(upstream, _submission(hosts[0], number), "broken", now)
        state.started(upstream)
        state.succeeded(upstream, "maps", 1.0, now)
    assert not state.ejected()


def test_one_failing_job_does_not_eject_its_upstream(health_by_host, hosts):
    state = health_by_host[hosts[0]]
    for _ in range(8):
        state.started(FAULTY)
    for _ in range(8):
        state.failed(FAULTY, _submission(hosts[0], 1), "maps", 0.0)
    assert state.condition(FAULTY, 0.0) is Condition.SUSPECT


def test_mass_failure_ejects_no_more_than_the_cap(health_by_host, hosts):
    """All workers are ejected when a switch fails and all starts time out.

    The workers aren't the cause: at most the configured fraction may be ejected, and
    the others must remain usable for one task at a time.
    """
    state = health_by_host[hosts[0]]
    for upstream in UPSTREAMS:
        for _ in range(4):
            state.started(upstream)
            state.lost(upstream, 0.0)
    assert len(state.ejected()) == 2
    assert sum(state.allows(upstream, 0.0) for upstream in UPSTREAMS) == 4


def test_lost_start_counts_less_than_a_failed_job(health_by_host, hosts):
    state = health_by_host[hosts[0]]
    for _ in range(2):
        state.started(FAULTY)
        state.lost(FAULTY, 0.0)
    assert not state.ejected()
    state.started(FAULTY)
    state.lost(FAULTY, 0.0)
    assert state.ejected() == (FAULTY,)


def test_slow_upstream_is_a_straggler(health_by_host, hosts):
    state = health_by_host[hosts[0]]
    for upstream in UPSTREAMS:
        for _ in range(20):
            state.started(upstream)
            state.succeeded(upstream, "maps", 3.0 if upstream == FAULTY else 1.0, 0.0)
    assert state.is_straggler(FAULTY)
    assert state.relative_slowdown(UPSTREAMS[1]) == 1.0


def test_configured_ejection_policy_applies():
    """An upstream is ejected by the old limits after an operator raised them."""
    state = UpstreamHealth(HostId("north", "e1", 1))
    state.set_upstreams((FAULTY,))
    state.set_ejection_policy(
        EjectionPolicy(after_failures=3, max_share=1.0, readmit_after_s=60.0)
    )
    for number in range(3):
        assert state.condition(FAULTY, 0.0) is not Condition.EJECTED
        state.started(FAULTY)
        state.failed(FAULTY, _submission(HostId("north", "e1", 1), number), "maps", 0.0)
    assert state.condition(FAULTY, 0.0) is Condition.EJECTED
    assert not state.probe_allowed(FAULTY, 59.0)
    assert state.probe_allowed(FAULTY, 60.0)
