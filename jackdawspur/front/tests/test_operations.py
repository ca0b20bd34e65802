"""Tests of the steps in docs/OPERATIONS.md from a failed request to its cause."""

import time

import pytest

from jackdawspur.soak import Deployment, wait_for_answers, wait_until

STORE_WORDS = ("lost", "regained")


@pytest.fixture
def deployment(tmp_path):
    cluster = Deployment(tmp_path, hosts=2, workers=2)
    yield cluster
    cluster.close()


def grep(deployment: Deployment, text: str) -> list[dict]:
    """Return the log lines of all hosts with a text, as the page's commands do."""
    lines = [line for host in deployment.hosts for line in host.log_lines()]
    return [line for line in lines if text in str(line)]


def with_message(lines: list[dict], message: str) -> list[dict]:
    return [line for line in lines if line["message"] == message]


def test_from_a_request_lost_with_its_worker_to_the_unresponsive_worker(deployment):
    # A caller gets no answer in time: both workers were partitioned while its task ran.
    job = "00000000000000b1"
    sent = deployment.submit(deployment.hosts[0], run_ms=2500.0, job=job)
    time.sleep(0.4)
    deployment.set_faults(silent=[0, 1])
    assert wait_for_answers([sent])[0].status in (503, 504)
    about = grep(deployment, job)
    assert with_message(about, "job ended")[0]["end"] == "out_of_time"
    lost = with_message(about, "run lost")[0]
    assert lost["inputs"]["silent_ms"] > 500
    upstream = grep(deployment, lost["upstream"])
    assert with_message(upstream, "upstream silent")[0]["inputs"]["runs"] >= 1


def test_from_a_refused_request_to_what_it_would_have_needed(deployment):
    # A caller is refused and has to retry later: there were more jobs than the workers
    # could complete in time.
    host = deployment.hosts[1]
    sent = [deployment.submit(host, run_ms=400.0, tasks=4) for _ in range(12)]
    got = wait_for_answers(sent)
    refused = [answer for answer in got if answer.status == 429]
    assert refused
    assert all(int(answer.retry_after) >= 1 for answer in refused)
    assert all(answer.body["not_run"] for answer in refused)
    ended = [x for x in grep(deployment, "job ended") if x["end"] == "refused"]
    about = grep(deployment, ended[0]["job"])
    inputs = with_message(about, "job refused")[0]["inputs"]
    # START_SAFETY_FACTOR is 1.15; the jobs ahead of this one may be the reason that it
    # is too late.
    assert inputs["needs_ms"] * 1.2 + inputs["ahead_ms"] > inputs["useful_ms"]
    assert inputs["jobs"] > 1


def test_from_a_host_without_the_store_to_when_it_lost_it(deployment):
    # Operators see an old configuration in force: the hosts can't read the store.
    before = {word: len(grep(deployment, f"store {word}")) for word in STORE_WORDS}
    deployment.set_faults(store_down=True)
    wait_until(lambda: len(grep(deployment, "store lost")) > before["lost"], "losses")
    # Hosts may start before the store listens, and log that too.
    lost = max(grep(deployment, "store lost"), key=lambda line: line["time"])
    assert lost["reason"]
    assert lost["list_age_s"] < 5.0
    assert wait_for_answers([deployment.submit(deployment.hosts[0])])[0].status == 200
    deployment.set_faults(store_down=False)
    wait_until(
        lambda: len(grep(deployment, "store regained")) > before["regained"], "returns"
    )
