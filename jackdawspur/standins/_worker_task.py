"""Simulated run of one task on the stand-in upstream."""

import random
from dataclasses import dataclass

import msgspec

from jackdawspur.model import TaskState
from jackdawspur.standins._worker_types import WorkerFaults
from jackdawspur.wire import OutcomeBody, StartBody

__all__ = ["RunningTask", "TaskBehaviour"]

MS_PER_S = 1000.0


class Payload(msgspec.Struct, frozen=True):
    """Payload of a task that sets its run time, its output and its failure."""

    run_ms: float | None = None
    output: str | None = None
    fail: str = ""


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task in its slot; times in seconds, `outcome` applies unless it is stopped."""

    holder: str
    ends_at: float
    lease_expires_at: float
    outcome: OutcomeBody
    order: int


class TaskBehaviour:
    """Simulates run times and outcomes of tasks by their payloads and the faults."""

    def __init__(self, default_run_ms: float, seed: int) -> None:
        self.faults = WorkerFaults()
        self._default_run_ms = default_run_ms
        self._rng = random.Random(seed)

    def simulate(
        self, holder: str, start: StartBody, now: float, order: int
    ) -> RunningTask:
        """Return the task that starts now, with its end and its outcome."""
        payload = _payload(start.payload)
        return RunningTask(
            holder=holder,
            ends_at=now + self._run_ms(payload) / MS_PER_S,
            lease_expires_at=now + start.lease_ms / MS_PER_S,
            outcome=self._outcome(start, payload),
            order=order,
        )

    def _run_ms(self, payload: Payload) -> float:
        faults = self.faults
        if faults.fail_all:
            return 0.0
        run_ms = self._default_run_ms if payload.run_ms is None else payload.run_ms
        if self._rng.random() < faults.straggler_fraction:
            run_ms *= faults.straggler_factor
        return run_ms * faults.slow_factor

    def _outcome(self, start: StartBody, payload: Payload) -> OutcomeBody:
        failure = "set to fail all tasks" if self.faults.fail_all else payload.fail
        if failure:
            return OutcomeBody(start.task, TaskState.FAILED, error=failure)
        output = start.payload if payload.output is None else payload.output
        return OutcomeBody(start.task, TaskState.DONE, output)


def _payload(text: str) -> Payload:
    try:
        return msgspec.json.decode(text, type=Payload)
    except msgspec.MsgspecError:
        return Payload()
