"""Issued ids, keys and leaving upstreams, with several real hosts."""

import time
from threading import Barrier

import pytest

from jackdawspur.entry._trial_settings import CALLER_TOKEN, OTHER_CALLER_TOKEN
from jackdawspur.entry.tests.helpers import CALLER_POOL, finish_load, job, start_load
from jackdawspur.entry.trial import call, wait_until

LEAVING_S = 3.0
LIST_LAG_MS = 30_000.0
STARTS_PATH = "/v1/starts"


def _issue(host) -> str:
    answer = host.call("POST", "/v1/submissions", CALLER_TOKEN, {"count": 1})
    assert answer.status == 201, answer.text
    return f"/v1/submissions/{answer.json['ids'][0]}"


def test_issued_id_runs_once_whichever_host_is_asked(restored):
    """A job must not run twice if its caller repeats it at another host.

    The id is issued by one host. The job is submitted at a second one, again at a
    third, and polled at a fourth.
    """
    issuer, second, third, fourth = restored.hosts
    before = restored.starts()
    path = _issue(issuer)
    body = job(300, 3, idempotent=False)
    first = second.call("PUT", path + "?wait=true", CALLER_TOKEN, body)
    again = third.call("PUT", path + "?wait=true", CALLER_TOKEN, body)
    polled = fourth.call("GET", path, CALLER_TOKEN)
    for answer in (first, again, polled):
        assert (answer.status, answer.json["state"]) == (200, "complete"), answer
        assert answer.json["outputs"] == ["0", "1", "2"]
    assert restored.starts() - before == 3
    assert restored.started_twice() == 0
    assert fourth.call("GET", path, OTHER_CALLER_TOKEN).status == 404


def test_issued_id_is_cancelled_from_a_third_host(restored):
    """A job must be cancelled even if another host than its owner gets the call."""
    issuer, second, third, fourth = restored.hosts
    path = _issue(issuer)
    body = job(20_000, 2, idempotent=False)
    before = restored.starts()
    assert second.call("PUT", path, CALLER_TOKEN, body).status == 202
    wait_until(lambda: restored.starts() - before == 2, "both tasks started")
    assert third.call("DELETE", path, OTHER_CALLER_TOKEN).status == 404
    assert fourth.call("GET", path, CALLER_TOKEN).json["state"] == "pending"
    cancelled = third.call("DELETE", path, CALLER_TOKEN)
    assert cancelled.json["code"] == "cancelled", cancelled
    again = second.call("PUT", path + "?wait=true", CALLER_TOKEN, body)
    assert again.json["code"] == "cancelled", again
    wait_until(lambda: _busy(restored) == 0, "both tasks stopped")
    assert restored.starts() - before == 2


def _busy(deployment) -> int:
    return sum(deployment.counters(a).busy for a in deployment.upstreams())


@pytest.mark.parametrize("number", range(3))
def test_key_used_at_two_hosts_at_once_runs_once(restored, number):
    """A keyed job must not run twice if a retry overtakes the first request."""
    before = restored.starts()
    body = job(400, 2, idempotent=False)
    barrier = Barrier(2)

    def submit(host):
        barrier.wait(30)
        path = "/v1/jobs?wait=true"
        return host.call("POST", path, CALLER_TOKEN, body, f"twice-{number}")

    answers = list(CALLER_POOL.map(submit, (restored.hosts[0], restored.hosts[3])))
    states = [answer.json["state"] for answer in answers]
    assert states == ["complete", "complete"], [answer.text for answer in answers]
    assert restored.starts() - before == 2
    assert restored.started_twice() == 0


def test_leaving_upstream_gets_nothing_new_though_the_list_lags(restored):
    """Jobs must not fail because they are sent to an upstream that is shutting down.

    The upstream reports in its replies that it is leaving; the host list shows it half
    a minute later. The hosts must learn it from the replies and from each other within
    3 s.
    """
    lag = {"lag_ms": LIST_LAG_MS}
    call(restored.settings.host_list.address, "POST", "/faults", body=lag)
    leaving, *other_upstreams = restored.upstreams()
    load = start_load(restored, LEAVING_S + 3.0, 0.5)
    restored.set_leaving(leaving)
    try:
        time.sleep(LEAVING_S)
        counters_before = restored.counters(leaving)
        other_tasks = sum(restored.counters(a).starts for a in other_upstreams)
        wait_until(
            lambda: (
                sum(restored.counters(a).starts for a in other_upstreams)
                >= other_tasks + 100
            ),
            "starts elsewhere",
        )
        counters_after = restored.counters(leaving)
        assert counters_after.starts == counters_before.starts
        assert counters_after.requests.get(
            STARTS_PATH, 0
        ) == counters_before.requests.get(STARTS_PATH, 0)
        finish_load(load)
    finally:
        restored.set_leaving(leaving, False)
        call(restored.settings.host_list.address, "POST", "/faults", body={})
