"""Replies to operators are correct, whatever happens to the log."""

import json

import msgspec
import pytest

from jackdawspur.configuration import (
    AppendCompleted,
    ConfirmAsked,
    HistoryAsked,
    OperatorReplyCode,
    PlanAsked,
    StatusAsked,
    format_operator_reply,
)
from jackdawspur.configuration.tests.conftest import WALL, quota_intent

ANN = "example-ann-token"
BEN = "example-ben-token"
VIEWER = "example-viewer-token"
FIRST = "north-a.e1"
LAST = "north-c.e2"


def plan(cluster, name, token, intent):
    return cluster.request_reply(name, PlanAsked, token, json.dumps(intent))


def test_whole_session(cluster, document, snapshot):
    """Two operators plan on the same version; one wins, the other gets a conflict."""
    texts = []

    def record(reply):
        texts.append(format_operator_reply(reply))
        texts.append(msgspec.json.encode(reply).decode() + "\n")
        return reply

    first = record(plan(cluster, FIRST, ANN, quota_intent(document, 100, "busy week")))
    second = record(plan(cluster, LAST, BEN, quota_intent(document, 50, "cut costs")))
    record(cluster.request_reply(LAST, ConfirmAsked, ANN, first.body.id))
    cluster.run(1.0)
    record(cluster.request_reply(FIRST, ConfirmAsked, ANN, first.body.id))
    record(cluster.request_reply(LAST, ConfirmAsked, BEN, second.body.id))
    record(
        cluster.request_reply(FIRST, PlanAsked, ANN, '{"reason": "x", "changes": [{}]}')
    )
    record(cluster.request_reply(FIRST, HistoryAsked, VIEWER))
    record(cluster.request_reply(FIRST, StatusAsked, VIEWER))
    assert "\n".join(texts) == snapshot


@pytest.mark.parametrize("kind", [PlanAsked, ConfirmAsked])
@pytest.mark.parametrize(
    ("token", "status"), [("", 401), ("example-roster-token", 401), (VIEWER, 403)]
)
def test_wrong_token_gets_no_data(cluster, kind, token, status):
    records = len(cluster.log.records)
    reply = cluster.request_reply(FIRST, kind, token, "{}")
    assert reply.status == status
    assert reply.body is None and reply.page
    assert len(cluster.log.records) == records
    assert cluster.audited[-1].code is reply.code


def test_audit_of_refusals_stays_bounded(cluster):
    for _ in range(1000):
        cluster.send_request(FIRST, StatusAsked, "guess")
    operator_api = cluster.hosts[FIRST].operator_api
    assert operator_api.refusals == 1000 and len(operator_api.audit) == 256


def test_bootstrap_token_ends_with_the_first_configuration(cluster):
    reply = cluster.request_reply(FIRST, StatusAsked, "example-bootstrap-token")
    assert reply.code is OperatorReplyCode.UNAUTHORIZED


def test_mass_removal_must_be_allowed_explicitly(cluster, document):
    removes = [
        {"op": "remove", "section": "upstreams", "zone": "north-a", "name": f"w{i}"}
        for i in range(1, 6)
    ]
    intent = {"reason": "rack replaced", "changes": removes}
    refused = plan(cluster, FIRST, ANN, intent)
    assert refused.code is OperatorReplyCode.MASS_REMOVAL
    assert refused.body.mass_removal == ("upstreams: 5 of 24",)
    allowed = plan(cluster, FIRST, ANN, {**intent, "allow_mass_removal": True})
    assert allowed.code is OperatorReplyCode.OK
    assert allowed.body.removals[0] == "upstreams[north-a.w1]"
    assert allowed.body.customers == ("reporting", "roster")
    [capacity] = allowed.body.capacity
    assert (capacity.slots_before, capacity.slots_after) == (64, 24)


def test_plan_is_confirmed_at_another_host_at_once(cluster, document):
    """The load balancer sends the confirm to a host that hasn't read the plan yet."""
    planned = plan(cluster, FIRST, ANN, quota_intent(document, 100))
    assert cluster.hosts[LAST].replica.state_machine.plan(planned.body.id) is None
    reply = cluster.request_reply(LAST, ConfirmAsked, ANN, planned.body.id)
    assert reply.code is OperatorReplyCode.OK
    unknown = cluster.request_reply(LAST, ConfirmAsked, ANN, "0123456789abcdef")
    assert unknown.code is OperatorReplyCode.NOT_FOUND


def test_plan_lists_unreachable_zones(cluster, document):
    cluster.hosts[FIRST].operator_api.set_unreachable_zones(["north-c", "elsewhere"])
    planned = plan(cluster, FIRST, ANN, quota_intent(document, 100))
    assert planned.body.unreachable_zones == ("north-c",)


def test_lost_reply_is_resolved_by_the_log(cluster, document):
    """Every reply of the log is lost while an operator plans and confirms.

    Each append took effect. The records appear in the log, so the operator still
    gets a definite reply, and the change is made once.
    """
    cluster.lose_replies = 1.0
    reply = cluster.change(FIRST, ANN, quota_intent(document, 100))
    assert reply.code is OperatorReplyCode.OK
    cluster.run(2.0)
    history = cluster.hosts[LAST].replica.state_machine.history
    assert [entry.reason for entry in history] == ["first", "more work"]


def test_confirm_that_never_reaches_the_log_changes_nothing(cluster, document):
    planned = plan(cluster, FIRST, ANN, quota_intent(document, 100))
    cluster.log_up = False
    reply = cluster.request_reply(FIRST, ConfirmAsked, ANN, planned.body.id)
    assert reply.code is OperatorReplyCode.LOG_UNAVAILABLE
    cluster.log_up = True
    cluster.run(8.0)
    assert (
        cluster.request_reply(FIRST, ConfirmAsked, ANN, planned.body.id).status == 200
    )


def test_unknown_outcome_is_reported_as_unknown(cluster, document):
    """The reply to a confirm's append is lost, and the retry can't reach the log.

    The first append may have taken effect, so the reply to the operator must be
    "outcome unknown", not "nothing changed".
    """
    planned = plan(cluster, FIRST, ANN, quota_intent(document, 100))
    cluster.run(1.0)
    operator_api = cluster.hosts[FIRST].operator_api
    now = cluster.now
    request = ConfirmAsked(999, ANN, planned.body.id, WALL)
    [append] = operator_api.handle(now, request)
    assert not operator_api.on_append_completed(
        now, AppendCompleted(append.record_id, None)
    )
    [again] = operator_api.resolve_pending(now + 0.6)
    assert again == append
    assert not operator_api.on_append_completed(
        now + 0.7, AppendCompleted(append.record_id, None, False)
    )
    _, reply = operator_api.resolve_pending(now + 6.0)
    assert reply.code is OperatorReplyCode.OUTCOME_UNKNOWN
