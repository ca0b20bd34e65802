"""Tests that invalid entries in the store are ignored and don't affect the others."""

import json
import logging
from types import SimpleNamespace

import pytest
from circuits import Component

from jackdawspur.platform import PlatformStore
from jackdawspur.platform._entries import EntryDecodeError, read_host, read_upstream

VALID_UPSTREAM_ENTRY = {
    "service": "roster",
    "address": "10.1.0.4:80",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 4,
    "capacity": {"cpu": 32000, "mem_mb": 65536, "gpus": 0},
    "labels": ["a", "r1"],
}
VALID_HOST_ENTRY = {
    "name": "h1",
    "zone": "z1",
    "link": "10.1.0.4:81",
    "started_ms": 1,
    "processor": 1.0,
}
NESTED = b"[" * 100_000
BYTES = (b"", b"\xff\xfe", b"null", b"3", b'"text"', b"[]", b"{", NESTED)


def with_changes(document: dict, **values) -> bytes:
    return json.dumps({**document, **values}).encode()


@pytest.fixture
def reported_upstreams() -> list:
    return []


@pytest.fixture
def store(reported_upstreams: list) -> PlatformStore:
    new_store = PlatformStore("127.0.0.1:1", Component(), SimpleNamespace(now=1.0))
    new_store._listener = SimpleNamespace(
        on_upstreams=reported_upstreams.append, on_hosts=lambda hosts: None
    )
    return new_store


def test_valid_entry_is_decoded():
    entry = read_upstream("i-1", with_changes(VALID_UPSTREAM_ENTRY))
    assert (entry.id.name, entry.service, entry.draining) == ("i-1", "roster", False)
    assert read_upstream(
        "i-1", with_changes(VALID_UPSTREAM_ENTRY, state="draining")
    ).draining


@pytest.mark.parametrize("data", BYTES)
def test_malformed_bytes_raise_an_error(data: bytes):
    with pytest.raises(EntryDecodeError):
        read_upstream("i-1", data)
    with pytest.raises(EntryDecodeError):
        read_host(data)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("state", "resting"),
        ("state", ""),
        ("state", None),
        ("state", 3),
        ("service", 7),
        ("service", ""),
        ("zone", ""),
        ("address", "nowhere"),
        ("address", "10.1.0.4:"),
        ("address", "10.1.0.4:0"),
        ("address", "10.1.0.4:70000"),
        ("address", "10.1.0.999:80"),
        ("address", "host.example:80"),
        ("address", None),
        ("capacity", {"cpu": -1}),
        ("capacity", {"cpu": 1 << 62}),
        ("capacity", {"cpu": 1e30}),
        ("capacity", {"cpu": "32000"}),
        ("capacity", [32000]),
        ("labels", "a"),
        ("labels", [1]),
        ("labels", ["x" * 300]),
        ("labels", ["x"] * 65),
        ("service", "x" * 300),
        ("zone", "x" * 300),
    ],
)
def test_invalid_field_raises_an_error_with_its_name(field: str, value):
    with pytest.raises(EntryDecodeError, match=field.replace("zone", "zone|empty")):
        read_upstream("i-1", with_changes(VALID_UPSTREAM_ENTRY, **{field: value}))


@pytest.mark.parametrize(
    "name", ["", "two\r\nX-Other: lines", "\ufffd", "\u0661", "nul\0", "tab\t"]
)
def test_a_name_that_no_header_can_state_raises_an_error(name: str):
    # Guards against calls with further headers, or none at all.
    with pytest.raises(EntryDecodeError, match="name"):
        read_upstream(name, with_changes(VALID_UPSTREAM_ENTRY))


@pytest.mark.parametrize("field", ["service", "address", "zone"])
def test_missing_field_raises_an_error_with_its_name(field: str):
    rest = {
        name: value for name, value in VALID_UPSTREAM_ENTRY.items() if name != field
    }
    with pytest.raises(EntryDecodeError, match=field):
        read_upstream("i-1", with_changes(rest))


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("name", ""),
        ("link", "10.1.0.4"),
        ("started_ms", -1),
        ("started_ms", 1 << 60),
        ("processor", 0),
        ("processor", -2.0),
        ("processor", 1e300),
    ],
)
def test_invalid_host_entry_raises_an_error(field: str, value):
    with pytest.raises(EntryDecodeError):
        read_host(with_changes(VALID_HOST_ENTRY, **{field: value}))


def test_entry_that_became_invalid_is_no_longer_used(store, reported_upstreams, caplog):
    # Guards against jobs sent to an address that no longer is an upstream's: another
    # writer had overwritten its entry, and the previous entry stayed in use.
    names = ("i-1", "i-2")
    store._on_server_records(
        {name: with_changes(VALID_UPSTREAM_ENTRY) for name in names}, True
    )
    with caplog.at_level(logging.WARNING):
        for _ in range(3):
            store._on_server_records(
                {"i-1": with_changes(VALID_UPSTREAM_ENTRY, state="?")}, False
            )
    assert [entry.id.name for entry in reported_upstreams[-1]] == ["i-2"]
    (line,) = caplog.records
    assert "state" in line.reason
    store._on_server_records({"i-1": with_changes(VALID_UPSTREAM_ENTRY)}, False)
    assert {entry.id.name for entry in reported_upstreams[-1]} == set(names)
