"""Commands for callers: submit and cancel."""

from collections.abc import Sequence

from absl import flags

from jackdawspur.cli._exit import ExitCode
from jackdawspur.cli._http import print_reply, read_input, send_request, single_argument

__all__ = ["define_common", "define_submit", "run_cancel", "run_submit"]


def define_common(values: flags.FlagValues) -> None:
    """Define the flags shared by all commands that send a request to a host."""
    flags.DEFINE_string(
        "host", "127.0.0.1:18001", "Entry host, IP:port.", flag_values=values
    )
    flags.DEFINE_string("token", "", "Bearer token.", flag_values=values)


def define_submit(values: flags.FlagValues) -> None:
    """Define the flags of ``submit``."""
    define_common(values)
    flags.DEFINE_string(
        "key", None, "Idempotency key chosen by the caller.", flag_values=values
    )
    flags.DEFINE_boolean(
        "wait", True, "Wait for the answer instead of polling.", flag_values=values
    )


def run_submit(values: flags.FlagValues, positional: Sequence[str]) -> ExitCode:
    """Submit the job in a file."""
    body = read_input(single_argument(list(positional), "a job file or -"))
    path = f"/v1/jobs?wait={'true' if values.wait else 'false'}"
    reply = send_request(values.host, "POST", path, values.token, body, values.key)
    return print_reply(reply, values.host)


def run_cancel(values: flags.FlagValues, positional: Sequence[str]) -> ExitCode:
    """Cancel a submission."""
    submission = single_argument(list(positional), "a submission id")
    path = f"/v1/submissions/{submission}"
    reply = send_request(values.host, "DELETE", path, values.token)
    return print_reply(reply, values.host)
