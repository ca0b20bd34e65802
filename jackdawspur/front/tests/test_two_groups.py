"""Tests of two groups, one for each zone, that redirect jobs to each other."""

import time

import pytest

from jackdawspur.soak import Deployment, wait_for_answers, wait_until

# Tasks that fit into a zone: two workers with capacity for two tasks each.
CAPACITY = 4


@pytest.fixture
def deployment(tmp_path):
    cluster = Deployment(
        tmp_path, hosts=4, workers=4, zones=("z1", "z2"), most_upstreams=2
    )
    wait_until(
        lambda: sum(h.is_leader() for h in cluster.hosts) == 2, "two leading hosts"
    )
    # Leaders discover those of other groups within a second or two.
    time.sleep(2.5)
    yield cluster
    report = cluster.report()
    cluster.close()
    assert report.two_at_once == report.over_capacity == 0


def redirected_jobs(deployment: Deployment) -> int:
    lines = [line for host in deployment.hosts for line in host.log_lines()]
    return sum(line["message"] == "job passed on to another group" for line in lines)


def test_jobs_go_to_the_zone_with_free_capacity(deployment: Deployment):
    # Callers of one zone wait for each other's tasks while another zone is idle.
    host = deployment.hosts[0]
    start_s = time.monotonic()
    sent = [deployment.submit(host, run_ms=1500.0, tasks=CAPACITY) for _ in range(2)]
    got = wait_for_answers(sent)
    assert [a.status for a in got] == [200] * 2
    assert {a.body["state"] for a in got} == {"completed"}
    assert time.monotonic() - start_s < 2.8
    assert redirected_jobs(deployment) == 1
    assert deployment.report().starts == 2 * CAPACITY


def test_a_redirected_job_is_answered_when_the_other_leader_is_lost(deployment):
    # A caller gets no answer: the leader of the zone that had its job died, and no
    # other host there knows the job.
    host = deployment.hosts[0]
    other = next(h for h in deployment.hosts[1::2] if h.is_leader())
    first = deployment.submit(host, run_ms=2500.0, tasks=CAPACITY)
    time.sleep(0.1)
    second = deployment.submit(host, run_ms=2500.0, tasks=CAPACITY)
    wait_until(lambda: redirected_jobs(deployment) == 1, "job passed on", 3.0)
    time.sleep(0.3)
    other.process.kill()
    assert sorted(a.status for a in wait_for_answers([first, second])) == [200, 504]


def test_a_caller_that_leaves_stops_its_job_in_the_other_zone(deployment: Deployment):
    host = deployment.hosts[0]
    first = deployment.submit(host, run_ms=1500.0, tasks=CAPACITY)
    time.sleep(0.1)
    job = "00000000000000aa"
    second = deployment.submit(host, run_ms=4000.0, tasks=CAPACITY, job=job)
    wait_until(lambda: redirected_jobs(deployment) == 1, "job passed on", 3.0)
    time.sleep(0.3)
    assert host.call("DELETE", f"/q/{job}").status == 200
    assert second.result(5).body["state"] == "failed"
    other_host = deployment.hosts[1]
    again = wait_for_answers(
        [deployment.submit(other_host, run_ms=100.0, tasks=CAPACITY)]
    )
    assert again[0].status == 200
    assert first.result(10).status == 200
