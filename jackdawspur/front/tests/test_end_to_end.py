"""End-to-end tests with processes: callers, hosts, workers and the store."""

import json
import re
import time
from http.client import HTTPConnection
from pathlib import Path
from signal import SIGHUP

import pytest

from jackdawspur.soak import Deployment, stop_host, wait_for_answers, wait_until
from jackdawspur.standins import PLATFORM_HEADERS, platform_job_body

# Callers send a job again this long after their connection broke.
RESEND_S = 1.3


@pytest.fixture
def deployment(tmp_path):
    cluster = Deployment(tmp_path)
    yield cluster
    report = cluster.report()
    cluster.close()
    assert report.over_capacity == 0
    assert report.two_at_once == 0


def follower(deployment: Deployment):
    leader = deployment.leader()
    return next(host for host in deployment.hosts if host is not leader)


def test_jobs_of_all_hosts_complete(deployment: Deployment):
    sent = [deployment.submit(h, tasks=3) for h in deployment.hosts for _ in range(4)]
    got = wait_for_answers(sent)
    assert [a.status for a in got] == [200] * 12
    assert {a.body["state"] for a in got} == {"completed"}
    assert deployment.report().starts == 36


def test_callers_are_not_disturbed_when_the_leader_dies(deployment: Deployment):
    # Answers are lost: the leader loses power while tasks of other hosts' callers run.
    # The next leader takes over these runs. A lease (0.6 s) may expire on a worker
    # before the next leader has polled it and renewed the lease; only then does the
    # task run again.
    host, leader = follower(deployment), deployment.leader()
    sent = [deployment.submit(host, run_ms=1500.0) for _ in range(4)]
    time.sleep(0.4)
    leader.process.kill()
    got = wait_for_answers(sent)
    assert [a.status for a in got] == [200] * 4
    report = deployment.report()
    assert report.starts == 4 + report.lapsed
    ended = [x for x in host.log_lines() if x["message"] == "job ended"]
    assert [x["hand_overs"] for x in ended] == [1] * 4


def test_a_graceful_stop_breaks_no_request(deployment: Deployment):
    # A rolling restart loses requests in flight: the leader has callers of its own when
    # it receives the stop signal.
    leader = deployment.leader()
    sent = [deployment.submit(leader, run_ms=800.0) for _ in range(3)]
    time.sleep(0.2)
    assert stop_host(leader) == 0
    assert [a.status for a in wait_for_answers(sent)] == [200] * 3


def test_serving_goes_on_while_the_store_is_down(deployment: Deployment):
    deployment.set_faults(store_down=True)
    time.sleep(1.0)
    got = wait_for_answers([deployment.submit(host) for host in deployment.hosts])
    assert [a.status for a in got] == [200] * 3
    deployment.set_faults(store_down=False, forget=True)
    time.sleep(0.5)
    assert wait_for_answers([deployment.submit(deployment.hosts[0])])[0].status == 200


def test_a_task_of_an_unresponsive_worker_runs_again_on_another(deployment: Deployment):
    # A caller gets no answer: the worker that runs the task is partitioned and goes on.
    host = deployment.hosts[0]
    sent = [deployment.submit(host, run_ms=1200.0, tasks=2)]
    time.sleep(0.4)
    deployment.set_faults(silent=[0, 1])
    got = wait_for_answers(sent)
    assert got[0].status == 200


def test_a_job_whose_caller_left_is_cancelled(deployment: Deployment):
    host = follower(deployment)
    job = "00000000000000aa"
    future = deployment.submit(host, run_ms=4000.0, job=job)
    time.sleep(0.4)
    assert host.call("DELETE", f"/q/{job}").status == 200
    assert future.result(5).body["state"] == "failed"
    again = wait_for_answers([deployment.submit(host, tasks=8)])
    assert again[0].status == 200


@pytest.mark.parametrize("is_leader", [False, True])
def test_runs_of_a_caller_that_closes_its_connection_are_stopped(
    deployment: Deployment, is_leader: bool
):
    # Guards against taking a caller that has left for one that is half-closed: when it
    # sends its job again to a host across a network partition, the job runs twice.
    host = deployment.leader() if is_leader else follower(deployment)
    job = deployment.next_job_id()
    caller = HTTPConnection("127.0.0.1", host.callers_port)
    body = json.dumps(platform_job_body(4000.0, 2, False))
    caller.request("POST", f"/q/{job}", body, PLATFORM_HEADERS)
    wait_until(lambda: deployment.report().starts == 2, "two runs")
    left_at = time.monotonic()
    caller.close()
    leader = deployment.leader()
    wait_until(lambda: is_dropped(leader, job), "dropped job", RESEND_S)
    assert time.monotonic() - left_at < RESEND_S
    time.sleep(0.2)
    # Eight slots are free again only if both runs have been stopped.
    (answer,) = wait_for_answers([deployment.submit(host, tasks=8, run_ms=50.0)])
    assert answer.status == 200
    assert not deployment.report().lapsed


def is_dropped(leader, job: str) -> bool:
    """Return whether a leader has dropped a job."""
    lines = leader.log_lines()
    return any(x["message"] == "job dropped" and x["job"] == job for x in lines)


def test_bad_requests_get_clear_errors_and_the_host_goes_on(deployment: Deployment):
    host = deployment.hosts[0]
    assert host.call("POST", "/q/zz", {}).status == 400
    reply = host.call("POST", "/q/00000000000000ab", {"steps": 3})
    assert reply.status == 400
    assert "steps" in reply.body["error"]
    assert host.call("GET", "/none/").status == 404
    assert host.call("GET", "/q/").body == {"waiting": 0}
    assert host.call("GET", "/q/00000000000000ab").status == 410
    assert wait_for_answers([deployment.submit(host)])[0].status == 200


def test_a_host_reads_its_settings_again_on_sighup(deployment: Deployment):
    # A request is broken: the signal to reload the settings ended the process.
    host = deployment.hosts[0]
    sent = deployment.submit(host, run_ms=600.0)
    time.sleep(0.2)
    host.process.send_signal(1)
    assert sent.result(5).status == 200
    wait_until(
        lambda: any(x["message"] == "settings read again" for x in host.log_lines()),
        "line about the settings",
    )


def test_hosts_that_start_together_have_one_leader(deployment: Deployment):
    # All jobs are handed over just after their start: hosts that started together did
    # not know each other, and each of them led.
    deployment.leader()
    time.sleep(1.0)
    lines = [line for host in deployment.hosts for line in host.log_lines()]
    led = [x for x in lines if x["message"] == "leadership" and x["leads"]]
    assert len(led) == 1


def test_a_starting_host_survives_a_reload(deployment: Deployment):
    # A zone has one host fewer for half a second: the settings changed while the host
    # started, and the signal to reload ended it, since no handler was installed yet.
    host = deployment.hosts[0]
    host.process.kill()
    host.process.wait()
    started = len(host.log_lines())
    host.start()
    wait_until(lambda: ignores_reload(host.process.pid), "ignored signal")
    assert len(host.log_lines()) == started
    host.process.send_signal(SIGHUP)
    wait_until(host.is_ready, "ready host")
    assert host.process.poll() is None


def ignores_reload(pid: int) -> bool:
    """Return whether a process ignores or handles SIGHUP, the lowest bit of a mask."""
    status = Path(f"/proc/{pid}/status").read_text()
    masks = re.findall(r"^Sig(?:Ign|Cgt):\s*([0-9a-f]+)$", status, re.MULTILINE)
    return any(int(mask, 16) & 1 for mask in masks)
