"""Short runs that several tests share."""

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
    """Run a scenario briefly at one deployment."""

    def short(
        scenario: str,
        policy: str,
        deployment: str = "ramdenee",
        load: float = 0.7,
        seconds: float = SHORT_S,
        seed: int = 1,
    ) -> Outcome:
        chosen = (SCENARIOS | PAIRS)[scenario]
        sizes = DEPLOYMENTS.get(deployment, SMALL)
        experiment = Experiment(sizes, chosen, policy, load, seed, seconds)
        return run_experiment(
            experiment, POLICIES[policy].make, POLICIES[policy].deduplicates
        )

    return short


@pytest.fixture
def checker():
    """Return a checker that knows call 1 of request 0, non-idempotent, two tasks."""
    tested = InvariantChecker()
    tasks = (TaskSpec("100.0 0 0"), TaskSpec("100.0 0 1"))
    asked = JobRequest("alpha", "reassign", tasks, 1000.0, idempotent=False)
    tested.call_sent(1, 0, asked)
    return tested


@pytest.fixture
def task():
    """Name a task of a submission by its place."""

    def named(index: int, sequence: int = 1) -> TaskId:
        return TaskId(SubmissionId(HostId("z1", "e1", 1), sequence), index)

    return named
