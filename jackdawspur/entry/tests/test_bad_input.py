"""Invalid input of callers, sent to the server and routes over loopback sockets."""

import socket

import pytest

import jackdawspur.adapters._web as web
from jackdawspur.adapters.tests.conftest import Loop
from jackdawspur.callers import answer_response
from jackdawspur.configuration import (
    Configuration,
    CustomerEntry,
    JobClass,
    token_hash,
)
from jackdawspur.entry.tests.raw_callers import (
    JOB,
    MAX_BODY,
    TOKEN,
    Caller,
    Host,
    request,
)
from jackdawspur.model import Answer, JobState


@pytest.fixture
def loop():
    loop = Loop()
    yield loop
    loop.root.stop()


@pytest.fixture
def host(loop):
    host = Host(loop)
    classes = (JobClass(name="c", deadline_ms=1000.0),)
    customer = CustomerEntry(
        name="a", token_sha256=(token_hash(TOKEN),), quota_slots=8, classes=classes
    )
    host.routes.set_configuration(Configuration(customers=(customer,)))
    loop.settle()
    return host


@pytest.fixture
def call(loop, host):
    callers = []

    def make() -> Caller:
        callers.append(Caller(loop, host.server.port))
        loop.settle(3)
        return callers[-1]

    yield make
    for caller in callers:
        caller.sock.close()


def is_answered(caller: Caller) -> bool:
    caller.send(request(JOB))
    return caller.reply().body["state"] == "complete"


def with_task(**fields) -> dict:
    return {"job_class": "c", "tasks": [fields]}


@pytest.mark.parametrize(
    ("body", "named"),
    [
        (b'{"job_class": "c", "tasks": [{"pay', "body"),
        (b"", "body"),
        (b"[" * 100_000, "body"),
        (b"\xff\xfe\x00", "body"),
        ([], "body"),
        ({"job_class": 7, "tasks": [{}]}, "job_class"),
        ({"job_class": "no-such", "tasks": [{}]}, "job_class"),
        ({"job_class": "c", "tasks": "many"}, "tasks"),
        ({"job_class": "c", "tasks": []}, "tasks"),
        ({"job_class": "c", "tasks": [{}] * 361}, "tasks"),
        ({**JOB, "deadline_ms": -1}, "deadline_ms"),
        ({**JOB, "deadline_ms": 1e300}, "deadline_ms"),
        (b'{"job_class":"c","tasks":[{}],"deadline_ms":NaN}', "deadline_ms"),
        ({**JOB, "idempotnet": False}, "idempotnet"),
        (with_task(cpus=-1), "tasks.0.cpus"),
        (with_task(cpus=10**30), "tasks.0.cpus"),
        (with_task(run_ms=-5), "tasks.0.run_ms"),
        (with_task(run_ms=1e300), "tasks.0.run_ms"),
        (with_task(memory_mb=1e18), "tasks.0.memory_mb"),
        (with_task(accelerators="2"), "tasks.0.accelerators"),
        (with_task(payload="x" * 65_537), "tasks.0.payload"),
    ],
)
def test_bad_body_names_its_field_and_ran_nothing(host, call, body, named):
    """The reply to an invalid job must name the field and say that nothing ran.

    The connection must stay open for the caller's next job.
    """
    caller = call()
    caller.send(request(body))
    reply = caller.reply()
    assert (reply.status, reply.body["not_run"]) == (400, True)
    assert named in reply.body["message"]
    assert not host.submitted
    assert is_answered(caller)


def test_unknown_customer_is_refused(host, call):
    """A caller with a revoked token gets the reply that nothing ran."""
    caller = call()
    caller.send(request(JOB).replace(b"Bearer t", b"Bearer u"))
    reply = caller.reply()
    assert (reply.status, reply.body["not_run"]) == (401, True)
    assert not host.submitted


def test_keyed_job_may_not_outlive_its_key(host, call):
    """A keyed job must not run twice because its key expires before its deadline.

    With a deadline of an hour, a repeat could come after the key has expired, after ten
    minutes, while the first job is still waiting.
    """
    caller = call()
    long_job = JOB | {"deadline_ms": 3_600_000}
    caller.send(request(long_job, extra="Idempotency-Key: order-17\r\n"))
    reply = caller.reply()
    assert (reply.status, reply.body["not_run"]) == (400, True)
    assert "deadline_ms" in reply.body["message"]
    assert not host.submitted


