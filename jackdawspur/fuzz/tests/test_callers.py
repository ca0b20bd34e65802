"""Whatever callers send, each call gets one reply and the host goes on."""

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
from jackdawspur.fuzz.tests.mutations import FUZZ, NESTED, mutated_bytes, mutated_json
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
    + [f"/v1/submissions/{one}" for one in IDS]
)
METHODS = st.sampled_from(["GET", "POST", "PUT", "DELETE", "PATCH", ""])
LATIN = st.text(st.characters(max_codepoint=255), max_size=30)
KEYS = st.none() | LATIN | st.just("k" * 300)
TOKENS = st.just(f"Bearer {TOKEN}") | LATIN | st.sampled_from(["Bearer", "bearer  x"])
QUERIES = st.sampled_from(["", "wait=true", "wait=true&wait=", "%ff=&&="])
CUSTOMERS = (
    CustomerEntry(
        name="roster",
        token_sha256=(token_hash(TOKEN),),
        quota_slots=8,
        classes=(JobClass(name="confirm"),),
    ),
)


class Face:
    """Note what the routes do; post what they hand on to real decisions."""

    def __init__(self, decide) -> None:
        self.decide = decide
        self.replies = []
        self.effects = []

    def post(self, event) -> None:
        self.effects += self.decide(event)

    def reply(self, call_id, reply) -> None:
        self.replies.append(reply)

    def readiness(self) -> Readiness:
        return Readiness(True, ReadinessReason.READY)


@FUZZ
@given(BODIES)
def test_a_body_is_read_within_its_bounds_or_refused(body):
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
def test_a_wish_for_ids_is_read_or_refused(body):
    try:
        assert 1 <= read_ids_body(body).count <= 1000
    except BodyError as error:
        assert str(error)


@pytest.mark.parametrize("read", [read_job_body, read_ids_body])
def test_deep_nesting_is_refused(read):
    with pytest.raises(BodyError):
        read(NESTED)


@FUZZ
@given(METHODS, PATHS, QUERIES, KEYS, TOKENS, BODIES | st.just(b""))
def test_each_call_gets_one_reply(harness, method, path, query, key, token, body):  # noqa: F811
    """A caller waits for ever, or one odd request ends the whole host.

    A call is refused by the routes, or ends up at the decisions, whose messages to
    other hosts must be such that a link can carry them.
    """
    face = Face(harness.send_event)
    routes = Routes(face)
    routes.set_configuration(Configuration(schema_version=1, customers=CUSTOMERS))
    headers = Headers([("Authorization", token)])
    if key is not None:
        headers["Idempotency-Key"] = key
    number = len(harness.effects) + 100
    routes.handle_call(Call(number, method, path, query, headers, body))
    effects = face.effects + harness.wait(1.0)
    for effect in effects:
        if isinstance(effect, SendPeerMessage):
            encode(Envelope(LOCAL_ID, effect.to, 0.0, effect.message))
    answers = [e for e in effects if isinstance(e, AnswerCall | IssueIds)]
    assert len(face.replies) + sum(e.call == number for e in answers) <= 1
    assert len(face.replies) == 1 or face.effects or harness.core.state.pending_forwards
