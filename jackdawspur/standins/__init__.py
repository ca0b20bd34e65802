"""Stand-ins for the services of the platform: upstreams, log and host list."""

from jackdawspur.standins._hostlist import HostListFaults, HostListSettings
from jackdawspur.standins._hostlist_service import (
    HostListService,
    make_hostlist,
    run_hostlist,
)
from jackdawspur.standins._log import LogFaults, LogSettings
from jackdawspur.standins._log_service import LogService, make_log, run_log
from jackdawspur.standins._platform_caller import (
    PLATFORM_HEADERS,
    PLATFORM_ROUTE,
    platform_job_body,
)
from jackdawspur.standins._platform_service import (
    PlatformReport,
    PlatformSettings,
    make_platform,
    run_platform,
)
from jackdawspur.standins._platform_writer import write_upstream_entry
from jackdawspur.standins._start_costs import (
    BatchCost,
    StartCosts,
    measure_start_costs,
)
from jackdawspur.standins._worker import Worker
from jackdawspur.standins._worker_service import (
    WorkerService,
    make_worker_pool,
    run_worker,
)
from jackdawspur.standins._worker_types import (
    WorkerCounters,
    WorkerFaults,
    WorkerPoolSettings,
    WorkerSettings,
)

__all__ = [
    "BatchCost",
    "HostListFaults",
    "HostListService",
    "HostListSettings",
    "LogFaults",
    "LogService",
    "LogSettings",
    "PLATFORM_HEADERS",
    "PLATFORM_ROUTE",
    "PlatformReport",
    "PlatformSettings",
    "WorkerPoolSettings",
    "StartCosts",
    "Worker",
    "WorkerCounters",
    "WorkerFaults",
    "WorkerService",
    "WorkerSettings",
    "make_hostlist",
    "make_log",
    "make_platform",
    "platform_job_body",
    "make_worker_pool",
    "measure_start_costs",
    "run_hostlist",
    "run_log",
    "run_platform",
    "run_worker",
    "write_upstream_entry",
]
