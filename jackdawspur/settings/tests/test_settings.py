"""Tests that invalid settings are rejected with the field and what was expected."""

import json

import pytest

from jackdawspur.settings import EntrySettings, SettingsError, load_settings

VALID_SETTINGS = {
    "zone": "north",
    "name": "e1",
    "http": "127.0.0.1:18001",
    "link": "127.0.0.1:18101",
    "log": "127.0.0.1:18301",
}


@pytest.fixture
def write(tmp_path):
    def write(content):
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(content))
        return str(path)

    return write


def test_defaults_are_filled_in(write):
    settings = load_settings(EntrySettings, write(VALID_SETTINGS))
    assert settings.drain_ms == 15_000.0
    assert settings.siblings == ()


@pytest.mark.parametrize(
    ("change", "field_name"),
    [
        ({"zonne": "x"}, "zonne"),
        ({"http": "localhost:80"}, "http: Value error, expected an address"),
        ({"http": "127.0.0.1:99999"}, "http"),
        ({"drain_ms": -1}, "drain_ms"),
        ({"zone": "North!"}, "zone"),
        ({"operators": [{"name": "ann", "token_sha256": "x"}]}, "operators.0.token"),
    ],
)
def test_error_names_the_field(write, change, field_name):
    with pytest.raises(SettingsError, match=field_name):
        load_settings(EntrySettings, write(VALID_SETTINGS | change))


def test_missing_file_is_reported(tmp_path):
    with pytest.raises(SettingsError, match="No such file"):
        load_settings(EntrySettings, str(tmp_path / "absent.json"))
