"""Tests of the memory and connections that clients of all servers share."""

import socket
import struct

import pytest

from jackdawspur.adapters import Call, ProcessBudget, ResourceLimits, WebServer
from jackdawspur.adapters._web_service import WebService
from jackdawspur.adapters.tests.conftest import Loop
from jackdawspur.callers import HttpResponse

LIMITS = ResourceLimits(memory_mb=8.0, max_descriptors=24)
PAGE = HttpResponse(200, b"x" * 100_000)


class Service(WebService):
    """Answers at once, unless told to leave the calls open."""

    def __init__(self) -> None:
        self.server: WebServer | None = None
        self.reply: HttpResponse | None = PAGE
        self.calls: list[int] = []

    def handle_call(self, call: Call) -> None:
        self.calls.append(call.call_id)
        if self.reply is not None:
            self.server.reply(call.call_id, self.reply)

    def caller_disconnected(self, call_id: int) -> None:
        pass


@pytest.fixture
def budget() -> ProcessBudget:
    return ProcessBudget(LIMITS)


@pytest.fixture
def services(loop: Loop, budget: ProcessBudget) -> list[Service]:
    """Return the services of two servers with one budget."""
    made = []
    for channel in ("callers", "ready"):
        service = Service()
        server = WebServer("127.0.0.1:0", service, channel, budget=budget)
        service.server = server.register(loop.root)
        made.append(service)
    loop.settle()
    return made


@pytest.fixture
def connect(loop: Loop):
    socks = []

    def make(service: Service, data: bytes = b"") -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(("127.0.0.1", service.server.port))
        sock.setblocking(False)
        socks.append(sock)
        loop.settle(3)
        send(loop, sock, data)
        return sock

    yield make
    for sock in socks:
        sock.close()


def send(loop: Loop, sock: socket.socket, data: bytes) -> None:
    for _ in range(2000):
        if not data:
            return
        try:
            data = data[sock.send(data) :]
        except BlockingIOError:
            loop.settle(2)
        except OSError:
            return


def received(loop: Loop, sock: socket.socket) -> bytes:
    loop.settle()
    try:
        return sock.recv(65_536)
    except BlockingIOError:
        return b""


def post(length: int, sent: int) -> bytes:
    head = f"POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n"
    return head.encode() + b" " * sent


def test_the_limits_follow_from_memory_and_descriptors():
    assert ResourceLimits(300.0, 3900).client_bytes == 118 << 20
    assert ResourceLimits(300.0, 3900).max_connections == 1950
    assert LIMITS.client_bytes == 1 << 20
    assert LIMITS.max_connections == 12


def test_the_largest_unfinished_request_gives_way(loop, budget, services, connect):
    """Guards against memory that grows with the number of unfinished requests."""
    callers, _probes = services
    largest = connect(callers, post(900_000, 600_000))
    small = connect(callers, post(1000, 900))
    connect(callers, post(900_000, 500_000))
    assert received(loop, largest).startswith(b"HTTP/1.1 503 ")
    assert budget.free_bytes >= 0
    send(loop, small, b" " * 100)
    assert received(loop, small).startswith(b"HTTP/1.1 200 ")


def test_a_refused_client_is_told_when_to_return(loop, budget, services, connect):
    callers, _probes = services
    largest = connect(callers, post(900_000, 700_000))
    connect(callers, post(900_000, 600_000))
    reply = received(loop, largest)
    assert b"Retry-After: 1\r\n" in reply
    assert b'"not_run":true' in reply


def test_connections_are_accepted_together(loop, services):
    """Guards against a caller that waits a pass of the loop for each one before it."""
    callers, _probes = services
    socks = []
    for _ in range(10):
        sock = socket.socket()
        sock.connect(("127.0.0.1", callers.server.port))
        socks.append(sock)
    loop.settle(3)
    assert callers.server.connections == 10
    for sock in socks:
        sock.close()


def test_all_servers_share_the_memory(loop, budget, services, connect):
    """Guards against a bound for each address, whose sum exceeds the memory."""
    callers, probes = services
    largest = connect(callers, post(900_000, 700_000))
    connect(probes, post(900_000, 600_000))
    assert received(loop, largest).startswith(b"HTTP/1.1 503 ")
    assert budget.free_bytes >= 0