HEAD = b"POST /v1/jobs HTTP/1.1\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400),
        (b"SSH-2.0-OpenSSH_9.2\r\n\r\n", 400),
        (b"GET \\xZZ HTTP/1.1\r\n\r\n", 400),
        (HEAD + b"no colon\r\n\r\n", 400),
        (HEAD + b"\r\n", 400),
        (b"POST /v1/jobs HTTP/2.0\r\nHost: x\r\n\r\n", 400),
        (HEAD + b"Host: x\r\nContent-Length: many\r\n\r\n", 400),
        (HEAD + b"Host: x\r\nContent-Length: -5\r\n\r\n", 400),
        (HEAD + b"Host: x\r\nContent-Length: 1_0\r\n\r\n", 400),
        (HEAD + b"Host: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (HEAD + b"Host: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", 400),
        (HEAD + b"Host: x\r\nContent-Length: 1048577\r\n\r\n", 413),
        (HEAD + b"Host: x\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n", 413),
        (b"x" * 70_000, 413),
        (HEAD + b"Host: x\r\nA: " + b"y" * 70_000 + b"\r\n\r\n", 413),
    ],
)
def test_malformed_request_is_refused_and_closed(host, call, data, status):
    """A scanner, a client on the wrong port or a faulty client sends malformed HTTP.

    The parser of circuits raises or waits on some of these, and the client would hang.
    """
    other, caller = call(), call()
    caller.send(data)
    reply = caller.reply()
    assert (reply.status, reply.body["not_run"]) == (status, True)
    caller.wait_closed()
    assert not host.submitted and is_answered(other)


def test_caller_that_still_sends_a_huge_body_gets_the_refusal(host, call):
    """A caller sends 8 MB and reads the reply only afterwards.

    If the connection were closed with unread bytes, the kernel would reset it, and the
    caller would get a broken pipe instead of the reason.
    """
    caller = call()
    caller.send(request(b"x" * 8_000_000))
    assert caller.reply().status == 413
    assert is_answered(call())


def test_body_of_the_maximum_size_is_read(host, call):
    caller = call()
    caller.send(request(JOB) + request(b" " * (MAX_BODY - 2) + b"{}"))
    assert caller.reply().status == 200
    assert caller.reply().body["code"] == "invalid"


@pytest.mark.parametrize("place", [1, len(HEAD) - 1, 60])
def test_request_in_two_parts_is_read_whole(loop, host, call, place):
    """The network splits a request between the CR and the LF of its first line.

    The parser of circuits never ends such a line, so the caller would wait forever.
    """
    caller, data = call(), request(JOB, path="/v1/jobs")
    caller.send(data[:place])
    loop.settle()
    caller.send(data[place:])
    assert caller.reply().status == 200


@pytest.mark.parametrize("part", [b"POST", request(JOB)[:-3]])
def test_slow_sender_is_refused_in_time_and_blocks_no_other(loop, host, call, part):
    """A caller sends a part of its request, then single bytes for hours.

    A thousand such callers would use up all connections. Each request must be complete
    within ten seconds.
    """
    caller, other = call(), call()
    caller.send(part)
    loop.settle()
    host.now += 9.0
    caller.send(b" ")
    loop.settle()
    assert is_answered(other)
    host.now += 1.5
    host.server.fire(web.sweep())
    reply = caller.reply()
    assert (reply.status, reply.body["not_run"]) == (400, True)
    assert "10 s" in reply.body["message"]
    caller.wait_closed()


def test_caller_that_waits_for_its_answer_is_no_slow_sender(loop, host, call):
    caller = call()
    host.answers_at_once = False
    caller.send(request(JOB))
    loop.run_until(lambda: host.submitted)
    host.now += 60.0
    host.server.fire(web.sweep())
    loop.settle()
    host.answer(host.submitted[0].call)
    assert caller.reply().status == 200


def test_half_closed_caller_gets_its_answer(loop, host, call):
    """A caller shuts down its sending side after the job and waits for the answer."""
    caller = call()
    host.answers_at_once = False
    caller.send(request(JOB))
    caller.sock.shutdown(socket.SHUT_WR)
    loop.run_until(lambda: host.submitted)
    loop.settle()
    host.answer(host.submitted[0].call)
    assert caller.reply().status == 200
    caller.wait_closed()


def test_request_truncated_by_a_half_close_is_refused(host, call):
    """A caller shuts down its sending side in the middle of a request."""
    caller = call()
    caller.send(request(JOB)[:-3])
    caller.sock.shutdown(socket.SHUT_WR)
    reply = caller.reply()
    assert (reply.status, reply.body["not_run"]) == (400, True)
    caller.wait_closed()
    assert not host.submitted


