"""Whatever operators send, the desk replies once and nothing comes into force."""

import json

import pytest
from hypothesis import given, strategies as st

from jackdawspur.configuration import (
    Configuration,
    PlanAsked,
    changes_between,
    load_configuration,
    load_intent,
)
from jackdawspur.configuration._errors import ConfigurationError
from jackdawspur.configuration.tests.conftest import (
    BOOTSTRAP,
    EXAMPLES,
    Cluster,
    intent_of,
    quota_intent,
)
from jackdawspur.fuzz.tests.mutations import FUZZ, NESTED, mutated_bytes, mutated_json

DOCUMENT = load_configuration((EXAMPLES / "ramdenee.json").read_bytes())
INTENT = quota_intent(DOCUMENT, 100)
FIRST = intent_of(changes_between(Configuration(), DOCUMENT), "first")
HOST = "north-a.e1"
TOKENS = st.sampled_from(["example-ann-token", "", "x", "\x00é"])
INTENTS = (
    mutated_json(INTENT)
    | mutated_json(FIRST)
    | mutated_bytes(json.dumps(INTENT).encode())
)


@pytest.fixture(scope="module")
def cluster():
    """Return hosts with the example configuration in force."""
    cluster = Cluster([HOST, "north-b.e1"])
    cluster.run(0.5)
    assert cluster.change(HOST, BOOTSTRAP, FIRST).status == 200
    cluster.run(1.0)
    return cluster


@FUZZ
@given(intent=INTENTS)
def test_an_intent_is_taken_whole_or_refused_by_field(intent):
    try:
        assert load_intent(intent, DOCUMENT).changes
    except ConfigurationError as error:
        assert str(error)


@FUZZ
@given(intent=INTENTS, token=TOKENS)
def test_the_desk_replies_once_and_changes_nothing(cluster, intent, token):
    """An odd plan ends the pass, or comes into force though nobody confirmed it."""
    before = cluster.versions()
    text = intent.decode(errors="replace")
    reply = cluster.request_reply(HOST, PlanAsked, token, text, within=20.0)
    assert reply.status >= 200
    cluster.run(0.3)
    assert cluster.versions() == before


@pytest.mark.parametrize("shape", ["%s", '{"reason":"x","changes":%s'])
def test_deep_nesting_is_refused(cluster, shape):
    text = shape % NESTED.decode()
    with pytest.raises(ConfigurationError):
        load_intent(text, DOCUMENT)
    assert (
        cluster.request_reply(HOST, PlanAsked, "example-ann-token", text).status == 400
    )