def test_all_servers_share_the_connections(loop, budget, services, connect):
    """Guards against callers whose connections keep readiness probes from a reply."""
    callers, probes = services
    for _ in range(30):
        connect(callers, b"GET")
    assert budget.connections <= LIMITS.max_connections
    probe = connect(probes, b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
    assert received(loop, probe).startswith(b"HTTP/1.1 200 ")
    assert budget.connections <= LIMITS.max_connections


def test_connections_with_open_calls_are_kept(loop, services, connect):
    """Guards against callers that lose an accepted job to a crowd of connections."""
    callers, _probes = services
    callers.reply = None
    waiting = [connect(callers, post(0, 0)) for _ in range(12)]
    newest = connect(callers)
    assert received(loop, newest).startswith(b"HTTP/1.1 503 ")
    for call_id in callers.calls:
        callers.server.reply(call_id, HttpResponse(200, b"{}"))
    assert len(callers.calls) == 12
    for sock in waiting:
        assert received(loop, sock).startswith(b"HTTP/1.1 200 ")


def test_no_request_is_handled_while_replies_are_unread(loop, services, connect):
    """Guards against a client that requests pages and never reads them."""
    callers, _probes = services
    request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
    connect(callers, request * 200)
    loop.settle(100)
    assert len(callers.calls) < 10


def test_replies_that_are_read_late_are_all_sent(loop, services, connect):
    callers, _probes = services
    request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
    sock = connect(callers, request * 20)
    loop.settle(100)
    data = b""

    def is_complete() -> bool:
        nonlocal data
        for _ in range(50):
            data += received(loop, sock)
        return data.count(b"HTTP/1.1 200 ") == 20 and data.endswith(b"x")

    loop.run_until(is_complete)
    assert len(callers.calls) == 20


def test_a_client_that_never_reads_is_disconnected(loop, budget, services, connect):
    """Guards against unread replies that are kept until the client ends."""
    now = 1000.0
    service = Service()
    server = WebServer("127.0.0.1:0", service, "slow", lambda: now, budget=budget)
    service.server = server.register(loop.root)
    loop.settle()
    connect(service, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 20)
    loop.settle(20)
    assert server.connections == 1
    now += 11.0
    server._on_sweep()
    loop.settle()
    assert server.connections == 0


def test_a_client_that_reads_slowly_gets_its_whole_reply(loop, budget, connect):
    """Guards against closing connections that make progress."""
    now = 1000.0
    service = Service()
    service.reply = HttpResponse(200, b"x" * 400_000)
    server = WebServer("127.0.0.1:0", service, "slow", lambda: now, budget=budget)
    service.server = server.register(loop.root)
    loop.settle()
    sock = connect(service, b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
    data = b""
    while server.connections and now < 2000.0:
        now += 6.0
        for _ in range(40):
            data += received(loop, sock)
        server._on_sweep()
    assert data.count(b"x") == 400_000


def test_a_half_closed_client_is_disconnected_after_its_reply(
    loop, budget, services, connect
):
    """Guards against connections that stay open because a reply was sent in parts."""
    callers, _probes = services
    callers.reply = HttpResponse(200, b"x" * 400_000)
    sock = connect(callers, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    sock.shutdown(socket.SHUT_WR)
    data = b""

    def is_complete() -> bool:
        nonlocal data
        data += received(loop, sock)
        return not budget.connections

    loop.run_until(is_complete)
    loop.settle()
    while chunk := received(loop, sock):
        data += chunk
    assert data.count(b"x") == 400_000


def test_an_open_call_is_kept_when_what_follows_it_is_given_up(loop, services, connect):
    """Guards against a caller whose accepted job is cancelled for want of memory."""
    callers, _probes = services
    callers.reply = None
    waiting = connect(callers, post(0, 0) + post(60_000, 60_000))
    connect(callers, post(900_000, 700_000))
    connect(callers, post(900_000, 700_000))
    for number in range(20):
        connect(callers, post(60_000, 55_000 + number))
    callers.server.reply(callers.calls[0], HttpResponse(200, b"{}"))
    reply = received(loop, waiting)
    assert reply.replace(b"HTTP/1.1 100 Continue\r\n\r\n", b"").startswith(
        b"HTTP/1.1 200 "
    )


def test_closed_connections_give_their_memory_back(loop, budget, services, connect):
    callers, _probes = services
    for _ in range(3):
        sock = connect(callers, post(900_000, 300_000))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
    loop.settle()
    assert budget.used_bytes == 0


def test_new_connections_keep_the_limits_that_are_set(loop, services, connect):
    """Guards against requests that are larger than the configuration allows."""
    callers, _probes = services
    callers.server.set_request_limits(200, 1000)
    too_large = connect(callers, post(1001, 0))
    assert received(loop, too_large).startswith(b"HTTP/1.1 413 ")
    allowed = connect(callers, post(1000, 1000))
    assert received(loop, allowed).startswith(b"HTTP/1.1 200 ")
    long_head = b"GET / HTTP/1.1\r\nHost: h\r\nA: " + b"y" * 200 + b"\r\n\r\n"
    assert received(loop, connect(callers, long_head)).startswith(b"HTTP/1.1 413 ")
