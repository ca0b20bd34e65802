"""The operator API replies once to any input and puts nothing into force."""

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
from jackdawspur.fuzz.tests.mutations import (
    DEEPLY_NESTED,
    FUZZ,
    mutated_bytes,
    mutated_json,
)

CONFIGURATION = load_configuration((EXAMPLES / "ramdenee.json").read_bytes())
INTENT = quota_intent(CONFIGURATION, 100)
FIRST_INTENT = intent_of(changes_between(Configuration(), CONFIGURATION), "first")
HOST = "north-a.e1"
TOKENS = st.sampled_from(["example-ann-token", "", "x", "\x00é"])
INTENTS = (
    mutated_json(INTENT)
    | mutated_json(FIRST_INTENT)
    | mutated_bytes(json.dumps(INTENT).encode())
)


@pytest.fixture(scope="module")
def cluster():
    """Return hosts with the example configuration in force."""
    cluster = Cluster([HOST, "north-b.e1"])
    cluster.run(0.5)
    assert cluster.change(HOST, BOOTSTRAP, FIRST_INTENT).status == 200
    cluster.run(1.0)
    return cluster


@FUZZ
@given(intent=INTENTS)
def test_an_intent_is_accepted_whole_or_refused_with_a_reason(intent):
    try:
        assert load_intent(intent, CONFIGURATION).changes
    except ConfigurationError as error:
        assert str(error)


@FUZZ
@given(intent=INTENTS, token=TOKENS)
def test_the_operator_api_replies_once_and_changes_nothing(cluster, intent, token):
    """Guards against plans that abort a loop iteration or apply unconfirmed."""
    before = cluster.versions()
    text = intent.decode(errors="replace")
    reply = cluster.request_reply(HOST, PlanAsked, token, text, within=20.0)
    assert reply.status >= 200
    cluster.run(0.3)
    assert cluster.versions() == before


@pytest.mark.parametrize("template", ["%s", '{"reason":"x","changes":%s'])
def test_a_deeply_nested_intent_is_refused(cluster, template):
    text = template % DEEPLY_NESTED.decode()
    with pytest.raises(ConfigurationError):
        load_intent(text, CONFIGURATION)
    assert (
        cluster.request_reply(HOST, PlanAsked, "example-ann-token", text).status == 400
    )
