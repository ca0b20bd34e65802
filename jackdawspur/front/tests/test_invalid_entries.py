"""Tests with processes of invalid entries of workers, and of what answers there."""

import json
import time
from collections.abc import Iterator

import pytest

from jackdawspur.front.tests.raw_servers import RawServer
from jackdawspur.soak import Deployment, wait_for_answers, wait_until
from jackdawspur.standins import PLATFORM_ROUTE, platform_job_body

NESTED = b"[" * 100_000 + b"]" * 100_000
# Too large for a float, and for the types of most codecs.
HUGE = b"9" * 400
ENTRY = {
    "service": PLATFORM_ROUTE["service"],
    "address": "127.0.0.1:9",
    "zone": "z1",
    "capacity": {"cpu": 32_000, "mem_mb": 1024},
}
MAX_LINE_BYTES = 4096
# Tasks of a job that, sent to each host, use the other workers and the invalid one.
FULL_LOAD = 4


def entry(**values) -> bytes:
    return json.dumps(ENTRY | values).encode()


def with_field(name: bytes, value: bytes) -> bytes:
    """Return an entry with a further field in JSON."""
    return entry()[:-1] + b',"' + name + b'":' + value + b"}"


ENTRIES = {
    b"nested": NESTED,
    b"nested-field": with_field(b"slots", NESTED),
    b"nested-labels": with_field(b"labels", NESTED),
    b"huge": with_field(b"capacity", b'{"cpu":' + HUGE + b"}"),
    b"huge-unknown": with_field(b"sequence", b"9" * 100_000),
    b"port": entry(address="127.0.0.1:70000"),
    b"port-0": entry(address="127.0.0.1:0"),
    b"long-port": entry(address="127.0.0.1:" + "9" * 100_000),
    b"no-peer": entry(address="127.255.255.255:80"),
    b"any-peer": entry(address="0.0.0.0:9"),
    b"state": entry(state="x" * 200_000),
    b"labels": entry(labels=["x" * 1000] * 200),
    b"zone": entry(zone="z" * 200_000),
    b"empty": entry(capacity={}),
    b"full": entry(capacity={"cpu": 1 << 40, "mem_mb": 1 << 40}),
    b"two\r\nX-Second: lines": entry(),
    b"not utf-8 \xff\xfe": entry(),
    "\u00fc\u0661".encode(): entry(),
    b"": entry(),
}
REPLIES = {
    "nested": b'{"clock_ms":1,"x":' + NESTED + b"}",
    "nested-runs": b'{"clock_ms":1,"running":' + NESTED + b"}",
    "huge-clock": b'{"clock_ms":' + HUGE + b"}",
    "large-clock": b'{"clock_ms":1180591620717411303424}',
    "negative-clock": b'{"clock_ms":-1180591620717411303424}',
    "huge-run": b'{"clock_ms":1,"running":[["aa.0.0.0",1e300,"",1]]}',
    "nan": b'{"clock_ms":1,"running":[["aa.0.0.0",1,"","nan"]]}',
    "huge-end": b'{"clock_ms":1,"ended":[[1e300,"aa.0.0.0",1,"done",""]]}',
    "huge-born": b'{"clock_ms":1,"born":' + HUGE + b"}",
    "no-object": b"[]",
    "no-json": b"\x00\xff" * 1000,
}


@pytest.fixture
def deployment(tmp_path) -> Iterator[Deployment]:
    cluster = Deployment(tmp_path)
    yield cluster
    cluster.close()


@pytest.fixture
def raw_server() -> Iterator[RawServer]:
    server = RawServer()
    yield server
    server.close()


def check_all_serve(deployment: Deployment, seconds: float, tasks: int = 1) -> None:
    """Check that all hosts answer jobs and go on."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        sent = [deployment.submit(host, 30.0, tasks) for host in deployment.hosts]
        assert [a.status for a in wait_for_answers(sent)] == [200] * len(sent)
    for host in deployment.hosts:
        assert host.process.poll() is None
        check_log(host)


def check_log(host) -> None:
    """Check that a host logged no exception, and no long line."""
    lines = host.log_lines()
    assert not [x for x in lines if "failed" in x["message"] or "exc_info" in x]
    assert max(len(json.dumps(line)) for line in lines) < MAX_LINE_BYTES


def check_list_is_followed(deployment: Deployment) -> None:
    """Check that hosts notice that workers leave the list and come back."""
    host = deployment.hosts[0]
    deployment.set_faults(unlisted=[0, 1, 2, 3])
    # A missing entry is dropped after 2.5 s, with the next read, which may take 2 s.
    time.sleep(6.0)
    starts = deployment.report().starts
    assert wait_for_answers([deployment.submit(host, 30.0)])[0].status != 200
    assert deployment.report().starts == starts
    deployment.set_faults(unlisted=[])
    time.sleep(2.0)
    sent = [deployment.submit(host, 200.0, tasks=8)]
    assert wait_for_answers(sent)[0].status == 200
    assert deployment.report().starts > starts


def test_invalid_entries_disturb_nobody(deployment: Deployment):
    # Guards against one writer's entry that ends all hosts, or stops their reading of
    # the list.
    for name, value in ENTRIES.items():
        deployment.write_entry(name, value)
        check_all_serve(deployment, 0.3)
    check_list_is_followed(deployment)


@pytest.mark.parametrize("name", REPLIES)
def test_a_worker_with_malformed_replies_disturbs_nobody(
    deployment: Deployment, raw_server: RawServer, name: str
):
    # Guards against a reply that ends the leader's term: its successors poll the same
    # worker.
    raw_server.body = REPLIES[name]
    deployment.write_entry(b"odd", entry(address=raw_server.address))
    wait_until(lambda: raw_server.requests > 5, "polls of the worker")
    check_all_serve(deployment, 1.0, FULL_LOAD)
    raw_server.silent = True
    check_all_serve(deployment, 2.0, FULL_LOAD)


@pytest.mark.parametrize("status", [409, 421, 500])
def test_a_worker_with_nested_refusals_disturbs_nobody(
    deployment: Deployment, raw_server: RawServer, status: int
):
    raw_server.status, raw_server.body = status, b'{"reason":"fence","x":' + NESTED
    deployment.write_entry(b"odd", entry(address=raw_server.address))
    wait_until(lambda: raw_server.requests, "poll of the worker")
    check_all_serve(deployment, 1.5)


@pytest.mark.parametrize("field", ["cpu", "mem_mb", "gpus", "max_per_server"])
def test_jobs_with_numbers_too_large_disturb_nobody(deployment: Deployment, field: str):
    # Guards against offers that can't be encoded for the leader: each repetition would
    # interrupt all that their host does.
    leader = deployment.leader()
    host = next(host for host in deployment.hosts if host is not leader)
    body = platform_job_body(30.0, 1, False)
    body["steps"][0][field] = 1 << 64
    for _ in range(25):
        reply = host.call("POST", f"/q/{deployment.next_job_id()}", body)
        assert (reply.status, reply.body["not_run"]) == (400, True)
    check_all_serve(deployment, 0.5)
