"""Each call gets one reply, whatever its content, and the host keeps running."""

import json
import math

import pytest
from circuits.web.headers import Headers
from hypothesis import given, strategies as st

from jackdawspur.adapters import Call
from jackdawspur.callers import BodyError, read_ids_body, read_job_body
from jackdawspur.configuration import (
    Configuration,
    CustomerEntry,
    JobClass,
    Readiness,
    ReadinessReason,
    token_hash,
)
from jackdawspur.dispatch import AnswerCall, IssueIds, SendPeerMessage
from jackdawspur.dispatch.tests.conftest import (  # noqa: F401
    LOCAL_ID,
    ZONE_PEER,
    harness,
)
from jackdawspur.entry._routes import Routes
from jackdawspur.fuzz.tests.mutations import (
    DEEPLY_NESTED,
    FUZZ,
    mutated_bytes,
    mutated_json,
)
from jackdawspur.links import Envelope, encode
from jackdawspur.model import MAX_TASKS_PER_JOB

TOKEN = "token-roster"
BODY = {
    "job_class": "confirm",
    "tasks": [{"payload": "a", "run_ms": 20.0, "cpus": 2, "memory_mb": 5}],
    "deadline_ms": 900.0,
    "idempotent": True,
}
BODIES = mutated_json(BODY) | mutated_bytes(json.dumps(BODY).encode())
IDS = (
    f"{LOCAL_ID}.1",
    f"{ZONE_PEER}.1",
    f"{LOCAL_ID}.{2**64:x}",
    "a.b.-1.1",
    "x",
    "....",
)
PATHS = st.sampled_from(
    ["/v1/jobs", "/v1/submissions", "/livez", "/", "//", "/v1/jobs/"]
    + [f"/v1/submissions/{submission_id}" for submission_id in IDS]
)
METHODS = st.sampled_from(["GET", "POST", "PUT", "DELETE", "PATCH", ""])
LATIN_1_TEXTS = st.text(st.characters(max_codepoint=255), max_size=30)
KEYS = st.none() | LATIN_1_TEXTS | st.just("k" * 300)
TOKENS = (
    st.just(f"Bearer {TOKEN}")
    | LATIN_1_TEXTS
    | st.sampled_from(["Bearer", "bearer  x"])
)
QUERIES = st.sampled_from(["", "wait=true", "wait=true&wait=", "%ff=&&="])
CUSTOMER_ENTRIES = (
    CustomerEntry(
        name="roster",
        token_sha256=(token_hash(TOKEN),),
        quota_slots=8,
        classes=(JobClass(name="confirm"),),
    ),
)


class RecordingHost:
    """A host that records replies and passes events of the routes to a real core."""

    def __init__(self, handle_event) -> None:
        self.handle_event = handle_event
        self.replies = []
        self.effects = []

    def post(self, event) -> None:
        self.effects += self.handle_event(event)

    def reply(self, call_id, reply) -> None:
        self.replies.append(reply)

    def readiness(self) -> Readiness:
        return Readiness(True, ReadinessReason.READY)


@FUZZ
@given(BODIES)
def test_a_job_body_is_decoded_within_bounds_or_refused(body):
    try:
        job = read_job_body(body)
    except BodyError as error:
        assert str(error)
        return
    numbers = [task.run_ms for task in job.tasks] + [job.deadline_ms or 1.0]
    assert all(math.isfinite(number) and number >= 0 for number in numbers)
    assert 1 <= len(job.tasks) <= MAX_TASKS_PER_JOB


@FUZZ
@given(mutated_json({"count": 3}) | st.binary(max_size=20))
def test_a_request_for_ids_is_decoded_or_refused(body):
    try:
        assert 1 <= read_ids_body(body).count <= 1000
    except BodyError as error:
        assert str(error)


@pytest.mark.parametrize("read", [read_job_body, read_ids_body])
def test_a_deeply_nested_body_is_refused(read):
    with pytest.raises(BodyError):
        read(DEEPLY_NESTED)


@FUZZ
@given(METHODS, PATHS, QUERIES, KEYS, TOKENS, BODIES | st.just(b""))
def test_each_call_gets_one_reply(harness, method, path, query, key, token, body):  # noqa: F811
    """Guards against calls without a reply and requests that terminate the host.

    The routes refuse a call or pass it to the core, whose messages to other hosts must
    be encodable.
    """
    host = RecordingHost(harness.send_event)
    routes = Routes(host)
    routes.set_configuration(
        Configuration(schema_version=1, customers=CUSTOMER_ENTRIES)
    )
    headers = Headers([("Authorization", token)])
    if key is not None:
        headers["Idempotency-Key"] = key
    call_id = len(harness.effects) + 100
    routes.handle_call(Call(call_id, method, path, query, headers, body, 0.0))
    effects = host.effects + harness.wait(1.0)
    for effect in effects:
        if isinstance(effect, SendPeerMessage):
            encode(Envelope(LOCAL_ID, effect.to, 0.0, effect.message))
    answers = [e for e in effects if isinstance(e, AnswerCall | IssueIds)]
    assert len(host.replies) + sum(e.call == call_id for e in answers) <= 1
    assert len(host.replies) == 1 or host.effects or harness.core.state.pending_forwards
