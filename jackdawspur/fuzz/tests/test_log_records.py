"""Whatever stands in the log, a host reads on, and all hosts read the same."""

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
from jackdawspur.fuzz.tests.mutations import FUZZ, NESTED, mutated_bytes, mutated_json

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


def _folded(*bodies: str) -> ConfigurationStateMachine:
    fold = ConfigurationStateMachine()
    fold.apply_records([LogRecord(offset, body) for offset, body in enumerate(bodies)])
    return fold


GOOD = [encode_record(PROPOSAL), encode_record(CONFIRM)]
GOOD.append(encode_record(build_snapshot(_folded(*GOOD), 3.0)))


def _bodies(good: str):
    """Return strategies of a record with something wrong in it."""
    texts = mutated_json(json.loads(good)) | mutated_bytes(good.encode())
    return texts.map(lambda data: data.decode(errors="replace"))


BODIES = st.one_of(*(_bodies(good) for good in GOOD), *(st.just(g) for g in GOOD))
DEEP = NESTED.decode()
DEEP_RECORDS = (DEEP, '{"kind":"confirm","schema_version":1,"id":"x","more":' + DEEP)


@FUZZ
@given(BODIES)
def test_a_record_is_read_or_refused_with_a_reason(body):
    for decode in (decode_envelope, decode_snapshot_header, decode_record):
        try:
            decode(body)
        except RecordError as error:
            assert str(error)


@FUZZ
@given(st.lists(BODIES, max_size=6))
def test_hosts_fold_the_same_and_never_go_back(bodies):
    """Two zones obey different versions after one odd record in the log."""
    records = [LogRecord(offset, body) for offset, body in enumerate(bodies)]
    one, other = ConfigurationStateMachine(), ConfigurationStateMachine()
    one.apply_records(records)
    versions = []
    for record in records:
        other.apply_records([record])
        versions.append(other.version)
    assert versions == sorted(versions)
    assert (one.version, one.configuration) == (other.version, other.configuration)
    assert one.through == len(bodies) - 1


@pytest.mark.parametrize("body", DEEP_RECORDS)
def test_deeply_nested_record_is_skipped(body):
    """No host reads on in the log, because one record in it ends each pass."""
    fold = _folded(*GOOD[:2], body)
    assert fold.version == 1
    assert fold.through == 2
    assert decode_claims(LogRecord(0, body)) == []


@FUZZ
@given(_bodies(json.dumps(CLAIMS)))
def test_claims_are_read_or_skipped(body):
    for claim in decode_claims(LogRecord(3, body)):
        assert isinstance(claim, Claim)
        assert isinstance(claim.key, str) and isinstance(claim.customer, str)
