"""A host tells the others where it is as soon as the store takes that."""

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
    """Keep what is to be done later, and never do it."""

    def __init__(self) -> None:
        self.now = 0.0
        self.later: list[float] = []

    def call_later(self, seconds: float, action) -> None:
        self.later.append(seconds)


class Store:
    """Refuse everything while it is away."""

    def __init__(self) -> None:
        self.away = True
        self.appends = 0

    def request(self, method: str, path: str, body: bytes, limit_s: float, done):
        self.appends += path.startswith("/log-append")
        done(Err(Unavailable("away")) if self.away else Ok(ClientResponse(200, b"{}")))


@pytest.fixture
def store() -> Store:
    return Store()


@pytest.fixture
def port(store: Store) -> PlatformStore:
    one = PlatformStore("127.0.0.1:1", Component(), Timers())
    one._client = store
    one._listener = SimpleNamespace(
        on_store_reachability=lambda reachable, reason: None
    )
    return one


def test_a_host_is_announced_with_the_first_answer_of_the_store(store, port):
    # All work is handed over at a start: the store was away when hosts came, all read
    # it before any had written where it is, and two took the lead before they met.
    port.announce(HOST)
    store.away = False
    port._reached(True, "status 200")
    assert store.appends == 2
    port._reached(True, "status 200")
    assert store.appends == 2
