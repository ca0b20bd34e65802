"""The status page shows what a host knows, owns and last heard."""

import subprocess
import sys

import pytest

from jackdawspur.soak import Deployment, wait_until


@pytest.fixture
def deployment(tmp_path):
    one = Deployment(tmp_path, hosts=2, workers=2)
    yield one
    one.close()


def page(deployment: Deployment, host) -> dict:
    return host.call("GET", "/status", port=host.metrics_port).body


def test_a_leading_host_shows_its_upstreams_queues_and_peers(deployment: Deployment):
    leader = deployment.leader()
    job = deployment.submit(leader, run_ms=1500.0)
    wait_until(lambda: page(deployment, leader)["queues"], "open jobs", 5.0)
    shown = page(deployment, leader)
    assert shown["leads"] and shown["leader"] == leader.name and shown["fence"]
    assert shown["queues"] == [{"route": "r-1", "open": 1, "waiting": 0}]
    assert sorted(one["name"] for one in shown["upstreams"]) == ["w0", "w1"]
    assert all(one["owned"] and one["allowed"] for one in shown["upstreams"])
    assert sum(one["runs"] for one in shown["upstreams"]) == 1
    (peer,) = shown["peers"]
    assert peer["alive"] and not peer["leads"]
    assert shown["store"]["configuration"] == 3
    assert shown["callers_waiting"] == 1
    assert job.result(10).status == 200


def test_a_host_that_follows_shows_what_the_store_last_said(deployment: Deployment):
    leader = deployment.leader()
    host = next(one for one in deployment.hosts if one is not leader)
    assert page(deployment, host)["upstreams"] == []
    assert page(deployment, host)["store"]["reachable"]
    deployment.set_faults(store_down=True)
    wait_until(
        lambda: not page(deployment, host)["store"]["reachable"], "loss of the store"
    )
    assert "503" in page(deployment, host)["store"]["said"]


def test_the_command_prints_it_for_people(deployment: Deployment):
    leader = deployment.leader()
    words = ["status", f"--host=127.0.0.1:{leader.metrics_port}"]
    done = subprocess.run(
        [sys.executable, "-m", "jackdawspur", *words],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 0
    assert f"leading host: {leader.name}" in done.stdout
    assert "upstream w1 in z1: owned, answers" in done.stdout
