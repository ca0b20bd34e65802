"""Tests that a host announces its address as soon as the store is available."""

from types import SimpleNamespace

import pytest
from circuits import Component
from result import Err, Ok

from jackdawspur.adapters import ClientResponse
from jackdawspur.external import Unavailable
from jackdawspur.group import HostAddress
from jackdawspur.platform import PlatformStore

HOST = HostAddress("h0", "z1", "127.0.0.1:1", 1)


class Timers:
    """A timer queue that records delays and runs no action."""

    def __init__(self) -> None:
        self.now = 0.0
        self.delays: list[float] = []

    def call_later(self, seconds: float, action) -> None:
        self.delays.append(seconds)


class Store:
    """A store that fails all requests while `unavailable`."""

    def __init__(self) -> None:
        self.unavailable = True
        self.appends = 0

    def request(self, method: str, path: str, body: bytes, timeout_s: float, done):
        self.appends += path.startswith("/log-append")
        done(
            Err(Unavailable("away"))
            if self.unavailable
            else Ok(ClientResponse(200, b"{}"))
        )


@pytest.fixture
def store() -> Store:
    return Store()


@pytest.fixture
def platform_store(store: Store) -> PlatformStore:
    new_store = PlatformStore("127.0.0.1:1", Component(), Timers())
    new_store._client = store
    new_store._listener = SimpleNamespace(
        on_store_reachability=lambda reachable, reason: None
    )
    return new_store


def test_host_is_announced_at_the_first_reply_of_the_store(store, platform_store):
    # Guards against two leaders at startup, which forced a handover of all work. The
    # store was unavailable when the hosts started; then all read it before any had
    # written its address, and two were elected before they knew of each other.
    platform_store.announce(HOST)
    store.unavailable = False
    platform_store._on_reachability(True, "status 200")
    assert store.appends == 2
    platform_store._on_reachability(True, "status 200")
    assert store.appends == 2
