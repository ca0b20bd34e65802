"""Start of a host process."""

import gc
from collections.abc import Callable
from signal import SIGHUP, signal

from circuits import Component
from circuits.core.pollers import EPoll

from jackdawspur.adapters import TimerQueue
from jackdawspur.front._ports import PlatformPorts
from jackdawspur.front._process import FrontProcess
from jackdawspur.settings import HostSettings

__all__ = ["run_front"]

# Thresholds for `gc.set_threshold`: objects until a collection of the young generation,
# then how many collections of each generation lead to one of the next older.
COLLECTOR_THRESHOLDS = (10_000, 20, 100)


def run_front(
    settings: HostSettings,
    make_ports: Callable[[Component, TimerQueue], PlatformPorts],
    read_settings: Callable[[], HostSettings],
) -> None:
    """Run a host until it receives a stop signal and has drained."""
    root = Component()
    poller = EPoll().register(root)
    process = FrontProcess(settings, poller, make_ports, read_settings)
    process.register(root)
    # circuits handles SIGTERM and SIGINT only; the default of SIGHUP ends the process.
    signal(SIGHUP, lambda _signo, _frame: process.request_reload())
    # A full collection blocks the loop for tens of milliseconds. Objects of modules,
    # which live as long as the process, are excluded from it.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
    root.run()
