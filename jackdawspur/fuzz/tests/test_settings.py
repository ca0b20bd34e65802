"""Whatever a settings file holds, it is used whole or refused by field."""

import json

import pytest
from hypothesis import given

from jackdawspur.fuzz.tests.mutations import FUZZ, NESTED, mutated_bytes, mutated_json
from jackdawspur.settings import EntrySettings, SettingsError, load_settings
from jackdawspur.settings.tests.test_settings import VALID_SETTINGS as PLAIN

GOOD = PLAIN | {
    "siblings": [
        {"zone": "n", "name": "e", "http": "127.0.0.1:1", "link": "127.0.0.1:2"}
    ],
    "operators": [{"name": "ann", "token_sha256": "0" * 64}],
    "drain_ms": 500,
}


@pytest.fixture
def load(tmp_path):
    """Read settings from the bytes of a file."""

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
@given(data=mutated_json(GOOD) | mutated_bytes(json.dumps(GOOD).encode()))
def test_settings_are_used_whole_or_refused(load, data):
    settings = load(data)
    if settings is not None:
        assert settings.zone and settings.name
        assert 0 < settings.drain_ms <= 600_000
        for address in (settings.http, settings.link, settings.log):
            assert 0 <= int(address.rpartition(":")[2]) <= 65_535


def test_deep_nesting_is_refused(load):
    assert load(NESTED) is None
