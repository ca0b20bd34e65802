"""Faults reach what they are meant for, together and one after the other."""

import time
from collections.abc import Iterator
from pathlib import Path
from signal import SIGHUP
from types import SimpleNamespace

import pytest

from jackdawspur.soak import Deployment, Fault, FaultKind, ProxyMode, wait_until
from jackdawspur.soak._fault_injector import FaultInjector

NAMES = ("h0", "h1", "h2", "h3")


class FakeDeployment:
    """Keep what faults set."""

    def __init__(self) -> None:
        self.hosts = [
            SimpleNamespace(
                name=name,
                process=SimpleNamespace(poll=lambda: None),
                link_proxy=SimpleNamespace(blocked_senders=frozenset()),
                store_proxy=SimpleNamespace(mode=ProxyMode.OPEN),
            )
            for name in NAMES
        ]
        self.worker_proxies = [SimpleNamespace(mode=ProxyMode.OPEN) for _ in range(6)]
        self.platform: dict = {}

    def set_faults(self, **faults) -> None:
        """Keep the faults of the platform."""
        self.platform = faults

    def cuts(self) -> list[set[str]]:
        """Return whom each host does not hear."""
        return [set(host.link_proxy.blocked_senders) for host in self.hosts]


@pytest.fixture
def fake() -> FakeDeployment:
    return FakeDeployment()


@pytest.fixture
def two_hosts(tmp_path: Path) -> Iterator[Deployment]:
    one = Deployment(tmp_path, hosts=2, workers=2)
    yield one
    one.close()


@pytest.mark.parametrize(
    ("kind", "unheard"),
    [
        (FaultKind.HOST_HEARS_NOBODY, [set(), {"h0", "h2", "h3"}, set(), set()]),
        (FaultKind.HOST_HEARD_BY_NOBODY, [{"h1"}, set(), {"h1"}, {"h1"}]),
        (FaultKind.HOST_CUT_OFF, [{"h1"}, {"h0", "h2", "h3"}, {"h1"}, {"h1"}]),
        (
            FaultKind.HALVES_CUT,
            [{"h1", "h3"}, {"h0", "h2"}, {"h1", "h3"}, {"h0", "h2"}],
        ),
    ],
)
def test_a_cut_is_one_way_or_both(fake: FakeDeployment, kind, unheard):
    strikes = FaultInjector(fake)
    strikes.inject(Fault(0.0, kind, 5, 1.0), 0.0)
    # A host may hear itself or not: it sends itself nothing.
    got = [cut - {name} for cut, name in zip(fake.cuts(), NAMES, strict=True)]
    assert got == unheard
    strikes.revert_due(1.0)
    assert fake.cuts() == [set()] * 4


def test_what_is_left_of_two_faults_stays_in_force(fake: FakeDeployment):
    strikes = FaultInjector(fake)
    strikes.inject(Fault(0.0, FaultKind.STORE_DOWN, 1, 2.0), 0.0)
    strikes.inject(Fault(0.0, FaultKind.LIST_SHORT, 9, 1.0), 0.0)
    strikes.inject(Fault(0.0, FaultKind.LIST_SHORT, 4, 2.0), 0.0)
    strikes.inject(Fault(0.0, FaultKind.STORE_FORGETS, 4, 2.0), 0.0)
    assert fake.platform == {"store_down": True, "unlisted": [3, 4, 5], "forget": True}
    strikes.revert_due(1.0)
    assert fake.platform == {"store_down": True, "unlisted": [4, 5], "forget": False}
    strikes.revert_due(2.0)
    assert fake.platform == {"store_down": False, "unlisted": [], "forget": False}


def test_a_store_that_resets_and_is_silent_for_a_host_does_one_after_the_other(fake):
    strikes = FaultInjector(fake)
    strikes.inject(Fault(0.0, FaultKind.STORE_SILENT_FOR_HOST, 2, 2.0), 0.0)
    strikes.inject(Fault(0.0, FaultKind.STORE_RESETS_HOST, 2, 1.0), 0.0)
    assert fake.hosts[2].store_proxy.mode is ProxyMode.RESET
    assert fake.worker_proxies[2].mode is ProxyMode.OPEN
    strikes.revert_due(1.0)
    assert fake.hosts[2].store_proxy.mode is ProxyMode.SILENT
    strikes.revert_due(2.0)
    assert fake.hosts[2].store_proxy.mode is ProxyMode.OPEN


def test_hosts_that_are_cut_off_from_each_other_both_lead(two_hosts: Deployment):
    # A host that announced the address at which it listens would be reached past the
    # proxy, and a seed with cuts would show nothing that one without them does not.
    two_hosts.leader()
    strikes = FaultInjector(two_hosts)
    strikes.inject(Fault(0.0, FaultKind.HOST_CUT_OFF, 0, 1.0), 0.0)
    wait_until(lambda: all(h.leads() for h in two_hosts.hosts), "two leading hosts")
    strikes.revert_due(1.0)
    assert two_hosts.leader() in two_hosts.hosts


def test_workers_leave_the_list_and_come_back(two_hosts: Deployment):
    # The number of workers never crosses the limit above which zones have groups of
    # their own, so that a seed can't show what happens then.
    def held() -> int:
        # On a busy machine the lead may change meanwhile.
        leader = two_hosts.leader()
        status = leader.call("GET", "/status", port=leader.metrics_port)
        return len(status.body["upstreams"])

    wait_until(lambda: held() == 2, "two workers held")
    strikes = FaultInjector(two_hosts)
    strikes.inject(Fault(0.0, FaultKind.LIST_SHORT, 1, 1.0), 0.0)
    wait_until(lambda: held() == 1, "worker that left the list")
    strikes.revert_due(1.0)
    wait_until(lambda: held() == 2, "worker back on the list")


@pytest.mark.parametrize(("up_s", "signals"), [(0.01, []), (1.0, [SIGHUP])])
def test_a_host_is_told_to_reload_once_its_program_runs(
    fake: FakeDeployment, up_s: float, signals: list[int]
):
    sent = []
    fake.hosts[0].process.send_signal = sent.append
    fake.hosts[0].started_at = time.monotonic() - up_s
    FaultInjector(fake).inject(Fault(0.0, FaultKind.RELOAD_HOST, 0, 1.0), 0.0)
    assert sent == signals
