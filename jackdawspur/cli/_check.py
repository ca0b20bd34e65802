"""Command that checks settings and configuration files."""

import sys
from collections.abc import Sequence
from pathlib import Path

from absl import flags

from jackdawspur.cli._exit import ExitCode, UsageError
from jackdawspur.cli._front import read_host_settings
from jackdawspur.configuration import InvalidConfiguration, load_configuration
from jackdawspur.settings import (
    EntrySettings,
    HostListStandinSettings,
    LogStandinSettings,
    PlatformStandinSettings,
    WorkerPoolStandinSettings,
    load_host_settings,
    load_settings,
)

__all__ = ["define", "run"]

CONFIGURATION = "configuration"
# Settings file written by the customers' platform in its own format.
PLATFORM_FILE = "platform-file"
HOST = "front"
KINDS = {
    "entry": EntrySettings,
    "platform": PlatformStandinSettings,
    "rack": WorkerPoolStandinSettings,
    "log": LogStandinSettings,
    "hostlist": HostListStandinSettings,
}


def define(values: flags.FlagValues) -> None:
    """Define the flags of ``check-settings``."""
    flags.DEFINE_enum(
        "kind",
        "entry",
        [*KINDS, HOST, CONFIGURATION, PLATFORM_FILE],
        "Kind of the files.",
        flag_values=values,
    )


def run(values: flags.FlagValues, positional: Sequence[str]) -> ExitCode:
    """Check each file and print the result; raise `UsageError` for an invalid one."""
    if not positional:
        raise UsageError("expected at least one file")
    for path in positional:
        if values.kind == CONFIGURATION:
            _check_configuration(path)
        elif values.kind == PLATFORM_FILE:
            read_host_settings(None, path)
        elif values.kind == HOST:
            load_host_settings(path)
        else:
            load_settings(KINDS[values.kind], path)
        sys.stdout.write(f"{path}: valid\n")
    return ExitCode.OK


def _check_configuration(path: str) -> None:
    try:
        load_configuration(Path(path).read_text())
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error
    except InvalidConfiguration as error:
        messages = "; ".join(f"{e.path}: {e.message}" for e in error.errors)
        raise UsageError(f"{path}: {messages}") from error
