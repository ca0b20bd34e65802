"""Two zones, each with a leading host of its own, help each other out."""

import time

import pytest

from jackdawspur.soak import Deployment, wait_for_answers, wait_until

# Two workers a zone, with room for two tasks each.
ROOM = 4


@pytest.fixture
def deployment(tmp_path):
    one = Deployment(tmp_path, hosts=4, workers=4, zones=("z1", "z2"), most_upstreams=2)
    wait_until(lambda: sum(h.leads() for h in one.hosts) == 2, "two leading hosts")
    # Leading hosts find those of other groups within a second or two.
    time.sleep(2.5)
    yield one
    report = one.report()
    one.close()
    assert report.two_at_once == report.over_capacity == 0


def redirected_jobs(deployment: Deployment) -> int:
    lines = [line for host in deployment.hosts for line in host.log_lines()]
    return sum(line["message"] == "job passed on to another group" for line in lines)


def test_jobs_go_to_the_zone_that_has_room(deployment: Deployment):
    # Callers of one zone wait for each other's tasks beside a zone that stands idle.
    host = deployment.hosts[0]
    began = time.monotonic()
    sent = [deployment.submit(host, run_ms=1500.0, tasks=ROOM) for _ in range(2)]
    got = wait_for_answers(sent)
    assert [a.status for a in got] == [200] * 2
    assert {a.body["state"] for a in got} == {"completed"}
    assert time.monotonic() - began < 2.8
    assert redirected_jobs(deployment) == 1
    assert deployment.report().starts == 2 * ROOM


def test_a_job_passed_on_gets_its_answer_when_the_other_zones_lead_is_lost(deployment):
    # A caller waits in vain: the leading host of the zone that had its job died, and
    # nobody else knows of the job.
    host = deployment.hosts[0]
    other = next(h for h in deployment.hosts[1::2] if h.leads())
    first = deployment.submit(host, run_ms=2500.0, tasks=ROOM)
    time.sleep(0.1)
    second = deployment.submit(host, run_ms=2500.0, tasks=ROOM)
    wait_until(lambda: redirected_jobs(deployment) == 1, "job passed on", 3.0)
    time.sleep(0.3)
    other.process.kill()
    assert sorted(a.status for a in wait_for_answers([first, second])) == [200, 504]


def test_a_caller_that_leaves_stops_its_job_in_the_other_zone(deployment: Deployment):
    host = deployment.hosts[0]
    first = deployment.submit(host, run_ms=1500.0, tasks=ROOM)
    time.sleep(0.1)
    job = "00000000000000aa"
    second = deployment.submit(host, run_ms=4000.0, tasks=ROOM, job=job)
    wait_until(lambda: redirected_jobs(deployment) == 1, "job passed on", 3.0)
    time.sleep(0.3)
    assert host.call("DELETE", f"/q/{job}").status == 200
    assert second.result(5).body["state"] == "failed"
    far = deployment.hosts[1]
    again = wait_for_answers([deployment.submit(far, run_ms=100.0, tasks=ROOM)])
    assert again[0].status == 200
    assert first.result(10).status == 200
