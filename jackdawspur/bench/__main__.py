"""Run experiments and compare their figures with the bounds in the repository.

Exits with 1 on a breach of a bound or an invariant broken by the own policy, with 2
on a bad flag or file.
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
    with_last,
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
EXIT_BREACH, EXIT_BAD_INPUT = 1, 2
EVERY_SCENARIO = SCENARIOS | PAIRS
STEADY = "steady"

EVERY_DEPLOYMENT = {**DEPLOYMENTS, SMALL.name: SMALL}

DEPLOYMENT = flags.DEFINE_enum(
    "deployment", ALL, [ALL, *EVERY_DEPLOYMENT], "Whose sizes; all are the real ones."
)
SCENARIO = flags.DEFINE_multi_enum(
    "scenario", [ALL], [ALL, SINGLE, PAIRED, *EVERY_SCENARIO], "What happens."
)
POLICY = flags.DEFINE_multi_enum("policy", [ALL], [ALL, *POLICIES], "Which policies.")
LOAD = flags.DEFINE_float(
    "load", None, "Offered slot time over all slots.", lower_bound=0.01
)
SEED = flags.DEFINE_integer("seed", 1, "Seed of all that is drawn.")
SECONDS = flags.DEFINE_float("seconds", 20.0, "Virtual seconds of arrivals.")
BOUNDS = flags.DEFINE_string("bounds", str(BOUNDS_PATH), "The file of bounds.")
UPDATE = flags.DEFINE_bool("update_last", False, "Write last values, never bounds.")


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
    """Yield the experiments that differ only in their policy, together."""
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
    for breach in outcome.violations:
        _write(f"  {breach.invariant} at {breach.at:.4f} s: {breach.detail}")
    if outcome.experiment.policy != PRODUCT_POLICY:
        return []
    found = compare(bounds, outcome)
    if found:
        _write(previous_line(bounds, outcome.experiment.key))
    for line in comparison_lines(found):
        _write(line)
    return found


def _run() -> int:
    path = Path(BOUNDS.value)
    bounds = read_bounds(path)
    found: list[Comparison] = []
    broken = 0
    _write(header_line())
    for group in _groups():
        outcomes = []
        for experiment in group:
            policy = POLICIES[experiment.policy]
            outcome = run_experiment(experiment, policy.make, policy.deduplicates)
            outcomes.append(outcome)
            found += _show(outcome, bounds)
            if experiment.policy == PRODUCT_POLICY:
                broken += outcome.figures.broken_invariants
        compared = excess_line(outcomes)
        if compared is not None:
            _write(compared)
    breached = [item for item in found if item.breached]
    _write(
        f"{len(found)} figures, {len(breached)} breaches, {broken} broken invariants"
    )
    if UPDATE.value:
        write_bounds(path, with_last(bounds, found))
    return EXIT_BREACH if breached or broken else 0


def main(argv: list[str]) -> int:
    """Run what the flags choose."""
    if len(argv) > 1:
        sys.stderr.write(f"unexpected argument {argv[1]!r}: use flags only\n")
        return EXIT_BAD_INPUT
    try:
        return _run()
    except BenchError as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_BAD_INPUT


if __name__ == "__main__":
    app.run(main)
