"""Small stand-ins of the platform: upstreams, log and host list."""

from jackdawspur.standins._worker_service import (
    WorkerService,
    make_rack,
    run_worker,
)
from jackdawspur.standins._worker_types import (
    RackSettings,
    WorkerCounters,
    WorkerFaults,
    WorkerSettings,
)

__all__ = [
    "RackSettings",
    "WorkerCounters",
    "WorkerFaults",
    "WorkerService",
    "WorkerSettings",
    "make_rack",
    "run_worker",
]
