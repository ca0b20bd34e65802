"""Commands of operators: status, plan, confirm and history."""

from collections.abc import Sequence

from absl import flags
from pydantic import TypeAdapter

from jackdawspur.cli._caller import define_common
from jackdawspur.cli._exit import ExitCode, UsageError
from jackdawspur.cli._http import ask, one_argument, print_reply, read_input
from jackdawspur.configuration import (
    Configuration,
    Intent,
    InvalidConfiguration,
    changes_between,
    load_configuration,
)

__all__ = [
    "define",
    "define_plan",
    "run_confirm",
    "run_history",
    "run_plan",
    "run_status",
]


def define(values: flags.FlagValues) -> None:
    """Define the flags of operators' commands."""
    define_common(values)
    flags.DEFINE_boolean(
        "json", False, "Print JSON instead of text.", flag_values=values
    )


def run_status(values: flags.FlagValues, _rest: Sequence[str]) -> ExitCode:
    """Show a host."""
    return _ask(values, "GET", "/status")


def run_history(values: flags.FlagValues, _rest: Sequence[str]) -> ExitCode:
    """Show the changes."""
    return _ask(values, "GET", "/admin/v1/history")


def define_plan(values: flags.FlagValues) -> None:
    """Define the flags of ``plan``."""
    define(values)
    flags.DEFINE_boolean(
        "first",
        False,
        "The file is a whole configuration, to be the first in force.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "reason", "first configuration", "Reason, with --first.", flag_values=values
    )


def run_plan(values: flags.FlagValues, rest: Sequence[str]) -> ExitCode:
    """Plan the intent in a file."""
    intent = read_input(one_argument(list(rest), "an intent file or -"))
    if values.first:
        intent = _first_intent(intent, values.reason)
    return _ask(values, "POST", "/admin/v1/plans", intent)


def _first_intent(document: bytes, reason: str) -> bytes:
    """Return the intent that leads from nothing to a whole configuration."""
    try:
        wanted = load_configuration(document.decode())
    except InvalidConfiguration as error:
        raise UsageError(str(error)) from error
    changes = changes_between(Configuration(), wanted)
    return TypeAdapter(Intent).dump_json(Intent(reason=reason, changes=changes))


def run_confirm(values: flags.FlagValues, rest: Sequence[str]) -> ExitCode:
    """Confirm a plan by its id."""
    plan = one_argument(list(rest), "a plan id")
    return _ask(values, "POST", f"/admin/v1/plans/{plan}/confirm")


def _ask(
    values: flags.FlagValues, method: str, path: str, body: bytes = b""
) -> ExitCode:
    query = "" if values.json else "?format=text"
    reply = ask(values.host, method, path + query, values.token, body)
    return print_reply(reply, values.host)
