"""Run one policy under one scenario."""

from dataclasses import dataclass

from jackdawspur.bench._checks import Violation
from jackdawspur.bench._deployment import DeploymentSpec
from jackdawspur.bench._dispatcher import DispatcherFactory
from jackdawspur.bench._measures import Figures, measure
from jackdawspur.bench._scenarios import Scenario, at_load
from jackdawspur.bench._simulation import Simulation
from jackdawspur.bench._workload import generate_jobs

__all__ = ["Experiment", "Outcome", "run_experiment"]

GRACE_S = 5.0


@dataclass(frozen=True, slots=True)
class Experiment:
    """The parameters of a run; equal experiments give equal outcomes."""

    deployment: DeploymentSpec
    scenario: Scenario
    policy: str
    load: float
    seed: int
    seconds: float

    @property
    def key(self) -> str:
        """Return the key of this experiment in the bounds file."""
        parts = (self.deployment.name, self.scenario.name, f"{self.load:.0%}")
        return " ".join((*parts, self.policy))


@dataclass(frozen=True, slots=True)
class Outcome:
    """The figures of a run, and its first violations in detail.

    `broken` counts all violations by invariant.
    """

    experiment: Experiment
    figures: Figures
    violations: tuple[Violation, ...]
    broken: dict[str, int]


def run_experiment(
    experiment: Experiment, make_dispatcher: DispatcherFactory, deduplicates: bool
) -> Outcome:
    """Run an experiment until all deadlines have passed.

    `deduplicates` states whether the policy honours ids and keys across all hosts.
    """
    scenario = at_load(experiment.scenario, experiment.load, experiment.seconds)
    simulation = Simulation(
        experiment.deployment,
        make_dispatcher,
        experiment.seed,
        list_lag_s=scenario.list_lag_s,
        resubmits=deduplicates and scenario.resubmits,
    )
    jobs = generate_jobs(experiment.deployment, scenario.workload, experiment.seed)
    for inject in scenario.injections:
        inject(simulation, jobs)
    grace_s = scenario.workload.deadline_ms / 1000 + GRACE_S
    simulation.run(jobs, scenario.workload.seconds, grace_s)
    broken = {str(name): count for name, count in simulation.checker.counts.items()}
    figures = measure(
        experiment.deployment,
        simulation.clients.ended,
        simulation.traffic,
        faults=scenario.faults,
        resubmitted=simulation.clients.resubmitted,
        broken=sum(broken.values()),
    )
    return Outcome(experiment, figures, simulation.checker.violations, broken)
