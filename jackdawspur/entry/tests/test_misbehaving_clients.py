"""Tests of whole entry hosts whose clients exceed the limits or never finish."""

import pytest

from jackdawspur.entry._trial_settings import CALLER_TOKEN, Sizes
from jackdawspur.entry.tests.helpers import job
from jackdawspur.entry.trial import Deployment, wait_until
from jackdawspur.front.tests.crowds import (
    Crowd,
    is_idle,
    open_descriptors,
    peak_memory_mb,
)

MEMORY_MB = 128
MAX_DESCRIPTORS = 256
MAX_BODY_BYTES = 1_048_576
PATH = "/v1/jobs?wait=true"
HEAD = (
    f"POST {PATH} HTTP/1.1\r\nHost: e1\r\nAuthorization: Bearer {CALLER_TOKEN}\r\n"
    f"Content-Length: {MAX_BODY_BYTES}\r\n\r\n"
).encode()


@pytest.fixture
def limited(tmp_path):
    """Return a running deployment of one entry host with lowered limits."""
    sizes = Sizes(
        zones=("north",),
        hosts_per_zone=1,
        upstreams_per_zone=1,
        memory_mb=MEMORY_MB,
        max_descriptors=MAX_DESCRIPTORS,
    )
    running = Deployment(tmp_path, sizes)
    try:
        running.start()
        yield running
    finally:
        running.close()


def make_crowd(deployment: Deployment, size: int) -> Crowd:
    """Return clients of the entry host."""
    host, _, port = deployment.hosts[0].address.partition(":")
    return Crowd(int(port), size, host=host)


def check_host(deployment: Deployment) -> None:
    """Check that the host lives within its limits, and that it answers."""
    (host,) = deployment.hosts
    wait_until(lambda: is_idle(host.pid), "idle host")
    assert host.running
    assert open_descriptors(host.pid) <= MAX_DESCRIPTORS
    answer = host.call("POST", PATH, CALLER_TOKEN, job(20))
    assert answer.json["state"] == "complete"
    assert host.running
    assert peak_memory_mb(host.pid) <= MEMORY_MB


def test_bodies_that_stop_short_of_their_end_stay_within_memory(limited):
    """An entry host runs out of memory: clients send all but the last byte."""
    with make_crowd(limited, 120) as crowd:
        crowd.send(HEAD + b" " * (MAX_BODY_BYTES - 1))
        check_host(limited)


def test_idle_connections_leave_descriptors_to_others(limited):
    """An entry host can't accept any more: idle clients hold all descriptors."""
    with make_crowd(limited, 400):
        check_host(limited)
