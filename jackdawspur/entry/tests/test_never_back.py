"""The configuration over restarts, outages and races, on real processes."""

import signal
from threading import Barrier

import pytest

from jackdawspur.entry._trial_settings import CALLER, OPERATORS, VIEWER
from jackdawspur.entry.tests.helpers import (
    CALLERS,
    change_quota,
    job,
    quota_intent,
)
from jackdawspur.entry.trial import wait_until

NONE_IN_FORCE = -1
LOST_REPLIES = 6


def _come_back(hosts, version) -> None:
    """Wait for readiness, and see no version but the one that was in force."""
    seen = set()

    def ready(host) -> bool:
        seen.add(host.status()["host"]["version"])
        return host.ready()

    for host in hosts:
        wait_until(lambda host=host: ready(host), f"readiness of {host.name}")
        seen.add(host.version())
    assert seen <= {NONE_IN_FORCE, version}


def test_restarts_with_the_log_down_keep_the_version(healed):
    """An operator's change is gone after a restart during an outage of the log.

    The change is confirmed; the log goes down; every host is restarted, then all
    but one at once. Without its peers' records a host would serve an older version.
    """
    version = change_quota(healed, 41)
    healed.log_faults(outage=True)
    for host in healed.hosts:
        host.signal(signal.SIGTERM)
        assert host.wait() == 0
        host.start()
        _come_back([host], version)
    rest = healed.hosts[1:]
    for host in rest:
        host.kill()
        host.start()
    _come_back(rest, version)
    healed.log_faults()
    healed.wait_log_read()
    later = change_quota(healed, 42)
    assert later > version
    assert {host.version() for host in healed.hosts} == {later}


def test_host_alone_without_the_log_is_not_ready(healed):
    """A job is lost on a host that has no configuration to serve it by.

    All hosts are down, the log too; one host starts. It can know nothing, so it must
    say so and refuse with "not run"; after the outage all have the old version.
    """
    version = change_quota(healed, 43)
    for host in healed.hosts:
        host.kill()
    healed.log_faults(outage=True)
    alone = healed.hosts[-1]
    alone.start()
    wait_until(
        lambda: "no peer" in alone.call("GET", "/readyz").text,
        "the reason for not being ready",
    )
    readiness = alone.call("GET", "/readyz")
    assert (readiness.status, readiness.json["ready"]) == (503, False)
    refused = alone.call("POST", "/v1/jobs?wait=true", CALLER, job(10))
    assert refused.status == 503
    assert refused.json["not_run"] is True
    assert refused.json["code"] == "not_ready"
    healed.log_faults()
    for host in healed.hosts[:-1]:
        host.start()
    _come_back(healed.hosts, version)


def _race(deployment, number: int):
    """Let every operator confirm a plan on the same base at once; return replies."""
    hosts = deployment.hosts
    plans = [
        deployment.plan(
            hosts[place % len(hosts)],
            quota_intent(10 + place, f"round {number} of {name}"),
            name,
        )
        for place, name in enumerate(OPERATORS)
    ]
    assert {plan.status for plan in plans} == {200}
    ids = [plan.json["body"]["id"] for plan in plans]
    assert len({plan.json["body"]["base"] for plan in plans}) == 1
    deployment.log_faults(lose_appends=LOST_REPLIES)
    together = Barrier(len(OPERATORS))

    def confirm(place: int):
        together.wait(30)
        host = hosts[(place + 1) % len(hosts)]
        return deployment.confirm(host, ids[place], OPERATORS[place])

    return ids, list(CALLERS.map(confirm, range(len(OPERATORS))))


def _order(host) -> list:
    history = host.call("GET", "/admin/v1/history", OPERATORS[0]).json["body"]
    return [(c["plan"], c["version"], c["operator"]) for c in history["changes"]]


@pytest.mark.parametrize("number", [1, 2])
def test_race_has_one_winner_and_one_order(healed, number):
    """Two operators both believe that their change is in force.

    Eight confirm on the same version at different hosts while the log loses replies
    after their effect, so hosts append again without knowing what became of it.
    """
    ids, replies = _race(healed, number)
    won = [(i, r) for i, r in zip(ids, replies, strict=True) if r.status == 200]
    assert len(won) == 1, [r.text for r in replies]
    plan, winner = won[0]
    version = winner.json["body"]["version"]
    lost = [reply for reply in replies if reply.status == 409]
    assert len(lost) == len(replies) - 1
    assert {reply.json["body"]["won"] for reply in lost} == {version}
    healed.wait_version(version)
    for host in healed.hosts:
        again = healed.confirm(host, plan)
        assert (again.status, again.json["body"]["version"]) == (200, version)
    orders = [_order(host) for host in healed.hosts]
    assert all(order == orders[0] for order in orders)
    assert [entry for entry in orders[0] if entry[0] in ids] == [
        (plan, version, winner.json["body"]["operator"])
    ]


def _appends(host) -> list:
    return host.status()["configuration"]["appends"]


def test_invalid_intent_shows_every_error_and_appends_nothing(deployment):
    """An operator mends one error after the other, a refusal for each."""
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
    """Somebody without a token, or with less than a right, changes a quota."""
    host = deployment.hosts[0]
    before = _appends(host), host.version()
    for token, status in (("", 401), ("wrong", 401), (CALLER, 401), (VIEWER, 403)):
        planned = deployment.plan(host, quota_intent(9), token)
        confirmed = deployment.confirm(host, "0123456789abcdef", token)
        assert (planned.status, confirmed.status) == (status, status)
        assert planned.json["body"] is None
    for path in ("/status", "/admin/v1/history"):
        for token in ("", "wrong", CALLER):
            shown = host.call("GET", path, token)
            assert shown.status == 401
            assert shown.json["body"] is None
            assert "roster" not in shown.text
        assert host.call("GET", path, VIEWER).status == 200
    assert (_appends(host), host.version()) == before


def test_stale_plan_conflicts_with_the_changes_since(healed):
    """A plan read yesterday undoes what was confirmed since."""
    stale = healed.plan(healed.hosts[1], quota_intent(20, "stale"))
    version = change_quota(healed, 21)
    refused = healed.confirm(healed.hosts[2], stale.json["body"]["id"])
    assert refused.status == 409
    body = refused.json["body"]
    assert body["won"] == version
    assert [change["version"] for change in body["since"]] == [version]
    assert {host.version() for host in healed.hosts} == {version}
