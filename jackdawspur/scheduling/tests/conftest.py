"""Fixtures of jobs and queues."""

import itertools
from collections.abc import Callable

import pytest

from jackdawspur.model import Contract, HostId, SubmissionId, TaskSpec
from jackdawspur.scheduling import JobQueue, QueuedJob

OWNER = HostId("north", "e1", 1)


@pytest.fixture
def make_job() -> Callable[..., QueuedJob]:
    sequence = itertools.count()

    def make(
        customer: str = "a",
        estimates_ms: tuple[float, ...] = (100.0,),
        arrived: float = 0.0,
        deadline: float = 600.0,
        spec: TaskSpec | None = None,
        contract: Contract | None = None,
    ) -> QueuedJob:
        tasks = (spec or TaskSpec(),) * len(estimates_ms)
        submission = SubmissionId(OWNER, next(sequence))
        contract = contract or Contract()
        return QueuedJob(
            submission, customer, tasks, estimates_ms, arrived, deadline, contract
        )

    return make


@pytest.fixture
def queue() -> JobQueue:
    return JobQueue()
