"""A host's settings are refused with all their faults at once."""

import json

import pytest

from jackdawspur.settings import SettingsError, load_host_settings

GOOD = {
    "name": "h0",
    "zone": "z1",
    "callers": "127.0.0.1:1",
    "ready": "127.0.0.1:2",
    "link": "127.0.0.1:3",
    "metrics": "127.0.0.1:4",
    "store": "127.0.0.1:5",
}


@pytest.fixture
def written(tmp_path):
    path = tmp_path / "host.json"

    def write(**changes) -> str:
        values = {**GOOD, **changes}
        kept = {name: value for name, value in values.items() if value is not ...}
        path.write_text(json.dumps(kept))
        return str(path)

    return write


def test_a_good_file_is_read_with_its_defaults(written):
    settings = load_host_settings(written())
    assert settings.callers == "127.0.0.1:1"
    assert (settings.grace_s, settings.most_upstreams) == (6.0, 64)


def test_limits_of_a_host_may_be_left_out(written):
    settings = load_host_settings(written())
    assert (settings.processor, settings.link_mbps) == (None, None)
    settings = load_host_settings(written(processor=0.5, link_mbps=12.5))
    assert (settings.processor, settings.link_mbps) == (0.5, 12.5)


def test_a_host_may_be_reached_elsewhere_than_it_listens(written):
    assert load_host_settings(written()).announced is None
    settings = load_host_settings(written(announced="127.0.0.2:3"))
    assert (settings.link, settings.announced) == ("127.0.0.1:3", "127.0.0.2:3")


def test_a_host_may_have_no_metrics(written):
    assert load_host_settings(written(metrics=None)).metrics is None


@pytest.mark.parametrize(
    ("changes", "said"),
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
        ({"log_level": "LOUD"}, "log_level: "),
        ({"graces": 6}, "graces: unknown field"),
    ],
)
def test_a_fault_is_named_by_its_field(written, changes, said):
    with pytest.raises(SettingsError) as caught:
        load_host_settings(written(**changes))
    assert said in str(caught.value)


def test_all_faults_are_named_at_once(written):
    with pytest.raises(SettingsError) as caught:
        load_host_settings(written(zone=..., callers="x", grace_s=-1, odd=1))
    for name in ("zone", "callers", "grace_s", "odd"):
        assert f"{name}: " in str(caught.value)


@pytest.mark.parametrize("content", [b"", b"[]", b"{", b"\xff\xfe"])
def test_a_file_that_is_no_object_is_refused(tmp_path, content):
    path = tmp_path / "host.json"
    path.write_bytes(content)
    with pytest.raises(SettingsError, match="file: "):
        load_host_settings(str(path))
