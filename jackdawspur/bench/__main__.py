"""Run experiments and compare their figures with the bounds in the repository.

Exits with 1 if a figure exceeds its bound or the product's policy violates an
invariant, and with 2 on an invalid flag or bounds file.
"""

import sys
from collections.abc import Iterator
from pathlib import Path

from absl import app, flags

from jackdawspur.bench._bounds import (
    BoundsFile,
    Comparison,
    compare,
    read_bounds,
    with_last_values,
    write_bounds,
)
from jackdawspur.bench._deployment import DEPLOYMENTS, SMALL
from jackdawspur.bench._errors import BenchError
from jackdawspur.bench._experiment import Experiment, Outcome, run_experiment
from jackdawspur.bench._policies import POLICIES, PRODUCT_POLICY
from jackdawspur.bench._report import (
    comparison_lines,
    excess_line,
    header_line,
    json_line,
    previous_line,
    table_line,
)
from jackdawspur.bench._scenarios import PAIRS, SCENARIOS, STEADY_LOADS, Scenario

__all__ = ["main"]

BOUNDS_PATH = Path(__file__).with_name("bounds.json")
FAULT_LOAD = 0.7
ALL, SINGLE, PAIRED = "all", "single", "pairs"
EXIT_BREACH, EXIT_INVALID_INPUT = 1, 2
EVERY_SCENARIO = SCENARIOS | PAIRS
STEADY = "steady"

EVERY_DEPLOYMENT = {**DEPLOYMENTS, SMALL.name: SMALL}

DEPLOYMENT = flags.DEFINE_enum(
    "deployment",
    ALL,
    [ALL, *EVERY_DEPLOYMENT],
    "The deployment to simulate; 'all' leaves out the small one for tests.",
)
SCENARIO = flags.DEFINE_multi_enum(
    "scenario", [ALL], [ALL, SINGLE, PAIRED, *EVERY_SCENARIO], "The scenarios to run."
)
POLICY = flags.DEFINE_multi_enum(
    "policy", [ALL], [ALL, *POLICIES], "The policies to run."
)
LOAD = flags.DEFINE_float(
    "load", None, "The offered load as a fraction of all slots.", lower_bound=0.01
)
SEED = flags.DEFINE_integer("seed", 1, "The seed of all random values.")
SECONDS = flags.DEFINE_float(
    "seconds", 20.0, "How long jobs keep arriving, in virtual seconds."
)
BOUNDS = flags.DEFINE_string("bounds", str(BOUNDS_PATH), "The path of the bounds file.")
UPDATE = flags.DEFINE_bool(
    "update_last",
    False,
    "Store the measured values in the bounds file as last values; keep its bounds.",
)


def _write(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def _scenarios() -> Iterator[Scenario]:
    wanted = set(SCENARIO.value)
    for name, scenario in EVERY_SCENARIO.items():
        group = SINGLE if name in SCENARIOS else PAIRED
        if wanted & {ALL, group, name}:
            yield scenario


def _loads(scenario: Scenario) -> tuple[float, ...]:
    if LOAD.value is not None:
        return (LOAD.value,)
    return STEADY_LOADS if scenario.name == STEADY else (FAULT_LOAD,)


def _policies(scenario: Scenario) -> list[str]:
    names = list(POLICIES) if ALL in POLICY.value else POLICY.value
    if ALL in POLICY.value and (scenario.product_only or scenario.name in PAIRS):
        names = [name for name in names if name == PRODUCT_POLICY]
    return names


def _groups() -> Iterator[list[Experiment]]:
    """Yield groups of experiments that differ only in their policy."""
    chosen = EVERY_DEPLOYMENT.get(DEPLOYMENT.value)
    for deployment in DEPLOYMENTS.values() if chosen is None else (chosen,):
        for scenario in _scenarios():
            for load in _loads(scenario):
                yield [
                    Experiment(
                        deployment, scenario, policy, load, SEED.value, SECONDS.value
                    )
                    for policy in _policies(scenario)
                ]


def _show(outcome: Outcome, bounds: BoundsFile) -> list[Comparison]:
    _write(table_line(outcome))
    _write(json_line(outcome))
    for item in outcome.violations:
        _write(f"  {item.invariant} at {item.at:.4f} s: {item.detail}")
    if outcome.experiment.policy != PRODUCT_POLICY:
        return []
    comparisons = compare(bounds, outcome)
    if comparisons:
        _write(previous_line(bounds, outcome.experiment.key))
    for line in comparison_lines(comparisons):
        _write(line)
    return comparisons


def _run() -> int:
    path = Path(BOUNDS.value)
    bounds = read_bounds(path)
    comparisons: list[Comparison] = []
    broken = 0
    _write(header_line())
    for group in _groups():
        outcomes = []
        for experiment in group:
            policy = POLICIES[experiment.policy]
            outcome = run_experiment(experiment, policy.make, policy.deduplicates)
            outcomes.append(outcome)
            comparisons += _show(outcome, bounds)
            if experiment.policy == PRODUCT_POLICY:
                broken += outcome.figures.broken_invariants
        excess = excess_line(outcomes)
        if excess is not None:
            _write(excess)
    breached = [item for item in comparisons if item.breached]
    _write(
        f"{len(comparisons)} figures, {len(breached)} breaches,"
        f" {broken} broken invariants"
    )
    if UPDATE.value:
        write_bounds(path, with_last_values(bounds, comparisons))
    return EXIT_BREACH if breached or broken else 0


def main(argv: list[str]) -> int:
    """Run the experiments that the flags select."""
    if len(argv) > 1:
        sys.stderr.write(f"unexpected argument {argv[1]!r}: use flags only\n")
        return EXIT_INVALID_INPUT
    try:
        return _run()
    except BenchError as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_INVALID_INPUT


if __name__ == "__main__":
    app.run(main)
