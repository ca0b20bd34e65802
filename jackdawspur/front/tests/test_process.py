"""A host goes on when one of its parts fails."""

from types import SimpleNamespace

import pytest
from circuits import Component
from circuits.core.pollers import EPoll

from jackdawspur.front import PlatformPorts
from jackdawspur.front._process import FrontProcess
from jackdawspur.settings import check_host_settings

SECONDS = 0.3
PLACES = ("callers", "ready", "link", "metrics", "store")


class Store:
    """Be a store that can't be followed."""

    def start_watch(self, _views) -> None:
        raise RuntimeError("a fault of ours")

    def announce(self, _address) -> None:
        pass


@pytest.fixture
def process():
    # It listens until the tests end: on ports that no deployment takes.
    places = dict.fromkeys(PLACES, "127.0.0.1:0")
    settings = check_host_settings({"name": "h0", "zone": "z1", **places}, "test")
    root = Component()
    poller = EPoll().register(root)
    parts = PlatformPorts(SimpleNamespace(), SimpleNamespace(), Store())
    one = FrontProcess(settings, poller, lambda *_: parts, lambda: settings)
    one.register(root)
    return one


def run(process: FrontProcess) -> None:
    process._timer_queue.call_later(SECONDS, process.root.stop)
    process.root.run()


def test_a_part_that_fails_does_not_end_the_ticks(process: FrontProcess):
    # A host can't be stopped and tells nobody that it lives, but its balancer still
    # sends callers: something raised in a tick, and the next one was never set.
    ticked = []
    process._exit_when_drained = ticked.append
    run(process)
    assert len(ticked) >= 3


def test_a_tick_that_fails_is_followed_by_others(process: FrontProcess):
    ticked = []

    def fail(now: float) -> None:
        ticked.append(now)
        raise RuntimeError("a fault of ours")

    process.callers.tick = fail
    run(process)
    assert len(ticked) >= 3
