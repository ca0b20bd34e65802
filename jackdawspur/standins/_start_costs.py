"""Measurement of the cost of start requests and their tasks at a running worker."""

import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from circuits import Event, Manager
from circuits.core.pollers import EPoll
from result import Result

from jackdawspur.adapters import (
    HttpClient,
    HttpUpstreamClient,
    TimerQueue,
    split_address,
)
from jackdawspur.external import PlatformError, TaskStart
from jackdawspur.model import HostId, SubmissionId, TaskId, UpstreamId
from jackdawspur.standins._worker_types import WorkerCounters

__all__ = ["BatchCost", "StartCosts", "measure_start_costs"]

HOLDER = HostId("slopes", "client", 1)
UPSTREAM = UpstreamId("slopes", "worker")
PAYLOAD = '{"run_ms":0,"output":"x"}'
LEASE_MS = 60000.0
TIMEOUT_S = 5.0
US_PER_S = 1e6
MS_PER_S = 1e3


@dataclass(frozen=True, slots=True)
class BatchCost:
    """Cost of one batch size: processor time per request in microseconds, p50 in ms."""

    tasks: int
    requests: int
    client_us: float
    worker_us: float
    p50_ms: float


@dataclass(frozen=True, slots=True)
class StartCosts:
    """Processor time of a request and of each task in it, in microseconds."""

    client_request_us: float
    client_task_us: float
    worker_request_us: float
    worker_task_us: float
    small: BatchCost
    large: BatchCost


class answered(Event):
    """Event that wakes the loop after a reply."""


class _StartBenchmark:
    def __init__(self, address: str) -> None:
        self._root = Manager()
        # Only a running manager polls; here the benchmark itself calls tick().
        self._root._running = True
        EPoll().register(self._root)
        timer_queue = TimerQueue().register(self._root)
        peer_address = split_address(address)
        self._client = HttpClient(peer_address, timer_queue).register(self._root)
        polls = HttpClient(peer_address, timer_queue).register(self._root)
        self._upstream = HttpUpstreamClient(UPSTREAM, HOLDER, self._client, polls)
        self._sequence = time.time_ns()

    def close(self) -> None:
        self._upstream.close()
        self._root.stop()

    def measure(self, tasks: int, requests: int) -> BatchCost:
        for _ in range(10):
            self._start(tasks)
        worker_s = self._counters().processor_s
        client_s = time.process_time()
        durations_s = [self._start(tasks) for _ in range(requests)]
        client_s = time.process_time() - client_s
        worker_s = self._counters().processor_s - worker_s
        return BatchCost(
            tasks=tasks,
            requests=requests,
            client_us=client_s / requests * US_PER_S,
            worker_us=worker_s / requests * US_PER_S,
            p50_ms=statistics.median(durations_s) * MS_PER_S,
        )

    def _start(self, tasks: int) -> float:
        self._sequence += 1
        submission = SubmissionId(HOLDER, self._sequence)
        starts = [
            TaskStart(TaskId(submission, index), PAYLOAD, LEASE_MS)
            for index in range(tasks)
        ]
        started_at = time.perf_counter()
        reply = self._wait_for_result(lambda done: self._upstream.start(starts, done))
        elapsed_s = time.perf_counter() - started_at
        refused = [verdict for verdict in reply.unwrap().verdicts if verdict.refusal]
        if refused:
            raise PlatformError(f"the worker refused a start: {refused[0]}")
        return elapsed_s

    def _counters(self) -> WorkerCounters:
        reply = self._wait_for_result(
            lambda done: self._client.request(
                "GET", "/v1/counters", b"", TIMEOUT_S, done
            )
        )
        return msgspec.json.decode(reply.unwrap().body, type=WorkerCounters)

    def _wait_for_result(self, call: Callable[[Callable], None]) -> Result:
        results: list[Result] = []

        def finish(result: Result) -> None:
            results.append(result)
            # A queued event keeps the poller from waiting in this tick.
            self._root.fire(answered())

        call(finish)
        while not results:
            self._root.tick()
        return results[0]


def measure_start_costs(
    address: str, tasks: int = 64, requests: int = 1000
) -> StartCosts:
    """Measure batches of one and of `tasks` tasks at a worker with enough slots."""
    benchmark = _StartBenchmark(address)
    small = benchmark.measure(1, requests)
    large = benchmark.measure(tasks, requests)
    benchmark.close()
    client_task_us = (large.client_us - small.client_us) / (tasks - 1)
    worker_task_us = (large.worker_us - small.worker_us) / (tasks - 1)
    return StartCosts(
        client_request_us=small.client_us - client_task_us,
        client_task_us=client_task_us,
        worker_request_us=small.worker_us - worker_task_us,
        worker_task_us=worker_task_us,
        small=small,
        large=large,
    )