def test_pipelined_requests_are_answered_in_order(loop, host, call):
    """A client sends three jobs at once; circuits parsed the later two as one body."""
    caller = call()
    host.answers_at_once = False
    caller.send(request(JOB) + request([]) + request(JOB))
    loop.run_until(lambda: host.submitted)
    loop.settle()
    assert len(host.submitted) == 1
    host.answer(host.submitted[0].call)
    assert [caller.reply().status, caller.reply().status] == [200, 400]
    loop.run_until(lambda: len(host.submitted) == 2)
    host.answer(host.submitted[1].call)
    assert caller.reply().status == 200


def test_pipelined_flood_is_throttled(loop, host, call):
    """A caller sends requests without pause while its first job runs.

    Beyond the maximum size of one request, bytes stay in the kernel, whose flow
    control stops the sender.
    """
    caller = call()
    host.answers_at_once = False
    caller.send(request(JOB))
    loop.run_until(lambda: host.submitted)
    flood, sent = request(JOB) * 100, 0
    for _ in range(2000):
        try:
            sent += caller.sock.send(flood)
        except BlockingIOError:
            loop.settle(1)
    (connection,) = host.server._connections.values()
    assert connection.reader.buffered < 2 * MAX_BODY < sent
    host.answer(host.submitted[0].call)
    assert caller.reply().status == 200
    host.answers_at_once = True
    assert is_answered(call())


def test_host_header_without_a_port_number_is_accepted(call):
    """circuits raised on such a header, and the caller never got an answer."""
    caller = call()
    caller.send(request(JOB).replace(b"Host: e1", b"Host: x:yy"))
    assert caller.reply().status == 200


def test_caller_that_expects_100_continue_gets_it(loop, host, call):
    """Before a large body, curl sends `Expect: 100-continue` and waits a second."""
    caller, data = call(), request(JOB, extra="Expect: 100-continue\r\n")
    end = data.index(b"\r\n\r\n") + 4
    caller.send(data[:end])

    def continued() -> bool:
        caller.receive()
        return caller.data.startswith(b"HTTP/1.1 100 ")

    loop.run_until(continued)
    caller.data = b""
    caller.send(data[end:])
    assert caller.reply().status == 200


def test_idle_connections_lock_no_caller_out(loop, host, call, monkeypatch):
    """A caller that leaks idle connections must not keep others from connecting.

    At the host's limit, an idle connection is closed for a new one. If all are in use,
    a new one is refused with an answer.
    """
    monkeypatch.setattr(web, "MAX_CONNECTIONS", 4)
    idle = [call() for _ in range(6)]
    loop.settle()
    assert host.server.connections == 4
    idle[0].wait_closed()
    assert is_answered(idle[5])
    host.answers_at_once = False
    for caller in idle[2:]:
        caller.send(request(JOB))
    loop.run_until(lambda: len(host.submitted) == 5)
    reply = call().reply()
    assert (reply.status, reply.body["not_run"]) == (503, True)


def reset_during_reply(loop, host, caller: Caller) -> None:
    """Reset the connection while a part of the reply is still in the host's buffer."""
    caller.send(request(JOB))
    loop.run_until(lambda: host.server.open_calls)
    large = Answer(JobState.COMPLETE, outputs=("x" * 8_000_000,))
    host.reply(host.submitted[-1].call, answer_response(large))
    loop.settle()
    caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    caller.sock.close()
    loop.settle()


def test_closed_connections_leave_nothing_behind(loop, host, call):
    """Connections that ended abnormally must not make the memory of a host grow.

    circuits keeps the parsers, requests and buffers of sockets until a reply is sent.
    """
    host.answers_at_once = False
    fragments = [b"", b"POST", request(JOB)[:-3], request(JOB), b"nonsense\r\n\r\n"]
    for part in fragments * 3:
        caller = call()
        caller.send(part)
        loop.settle(4)
        caller.sock.close()
    loop.settle()
    for event in host.submitted:
        host.answer(event.call)
    loop.settle()
    reset_during_reply(loop, host, call())
    sockets = host.server._sockets
    assert host.server.connections == host.server.open_calls == 0
    assert not sockets._buffers and not sockets._clients and not sockets._closeq
    assert not [s for s in loop.poller._targets if s not in (sockets._sock,)]


def test_exception_in_a_route_answers_its_caller(host, call, monkeypatch):
    """A route raises; the caller gets an answer that the outcome is unknown."""

    def broken(_call):
        raise KeyError("boom")

    monkeypatch.setattr(host.routes, "handle_call", broken)
    caller = call()
    caller.send(request(JOB))
    reply = caller.reply()
    assert (reply.status, reply.body["not_run"]) == (504, False)
