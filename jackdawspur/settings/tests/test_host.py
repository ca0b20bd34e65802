"""Tests that a host's settings are rejected with all their errors at once."""

import json

import pytest

from jackdawspur.settings import SettingsError, load_host_settings

VALID_SETTINGS = {
    "name": "h0",
    "zone": "z1",
    "callers": "127.0.0.1:1",
    "ready": "127.0.0.1:2",
    "link": "127.0.0.1:3",
    "metrics": "127.0.0.1:4",
    "store": "127.0.0.1:5",
}


@pytest.fixture
def write_settings(tmp_path):
    path = tmp_path / "host.json"

    def write(**changes) -> str:
        values = {**VALID_SETTINGS, **changes}
        present = {name: value for name, value in values.items() if value is not ...}
        path.write_text(json.dumps(present))
        return str(path)

    return write


def test_valid_file_is_loaded_with_defaults(write_settings):
    settings = load_host_settings(write_settings())
    assert settings.callers == "127.0.0.1:1"
    assert (settings.grace_s, settings.most_upstreams) == (6.0, 64)


def test_limits_of_a_host_are_optional(write_settings):
    settings = load_host_settings(write_settings())
    assert (settings.processor, settings.link_mbps) == (None, None)
    assert (settings.memory_mb, settings.max_descriptors) == (None, None)
    settings = load_host_settings(write_settings(processor=0.5, link_mbps=12.5))
    assert (settings.processor, settings.link_mbps) == (0.5, 12.5)


def test_announced_address_may_differ_from_the_link(write_settings):
    assert load_host_settings(write_settings()).announced is None
    settings = load_host_settings(write_settings(announced="127.0.0.2:3"))
    assert (settings.link, settings.announced) == ("127.0.0.1:3", "127.0.0.2:3")


def test_metrics_address_is_optional(write_settings):
    assert load_host_settings(write_settings(metrics=None)).metrics is None


@pytest.mark.parametrize(
    ("changes", "expected_text"),
    [
        ({"zone": ...}, "zone: field required"),
        ({"name": ""}, "name: "),
        ({"callers": "localhost:1"}, "callers: expected an address"),
        ({"ready": "127.0.0.1:70000"}, "ready: expected an address"),
        ({"ready": "127.0.0.010:70"}, "ready: expected an address"),
        ({"ready": "127.0.0.1:\u0667"}, "ready: expected an address"),
        ({"link": None}, "link: "),
        ({"announced": "localhost:3"}, "announced: expected an address"),
        ({"announced": 3}, "announced: "),
        ({"store": 5}, "store: "),
        ({"grace_s": "6"}, "grace_s: "),
        ({"grace_s": 0}, "grace_s: "),
        ({"most_upstreams": 1.5}, "most_upstreams: "),
        ({"processor": 0}, "processor: "),
        ({"processor": "2"}, "processor: "),
        ({"link_mbps": 0}, "link_mbps: "),
        ({"link_mbps": -1.0}, "link_mbps: "),
        ({"link_mbps": 1e9}, "link_mbps: "),
        ({"memory_mb": 0}, "memory_mb: "),
        ({"max_descriptors": 63}, "max_descriptors: "),
        ({"remote_factor": 0.5}, "remote_factor: "),
        ({"log_level": "LOUD"}, "log_level: "),
        ({"graces": 6}, "graces: unknown field"),
    ],
)
def test_error_names_the_field(write_settings, changes, expected_text):
    with pytest.raises(SettingsError) as error_info:
        load_host_settings(write_settings(**changes))
    assert expected_text in str(error_info.value)


def test_all_errors_are_reported_at_once(write_settings):
    with pytest.raises(SettingsError) as error_info:
        load_host_settings(write_settings(zone=..., callers="x", grace_s=-1, odd=1))
    for name in ("zone", "callers", "grace_s", "odd"):
        assert f"{name}: " in str(error_info.value)


@pytest.mark.parametrize("content", [b"", b"[]", b"{", b"\xff\xfe"])
def test_file_that_is_not_an_object_is_rejected(tmp_path, content):
    path = tmp_path / "host.json"
    path.write_bytes(content)
    with pytest.raises(SettingsError, match="file: "):
        load_host_settings(str(path))
