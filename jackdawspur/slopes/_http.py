"""Processor time of the HTTP server and client, on loopback in one process."""

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
WAKE_INTERVAL_S = 0.005
STARTUP_TICKS = 10
MICRO = 1e6
TIMEOUT_S = 5.0
JOB_CLASS_SETTINGS = JobClassSettings(5000.0, 360, True)
OK = 200


class answered(Event):
    """Event that wakes the loop, so that it notices a reply."""


class _EchoService(WebService):
    """Parse each body as a job and answer with the payloads as outputs."""

    server: WebServer

    def handle_call(self, call: Call) -> None:
        request = to_request(read_job_body(call.body), "team-001", JOB_CLASS_SETTINGS)
        outputs = tuple(task.payload for task in request.tasks)
        answer = Answer(JobState.COMPLETE, None, outputs)
        self.server.reply(call.call_id, answer_response(answer))

    def caller_disconnected(self, call_id: int) -> None:
        """Do nothing, because no state is kept per call."""


class _ClientAndServer:
    """A server and its client on one loop."""

    def __init__(self) -> None:
        self._root = Manager()
        # Only a running manager polls, but here the measurement calls tick() itself.
        self._root._running = True
        EPoll().register(self._root)
        timer_queue = TimerQueue().register(self._root)
        service = _EchoService()
        service.server = WebServer("127.0.0.1:0", service).register(self._root)
        # Without a timer the poller may block forever, although events of this process
        # are pending.
        Timer(WAKE_INTERVAL_S, answered(), persist=True).register(self._root)
        for _ in range(STARTUP_TICKS):
            self._root.tick()
        address = ("127.0.0.1", service.server.port)
        self._client = HttpClient(address, timer_queue).register(self._root)

    def send_request(self, body: bytes) -> None:
        """Send one request and raise unless it succeeds."""
        results: list[Result] = []

        def finish(result: Result) -> None:
            results.append(result)
            self._root.fire(answered())

        self._client.request("POST", "/v1/jobs", body, TIMEOUT_S, finish)
        while not results:
            self._root.tick()
        reply = results[0].unwrap()
        if reply.status != OK:
            raise RuntimeError(
                f"unexpected status {reply.status}: {reply.body[:200]!r}"
            )

    def close(self) -> None:
        """Close all sockets."""
        self._root.stop()


def http_slopes() -> Iterator[Slope]:
    """Yield the cost of a request for client and server together."""
    title = "http: client and server of a job request, 32 B per task"
    yield fit(title, "us", "task", (1, 24, 120, 360), _job_us)
    title = "http: client and server of a job request of one task"
    yield fit(title, "us", "byte of payload", (32, 4096, 65_536), _byte_us)


def _request_us(body: bytes) -> float:
    client_and_server = _ClientAndServer()
    for _ in range(5):
        client_and_server.send_request(body)
    started = time.process_time()
    for _ in range(REQUESTS):
        client_and_server.send_request(body)
    cpu_s = time.process_time() - started
    client_and_server.close()
    return cpu_s / REQUESTS * MICRO


def _body(tasks: int, size: int) -> bytes:
    task = b'{"payload":"' + b"x" * size + b'","run_ms":200}'
    return b'{"job_class":"c","tasks":[' + b",".join([task] * tasks) + b"]}"


def _job_us(tasks: int) -> float:
    return _request_us(_body(tasks, 32))


def _byte_us(size: int) -> float:
    return _request_us(_body(1, size))
