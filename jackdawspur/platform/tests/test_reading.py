"""How often the store is read, and by whom."""

import struct
from collections.abc import Callable

import msgspec
import pytest
from result import Ok

from jackdawspur.adapters import ClientResponse
from jackdawspur.platform._topics import KeyedTopic

FIRST_PAGE = msgspec.json.encode({"items": [], "more": False, "end": 0})
NOTHING_NEW = struct.pack(">QQ", 0, 0)


class Store:
    """Answer each read at once, and keep what was asked for."""

    def __init__(self) -> None:
        self.paths: list[str] = []

    def request(self, method: str, path: str, body: bytes, limit_s: float, done):
        self.paths.append(path)
        page = FIRST_PAGE if path.startswith("/log-newest") else NOTHING_NEW
        done(Ok(ClientResponse(200, page)))


class Timers:
    """Keep what is to be done later; time passes as it is told."""

    def __init__(self) -> None:
        self.now = 0.0
        self._later: list[tuple[float, Callable[[], None]]] = []

    def call_later(self, seconds: float, action: Callable[[], None]) -> None:
        self._later.append((self.now + seconds, action))

    def pass_s(self, seconds: float) -> None:
        end = self.now + seconds
        while self._later and min(at for at, _ in self._later) <= end:
            self.now, action = min(self._later, key=lambda one: one[0])
            self._later.remove((self.now, action))
            action()
        self.now = end


@pytest.fixture
def store() -> Store:
    return Store()


@pytest.fixture
def timers() -> Timers:
    return Timers()


def test_a_topic_is_read_as_often_as_it_is_wanted(store: Store, timers: Timers):
    # Calls to the store are paid for: every host read the list of upstreams 2.5 times
    # a second, though only one of them leads.
    wanted_s = [1.5]
    KeyedTopic(
        "keyed.x",
        store,
        timers,
        lambda changed, whole: None,
        lambda reachable, reason: None,
        lambda: wanted_s[0],
    ).begin()
    timers.pass_s(6.1)
    followed = len(store.paths)
    assert followed == 1 + 5
    wanted_s[0] = 0.5
    timers.pass_s(6.1)
    assert 10 <= len(store.paths) - followed <= 13
