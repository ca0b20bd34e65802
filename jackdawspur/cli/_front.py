"""Command that runs a host on the customers' platform."""

from collections.abc import Sequence

from absl import flags

from jackdawspur.cli._exit import ExitCode
from jackdawspur.cli._logs import set_up_bounded_logs
from jackdawspur.settings import HostSettings, load_host_settings

__all__ = ["define", "read_host_settings", "run"]


def define(values: flags.FlagValues) -> None:
    """Define the flags of ``front``."""
    text = "Settings file in JSON; without it the platform's own file is read."
    flags.DEFINE_string("settings", None, text, flag_values=values)


def read_host_settings(json_path: str | None, path: str | None = None) -> HostSettings:
    """Return the settings in a JSON file or, without one, in the platform's file."""
    from jackdawspur.platform import load_platform_settings

    if json_path:
        return load_host_settings(json_path)
    return load_platform_settings(path)


def run(values: flags.FlagValues, _positional: Sequence[str]) -> ExitCode:
    """Run a host until it is stopped."""
    from jackdawspur.adapters import TimerQueue
    from jackdawspur.front import PlatformPorts, run_front
    from jackdawspur.platform import (
        PlatformCallerCodec,
        PlatformStore,
        PlatformUpstreamClient,
    )

    def read_settings() -> HostSettings:
        return read_host_settings(values.settings)

    settings = read_settings()
    set_up_bounded_logs(settings.log_level, settings.name)

    def make_ports(owner, timer_queue: TimerQueue) -> PlatformPorts:
        return PlatformPorts(
            PlatformCallerCodec(),
            PlatformUpstreamClient(owner, timer_queue),
            PlatformStore(settings.store, owner, timer_queue),
        )

    run_front(settings, make_ports, read_settings)
    return ExitCode.OK
