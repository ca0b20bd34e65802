"""Command that runs a stand-in of the platform."""

from collections.abc import Sequence

from absl import flags

from jackdawspur.cli._exit import ExitCode, UsageError
from jackdawspur.settings import (
    HostListStandinSettings,
    LogStandinSettings,
    PlatformStandinSettings,
    WorkerPoolStandinSettings,
    load_settings,
)

__all__ = ["define", "run"]


def define(values: flags.FlagValues) -> None:
    """Define the flags of ``standin``."""
    flags.DEFINE_string("settings", None, "Settings file.", flag_values=values)
    flags.mark_flag_as_required("settings", flag_values=values)


def run(values: flags.FlagValues, positional: Sequence[str]) -> ExitCode:
    """Run one kind of stand-in until it is stopped."""
    runners = {
        "worker": _worker,
        "log": _log,
        "hostlist": _hostlist,
        "platform": _platform,
    }
    if len(positional) != 1 or positional[0] not in runners:
        raise UsageError(f"expected one of {', '.join(runners)}")
    runners[positional[0]](values.settings)
    return ExitCode.OK


def _worker(path: str) -> None:
    from jackdawspur.standins import WorkerPoolSettings, WorkerSettings, run_worker

    settings = load_settings(WorkerPoolStandinSettings, path)
    worker = WorkerSettings(
        slots=settings.slots,
        cpus=settings.cpus,
        memory_mb=settings.memory_mb,
        accelerators=settings.accelerators,
        usage_lag_ms=settings.usage_lag_ms,
    )
    run_worker(WorkerPoolSettings(settings.addresses, worker, settings.seed))


def _log(path: str) -> None:
    from jackdawspur.standins import LogSettings, run_log

    settings = load_settings(LogStandinSettings, path)
    run_log(
        LogSettings(
            settings.address,
            settings.append_delay_ms,
            settings.appends_per_s,
            settings.records_kept,
            settings.seconds_kept,
        )
    )


def _platform(path: str) -> None:
    from jackdawspur.standins import PlatformSettings, run_platform

    settings = load_settings(PlatformStandinSettings, path)
    run_platform(
        PlatformSettings(
            settings.store,
            settings.workers,
            settings.zones,
            settings.configuration,
            settings.cpu,
            settings.announced,
        )
    )


def _hostlist(path: str) -> None:
    from jackdawspur.external import HostRole
    from jackdawspur.standins import HostListSettings, run_hostlist
    from jackdawspur.wire import HostBody

    settings = load_settings(HostListStandinSettings, path)
    hosts = tuple(HostBody(h.zone, h.name, HostRole(h.role)) for h in settings.hosts)
    run_hostlist(HostListSettings(settings.address, settings.lag_ms, hosts))
