"""The zones that the operator evacuates are read from the store, until taken back."""

from types import SimpleNamespace

import pytest
from circuits import Component

from jackdawspur.platform import PlatformStore

KEY = "evacuate/z1"


@pytest.fixture
def heard() -> list[frozenset[str]]:
    """Return what the host heard, in order."""
    return []


@pytest.fixture
def store(heard) -> PlatformStore:
    timers = SimpleNamespace(now=0.0, call_later=lambda seconds, action: None)
    one = PlatformStore("127.0.0.1:1", Component(), timers)
    one._listener = SimpleNamespace(on_evacuated_zones=heard.append)
    return one


def test_a_zone_is_evacuated_until_its_key_is_dropped(store, heard):
    store._operator_wrote({KEY: b"{}"}, False)
    store._operator_wrote({"evacuate/z2": b"{}"}, False)
    store._operator_wrote({KEY: b""}, False)
    assert heard == [{"z1"}, {"z1", "z2"}, {"z2"}]


def test_a_key_that_is_missing_when_all_are_read_has_ended(store, heard):
    store._operator_wrote({KEY: b"{}"}, False)
    store._operator_wrote({}, True)
    assert heard == [{"z1"}, frozenset()]


def test_what_does_not_change_is_told_once(store, heard):
    for whole in (True, False, True):
        store._operator_wrote({KEY: b"{}"}, whole)
    store._operator_wrote({"wave/1": b"{}"}, False)
    assert heard == [{"z1"}]
