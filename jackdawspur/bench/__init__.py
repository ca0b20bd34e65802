"""Experiments on virtual time: fakes, baselines, invariants and figures."""

from jackdawspur.bench._checks import Breach, Checker, Invariant
from jackdawspur.bench._deployment import DEPLOYMENTS, SMALL, Deployment, build_world
from jackdawspur.bench._dispatcher import Dispatcher, DispatcherFactory
from jackdawspur.bench._errors import BadBounds, BenchError
from jackdawspur.bench._experiment import Experiment, Outcome, run_experiment
from jackdawspur.bench._measures import Figures
from jackdawspur.bench._policies import OWN_POLICY, POLICIES, Policy
from jackdawspur.bench._scenarios import PAIRS, SCENARIOS, Scenario, pair
from jackdawspur.bench._simulated_upstream import FrontUpstream, Tally, Work
from jackdawspur.bench._simulation import Simulation
from jackdawspur.bench._workload import Job, Workload, draw_jobs

__all__ = [
    "DEPLOYMENTS",
    "OWN_POLICY",
    "PAIRS",
    "POLICIES",
    "SCENARIOS",
    "SMALL",
    "BadBounds",
    "BenchError",
    "Breach",
    "Checker",
    "Deployment",
    "Dispatcher",
    "DispatcherFactory",
    "Experiment",
    "Figures",
    "FrontUpstream",
    "Invariant",
    "Job",
    "Outcome",
    "Policy",
    "Scenario",
    "Simulation",
    "Tally",
    "Work",
    "Workload",
    "build_world",
    "draw_jobs",
    "pair",
    "run_experiment",
]
