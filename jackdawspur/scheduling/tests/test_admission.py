"""Tests of admission control and of the selection of another host for a job."""

import random
from dataclasses import replace

import pytest

from jackdawspur.model import (
    Customer,
    FailureCode,
    HostId,
    JobRequest,
    Objective,
    TaskSpec,
    Upstream,
    UpstreamId,
)
from jackdawspur.scheduling import (
    AdmissionController,
    Admit,
    HostLoad,
    LocalLoad,
    PeerSelector,
    Refuse,
    UpstreamSizes,
    refuse_oversized,
)

IDLE = LocalLoad(64, 64, 0, 0.0, 0.0, 64, 1.0)
BUSY = LocalLoad(64, 0, 1000, 500_000.0, 400_000.0, 64, 0.02)
CUSTOMER = Customer("a", 64)
RESPONSE = Objective.RESPONSE_TIME


def request(count=1, deadline_ms=60_000.0, spec=None):
    return JobRequest("a", "tile", (spec or TaskSpec(),) * count, deadline_ms)


@pytest.fixture
def admission():
    return AdmissionController(random.Random(1))


@pytest.fixture
def peer_selector():
    return PeerSelector("north", random.Random(2))


def host_load(name, zone="north", backlog_ms=0.0, free=64):
    waiting = int(backlog_ms // 100)
    return HostLoad(HostId(zone, name, 1), 64, free, waiting, backlog_ms, 1.0)


def test_backlog_beyond_the_contract_is_refused(admission):
    estimates = (500.0,) * 8
    assert admission.evaluate(request(8), estimates, CUSTOMER, IDLE) == Admit(0.0)
    decision = admission.evaluate(request(8), estimates, CUSTOMER, BUSY)
    assert decision.code is FailureCode.OVERLOADED
    # 503,500 slot-ms on 64 slots are 7,867 ms, 7,366 ms more than the bound of
    # 1,002 ms allows before a last task of 500 ms.
    assert 7_366.0 < decision.retry_after_ms < 1.5 * 7_366.0


def test_customer_without_backlog_is_admitted_despite_others_backlog(admission):
    """The backlog of one customer makes the host refuse all customers.

    The backlog is 7.8 s of work, but a customer without backlog would wait only for its
    share of the slots.
    """
    load = replace(BUSY, customer_backlog_ms=0.0, fair_share=0.5)
    assert isinstance(admission.evaluate(request(), (500.0,), CUSTOMER, load), Admit)


def test_wide_job_is_admitted_when_idle_and_refused_behind_others(admission):
    estimates = (100.0,) * 360
    assert isinstance(
        admission.evaluate(request(360), estimates, CUSTOMER, IDLE), Admit
    )
    decision = admission.evaluate(request(360), estimates, CUSTOMER, BUSY)
    assert isinstance(decision, Refuse)
    late = admission.evaluate(request(360, 300.0), estimates, CUSTOMER, IDLE)
    assert late.code is FailureCode.OVERLOADED


def test_customer_without_quota_is_refused_with_that_code(admission):
    decision = admission.evaluate(request(), (100.0,), Customer("a", 0), IDLE)
    assert decision.code is FailureCode.QUOTA


def test_job_that_can_never_run_is_refused_at_admission():
    """A job that fits on no upstream waits until its deadline, at every retry.

    It needs the memory of one upstream and the accelerators of another.
    """
    sizes = UpstreamSizes(
        (
            Upstream(UpstreamId("north", "u1"), "", memory_mb=4096, accelerators=0),
            Upstream(UpstreamId("north", "u2"), "", memory_mb=1024, accelerators=2),
        )
    )
    both = TaskSpec(memory_mb=4096, accelerators=1)
    assert refuse_oversized(request(spec=both), sizes).code is FailureCode.NEVER_FITS
    assert refuse_oversized(request(spec=TaskSpec(memory_mb=4096)), sizes) is None
    assert refuse_oversized(request(spec=TaskSpec(accelerators=2)), sizes) is None


def test_job_is_delegated_only_for_a_clear_gain(peer_selector):
    peer_selector.update_load(host_load("e2", backlog_ms=6_400.0), 0.0)
    estimates = (100.0,)
    no_target = peer_selector.choose(estimates, 110.0, False, RESPONSE, 0.1)
    target = peer_selector.choose(estimates, 1000.0, False, RESPONSE, 0.1)
    assert no_target is None
    assert target.host.name == "e2"
    fewest_messages = Objective.MESSAGES
    assert peer_selector.choose(estimates, 1000.0, False, fewest_messages, 0.1) is None
    assert (
        peer_selector.choose(estimates, 1000.0, True, fewest_messages, 0.1) is not None
    )
    assert peer_selector.choose(estimates, 1000.0, False, RESPONSE, 5.0) is None


def test_hosts_do_not_all_delegate_to_the_least_loaded(peer_selector):
    """An overloaded zone delegates all its jobs to the same host of another zone.

    Heartbeats arrive once a second, and that host looks idle until its next one.
    """
    for name in ("e4", "e5", "e6"):
        peer_selector.update_load(host_load(name, "south"), 0.0)
    targets = [
        peer_selector.choose((200.0,) * 8, 5000.0, True, RESPONSE, 0.5)
        for _ in range(60)
    ]
    counts = sorted(
        sum(target.host.name == name for target in targets)
        for name in ("e4", "e5", "e6")
    )
    assert counts[0] >= 15
