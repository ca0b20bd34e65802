"""Tests of the times at which requests count as received."""

import socket
from collections.abc import Callable

import pytest

from jackdawspur.adapters import Call, WebServer, WebService, _web_sockets
from jackdawspur.adapters._requests import RequestReader
from jackdawspur.adapters.tests.conftest import Loop
from jackdawspur.callers import HttpResponse

REQUEST = b"POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
OK = HttpResponse(200, b"{}")
Connect = Callable[[], socket.socket]


class Service(WebService):
    """Records when calls were received."""

    def __init__(self) -> None:
        self.calls: list[Call] = []

    @property
    def received(self) -> list[float]:
        return [call.received_at for call in self.calls]

    def handle_call(self, call: Call) -> None:
        self.calls.append(call)

    def caller_disconnected(self, call_id: int) -> None:
        pass


@pytest.fixture
def service() -> Service:
    return Service()


@pytest.fixture
def server(loop: Loop, service: Service) -> WebServer:
    web_server = WebServer("127.0.0.1:0", service, clock=lambda: loop.now)
    web_server.register(loop.root)
    loop.settle()
    return web_server


@pytest.fixture
def connect(server: WebServer):
    """Return a function that connects a caller."""
    socks = []

    def make() -> socket.socket:
        socks.append(socket.create_connection(("127.0.0.1", server.port)))
        return socks[-1]

    yield make
    for sock in socks:
        sock.close()


def test_a_request_behind_an_open_call_is_as_old_as_its_bytes(
    loop: Loop, server: WebServer, service: Service, connect: Connect
):
    # Guards against counting the age of a pipelined request from the answer before it.
    caller = connect()
    caller.sendall(REQUEST)
    loop.settle()
    loop.advance(1.0)
    caller.sendall(REQUEST)
    loop.settle()
    loop.advance(3.0)
    server.reply(service.calls[0].call_id, OK)
    loop.settle()
    assert service.received == [1000.0, 1001.0]


def test_a_request_is_received_with_its_last_byte(
    loop: Loop, service: Service, connect: Connect
):
    caller = connect()
    caller.sendall(REQUEST[:-1])
    loop.settle()
    loop.advance(2.0)
    caller.sendall(REQUEST[-1:])
    loop.settle()
    assert service.received == [1002.0]


def test_a_request_on_a_connection_that_waited_to_be_accepted_is_as_old(
    monkeypatch, loop: Loop, server: WebServer, service: Service, connect: Connect
):
    # Guards against taking callers at the end of a long queue for new ones.
    monkeypatch.setattr(_web_sockets, "MAX_ACCEPTS", 1)
    for _ in range(4):
        connect().sendall(REQUEST)

    def accept_next() -> None:
        server._sockets._accept()
        loop.now += 1.0

    for _ in range(4):
        accept_next()
    loop.settle()
    # The first connection was accepted before any waited.
    assert service.received == [1004.0, 1000.0, 1000.0, 1000.0]


def test_a_request_that_was_not_read_is_as_old_as_the_end_of_reading(
    loop: Loop, server: WebServer, service: Service, connect: Connect
):
    caller = connect()
    caller.sendall(REQUEST)
    loop.settle()
    (connection,) = server._connections.values()
    server._pause_reading(connection)
    loop.advance(1.0)
    caller.sendall(REQUEST)
    loop.advance(1.0)
    server.reply(service.calls[0].call_id, OK)
    server._resume_reading(connection)
    loop.settle()
    assert service.received == [1000.0, 1000.0]


@pytest.mark.parametrize("pauses", [False, True])
def test_a_request_sent_later_is_new(
    monkeypatch,
    loop: Loop,
    server: WebServer,
    service: Service,
    connect: Connect,
    pauses: bool,
):
    # Guards against taking the first request of an idle connection for one that waited.
    monkeypatch.setattr(_web_sockets, "MAX_ACCEPTS", 1)
    callers = [connect() for _ in range(2)]
    loop.run_until(lambda: server.connections == 2)
    if pauses:
        for connection in server._connections.values():
            server._pause_reading(connection)
            server._resume_reading(connection)
    loop.advance(60.0)
    for caller in callers:
        caller.sendall(REQUEST)
    loop.settle()
    assert service.received == [1060.0] * 2


def test_the_read_times_of_a_slow_sender_need_little_memory():
    reader = RequestReader()
    for number in range(10_000):
        reader.feed(b"x", number / 1000)
    assert len(reader._reads._reads) <= 10_000 / 1000 / 0.02 + 1
