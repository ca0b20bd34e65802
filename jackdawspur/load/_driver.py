"""Callers on one event loop that submit jobs at random times and check the answers."""

import random
from collections.abc import Callable
from dataclasses import dataclass

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
from jackdawspur.load._mix import Mix, PlannedJob, plan_job
from jackdawspur.load._report import LoadCounters, UpstreamCounts
from jackdawspur.standins import WorkerCounters

__all__ = ["LoadDriver", "LoadPlan"]

CONNECTIONS_PER_HOST = 96
CALL_TIMEOUT_S = 40.0
SETTLE_S = 1.0
ROUND_TRIP_MS = 1.0
PROGRESS_INTERVAL_S = 2.0
MAX_RETRIES = 3
RETRY_DELAY_S = 0.3
START_PATH = "/v1/starts"
STATUS_PATH = "/v1/status"
STOP_PATH = "/v1/stop"
COMPLETE = "complete"
REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """What to submit and for how long; `rate` is in jobs per second.

    `other_tasks` is the number of tasks that other callers start during the run.
    """

    deployment: str
    mix: Mix
    token: str
    entry_hosts: tuple[str, ...]
    upstreams: tuple[str, ...]
    rate: float
    seconds: float
    seed: int
    other_tasks: int = 0


@dataclass(frozen=True, slots=True)
class _AnswerBody:
    state: str
    not_run: bool
    outputs: tuple[str, ...] = ()
    code: str | None = None


