"""Commands for operators: status, plan, confirm and history."""

from collections.abc import Sequence

from absl import flags
from pydantic import TypeAdapter

from jackdawspur.cli._caller import define_common
from jackdawspur.cli._exit import ExitCode, UsageError
from jackdawspur.cli._http import print_reply, read_input, send_request, single_argument
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
    """Define the flags shared by the commands for operators."""
    define_common(values)
    flags.DEFINE_boolean(
        "json", False, "Print JSON instead of text.", flag_values=values
    )


def run_status(values: flags.FlagValues, _positional: Sequence[str]) -> ExitCode:
    """Show the status of a host."""
    return _request(values, "GET", "/status")


def run_history(values: flags.FlagValues, _positional: Sequence[str]) -> ExitCode:
    """Show the history of configuration changes."""
    return _request(values, "GET", "/admin/v1/history")


def define_plan(values: flags.FlagValues) -> None:
    """Define the flags of ``plan``."""
    define(values)
    flags.DEFINE_boolean(
        "first",
        False,
        "The file is a complete configuration, to be the first in force.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "reason", "first configuration", "Reason, with --first.", flag_values=values
    )


def run_plan(values: flags.FlagValues, positional: Sequence[str]) -> ExitCode:
    """Plan the change described in a file."""
    intent = read_input(single_argument(list(positional), "an intent file or -"))
    if values.first:
        intent = _first_intent(intent, values.reason)
    return _request(values, "POST", "/admin/v1/plans", intent)


def _first_intent(document: bytes, reason: str) -> bytes:
    """Return the intent that creates a complete configuration from an empty one."""
    try:
        first_configuration = load_configuration(document.decode())
    except InvalidConfiguration as error:
        raise UsageError(str(error)) from error
    changes = changes_between(Configuration(), first_configuration)
    return TypeAdapter(Intent).dump_json(Intent(reason=reason, changes=changes))


def run_confirm(values: flags.FlagValues, positional: Sequence[str]) -> ExitCode:
    """Confirm a plan by its id."""
    plan = single_argument(list(positional), "a plan id")
    return _request(values, "POST", f"/admin/v1/plans/{plan}/confirm")


def _request(
    values: flags.FlagValues, method: str, path: str, body: bytes = b""
) -> ExitCode:
    query = "" if values.json else "?format=text"
    reply = send_request(values.host, method, path + query, values.token, body)
    return print_reply(reply, values.host)
