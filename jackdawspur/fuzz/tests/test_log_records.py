"""Hosts continue after any record in the log, and all reach the same state."""

import json

import pytest
from hypothesis import given, strategies as st

from jackdawspur.configuration import (
    Configuration,
    ConfigurationStateMachine,
    Intent,
    changes_between,
    encode_record,
    load_configuration,
    new_proposal,
)
from jackdawspur.configuration._errors import RecordError
from jackdawspur.configuration._records import (
    Confirm,
    decode_envelope,
    decode_record,
    decode_snapshot_header,
)
from jackdawspur.configuration._tail import build_snapshot
from jackdawspur.configuration.tests.conftest import EXAMPLES
from jackdawspur.dispatch import Claim
from jackdawspur.entry._claims import decode_claims
from jackdawspur.external import LogRecord
from jackdawspur.fuzz.tests.mutations import (
    DEEPLY_NESTED,
    FUZZ,
    mutated_bytes,
    mutated_json,
)

DOCUMENT = load_configuration((EXAMPLES / "ramdenee.json").read_bytes())
CHANGES = changes_between(Configuration(), DOCUMENT)
PROPOSAL = new_proposal(Intent(reason="first", changes=CHANGES), -1, "ann", 1.0)
CONFIRM = Confirm(
    id="confirm-1",
    plan=PROPOSAL.id,
    base=-1,
    operator="ann",
    reason="first",
    at=2.0,
    changes=CHANGES,
)
CLAIMS = {
    "schema": 1,
    "claims": [{"customer": "roster", "key": "k", "submission": "north.e1.5.1"}],
}


def _state_after(*bodies: str) -> ConfigurationStateMachine:
    state_machine = ConfigurationStateMachine()
    state_machine.apply_records(
        [LogRecord(offset, body) for offset, body in enumerate(bodies)]
    )
    return state_machine


VALID_RECORDS = [encode_record(PROPOSAL), encode_record(CONFIRM)]
VALID_RECORDS.append(encode_record(build_snapshot(_state_after(*VALID_RECORDS), 3.0)))


def _mutated_records(record: str):
    """Return a strategy of texts that are mutations of a record."""
    texts = mutated_json(json.loads(record)) | mutated_bytes(record.encode())
    return texts.map(lambda data: data.decode(errors="replace"))


BODIES = st.one_of(
    *(_mutated_records(record) for record in VALID_RECORDS),
    *(st.just(g) for g in VALID_RECORDS),
)
DEEP_TEXT = DEEPLY_NESTED.decode()
DEEP_RECORDS = (
    DEEP_TEXT,
    '{"kind":"confirm","schema_version":1,"id":"x","more":' + DEEP_TEXT,
)


@FUZZ
@given(BODIES)
def test_a_record_is_decoded_or_refused_with_a_reason(body):
    for decode in (decode_envelope, decode_snapshot_header, decode_record):
        try:
            decode(body)
        except RecordError as error:
            assert str(error)


@FUZZ
@given(st.lists(BODIES, max_size=6))
def test_hosts_reach_the_same_version_and_never_go_back(bodies):
    """Guards against zones that apply different versions after a malformed record."""
    records = [LogRecord(offset, body) for offset, body in enumerate(bodies)]
    batched, stepwise = ConfigurationStateMachine(), ConfigurationStateMachine()
    batched.apply_records(records)
    versions = []
    for record in records:
        stepwise.apply_records([record])
        versions.append(stepwise.version)
    assert versions == sorted(versions)
    assert (batched.version, batched.configuration) == (
        stepwise.version,
        stepwise.configuration,
    )
    assert batched.through == len(bodies) - 1


@pytest.mark.parametrize("body", DEEP_RECORDS)
def test_a_deeply_nested_record_is_skipped(body):
    """Guards against a record that stops every host from reading beyond it.

    Each attempt to decode it would abort an iteration of the host's loop.
    """
    state_machine = _state_after(*VALID_RECORDS[:2], body)
    assert state_machine.version == 1
    assert state_machine.through == 2
    assert decode_claims(LogRecord(0, body)) == []


@FUZZ
@given(_mutated_records(json.dumps(CLAIMS)))
def test_claims_are_decoded_or_skipped(body):
    for claim in decode_claims(LogRecord(3, body)):
        assert isinstance(claim, Claim)
        assert isinstance(claim.key, str) and isinstance(claim.customer, str)
