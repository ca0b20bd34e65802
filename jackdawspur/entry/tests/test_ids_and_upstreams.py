"""Issued ids, keys and leaving upstreams over several real hosts."""

import time
from threading import Barrier

import pytest

from jackdawspur.entry._trial_settings import CALLER, OTHER_CALLER
from jackdawspur.entry.tests.helpers import CALLERS, begin_load, finish_load, job
from jackdawspur.entry.trial import call, wait_until

LEAVING_S = 3.0
LIST_LAG_MS = 30_000.0
STARTS_PATH = "/v1/starts"


def _issue(host) -> str:
    answer = host.call("POST", "/v1/submissions", CALLER, {"count": 1})
    assert answer.status == 201, answer.text
    return f"/v1/submissions/{answer.json['ids'][0]}"


def test_issued_id_runs_once_whoever_is_asked(healed):
    """A caller whose connection broke asks another host, and its job runs again.

    The id comes from one host, the job is put at another, put again at a third and
    polled at a fourth.
    """
    issuer, second, third, fourth = healed.hosts
    before = healed.starts()
    path = _issue(issuer)
    body = job(300, 3, idempotent=False)
    first = second.call("PUT", path + "?wait=true", CALLER, body)
    again = third.call("PUT", path + "?wait=true", CALLER, body)
    polled = fourth.call("GET", path, CALLER)
    for answer in (first, again, polled):
        assert (answer.status, answer.json["state"]) == (200, "complete"), answer
        assert answer.json["outputs"] == ["0", "1", "2"]
    assert healed.starts() - before == 3
    assert healed.started_twice() == 0
    assert fourth.call("GET", path, OTHER_CALLER).status == 404


def test_issued_id_is_cancelled_from_a_third_host(healed):
    """A cancelled order is carried out, because another host was told."""
    issuer, second, third, fourth = healed.hosts
    path = _issue(issuer)
    body = job(20_000, 2, idempotent=False)
    before = healed.starts()
    assert second.call("PUT", path, CALLER, body).status == 202
    wait_until(lambda: healed.starts() - before == 2, "both tasks started")
    assert third.call("DELETE", path, OTHER_CALLER).status == 404
    assert fourth.call("GET", path, CALLER).json["state"] == "pending"
    cancelled = third.call("DELETE", path, CALLER)
    assert cancelled.json["code"] == "cancelled", cancelled
    again = second.call("PUT", path + "?wait=true", CALLER, body)
    assert again.json["code"] == "cancelled", again
    wait_until(lambda: _busy(healed) == 0, "both tasks stopped")
    assert healed.starts() - before == 2


def _busy(deployment) -> int:
    return sum(deployment.counters(a).busy for a in deployment.upstreams())


@pytest.mark.parametrize("number", range(3))
def test_key_used_at_two_hosts_at_once_runs_once(healed, number):
    """A passenger is moved twice: the caller's retry overtook its first request."""
    before = healed.starts()
    body = job(400, 2, idempotent=False)
    together = Barrier(2)

    def submit(host):
        together.wait(30)
        path = "/v1/jobs?wait=true"
        return host.call("POST", path, CALLER, body, f"twice-{number}")

    answers = list(CALLERS.map(submit, (healed.hosts[0], healed.hosts[3])))
    states = [answer.json["state"] for answer in answers]
    assert states == ["complete", "complete"], [answer.text for answer in answers]
    assert healed.starts() - before == 2
    assert healed.started_twice() == 0


def test_leaving_upstream_gets_nothing_new_though_the_list_lags(healed):
    """Jobs fail on a machine that its rack's owners are about to switch off.

    An upstream says that it leaves; the host list will tell half a minute later. The
    hosts must hear of it from its replies and from each other within 3 s.
    """
    lag = {"lag_ms": LIST_LAG_MS}
    call(healed.settings.host_list.address, "POST", "/faults", body=lag)
    leaving, *rest = healed.upstreams()
    load = begin_load(healed, LEAVING_S + 3.0, 0.5)
    healed.set_leaving(leaving)
    try:
        time.sleep(LEAVING_S)
        then = healed.counters(leaving)
        others = sum(healed.counters(a).starts for a in rest)
        wait_until(
            lambda: sum(healed.counters(a).starts for a in rest) >= others + 100,
            "starts elsewhere",
        )
        now = healed.counters(leaving)
        assert now.starts == then.starts
        assert now.requests.get(STARTS_PATH, 0) == then.requests.get(STARTS_PATH, 0)
        finish_load(load)
    finally:
        healed.set_leaving(leaving, False)
        call(healed.settings.host_list.address, "POST", "/faults", body={})
