"""The configuration after restarts, outages and races, with real processes."""

import signal
from threading import Barrier

import pytest

from jackdawspur.entry._trial_settings import CALLER_TOKEN, OPERATORS, VIEWER
from jackdawspur.entry.tests.helpers import (
    CALLER_POOL,
    change_quota,
    job,
    quota_intent,
)
from jackdawspur.entry.trial import wait_until

NONE_IN_FORCE = -1
LOST_REPLIES = 6


def _wait_ready_at_version(hosts, version) -> None:
    """Wait until hosts are ready; no other version may be in force meanwhile."""
    versions = set()

    def ready(host) -> bool:
        versions.add(host.status()["host"]["version"])
        return host.ready()

    for host in hosts:
        wait_until(lambda host=host: ready(host), f"readiness of {host.name}")
        versions.add(host.version())
    assert versions <= {NONE_IN_FORCE, version}


def test_restarts_with_the_log_down_keep_the_version(restored):
    """Restarts during an outage of the log must not lose an operator's change.

    After the change is confirmed, the log goes down. All hosts are restarted one by
    one, then all but one at once. Without the records of its peers a host would serve
    an older version.
    """
    version = change_quota(restored, 41)
    restored.set_log_faults(outage=True)
    for host in restored.hosts:
        host.signal(signal.SIGTERM)
        assert host.wait() == 0
        host.start()
        _wait_ready_at_version([host], version)
    others = restored.hosts[1:]
    for host in others:
        host.kill()
        host.start()
    _wait_ready_at_version(others, version)
    restored.set_log_faults()
    restored.wait_log_read()
    later = change_quota(restored, 42)
    assert later > version
    assert {host.version() for host in restored.hosts} == {later}


def test_host_alone_without_the_log_is_not_ready(restored):
    """A host without a configuration must not accept a job, which it would lose.

    One host starts while the log and all other hosts are down. It can't get a
    configuration, so it must report the reason and refuse jobs with "not run". After
    the outage all hosts have the old version.
    """
    version = change_quota(restored, 43)
    for host in restored.hosts:
        host.kill()
    restored.set_log_faults(outage=True)
    alone = restored.hosts[-1]
    alone.start()
    wait_until(
        lambda: "no peer" in alone.call("GET", "/readyz").text,
        "the reason for not being ready",
    )
    readiness = alone.call("GET", "/readyz")
    assert (readiness.status, readiness.json["ready"]) == (503, False)
    refused = alone.call("POST", "/v1/jobs?wait=true", CALLER_TOKEN, job(10))
    assert refused.status == 503
    assert refused.json["not_run"] is True
    assert refused.json["code"] == "not_ready"
    restored.set_log_faults()
    for host in restored.hosts[:-1]:
        host.start()
    _wait_ready_at_version(restored.hosts, version)


def _confirm_concurrently(deployment, number: int):
    """Let all operators confirm plans on one base at once; return ids and replies."""
    hosts = deployment.hosts
    plans = [
        deployment.plan(
            hosts[index % len(hosts)],
            quota_intent(10 + index, f"round {number} of {name}"),
            name,
        )
        for index, name in enumerate(OPERATORS)
    ]
    assert {plan.status for plan in plans} == {200}
    ids = [plan.json["body"]["id"] for plan in plans]
    assert len({plan.json["body"]["base"] for plan in plans}) == 1
    deployment.set_log_faults(lose_appends=LOST_REPLIES)
    barrier = Barrier(len(OPERATORS))

    def confirm(index: int):
        barrier.wait(30)
        host = hosts[(index + 1) % len(hosts)]
        return deployment.confirm(host, ids[index], OPERATORS[index])

    return ids, list(CALLER_POOL.map(confirm, range(len(OPERATORS))))


def _change_order(host) -> list:
    history = host.call("GET", "/admin/v1/history", OPERATORS[0]).json["body"]
    return [(c["plan"], c["version"], c["operator"]) for c in history["changes"]]


@pytest.mark.parametrize("number", [1, 2])
def test_race_has_one_winner_and_one_order(restored, number):
    """Two operators must not both get the reply that their change is in force.

    Eight operators confirm plans on the same version at different hosts. The log loses
    replies to appends that took effect, so hosts append again without knowing the
    outcome.
    """
    ids, replies = _confirm_concurrently(restored, number)
    won = [(i, r) for i, r in zip(ids, replies, strict=True) if r.status == 200]
    assert len(won) == 1, [r.text for r in replies]
    plan, winner = won[0]
    version = winner.json["body"]["version"]
    lost = [reply for reply in replies if reply.status == 409]
    assert len(lost) == len(replies) - 1
    assert {reply.json["body"]["won"] for reply in lost} == {version}
    restored.wait_version(version)
    for host in restored.hosts:
        again = restored.confirm(host, plan)
        assert (again.status, again.json["body"]["version"]) == (200, version)
    orders = [_change_order(host) for host in restored.hosts]
    assert all(order == orders[0] for order in orders)
    assert [entry for entry in orders[0] if entry[0] in ids] == [
        (plan, version, winner.json["body"]["operator"])
    ]


def _appends(host) -> list:
    return host.status()["configuration"]["appends"]


def test_invalid_intent_shows_every_error_and_appends_nothing(deployment):
    """An operator must not have to fix errors one by one, with a refusal for each."""
    host = deployment.hosts[0]
    before = _appends(host)
    customer = {"name": "UPPER", "token_sha256": ["short"], "quota_slots": 0}
    intent = {
        "reason": "",
        "changes": [
            {"op": "put_customer", "entry": customer},
            {"op": "set_policies", "policies": {"eject_max_share": 2, "typo": 1}},
        ],
    }
    refused = deployment.plan(host, intent)
    assert refused.status == 400
    paths = {error["path"] for error in refused.json["body"]["errors"]}
    ends = ("reason", "name", "token_sha256", "quota_slots", "eject_max_share", "typo")
    for end in ends:
        assert any(end in path for path in paths), (end, paths)
    assert _appends(host) == before


def test_operators_without_the_right_see_and_change_nothing(deployment):
    """A caller without a token or the necessary right must not change a quota."""
    host = deployment.hosts[0]
    before = _appends(host), host.version()
    for token, status in (
        ("", 401),
        ("wrong", 401),
        (CALLER_TOKEN, 401),
        (VIEWER, 403),
    ):
        planned = deployment.plan(host, quota_intent(9), token)
        confirmed = deployment.confirm(host, "0123456789abcdef", token)
        assert (planned.status, confirmed.status) == (status, status)
        assert planned.json["body"] is None
    for path in ("/status", "/admin/v1/history"):
        for token in ("", "wrong", CALLER_TOKEN):
            shown = host.call("GET", path, token)
            assert shown.status == 401
            assert shown.json["body"] is None
            assert "roster" not in shown.text
        assert host.call("GET", path, VIEWER).status == 200
    assert (_appends(host), host.version()) == before


def test_stale_plan_conflicts_with_the_changes_since(restored):
    """A plan made before another change must not revert that change."""
    stale = restored.plan(restored.hosts[1], quota_intent(20, "stale"))
    version = change_quota(restored, 21)
    refused = restored.confirm(restored.hosts[2], stale.json["body"]["id"])
    assert refused.status == 409
    body = refused.json["body"]
    assert body["won"] == version
    assert [change["version"] for change in body["since"]] == [version]
    assert {host.version() for host in restored.hosts} == {version}
