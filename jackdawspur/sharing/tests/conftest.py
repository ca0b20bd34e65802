"""Shared fixtures of the sharing tests."""

import pytest

from jackdawspur.model import HostId, Upstream, UpstreamId

ZONE = "zone-1"


@pytest.fixture
def upstreams():
    return tuple(
        Upstream(UpstreamId(ZONE, f"up-{n}"), f"127.0.0.1:{9000 + n}", rack=f"r{n % 2}")
        for n in range(8)
    )


@pytest.fixture
def hosts():
    return tuple(HostId(ZONE, f"entry-{n}", 1) for n in range(2))
