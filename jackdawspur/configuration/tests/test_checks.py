"""All errors of a document or intent are reported at once, with their paths."""

import json
from dataclasses import fields, replace

import pytest

from jackdawspur.configuration import (
    Configuration,
    InvalidConfiguration,
    OperatorReplyCode,
    ReadinessReason,
    apply_changes,
    build_cluster_spec,
    changes_between,
    find_customer,
    find_job_class,
    find_operator,
    load_configuration,
    load_intent,
)
from jackdawspur.configuration._cluster_spec import update_cluster_spec
from jackdawspur.configuration.tests.conftest import EXAMPLES, intent_of
from jackdawspur.model import UpstreamId

ZONES = {"ramdenee": [8, 8, 8], "derinsu": [6, 6, 6, 6]}


@pytest.mark.parametrize("name", ZONES)
def test_examples_are_valid(name):
    document = load_configuration((EXAMPLES / f"{name}.json").read_bytes())
    cluster_spec = build_cluster_spec(document, 7)
    per_zone = [
        sum(u.id.zone == z.name for u in cluster_spec.upstreams) for z in document.zones
    ]
    assert per_zone == ZONES[name]
    assert len(cluster_spec.entry_hosts) == 6 and cluster_spec.version == 7
    assert cluster_spec.upstreams[0].id == UpstreamId(document.zones[0].name, "w1")


def test_updated_cluster_spec_equals_a_new_one(document):
    upstreams = [replace(document.upstreams[3], slots=2), *document.upstreams[5:]]
    after = replace(document, upstreams=tuple(upstreams))
    updated = update_cluster_spec(document, build_cluster_spec(document, 1), after, 2)
    assert updated == build_cluster_spec(after, 2)


def test_token_identifies_its_owner(document):
    customer = find_customer(document, "example-roster-token")
    assert not find_job_class(customer, "dispatch-reassign").idempotent
    assert find_job_class(customer, "unheard-of") is None
    assert find_operator(document, "example-ann-token").name == "ann"
    assert find_operator(document, "example-roster-token") is None


def error_paths(load, raw, *more):
    with pytest.raises(InvalidConfiguration) as caught:
        load(json.dumps(raw), *more)
    return {error.path for error in caught.value.errors}


def test_all_errors_of_a_document_are_reported():
    raw = json.loads((EXAMPLES / "ramdenee.json").read_bytes())
    raw["colour"] = "blue"
    raw["customers"][0]["quota_slots"] = 0
    raw["customers"][0]["contract"]["max_wait"] = 5
    raw["zones"][1]["region"] = "No Region"
    raw["entry_hosts"][0]["http"] = "front.example:80"
    raw["upstreams"][0]["slots"] = "8"
    raw["upstreams"][1]["zone"] = "nowhere"
    raw["upstreams"][3]["address"] = raw["upstreams"][2]["address"]
    raw["upstreams"][5] = raw["upstreams"][4]
    assert error_paths(load_configuration, raw) == {
        "colour",
        "customers[0].quota_slots",
        "customers[0].contract.max_wait",
        "zones[1].region",
        "entry_hosts[0].http",
        "upstreams[0].slots",
        "upstreams[nowhere.w2].zone",
        "upstreams[north-a.w4].address",
        "upstreams[north-a.w5]",
        "upstreams[north-a.w5].address",
    }


@pytest.mark.parametrize("text", ["", "[]", "{", '"x"', "null"])
def test_text_that_is_no_document_is_rejected(text):
    with pytest.raises(InvalidConfiguration):
        load_configuration(text)


def test_all_errors_of_an_intent_are_reported(document):
    zone = {"op": "remove", "section": "zones", "name": "north-b"}
    operators = [
        {"op": "remove", "section": "operators", "name": n} for n in ("ann", "ben")
    ]
    upstream = {"zone": "north-a", "name": "w9", "address": "127.0.0.1"}
    raw = {
        "reason": "",
        "changes": [
            zone,
            *operators,
            {"op": "put_upstream", "entry": upstream},
            {"op": "erase"},
        ],
    }
    found = error_paths(load_intent, raw, document)
    assert {"reason", "changes[3].entry.address", "changes[4]", "operators"} <= found
    assert {f"entry_hosts[north-b.e{i}].zone" for i in (1, 2)} <= found
    assert {f"upstreams[north-b.w{i}].zone" for i in range(1, 9)} <= found


def test_inapplicable_changes_are_reported(document):
    raw = {
        "reason": "r",
        "changes": [
            {"op": "remove", "section": "upstreams", "zone": "north-a", "name": "w77"},
            {"op": "remove", "section": "customers", "name": "reporting"},
            {"op": "remove", "section": "customers", "name": "reporting"},
        ],
    }
    assert error_paths(load_intent, raw, document) == {"changes[0]", "changes[2]"}


def test_changes_between_documents_turn_one_into_the_other(document):
    other = load_configuration((EXAMPLES / "derinsu.json").read_bytes())
    after, errors = apply_changes(document, changes_between(document, other))
    assert not errors and not changes_between(after, other)
    assert not changes_between(document, document)


def test_intent_round_trips_through_json(document):
    changes = changes_between(Configuration(), document)
    intent = load_intent(json.dumps(intent_of(changes, "all")), Configuration())
    assert intent.changes == changes


def test_documentation_names_every_field(document):
    page = (EXAMPLES.parent / "docs" / "configuration.md").read_text()
    kinds = [document, document.policies, document.customers[0].contract]
    kinds += [getattr(document, s.name)[0] for s in fields(document)[1:6]]
    kinds.append(document.customers[0].classes[0])
    missing = [f.name for k in kinds for f in fields(k) if f"`{f.name}`" not in page]
    assert not missing


def test_operators_page_has_a_section_for_every_code():
    page = (EXAMPLES.parent / "docs" / "operators" / "configuration.md").read_text()
    codes = {*OperatorReplyCode, *ReadinessReason} - {
        OperatorReplyCode.OK,
        ReadinessReason.READY,
    }
    headings = {code.replace("_", " ") for code in codes}
    assert not [name for name in headings if f"### {name}\n" not in page]
