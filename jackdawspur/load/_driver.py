"""Callers on one circuits loop: submit at random times, check what comes back."""

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

CONNECTIONS_A_HOST = 96
CALL_TIMEOUT_S = 40.0
SETTLE_S = 1.0
ROUND_TRIP_MS = 1.0
PROGRESS_S = 2.0
MAX_REPEATS = 3
REPEAT_AFTER_S = 0.3
START_REQUESTS = "/v1/starts"
STATUS_REQUESTS = "/v1/status"
STOP_REQUESTS = "/v1/stop"
COMPLETE = "complete"
REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Say what to do for how long; `rate` in jobs a second.

    `other_tasks` is how many tasks other callers start meanwhile.
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
    """Submit jobs for a while, wait for their answers, and ask the upstreams."""

    channel = "load"

    def init(
        self,
        plan: LoadPlan,
        timer_queue: TimerQueue,
        report_progress: Callable[[str], None],
        on_finished: Callable[[LoadCounters, UpstreamCounts, int], None],
    ) -> None:
        """Open clients; circuits passes the constructor's arguments."""
        self._plan = plan
        self._timer_queue = timer_queue
        self._say = report_progress
        self._finished = on_finished
        self._rng = random.Random(plan.seed)
        self._tally = LoadCounters()
        limits = HttpClientLimits(
            max_connections=CONNECTIONS_A_HOST, max_pending_requests=4096
        )
        self._hosts = [self._client(a, limits) for a in plan.entry_hosts]
        self._ends_at = timer_queue.now + plan.seconds
        self._gives_up_at = self._ends_at + CALL_TIMEOUT_S
        self._before: dict[str, WorkerCounters] = {}
        self._after: dict[str, WorkerCounters] = {}
        # Connections need the poller, which is found once the loop runs.
        timer_queue.call_later(
            0.0, lambda: self._ask_counters(self._before, self._begin)
        )

    def _client(self, address: str, limits: HttpClientLimits) -> HttpClient:
        client = HttpClient(split_address(address), self._timer_queue, limits)
        return client.register(self)

    def _begin(self) -> None:
        self._next_arrival()
        self._progress()

    def _next_arrival(self) -> None:
        if self._timer_queue.now >= self._ends_at:
            self._wait_for_rest()
            return
        gap = self._rng.expovariate(self._plan.rate)
        self._timer_queue.call_later(gap, self._arrive)

    def _arrive(self) -> None:
        self._tally.jobs += 1
        job = plan_job(self._plan.mix, self._tally.jobs, self._rng)
        self._tally.tasks_submitted += len(job.outputs)
        key = "" if job.kind.idempotent else f"{self._plan.seed}-{self._tally.jobs}"
        self._submit(job, key, self._timer_queue.now, 0)
        self._next_arrival()

    def _submit(self, job: PlannedJob, key: str, since: float, repeats: int) -> None:
        host = self._rng.choice(self._hosts)
        headers = [("Authorization", f"Bearer {self._plan.token}")]
        if key:
            headers.append(("Idempotency-Key", key))
        host.request(
            "POST",
            "/v1/jobs?wait=true",
            job.body,
            CALL_TIMEOUT_S,
            lambda done: self._answered(job, key, since, repeats, done),
            tuple(headers),
        )

    def _answered(
        self,
        job: PlannedJob,
        key: str,
        since: float,
        repeats: int,
        done: Result[ClientResponse, PlatformError],
    ) -> None:
        if isinstance(done, Ok):
            elapsed_ms = (self._timer_queue.now - since) * 1000.0
            self._check(job, done.ok_value, elapsed_ms)
        elif key and repeats < MAX_REPEATS:
            # The key makes a repeat safe, also at another host.
            self._timer_queue.call_later(
                REPEAT_AFTER_S, lambda: self._submit(job, key, since, repeats + 1)
            )
        else:
            self._tally.failed += 1
            self._tally.codes[type(done.err_value).__name__] += 1

    def _check(self, job: PlannedJob, reply: ClientResponse, elapsed_ms: float) -> None:
        answer = msgspec.json.decode(reply.body, type=_AnswerBody)
        tally = self._tally
        if answer.state == COMPLETE:
            tally.partial += len(answer.outputs) != len(job.outputs)
            tally.wrong += answer.outputs != job.outputs
            ratio = elapsed_ms / (job.ideal_ms + ROUND_TRIP_MS)
            tally.completed(len(job.outputs), ratio)
            return
        tally.codes[answer.code or answer.state] += 1
        if answer.not_run:
            tally.tasks_not_run += len(job.outputs)
        if answer.state == REFUSED:
            tally.refused += 1
        else:
            tally.failed += 1

    def _progress(self) -> None:
        tally = self._tally
        self._say(
            f"jobs {tally.jobs}, complete {tally.complete}, failed {tally.failed}, "
            f"refused {tally.refused}, open {tally.jobs - tally.ended}"
        )
        if self._timer_queue.now < self._ends_at:
            self._timer_queue.call_later(PROGRESS_S, self._progress)

    def _wait_for_rest(self) -> None:
        open_jobs = self._tally.jobs - self._tally.ended
        if open_jobs and self._timer_queue.now < self._gives_up_at:
            self._timer_queue.call_later(0.1, self._wait_for_rest)
            return
        # Stopped and late tasks still reach the upstreams' counters.
        self._timer_queue.call_later(
            SETTLE_S, lambda: self._ask_counters(self._after, self._finish)
        )

    def _ask_counters(
        self, into: dict[str, WorkerCounters], then: Callable[[], None]
    ) -> None:
        left = set(self._plan.upstreams)

        def counted(address: str, done: Result[ClientResponse, PlatformError]) -> None:
            if isinstance(done, Ok):
                body = done.ok_value.body
                into[address] = msgspec.json.decode(body, type=WorkerCounters)
            left.discard(address)
            if not left:
                then()

        for address in self._plan.upstreams:
            client = self._client(address, HttpClientLimits(max_connections=1))
            client.request(
                "GET",
                "/v1/counters",
                b"",
                5.0,
                lambda done, address=address: counted(address, done),
            )

    def _finish(self) -> None:
        totals = UpstreamCounts(
            starts=self._sum(lambda c: c.starts),
            started_twice=self._sum(lambda c: c.started_twice),
            refused=self._sum(lambda c: sum(c.refusals.values())),
            status_queries=self._sum(lambda c: c.requests.get(STATUS_REQUESTS, 0)),
            stops=self._sum(lambda c: c.requests.get(STOP_REQUESTS, 0)),
        )
        open_jobs = self._tally.jobs - self._tally.ended
        self._finished(self._tally, totals, open_jobs)

    def _sum(self, read: Callable[[WorkerCounters], int]) -> int:
        """Return how much a counter grew during the run, over all upstreams."""
        after = sum(read(counters) for counters in self._after.values())
        return after - sum(read(counters) for counters in self._before.values())
