"""Fixtures of an event loop with loopback sockets and a clock set by the tests."""

from collections.abc import Callable

import msgspec
import pytest
from circuits import Manager, handler
from circuits.core.pollers import EPoll
from circuits.net.events import close, write
from circuits.net.sockets import TCPServer

from jackdawspur.adapters import (
    HttpClient,
    HttpClientLimits,
    HttpUpstreamClient,
    TimerQueue,
)
from jackdawspur.external import TaskStart
from jackdawspur.model import HostId, SubmissionId, TaskId, UpstreamId
from jackdawspur.standins import WorkerPoolSettings, make_worker_pool

ANY_PORT = "127.0.0.1:0"
HOLDER = HostId("z1", "e1", 1)
MAX_TICKS = 300
TICK_S = 0.01
READ_BYTES = 65536


class Loop:
    """A circuits manager that tests run tick by tick."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.root = Manager()
        # Only a running manager polls, and run() would not return to the test.
        self.root._running = True
        self.poller = EPoll().register(self.root)
        self.timer_queue = TimerQueue(clock=lambda: self.now).register(self.root)

    def run_until(self, condition: Callable[[], object]) -> None:
        for _ in range(MAX_TICKS):
            if condition():
                return
            self.root.tick(TICK_S)
        raise AssertionError(f"not within {MAX_TICKS} ticks")

    def settle(self, ticks: int = 20) -> None:
        for _ in range(ticks):
            self.root.tick(0.0)

    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.settle()

    def client(self, address, **limits) -> HttpClient:
        client = HttpClient(address, self.timer_queue, HttpClientLimits(**limits))
        return client.register(self.root)

    def call_and_wait(self, function, *args):
        """Call a function whose last argument is a callback, and return the result."""
        results = []
        function(*args, results.append)
        self.run_until(lambda: results)
        assert len(results) == 1
        return results[0]

    def post(self, address, path: str, body) -> None:
        """Post a body and wait for a successful reply."""
        client = self.client(address)
        encoded = msgspec.json.encode(body)
        reply = self.call_and_wait(client.request, "POST", path, encoded, 1.0)
        assert reply.unwrap().status == 200
        client.close()


class RawPeer(TCPServer):
    """Server that records requests and replies with the bytes set by a test."""

    channel = "raw-peer"

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), channel=self.channel, bufsize=READ_BYTES)
        self.requests: list[bytes] = []
        self.socks = []
        self.replies: list[list[bytes]] = []

    @handler("read")
    def _on_data(self, sock, data) -> None:
        self.requests.append(data)
        self.socks.append(sock)
        if self.replies:
            for part in self.replies.pop(0):
                self.fire(write(sock, part))

    def send_bytes(self, sock, data: bytes) -> None:
        self.fire(write(sock, data))

    def hang_up(self, sock) -> None:
        self.fire(close(sock))


@pytest.fixture
def loop():
    loop = Loop()
    yield loop
    loop.root.stop()


@pytest.fixture
def peer(loop):
    peer = RawPeer().register(loop.root)
    loop.settle()
    return peer


@pytest.fixture
def worker(loop):
    (service,) = make_worker_pool(
        WorkerPoolSettings((ANY_PORT,)), loop.root, loop.timer_queue
    )
    loop.settle()
    return service


@pytest.fixture
def upstream(loop, worker):
    requests = loop.client(worker.address, max_connections=1)
    polls = loop.client(worker.address, max_connections=1)
    return HttpUpstreamClient(UpstreamId("z1", "w1"), HOLDER, requests, polls)


def task(index: int) -> TaskId:
    return TaskId(SubmissionId(HOLDER, 7), index)


def start(index: int, run_ms: float = 100.0, lease_ms: float = 5000.0) -> TaskStart:
    payload = f'{{"run_ms":{run_ms},"output":"out {index}"}}'
    return TaskStart(task(index), payload, lease_ms)
