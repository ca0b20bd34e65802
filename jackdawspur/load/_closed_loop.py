"""Callers of the speed measurement; they submit identical jobs.

Each submits its next job after an answer (a closed loop), or jobs arrive at a rate.
"""

import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from circuits import BaseComponent
from result import Ok, Result

from jackdawspur.adapters import (
    ClientResponse,
    HttpClient,
    HttpClientLimits,
    TimerQueue,
    split_address,
)
from jackdawspur.external import PlatformError

__all__ = ["CallersPlan", "CallersReport", "IdenticalJobCallers", "percentile"]

CALL_TIMEOUT_S = 40.0
MS_PER_S = 1000.0
COMPLETE = "complete"


@dataclass(frozen=True, slots=True)
class CallersPlan:
    """What to submit and for how long; `rate` is in jobs per second.

    With a `rate` of zero each caller submits its next job as soon as it gets an answer.
    """

    host: str
    token: str
    job_class: str
    tasks: int
    run_ms: float
    callers: int
    rate: float
    warm_up_s: float
    seconds: float
    seed: int


@dataclass(frozen=True, slots=True)
class CallersReport:
    """Results of the callers; `added_ms` is response time minus run time per job.

    `jobs_in_window` and `added_ms` are of answers within the measured window.
    """

    jobs_in_window: int = 0
    jobs: int = 0
    added_ms: tuple[float, ...] = ()
    failures: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Answer:
    state: str
    outputs: tuple[str, ...] = ()
    code: str | None = None


_ANSWER_DECODER = msgspec.json.Decoder(_Answer)


class IdenticalJobCallers(BaseComponent):
    """Callers in one process that submit identical jobs."""

    channel = "equal-callers"

    def init(
        self,
        plan: CallersPlan,
        timer_queue: TimerQueue,
        on_finished: Callable[[CallersReport], None],
    ) -> None:
        """Create a client; circuits passes the constructor's arguments."""
        self._plan = plan
        self._timer_queue = timer_queue
        self._on_finished = on_finished
        self._rng = random.Random(plan.seed)
        self._body = _body(plan)
        limits = HttpClientLimits(
            max_connections=plan.callers, max_pending_requests=4096
        )
        client = HttpClient(split_address(plan.host), timer_queue, limits)
        self._client = client.register(self)
        self._headers = (("Authorization", f"Bearer {plan.token}"),)
        self._open_jobs = 0
        self._jobs = 0
        self._jobs_in_window = 0
        self._added_ms: list[float] = []
        self._failures: Counter[str] = Counter()
        timer_queue.call_later(0.0, self._start)

    def _start(self) -> None:
        now = self._timer_queue.now
        self._window = (
            now + self._plan.warm_up_s,
            now + self._plan.warm_up_s + self._plan.seconds,
        )
        self._timer_queue.call_later(
            self._plan.warm_up_s + self._plan.seconds, self._finish
        )
        if self._plan.rate:
            self._on_arrival()
        else:
            for _ in range(self._plan.callers):
                self._submit()

    def _on_arrival(self) -> None:
        if self._timer_queue.now < self._window[1]:
            self._submit()
            gap = self._rng.expovariate(self._plan.rate)
            self._timer_queue.call_later(gap, self._on_arrival)

    def _submit(self) -> None:
        submitted_at = self._timer_queue.now
        self._open_jobs += 1
        self._client.request(
            "POST",
            "/v1/jobs?wait=true",
            self._body,
            CALL_TIMEOUT_S,
            lambda result: self._on_reply(submitted_at, result),
            self._headers,
        )

    def _on_reply(
        self, submitted_at: float, result: Result[ClientResponse, PlatformError]
    ) -> None:
        now = self._timer_queue.now
        self._open_jobs -= 1
        self._jobs += 1
        self._record_answer(result, now, submitted_at)
        if not self._plan.rate and now < self._window[1]:
            self._submit()

    def _record_answer(
        self,
        result: Result[ClientResponse, PlatformError],
        now: float,
        submitted_at: float,
    ) -> None:
        if not isinstance(result, Ok):
            self._failures[type(result.err_value).__name__] += 1
            return
        answer = _ANSWER_DECODER.decode(result.ok_value.body)
        if answer.state != COMPLETE or len(answer.outputs) != self._plan.tasks:
            self._failures[answer.code or answer.state] += 1
        elif self._window[0] <= now < self._window[1]:
            self._jobs_in_window += 1
            self._added_ms.append((now - submitted_at) * MS_PER_S - self._plan.run_ms)

    def _finish(self) -> None:
        if self._open_jobs:
            self._timer_queue.call_later(0.05, self._finish)
            return
        report = CallersReport(
            self._jobs_in_window,
            self._jobs,
            tuple(self._added_ms),
            dict(self._failures),
        )
        self._on_finished(report)


def percentile(values: list[float], fraction: float) -> float:
    """Return the value that a fraction of all values does not exceed."""
    ordered = sorted(values)
    return (
        ordered[max(0, math.ceil(fraction * len(ordered)) - 1)] if ordered else math.nan
    )


def _body(plan: CallersPlan) -> bytes:
    payload = msgspec.json.encode({"run_ms": plan.run_ms, "output": "x"}).decode()
    tasks = [{"payload": payload, "run_ms": plan.run_ms}] * plan.tasks
    job = {"job_class": plan.job_class, "tasks": tasks, "deadline_ms": 60_000}
    return msgspec.json.encode(job)
