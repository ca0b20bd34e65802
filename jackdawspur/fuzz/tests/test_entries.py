"""Any entry of the store is decoded or refused, and other entries stay valid."""

from types import SimpleNamespace

from circuits import Component
from hypothesis import given, strategies as st

from jackdawspur.fuzz.tests.mutations import FUZZ, mutated_json
from jackdawspur.group import HostAddress
from jackdawspur.leases import UpstreamEntry
from jackdawspur.platform import PlatformStore
from jackdawspur.platform.tests.test_entries import (
    VALID_HOST_ENTRY,
    VALID_UPSTREAM_ENTRY,
    with_changes,
)

VALID_NAME = "i-2"
ENTRIES = (
    mutated_json(VALID_UPSTREAM_ENTRY)
    | mutated_json(VALID_HOST_ENTRY)
    | st.binary(max_size=60)
)


@FUZZ
@given(name=st.text(max_size=30), data=ENTRIES)
def test_a_malformed_entry_does_not_affect_others(name: str, data: bytes):
    upstreams, hosts = [], []
    store = PlatformStore("127.0.0.1:1", Component(), SimpleNamespace(now=1.0))
    store._listener = SimpleNamespace(
        on_upstreams=upstreams.extend, on_hosts=hosts.extend
    )
    store._on_server_records(
        {name: data, VALID_NAME: with_changes(VALID_UPSTREAM_ENTRY)}, True
    )
    store._on_host_records(
        {name: data, VALID_NAME: with_changes(VALID_HOST_ENTRY)}, True
    )
    assert all(isinstance(entry, UpstreamEntry) for entry in upstreams)
    assert all(isinstance(host, HostAddress) for host in hosts)
    assert any(entry.id.name == VALID_NAME for entry in upstreams)
    assert any(host.name == VALID_HOST_ENTRY["name"] for host in hosts)
