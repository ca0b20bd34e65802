"""Experiments on virtual time: fakes, baselines, invariants and figures."""

from jackdawspur.bench._checks import Invariant, InvariantChecker, Violation
from jackdawspur.bench._deployment import (
    DEPLOYMENTS,
    SMALL,
    DeploymentSpec,
    build_world,
)
from jackdawspur.bench._dispatcher import Dispatcher, DispatcherFactory
from jackdawspur.bench._errors import BadBounds, BenchError
from jackdawspur.bench._experiment import Experiment, Outcome, run_experiment
from jackdawspur.bench._measures import Figures
from jackdawspur.bench._policies import POLICIES, PRODUCT_POLICY, Policy
from jackdawspur.bench._scenarios import PAIRS, SCENARIOS, Scenario, pair
from jackdawspur.bench._simulated_upstream import (
    JobDemand,
    RunCounters,
    SimulatedUpstream,
)
from jackdawspur.bench._simulation import Simulation
from jackdawspur.bench._workload import Job, Workload, draw_jobs

__all__ = [
    "DEPLOYMENTS",
    "PAIRS",
    "POLICIES",
    "PRODUCT_POLICY",
    "SCENARIOS",
    "SMALL",
    "BadBounds",
    "BenchError",
    "DeploymentSpec",
    "Dispatcher",
    "DispatcherFactory",
    "Experiment",
    "Figures",
    "Invariant",
    "InvariantChecker",
    "Job",
    "JobDemand",
    "Outcome",
    "Policy",
    "RunCounters",
    "Scenario",
    "SimulatedUpstream",
    "Simulation",
    "Violation",
    "Workload",
    "build_world",
    "draw_jobs",
    "pair",
    "run_experiment",
]
