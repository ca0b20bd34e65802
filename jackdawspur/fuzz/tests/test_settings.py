"""A settings file is accepted as a whole or refused with the field in error."""

import json

import pytest
from hypothesis import given

from jackdawspur.fuzz.tests.mutations import (
    DEEPLY_NESTED,
    FUZZ,
    mutated_bytes,
    mutated_json,
)
from jackdawspur.settings import EntrySettings, SettingsError, load_settings
from jackdawspur.settings.tests.test_settings import VALID_SETTINGS

VALID_DOCUMENT = VALID_SETTINGS | {
    "siblings": [
        {"zone": "n", "name": "e", "http": "127.0.0.1:1", "link": "127.0.0.1:2"}
    ],
    "operators": [{"name": "ann", "token_sha256": "0" * 64}],
    "drain_ms": 500,
}


@pytest.fixture
def load(tmp_path):
    """Return a function that loads settings from the bytes of a file."""

    def load(data: bytes) -> EntrySettings | None:
        path = tmp_path / "settings.json"
        path.write_bytes(data)
        try:
            return load_settings(EntrySettings, str(path))
        except SettingsError as error:
            assert str(path) in str(error)
            return None

    return load


@FUZZ
@given(
    data=mutated_json(VALID_DOCUMENT)
    | mutated_bytes(json.dumps(VALID_DOCUMENT).encode())
)
def test_settings_are_accepted_whole_or_refused(load, data):
    settings = load(data)
    if settings is not None:
        assert settings.zone and settings.name
        assert 0 < settings.drain_ms <= 600_000
        for address in (settings.http, settings.link, settings.log):
            assert 0 <= int(address.rpartition(":")[2]) <= 65_535


def test_deeply_nested_settings_are_refused(load):
    assert load(DEEPLY_NESTED) is None
