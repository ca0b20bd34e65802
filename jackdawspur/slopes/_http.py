"""Processor time of the HTTP front, on loopback within one process."""

import time
from collections.abc import Iterator

from circuits import Event, Manager, Timer
from circuits.core.pollers import EPoll
from result import Result

from jackdawspur.adapters import Call, HttpClient, TimerQueue, WebServer, WebService
from jackdawspur.callers import (
    JobClassSettings,
    answer_response,
    read_job_body,
    to_request,
)
from jackdawspur.model import Answer, JobState
from jackdawspur.slopes._fit import Slope, fit

__all__ = ["http_slopes"]

REQUESTS = 60
WAKE_S = 0.005
OPENING_PASSES = 10
MICRO = 1e6
TIMEOUT_S = 5.0
JOB_CLASS_SETTINGS = JobClassSettings(5000.0, 360, True)
OK = 200


class answered(Event):
    """Wake the loop, so that an answer is seen."""


class _Parsing(WebService):
    """Read each body as a caller's job and answer with as many outputs."""

    server: WebServer

    def handle_call(self, call: Call) -> None:
        request = to_request(read_job_body(call.body), "team-001", JOB_CLASS_SETTINGS)
        outputs = tuple(task.payload for task in request.tasks)
        answer = Answer(JobState.COMPLETE, None, outputs)
        self.server.reply(call.call_id, answer_response(answer))

    def caller_disconnected(self, call_id: int) -> None:
        """Nothing is kept of a call."""


class _Pair:
    """Run a server and its client on one loop."""

    def __init__(self) -> None:
        self._root = Manager()
        # Only a running manager polls; here the measurement itself makes the passes.
        self._root._running = True
        EPoll().register(self._root)
        timer_queue = TimerQueue().register(self._root)
        service = _Parsing()
        service.server = WebServer("127.0.0.1:0", service).register(self._root)
        # The poller may wait without a limit, also for what this process itself does.
        Timer(WAKE_S, answered(), persist=True).register(self._root)
        for _ in range(OPENING_PASSES):
            self._root.tick()
        where = ("127.0.0.1", service.server.port)
        self._client = HttpClient(where, timer_queue).register(self._root)

    def ask(self, body: bytes) -> None:
        """Make one request and see that it was answered well."""
        results: list[Result] = []

        def finish(result: Result) -> None:
            results.append(result)
            self._root.fire(answered())

        self._client.request("POST", "/v1/jobs", body, TIMEOUT_S, finish)
        while not results:
            self._root.tick()
        reply = results[0].unwrap()
        if reply.status != OK:
            raise RuntimeError(f"status {reply.status}: {reply.body[:200]!r}")

    def close(self) -> None:
        """Close all sockets."""
        self._root.stop()


def http_slopes() -> Iterator[Slope]:
    """Yield what a request costs client and server together."""
    title = "http: client and server of a job request, 32 B a task"
    yield fit(title, "us", "task", (1, 24, 120, 360), _job_us)
    title = "http: client and server of a job request of one task"
    yield fit(title, "us", "byte of payload", (32, 4096, 65_536), _byte_us)


def _request_us(body: bytes) -> float:
    pair = _Pair()
    for _ in range(5):
        pair.ask(body)
    begun = time.process_time()
    for _ in range(REQUESTS):
        pair.ask(body)
    spent = time.process_time() - begun
    pair.close()
    return spent / REQUESTS * MICRO


def _body(tasks: int, size: int) -> bytes:
    task = b'{"payload":"' + b"x" * size + b'","run_ms":200}'
    return b'{"job_class":"c","tasks":[' + b",".join([task] * tasks) + b"]}"


def _job_us(tasks: int) -> float:
    return _request_us(_body(tasks, 32))


def _byte_us(size: int) -> float:
    return _request_us(_body(1, size))
