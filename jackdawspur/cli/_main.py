"""The program and its subcommands, based on absl.flags."""

import sys
from collections.abc import Sequence
from dataclasses import dataclass
from importlib import import_module
from types import ModuleType

from absl import flags

from jackdawspur import __version__
from jackdawspur.cli._exit import ExitCode, UsageError
from jackdawspur.settings import SettingsError

__all__ = ["main"]

PROGRAM = "jackdawspur"


@dataclass(frozen=True, slots=True)
class Command:
    """A subcommand; `examples` are command lines without the program name.

    `define_function` and `run_function` are names of functions in its `module`.

    Its module is imported on first use: importing the modules of all commands would
    delay the start of a host by half a second, and a zone that lost power waits for its
    hosts.
    """

    name: str
    summary: str
    module: str
    define_function: str
    run_function: str
    examples: tuple[str, ...]

    def define(self, values: flags.FlagValues) -> None:
        """Define the flags of the command."""
        getattr(self._load_module(), self.define_function)(values)

    def run(self, values: flags.FlagValues, positional: Sequence[str]) -> ExitCode:
        """Run the command."""
        return getattr(self._load_module(), self.run_function)(values, positional)

    def _load_module(self) -> ModuleType:
        return import_module(f"jackdawspur.cli.{self.module}")


COMMANDS = (
    Command(
        "entry",
        "Run an entry host.",
        "_entry",
        "define",
        "run",
        ("entry --settings=examples/ramdenee/north-a-e1.json",),
    ),
    Command(
        "front",
        "Run a host on the customers' platform.",
        "_front",
        "define",
        "run",
        ("front", "front --settings=host.json"),
    ),
    Command(
        "submit",
        "Submit a job and print its answer.",
        "_caller",
        "define_submit",
        "run_submit",
        (
            "submit --host=127.0.0.1:18001 --token=example-roster-token job.json",
            "submit --token=example-roster-token --key=order-17 -",
        ),
    ),
    Command(
        "cancel",
        "Cancel a submission.",
        "_caller",
        "define_common",
        "run_cancel",
        ("cancel --host=127.0.0.1:18001 --token=example-roster-token SUBMISSION",),
    ),
    Command(
        "status",
        "Show the status of an entry host.",
        "_operator",
        "define",
        "run_status",
        ("status --host=127.0.0.1:18001 --token=example-ann-token",),
    ),
    Command(
        "plan",
        "Plan a change of the configuration; nothing takes effect.",
        "_operator",
        "define_plan",
        "run_plan",
        ("plan --host=127.0.0.1:18001 --token=example-ann-token intent.json",),
    ),
    Command(
        "confirm",
        "Confirm a plan.",
        "_operator",
        "define",
        "run_confirm",
        ("confirm --host=127.0.0.1:18001 --token=example-ann-token PLAN",),
    ),
    Command(
        "history",
        "Show who changed the configuration, when and why.",
        "_operator",
        "define",
        "run_history",
        ("history --host=127.0.0.1:18001 --token=example-ann-token",),
    ),
    Command(
        "load",
        "Generate load on a deployment and check its invariants.",
        "_load",
        "define",
        "run",
        ("load --deployment=examples/ramdenee.json --seconds=20 --load=0.5",),
    ),
    Command(
        "profile",
        "Show the path of requests and who was not served, from hosts' logs.",
        "_profile",
        "define",
        "run",
        (
            "profile host-1.log host-2.log",
            "profile --format=json --span_s=5 --picture=profile.svg *.log",
        ),
    ),
    Command(
        "check-settings",
        "Check settings and configuration files.",
        "_check",
        "define",
        "run",
        ("check-settings --kind=entry examples/ramdenee/north-a-e1.json",),
    ),
    Command(
        "standin",
        "Run a stand-in of the platform: worker, log or hostlist.",
        "_standin",
        "define",
        "run",
        ("standin worker --settings=examples/ramdenee/rack-north-a.json",),
    ),
)


def main(argv: Sequence[str]) -> int:
    """Run a subcommand and return the exit code."""
    arguments = list(argv[1:])
    if not arguments or arguments[0] in ("--help", "-h", "help"):
        sys.stdout.write(_overview())
        return ExitCode.OK
    if arguments[0] == "--version":
        sys.stdout.write(f"{PROGRAM} {__version__}\n")
        return ExitCode.OK
    command = next((c for c in COMMANDS if c.name == arguments[0]), None)
    if command is None:
        names = ", ".join(c.name for c in COMMANDS)
        return _print_usage_error(
            f"unknown command {arguments[0]!r}; expected one of {names}"
        )
    return _run(command, arguments[1:])


def _run(command: Command, arguments: list[str]) -> int:
    values = flags.FlagValues()
    command.define(values)
    if "--help" in arguments or "-h" in arguments:
        sys.stdout.write(_help(command, values))
        return ExitCode.OK
    try:
        positional = values([command.name, *arguments])[1:]
        return int(command.run(values, positional))
    except flags.Error as error:
        return _print_usage_error(f"{command.name}: {error}")
    except (UsageError, SettingsError) as error:
        return _print_usage_error(f"{command.name}: {error}")
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED


def _print_usage_error(text: str) -> int:
    sys.stderr.write(f"{PROGRAM}: {' '.join(text.split())}\n")
    return ExitCode.USAGE


def _overview() -> str:
    width = max(len(c.name) for c in COMMANDS)
    lines = [f"Usage: {PROGRAM} COMMAND [FLAGS]", "", "Commands:"]
    lines += [f"  {c.name.ljust(width)}  {c.summary}" for c in COMMANDS]
    lines += ["", "Exit status:"]
    lines += [f"  {code.value}  {code.meaning}" for code in ExitCode]
    lines += ["", f"{PROGRAM} COMMAND --help shows flags and examples."]
    return "\n".join(lines) + "\n"


def _help(command: Command, values: flags.FlagValues) -> str:
    lines = [command.summary, "", "Flags:"]
    for name in sorted(values):
        flag = values[name]
        lines.append(f"  --{name}: {flag.help} (default: {flag.default!r})")
    lines += ["", "Examples:"]
    lines += [f"  {PROGRAM} {example}" for example in command.examples]
    return "\n".join(lines) + "\n"
