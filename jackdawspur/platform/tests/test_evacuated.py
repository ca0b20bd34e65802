"""Tests that zones are reported as evacuated until an operator ends the evacuation."""

from types import SimpleNamespace

import pytest
from circuits import Component

from jackdawspur.platform import PlatformStore

KEY = "evacuate/z1"


@pytest.fixture
def reported_zones() -> list[frozenset[str]]:
    """Return the sets of evacuated zones reported to the host, in order."""
    return []


@pytest.fixture
def store(reported_zones) -> PlatformStore:
    timers = SimpleNamespace(now=0.0, call_later=lambda seconds, action: None)
    new_store = PlatformStore("127.0.0.1:1", Component(), timers)
    new_store._listener = SimpleNamespace(on_evacuated_zones=reported_zones.append)
    return new_store


def test_zone_is_evacuated_until_its_key_is_deleted(store, reported_zones):
    store._on_operator_records({KEY: b"{}"}, False)
    store._on_operator_records({"evacuate/z2": b"{}"}, False)
    store._on_operator_records({KEY: b""}, False)
    assert reported_zones == [{"z1"}, {"z1", "z2"}, {"z2"}]


def test_key_missing_in_a_snapshot_ends_the_evacuation(store, reported_zones):
    store._on_operator_records({KEY: b"{}"}, False)
    store._on_operator_records({}, True)
    assert reported_zones == [{"z1"}, frozenset()]


def test_unchanged_zones_are_reported_once(store, reported_zones):
    for is_snapshot in (True, False, True):
        store._on_operator_records({KEY: b"{}"}, is_snapshot)
    store._on_operator_records({"wave/1": b"{}"}, False)
    assert reported_zones == [{"z1"}]
