"""Command that runs an entry host."""

from collections.abc import Sequence

from absl import flags

from jackdawspur.cli._exit import ExitCode
from jackdawspur.cli._logs import set_up_logs
from jackdawspur.settings import EntrySettings, load_settings

__all__ = ["define", "run"]


def define(values: flags.FlagValues) -> None:
    """Define the flags of ``entry``."""
    flags.DEFINE_string("settings", None, "Settings file.", flag_values=values)
    flags.mark_flag_as_required("settings", flag_values=values)


def run(values: flags.FlagValues, _positional: Sequence[str]) -> ExitCode:
    """Run an entry host until it is stopped."""
    from jackdawspur.entry import run_entry

    settings = load_settings(EntrySettings, values.settings)
    set_up_logs(settings.log_level, f"{settings.zone}.{settings.name}")
    run_entry(settings)
    return ExitCode.OK
