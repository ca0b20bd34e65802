"""Command that profiles requests from the logs of hosts."""

import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec
from absl import flags

from jackdawspur.cli._exit import ExitCode, UsageError
from jackdawspur.profile import LogError, build_profile, format_profile, read_logs

__all__ = ["define", "run"]

TEXT, JSON = "text", "json"
DEFAULT_SPAN_S = 2.0
MIN_SPAN_S = 0.1


def define(values: flags.FlagValues) -> None:
    """Define the flags of ``profile``."""
    flags.DEFINE_enum(
        "format", TEXT, [TEXT, JSON], "Format of the output.", flag_values=values
    )
    flags.DEFINE_float(
        "span_s",
        DEFAULT_SPAN_S,
        "Length of the spans of time, in seconds.",
        lower_bound=MIN_SPAN_S,
        flag_values=values,
    )
    flags.DEFINE_string(
        "picture", None, "SVG file to draw; needs matplotlib.", flag_values=values
    )


def run(values: flags.FlagValues, positional: Sequence[str]) -> ExitCode:
    """Print the profile; raise `UsageError` with all files that are no logs."""
    if not positional:
        raise UsageError("expected at least one log")
    try:
        records = read_logs(map(Path, positional))
    except LogError as error:
        raise UsageError(str(error)) from error
    profile = build_profile(records, values.span_s)
    if values.picture is not None:
        _draw(profile, Path(values.picture))
    if values.format == JSON:
        sys.stdout.write(msgspec.json.encode(profile).decode() + "\n")
    else:
        sys.stdout.write(format_profile(profile))
    return ExitCode.OK


def _draw(profile, path: Path) -> None:
    try:
        from jackdawspur.profile import draw_profile
    except ImportError as error:
        raise UsageError(f"picture: {error}") from error
    draw_profile(profile, path)
