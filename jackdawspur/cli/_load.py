"""Command that generates load on a deployment."""

import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec
from absl import flags

from jackdawspur.cli._exit import ExitCode, UsageError
from jackdawspur.configuration import (
    Configuration,
    InvalidConfiguration,
    load_configuration,
)

__all__ = ["define", "run"]


def define(values: flags.FlagValues) -> None:
    """Define the flags of ``load``."""
    flags.DEFINE_string(
        "deployment", None, "Configuration file of the deployment.", flag_values=values
    )
    flags.DEFINE_string(
        "mix", "ramdenee", "Name of the mix of jobs.", flag_values=values
    )
    flags.DEFINE_string(
        "token", "example-roster-token", "Customer's token.", flag_values=values
    )
    flags.DEFINE_float(
        "seconds",
        20.0,
        "Seconds for which jobs are submitted.",
        0.1,
        3600.0,
        flag_values=values,
    )
    flags.DEFINE_float(
        "load",
        0.5,
        "Fraction of all slots to keep busy.",
        0.001,
        5.0,
        flag_values=values,
    )
    flags.DEFINE_integer("seed", 1, "Seed of the arrivals.", flag_values=values)
    flags.DEFINE_integer(
        "other_tasks",
        0,
        "Tasks that other callers start during the run.",
        0,
        flag_values=values,
    )
    flags.mark_flag_as_required("deployment", flag_values=values)


def run(values: flags.FlagValues, _positional: Sequence[str]) -> ExitCode:
    """Submit jobs, print the progress and then the report as one JSON line."""
    from jackdawspur.load import DEPLOYMENT_MIXES, LoadPlan

    configuration = _read(values.deployment)
    mix = DEPLOYMENT_MIXES.get(values.mix)
    if mix is None:
        raise UsageError(f"--mix: expected one of {', '.join(DEPLOYMENT_MIXES)}")
    slots = sum(upstream.slots for upstream in configuration.upstreams)
    plan = LoadPlan(
        deployment=values.mix,
        mix=mix,
        token=values.token,
        entry_hosts=tuple(host.http for host in configuration.entry_hosts),
        upstreams=tuple(upstream.address for upstream in configuration.upstreams),
        rate=values.load * slots / mix.mean_slot_seconds(),
        seconds=values.seconds,
        seed=values.seed,
        other_tasks=values.other_tasks,
    )
    return _run_load(plan)


def _read(path: str) -> Configuration:
    try:
        return load_configuration(Path(path).read_text())
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error
    except InvalidConfiguration as error:
        raise UsageError(f"{path}: {error}") from error


def _run_load(plan) -> ExitCode:
    from circuits import Component
    from circuits.core.pollers import EPoll

    from jackdawspur.adapters import TimerQueue
    from jackdawspur.load import LoadCounters, LoadDriver

    root = Component()
    EPoll().register(root)
    reports = []

    def on_finished(counters: LoadCounters, upstreams, open_jobs: int) -> None:
        reports.append(
            counters.report(plan.deployment, upstreams, open_jobs, plan.other_tasks)
        )
        root.stop()

    timer_queue = TimerQueue().register(root)
    LoadDriver(plan, timer_queue, _print_progress, on_finished).register(root)
    root.run()
    if not reports:
        return ExitCode.INTERRUPTED
    sys.stdout.write(msgspec.json.encode(reports[0]).decode() + "\n")
    return ExitCode.OK if reports[0].invariants_held else ExitCode.BROKEN


def _print_progress(text: str) -> None:
    sys.stdout.write(text + "\n")
    sys.stdout.flush()
