"""Faults affect their targets, alone and in combination, until they end."""

import time
from collections.abc import Iterator
from pathlib import Path
from signal import SIGHUP
from types import SimpleNamespace

import pytest

from jackdawspur.soak import Deployment, Fault, FaultKind, ProxyMode, wait_until
from jackdawspur.soak._fault_injector import FaultInjector

HOST_NAMES = ("h0", "h1", "h2", "h3")


class FakeDeployment:
    """A deployment that records the settings which faults change."""

    def __init__(self) -> None:
        self.hosts = [
            SimpleNamespace(
                name=name,
                process=SimpleNamespace(poll=lambda: None),
                link_proxy=SimpleNamespace(blocked_senders=frozenset()),
                store_proxy=SimpleNamespace(mode=ProxyMode.OPEN),
            )
            for name in HOST_NAMES
        ]
        self.worker_proxies = [SimpleNamespace(mode=ProxyMode.OPEN) for _ in range(6)]
        self.platform: dict = {}

    def set_faults(self, **faults) -> None:
        """Record the faults of the platform."""
        self.platform = faults

    def blocked_by_host(self) -> list[set[str]]:
        """Return the senders that are blocked for each host."""
        return [set(host.link_proxy.blocked_senders) for host in self.hosts]


@pytest.fixture
def fake() -> FakeDeployment:
    return FakeDeployment()


@pytest.fixture
def two_hosts(tmp_path: Path) -> Iterator[Deployment]:
    deployment = Deployment(tmp_path, hosts=2, workers=2)
    yield deployment
    deployment.close()


@pytest.mark.parametrize(
    ("kind", "blocked"),
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
def test_a_partition_blocks_one_or_both_directions(fake: FakeDeployment, kind, blocked):
    injector = FaultInjector(fake)
    injector.inject(Fault(0.0, kind, 5, 1.0), 0.0)
    # Ignore whether a host is blocked for itself, because it sends itself nothing.
    blocked_peers = [
        senders - {name}
        for senders, name in zip(fake.blocked_by_host(), HOST_NAMES, strict=True)
    ]
    assert blocked_peers == blocked
    injector.revert_due(1.0)
    assert fake.blocked_by_host() == [set()] * 4


def test_remaining_faults_stay_active_when_others_end(fake: FakeDeployment):
    injector = FaultInjector(fake)
    injector.inject(Fault(0.0, FaultKind.STORE_DOWN, 1, 2.0), 0.0)
    injector.inject(Fault(0.0, FaultKind.LIST_SHORT, 9, 1.0), 0.0)
    injector.inject(Fault(0.0, FaultKind.LIST_SHORT, 4, 2.0), 0.0)
    injector.inject(Fault(0.0, FaultKind.STORE_FORGETS, 4, 2.0), 0.0)
    assert fake.platform == {
        "store_down": True,
        "unlisted": [3, 4, 5],
        "forget": True,
    }
    injector.revert_due(1.0)
    assert fake.platform == {
        "store_down": True,
        "unlisted": [4, 5],
        "forget": False,
    }
    injector.revert_due(2.0)
    assert fake.platform == {
        "store_down": False,
        "unlisted": [],
        "forget": False,
    }


def test_the_latest_of_two_store_faults_applies_until_it_ends(fake):
    injector = FaultInjector(fake)
    injector.inject(Fault(0.0, FaultKind.STORE_SILENT_FOR_HOST, 2, 2.0), 0.0)
    injector.inject(Fault(0.0, FaultKind.STORE_RESETS_HOST, 2, 1.0), 0.0)
    assert fake.hosts[2].store_proxy.mode is ProxyMode.RESET
    assert fake.worker_proxies[2].mode is ProxyMode.OPEN
    injector.revert_due(1.0)
    assert fake.hosts[2].store_proxy.mode is ProxyMode.SILENT
    injector.revert_due(2.0)
    assert fake.hosts[2].store_proxy.mode is ProxyMode.OPEN


def test_hosts_partitioned_from_each_other_both_lead(two_hosts: Deployment):
    # Guards against hosts that announce the address on which they listen: peers would
    # bypass the proxy, and partitions would have no effect.
    two_hosts.leader()
    injector = FaultInjector(two_hosts)
    injector.inject(Fault(0.0, FaultKind.HOST_CUT_OFF, 0, 1.0), 0.0)
    wait_until(lambda: all(h.is_leader() for h in two_hosts.hosts), "two leaders")
    injector.revert_due(1.0)
    assert two_hosts.leader() in two_hosts.hosts


def test_workers_leave_the_list_and_return(two_hosts: Deployment):
    # Guards against list faults without effect: the number of workers would never cross
    # the limit above which each zone has its own group, so seeds couldn't test that.
    def leased_workers() -> int:
        # On a busy machine the leader may change meanwhile.
        leader = two_hosts.leader()
        status = leader.call("GET", "/status", port=leader.metrics_port)
        return len(status.body["upstreams"])

    wait_until(lambda: leased_workers() == 2, "two leased workers")
    injector = FaultInjector(two_hosts)
    injector.inject(Fault(0.0, FaultKind.LIST_SHORT, 1, 1.0), 0.0)
    wait_until(lambda: leased_workers() == 1, "worker that left the list")
    injector.revert_due(1.0)
    wait_until(lambda: leased_workers() == 2, "worker back on the list")


@pytest.mark.parametrize(("uptime_s", "signals"), [(0.01, []), (1.0, [SIGHUP])])
def test_a_host_gets_no_reload_signal_while_its_interpreter_starts(
    fake: FakeDeployment, uptime_s: float, signals: list[int]
):
    sent = []
    fake.hosts[0].process.send_signal = sent.append
    fake.hosts[0].started_at = time.monotonic() - uptime_s
    FaultInjector(fake).inject(Fault(0.0, FaultKind.RELOAD_HOST, 0, 1.0), 0.0)
    assert sent == signals
