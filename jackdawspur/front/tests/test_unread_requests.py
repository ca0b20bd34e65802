"""End-to-end tests of requests that a frozen host reads when it resumes."""

import json
import socket
import time
from signal import SIGCONT, SIGSTOP

import pytest

from jackdawspur.soak import Deployment, wait_for_answers, wait_until
from jackdawspur.standins import PLATFORM_HEADERS, platform_job_body

FREEZE_S = 3.5
TIMEOUT_S = 1.5
RESEND_S = 1.3
RUN_MS = 1200.0


@pytest.fixture
def deployment(tmp_path):
    """Yield two zones with a leader each."""
    cluster = Deployment(
        tmp_path, hosts=4, workers=8, zones=("z1", "z2"), most_upstreams=4
    )
    try:
        wait_until(
            lambda: sum(h.is_leader() for h in cluster.hosts) == 2, "two leading hosts"
        )
        yield cluster
    finally:
        cluster.close()


def request_of(job: str, timeout_s: float) -> bytes:
    """Return the bytes of a request that submits a job."""
    body = json.dumps(platform_job_body(RUN_MS, 1, False)).encode()
    headers = PLATFORM_HEADERS | {
        "X-Deadline-Ms": str(int(timeout_s * 1000)),
        "Content-Length": str(len(body)),
    }
    lines = [f"POST /q/{job} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode() + body


def connect(host) -> socket.socket:
    return socket.create_connection(("127.0.0.1", host.callers_port), timeout=10.0)


def read_answer(sock: socket.socket) -> bytes:
    """Return what the host sends until a final answer is complete."""
    data = b""
    while not data.endswith(b"}"):
        chunk = sock.recv(65_536)
        if not chunk:
            break
        data += chunk
    return data


def frozen_follower(deployment: Deployment):
    return next(h for h in deployment.hosts if h.zone == "z1" and not h.is_leader())


def test_requests_that_were_sent_again_elsewhere_are_not_run(deployment: Deployment):
    # Guards against taking a request that lay in a socket while its host was frozen for
    # one that its caller has just sent: on an open connection, on one that is not yet
    # accepted, and with half of the body read before.
    host = frozen_follower(deployment)
    jobs = [deployment.next_job_id() for _ in range(3)]
    requests = [request_of(job, TIMEOUT_S) for job in jobs]
    opened, halfway = connect(host), connect(host)
    half = len(requests[1]) - 20
    halfway.sendall(requests[1][:half])
    time.sleep(0.2)
    host.process.send_signal(SIGSTOP)
    frozen_at = time.monotonic()
    accepted_later = connect(host)
    opened.sendall(requests[0])
    halfway.sendall(requests[1][half:])
    accepted_later.sendall(requests[2])
    time.sleep(TIMEOUT_S)
    for sock in (opened, halfway, accepted_later):
        sock.close()
    time.sleep(RESEND_S)
    other = next(h for h in deployment.hosts if h.zone == "z2")
    again = [deployment.submit(other, RUN_MS, job=job) for job in jobs]
    time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    host.process.send_signal(SIGCONT)
    assert [answer.status for answer in wait_for_answers(again)] == [200] * 3
    report = deployment.report()
    assert report.two_at_once == 0
    assert report.starts == 3


def test_callers_that_still_wait_for_a_frozen_host_are_answered(deployment: Deployment):
    # One has time left and is served; the time of the other may be over, so it is told
    # at once that nothing ran.
    host = frozen_follower(deployment)
    patient, hasty = connect(host), connect(host)
    host.process.send_signal(SIGSTOP)
    patient.sendall(request_of(deployment.next_job_id(), 3 * FREEZE_S))
    time.sleep(FREEZE_S - 0.5)
    hasty.sendall(request_of(deployment.next_job_id(), TIMEOUT_S))
    time.sleep(0.5)
    host.process.send_signal(SIGCONT)
    resumed_at = time.monotonic()
    refusal = read_answer(hasty)
    assert time.monotonic() - resumed_at < 0.5
    assert refusal.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: 1" in refusal
    assert b'"not_run":true' in refusal
    assert b"HTTP/1.1 200 " in read_answer(patient)
    assert deployment.report().starts == 1
