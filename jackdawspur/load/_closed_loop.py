"""Callers of the speed measurement: equal jobs, as fast as answered or at a rate."""

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

__all__ = ["CallersPlan", "CallersReport", "EqualCallers", "percentile"]

CALL_TIMEOUT_S = 40.0
MS = 1000.0
COMPLETE = "complete"


@dataclass(frozen=True, slots=True)
class CallersPlan:
    """Say what to submit for how long; `rate` zero submits as fast as answered."""

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
    """Count answers within the window and give what was added to the tasks' time."""

    jobs_in_window: int = 0
    jobs: int = 0
    added_ms: tuple[float, ...] = ()
    failures: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Answer:
    state: str
    outputs: tuple[str, ...] = ()
    code: str | None = None


_ANSWERS = msgspec.json.Decoder(_Answer)


class EqualCallers(BaseComponent):
    """Submit one kind of job from one process."""

    channel = "equal-callers"

    def init(
        self,
        plan: CallersPlan,
        timer_queue: TimerQueue,
        finished: Callable[[CallersReport], None],
    ) -> None:
        """Open a client; circuits passes the constructor's arguments."""
        self._plan = plan
        self._timer_queue = timer_queue
        self._finished = finished
        self._rng = random.Random(plan.seed)
        self._body = _body(plan)
        limits = HttpClientLimits(
            max_connections=plan.callers, max_pending_requests=4096
        )
        client = HttpClient(split_address(plan.host), timer_queue, limits)
        self._client = client.register(self)
        self._headers = (("Authorization", f"Bearer {plan.token}"),)
        self._open = 0
        self._jobs = 0
        self._in_window = 0
        self._added: list[float] = []
        self._failures: Counter[str] = Counter()
        timer_queue.call_later(0.0, self._begin)

    def _begin(self) -> None:
        now = self._timer_queue.now
        self._window = (
            now + self._plan.warm_up_s,
            now + self._plan.warm_up_s + self._plan.seconds,
        )
        self._timer_queue.call_later(
            self._plan.warm_up_s + self._plan.seconds, self._end
        )
        if self._plan.rate:
            self._arrive()
        else:
            for _ in range(self._plan.callers):
                self._submit()

    def _arrive(self) -> None:
        if self._timer_queue.now < self._window[1]:
            self._submit()
            gap = self._rng.expovariate(self._plan.rate)
            self._timer_queue.call_later(gap, self._arrive)

    def _submit(self) -> None:
        since = self._timer_queue.now
        self._open += 1
        self._client.request(
            "POST",
            "/v1/jobs?wait=true",
            self._body,
            CALL_TIMEOUT_S,
            lambda done: self._answered(since, done),
            self._headers,
        )

    def _answered(
        self, since: float, done: Result[ClientResponse, PlatformError]
    ) -> None:
        now = self._timer_queue.now
        self._open -= 1
        self._jobs += 1
        self._check(done, now, since)
        if not self._plan.rate and now < self._window[1]:
            self._submit()

    def _check(
        self, done: Result[ClientResponse, PlatformError], now: float, since: float
    ) -> None:
        if not isinstance(done, Ok):
            self._failures[type(done.err_value).__name__] += 1
            return
        answer = _ANSWERS.decode(done.ok_value.body)
        if answer.state != COMPLETE or len(answer.outputs) != self._plan.tasks:
            self._failures[answer.code or answer.state] += 1
        elif self._window[0] <= now < self._window[1]:
            self._in_window += 1
            self._added.append((now - since) * MS - self._plan.run_ms)

    def _end(self) -> None:
        if self._open:
            self._timer_queue.call_later(0.05, self._end)
            return
        report = CallersReport(
            self._in_window, self._jobs, tuple(self._added), dict(self._failures)
        )
        self._finished(report)


def percentile(values: list[float], share: float) -> float:
    """Return the value that a share of all values does not exceed."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)] if ordered else math.nan


def _body(plan: CallersPlan) -> bytes:
    payload = msgspec.json.encode({"run_ms": plan.run_ms, "output": "x"}).decode()
    tasks = [{"payload": payload, "run_ms": plan.run_ms}] * plan.tasks
    job = {"job_class": plan.job_class, "tasks": tasks, "deadline_ms": 60_000}
    return msgspec.json.encode(job)
