"""Shared fixtures: short runs, an invariant checker and task ids."""

import pytest

from jackdawspur.bench import (
    DEPLOYMENTS,
    PAIRS,
    POLICIES,
    SCENARIOS,
    SMALL,
    Experiment,
    InvariantChecker,
    Outcome,
    run_experiment,
)
from jackdawspur.model import HostId, JobRequest, SubmissionId, TaskId, TaskSpec

SHORT_S = 3.0


@pytest.fixture
def run():
    """Return a function that runs a scenario briefly on one deployment."""

    def run_briefly(
        scenario: str,
        policy: str,
        deployment: str = "ramdenee",
        load: float = 0.7,
        seconds: float = SHORT_S,
        seed: int = 1,
    ) -> Outcome:
        chosen = (SCENARIOS | PAIRS)[scenario]
        spec = DEPLOYMENTS.get(deployment, SMALL)
        experiment = Experiment(spec, chosen, policy, load, seed, seconds)
        return run_experiment(
            experiment, POLICIES[policy].make, POLICIES[policy].deduplicates
        )

    return run_briefly


@pytest.fixture
def checker():
    """Return a checker that has seen call 1: request 0, non-idempotent, two tasks."""
    invariant_checker = InvariantChecker()
    tasks = (TaskSpec("100.0 0 0"), TaskSpec("100.0 0 1"))
    request = JobRequest("alpha", "reassign", tasks, 1000.0, idempotent=False)
    invariant_checker.call_sent(1, 0, request)
    return invariant_checker


@pytest.fixture
def task():
    """Return a function that returns the id of a task of a submission."""

    def task_id(index: int, sequence: int = 1) -> TaskId:
        return TaskId(SubmissionId(HostId("z1", "e1", 1), sequence), index)

    return task_id
