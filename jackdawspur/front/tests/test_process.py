"""Tests that a host keeps running when one of its parts fails."""

from types import SimpleNamespace

import pytest
from circuits import Component
from circuits.core.pollers import EPoll

from jackdawspur.front import PlatformPorts
from jackdawspur.front._process import FrontProcess
from jackdawspur.settings import check_host_settings

SECONDS = 0.3
ADDRESS_SETTINGS = ("callers", "ready", "link", "metrics", "store")


class Store:
    """A store whose watch can't be started."""

    def start_watch(self, _views) -> None:
        raise RuntimeError("injected failure")

    def announce(self, _address) -> None:
        pass


@pytest.fixture
def process():
    # It listens until the tests end, so it uses ports that no deployment takes.
    addresses = dict.fromkeys(ADDRESS_SETTINGS, "127.0.0.1:0")
    settings = check_host_settings({"name": "h0", "zone": "z1", **addresses}, "test")
    root = Component()
    poller = EPoll().register(root)
    ports = PlatformPorts(SimpleNamespace(), SimpleNamespace(), Store())
    front = FrontProcess(settings, poller, lambda *_: ports, lambda: settings)
    front.register(root)
    return front


def run(process: FrontProcess) -> None:
    process._timer_queue.call_later(SECONDS, process.root.stop)
    process.root.run()


def test_a_failing_part_does_not_end_the_ticks(process: FrontProcess):
    # A host can't be stopped and sends no heartbeats, but the balancer still sends it
    # requests: a tick raised an exception, and the next one was never scheduled.
    ticked = []
    process._exit_when_drained = ticked.append
    run(process)
    assert len(ticked) >= 3


def test_a_failing_tick_is_followed_by_others(process: FrontProcess):
    ticked = []

    def fail(now: float) -> None:
        ticked.append(now)
        raise RuntimeError("injected failure")

    process.callers.tick = fail
    run(process)
    assert len(ticked) >= 3
