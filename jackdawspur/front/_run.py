"""Running a host until it has drained."""

import gc
from collections.abc import Callable
from signal import SIGHUP, signal

from circuits import Component
from circuits.core.pollers import EPoll

from jackdawspur.adapters import TimerQueue
from jackdawspur.front._process import FrontProcess, PlatformPorts
from jackdawspur.settings import HostSettings

__all__ = ["run_front"]

# Objects until a young collection, then how many of each until the next older one.
COLLECTOR_THRESHOLDS = (10_000, 20, 100)


def run_front(
    settings: HostSettings,
    make_ports: Callable[[Component, TimerQueue], PlatformPorts],
    read_settings: Callable[[], HostSettings],
) -> None:
    """Run a host until it is told to stop and has drained."""
    root = Component()
    poller = EPoll().register(root)
    process = FrontProcess(settings, poller, make_ports, read_settings)
    process.register(root)
    # circuits handles SIGTERM and SIGINT only; the default of this one is to die.
    signal(SIGHUP, lambda _signo, _frame: process.ask_reload())
    # Full collections stop the loop for tens of milliseconds: the modules, which live
    # as long as the process, are frozen out of them.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
    root.run()
