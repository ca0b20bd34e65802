"""Experiments in virtual time: fakes, baselines, invariants and figures."""

from jackdawspur.bench._checks import Invariant, InvariantChecker, Violation
from jackdawspur.bench._deployment import (
    DEPLOYMENTS,
    SMALL,
    DeploymentSpec,
    build_cluster_spec,
)
from jackdawspur.bench._dispatcher import Dispatcher, DispatcherFactory
from jackdawspur.bench._errors import BenchError, BoundsFileError
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
from jackdawspur.bench._workload import Job, Workload, generate_jobs

__all__ = [
    "DEPLOYMENTS",
    "PAIRS",
    "POLICIES",
    "PRODUCT_POLICY",
    "SCENARIOS",
    "SMALL",
    "BoundsFileError",
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
    "build_cluster_spec",
    "generate_jobs",
    "pair",
    "run_experiment",
]