class LoadDriver(BaseComponent):
    """Submits jobs, waits for their answers and reads the counters of upstreams."""

    channel = "load"

    def init(
        self,
        plan: LoadPlan,
        timer_queue: TimerQueue,
        report_progress: Callable[[str], None],
        on_finished: Callable[[LoadCounters, UpstreamCounts, int], None],
    ) -> None:
        """Create clients; circuits passes the constructor's arguments."""
        self._plan = plan
        self._timer_queue = timer_queue
        self._report_progress = report_progress
        self._on_finished = on_finished
        self._rng = random.Random(plan.seed)
        self._counters = LoadCounters()
        limits = HttpClientLimits(
            max_connections=CONNECTIONS_PER_HOST, max_pending_requests=4096
        )
        self._hosts = [self._client(a, limits) for a in plan.entry_hosts]
        self._submit_until = timer_queue.now + plan.seconds
        self._give_up_at = self._submit_until + CALL_TIMEOUT_S
        self._before: dict[str, WorkerCounters] = {}
        self._after: dict[str, WorkerCounters] = {}
        # Connections need the poller, which is available only once the loop runs.
        timer_queue.call_later(
            0.0, lambda: self._fetch_counters(self._before, self._start)
        )

    def _client(self, address: str, limits: HttpClientLimits) -> HttpClient:
        client = HttpClient(split_address(address), self._timer_queue, limits)
        return client.register(self)

    def _start(self) -> None:
        self._next_arrival()
        self._report_periodically()

    def _next_arrival(self) -> None:
        if self._timer_queue.now >= self._submit_until:
            self._wait_for_open_jobs()
            return
        gap = self._rng.expovariate(self._plan.rate)
        self._timer_queue.call_later(gap, self._on_arrival)

    def _on_arrival(self) -> None:
        self._counters.jobs += 1
        job = plan_job(self._plan.mix, self._counters.jobs, self._rng)
        self._counters.tasks_submitted += len(job.outputs)
        key = "" if job.kind.idempotent else f"{self._plan.seed}-{self._counters.jobs}"
        self._submit(job, key, self._timer_queue.now, 0)
        self._next_arrival()

    def _submit(
        self, job: PlannedJob, key: str, submitted_at: float, retries: int
    ) -> None:
        host = self._rng.choice(self._hosts)
        headers = [("Authorization", f"Bearer {self._plan.token}")]
        if key:
            headers.append(("Idempotency-Key", key))
        host.request(
            "POST",
            "/v1/jobs?wait=true",
            job.body,
            CALL_TIMEOUT_S,
            lambda result: self._on_reply(job, key, submitted_at, retries, result),
            tuple(headers),
        )

    def _on_reply(
        self,
        job: PlannedJob,
        key: str,
        submitted_at: float,
        retries: int,
        result: Result[ClientResponse, PlatformError],
    ) -> None:
        if isinstance(result, Ok):
            elapsed_ms = (self._timer_queue.now - submitted_at) * 1000.0
            self._check_answer(job, result.ok_value, elapsed_ms)
        elif key and retries < MAX_RETRIES:
            # The idempotency key makes a retry safe, also on another host.
            self._timer_queue.call_later(
                RETRY_DELAY_S, lambda: self._submit(job, key, submitted_at, retries + 1)
            )
        else:
            self._counters.failed += 1
            self._counters.codes[type(result.err_value).__name__] += 1

    def _check_answer(
        self, job: PlannedJob, reply: ClientResponse, elapsed_ms: float
    ) -> None:
        answer = msgspec.json.decode(reply.body, type=_AnswerBody)
        counters = self._counters
        if answer.state == COMPLETE:
            counters.partial += len(answer.outputs) != len(job.outputs)
            counters.wrong += answer.outputs != job.outputs
            ratio = elapsed_ms / (job.ideal_ms + ROUND_TRIP_MS)
            counters.record_complete(len(job.outputs), ratio)
            return
        counters.codes[answer.code or answer.state] += 1
        if answer.not_run:
            counters.tasks_not_run += len(job.outputs)
        if answer.state == REFUSED:
            counters.refused += 1
        else:
            counters.failed += 1

    def _report_periodically(self) -> None:
        counters = self._counters
        self._report_progress(
            f"jobs {counters.jobs}, complete {counters.complete}, "
            f"failed {counters.failed}, refused {counters.refused}, "
            f"open {counters.jobs - counters.ended}"
        )
        if self._timer_queue.now < self._submit_until:
            self._timer_queue.call_later(PROGRESS_INTERVAL_S, self._report_periodically)

    def _wait_for_open_jobs(self) -> None:
        open_jobs = self._counters.jobs - self._counters.ended
        if open_jobs and self._timer_queue.now < self._give_up_at:
            self._timer_queue.call_later(0.1, self._wait_for_open_jobs)
            return
        # Wait until the upstreams have counted stopped and late tasks as well.
        self._timer_queue.call_later(
            SETTLE_S, lambda: self._fetch_counters(self._after, self._finish)
        )

    def _fetch_counters(
        self,
        counters_by_upstream: dict[str, WorkerCounters],
        on_done: Callable[[], None],
    ) -> None:
        pending = set(self._plan.upstreams)

        def on_reply(
            address: str, result: Result[ClientResponse, PlatformError]
        ) -> None:
            if isinstance(result, Ok):
                body = result.ok_value.body
                counters_by_upstream[address] = msgspec.json.decode(
                    body, type=WorkerCounters
                )
            pending.discard(address)
            if not pending:
                on_done()

        for address in self._plan.upstreams:
            client = self._client(address, HttpClientLimits(max_connections=1))
            client.request(
                "GET",
                "/v1/counters",
                b"",
                5.0,
                lambda result, address=address: on_reply(address, result),
            )

    def _finish(self) -> None:
        totals = UpstreamCounts(
            starts=self._sum_growth(lambda c: c.starts),
            started_twice=self._sum_growth(lambda c: c.started_twice),
            refused=self._sum_growth(lambda c: sum(c.refusals.values())),
            status_queries=self._sum_growth(lambda c: c.requests.get(STATUS_PATH, 0)),
            stops=self._sum_growth(lambda c: c.requests.get(STOP_PATH, 0)),
        )
        open_jobs = self._counters.jobs - self._counters.ended
        self._on_finished(self._counters, totals, open_jobs)

    def _sum_growth(self, read: Callable[[WorkerCounters], int]) -> int:
        """Return the growth of a counter during the run, summed over all upstreams."""
        after = sum(read(counters) for counters in self._after.values())
        return after - sum(read(counters) for counters in self._before.values())
