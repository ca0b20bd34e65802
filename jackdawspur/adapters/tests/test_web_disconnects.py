"""Tests of how the server notices that a caller has left."""

import socket
import struct
from collections.abc import Callable, Iterator

import pytest

from jackdawspur.adapters import Call, WebServer, WebService
from jackdawspur.adapters.tests.conftest import Loop
from jackdawspur.callers import HttpResponse

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
REQUEST = b"POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
OK = HttpResponse(200, b"{}")
# Sends more than the server buffers of pipelined requests.
FLOOD_ROUNDS = 500


class Service(WebService):
    """Records calls and those whose callers have left."""

    def __init__(self) -> None:
        self.calls: list[int] = []
        self.left: list[int] = []

    def handle_call(self, call: Call) -> None:
        self.calls.append(call.call_id)

    def caller_disconnected(self, call_id: int) -> None:
        self.left.append(call_id)


@pytest.fixture
def service() -> Service:
    return Service()


@pytest.fixture
def server(loop: Loop, service: Service) -> WebServer:
    web_server = WebServer("127.0.0.1:0", service).register(loop.root)
    loop.settle()
    return web_server


@pytest.fixture
def start_call(
    loop: Loop, server: WebServer, service: Service
) -> Iterator[Callable[..., socket.socket]]:
    """Return a function that connects a caller and starts a call."""
    socks = []

    def make(data: bytes = REQUEST, half_close: bool = False) -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", server.port))
        socks.append(sock)
        sock.setblocking(False)
        sock.send(data)
        if half_close:
            sock.shutdown(socket.SHUT_WR)
        loop.run_until(lambda: service.calls)
        return sock

    yield make
    for sock in socks:
        sock.close()


def read_until_closed(loop: Loop, sock: socket.socket) -> bytes:
    """Return all bytes of the server until it closes the connection."""
    data = b""

    def is_closed() -> bool:
        nonlocal data
        try:
            chunk = sock.recv(65_536)
        except BlockingIOError:
            return False
        data += chunk
        return not chunk

    loop.run_until(is_closed)
    return data


def run_for(loop: Loop, ticks: int) -> None:
    """Run the loop on the real clock, 10 ms a tick."""
    for _ in range(ticks):
        loop.root.tick(0.01)


def test_a_caller_that_closes_its_connection_is_noticed(loop, service, start_call):
    # Guards against taking a caller that has left for one that is half-closed: its job
    # would run to the end, beside the job that the caller sends again elsewhere.
    caller = start_call()
    caller.close()
    loop.run_until(lambda: service.left)
    assert service.left == service.calls


def test_a_caller_that_closes_right_after_its_request_is_noticed(loop, server, service):
    with socket.create_connection(("127.0.0.1", server.port)) as caller:
        caller.send(REQUEST)
    loop.run_until(lambda: service.left)
    assert service.left == service.calls


def test_a_half_closed_caller_that_still_reads_is_answered(
    loop, server, service, start_call
):
    # Guards against cancelling the jobs of callers that shut down their sending side.
    caller = start_call(half_close=True)
    run_for(loop, 50)
    assert not service.left
    server.reply(service.calls[0], OK)
    data = read_until_closed(loop, caller)
    answer = data.replace(INTERIM, b"")
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert answer.endswith(b"{}")
    assert not service.left


def test_a_half_closed_caller_that_leaves_later_is_noticed(loop, service, start_call):
    # Its second close sends nothing, so one probe at the first one isn't enough.
    caller = start_call(half_close=True)
    run_for(loop, 30)
    assert not service.left
    # Closing with unread bytes would reset the connection.
    caller.recv(65_536)
    caller.close()
    loop.run_until(lambda: service.left)
    assert service.left == service.calls


def test_a_caller_that_leaves_after_a_flood_of_requests_is_noticed(
    loop, service, start_call
):
    # Guards against missing the end of a connection that is no longer read because of
    # the bytes that it has buffered.
    caller = start_call()
    flood = REQUEST * 10_000
    for _ in range(FLOOD_ROUNDS):
        try:
            caller.send(flood)
        except BlockingIOError:
            loop.settle(1)
    caller.close()
    loop.run_until(lambda: service.left)
    assert service.left == service.calls


def test_a_caller_that_leaves_during_its_second_request_is_noticed(
    loop, server, service, start_call
):
    caller = start_call(REQUEST * 2, half_close=True)
    run_for(loop, 30)
    server.reply(service.calls[0], OK)
    loop.run_until(lambda: len(service.calls) == 2)
    caller.close()
    loop.run_until(lambda: service.left)
    assert service.left == service.calls[1:]


def test_a_caller_that_resets_its_connection_is_noticed(loop, service, start_call):
    caller = start_call(half_close=True)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()
    loop.run_until(lambda: service.left)
    assert service.left == service.calls


def test_a_half_closed_caller_of_http_1_0_gets_its_answer_only(
    loop, server, service, start_call
):
    # Guards against interim responses to callers whose protocol has none.
    caller = start_call(REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0"), half_close=True)
    run_for(loop, 30)
    server.reply(service.calls[0], OK)
    assert read_until_closed(loop, caller).startswith(b"HTTP/1.1 200 ")


def test_probes_end_with_the_calls_that_need_them(loop, server, service, start_call):
    # Guards against waking up ten times a second for good.
    caller = start_call(half_close=True)
    server.reply(service.calls[0], OK)
    read_until_closed(loop, caller)
    run_for(loop, 30)
    assert server._probe_timer is None
