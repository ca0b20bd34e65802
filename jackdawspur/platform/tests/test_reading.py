"""Tests of the rate at which a topic of the store is read."""

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
    """A store that answers each read at once and records the paths."""

    def __init__(self) -> None:
        self.paths: list[str] = []
        self.first_page = FIRST_PAGE

    def request(self, method: str, path: str, body: bytes, timeout_s: float, done):
        self.paths.append(path)
        page = self.first_page if path.startswith("/log-newest") else NOTHING_NEW
        done(Ok(ClientResponse(200, page)))


class Timers:
    """A timer queue in virtual time, which tests advance."""

    def __init__(self) -> None:
        self.now = 0.0
        self._scheduled: list[tuple[float, Callable[[], None]]] = []

    def call_later(self, seconds: float, action: Callable[[], None]) -> None:
        self._scheduled.append((self.now + seconds, action))

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self._scheduled and min(due for due, _ in self._scheduled) <= end:
            self.now, action = min(self._scheduled, key=lambda scheduled: scheduled[0])
            self._scheduled.remove((self.now, action))
            action()
        self.now = end


@pytest.fixture
def store() -> Store:
    return Store()


@pytest.fixture
def timers() -> Timers:
    return Timers()


def test_topic_is_read_at_the_wanted_interval(store: Store, timers: Timers):
    # Guards against needless cost, as the store's calls are charged: every host read
    # the list of upstreams 2.5 times a second, although only one host is the leader.
    interval_s = [1.5]
    KeyedTopic(
        "keyed.x",
        store,
        timers,
        lambda changed, is_snapshot: None,
        lambda reachable, reason: None,
        lambda: interval_s[0],
    ).start()
    timers.advance(6.1)
    first_reads = len(store.paths)
    assert first_reads == 1 + 5
    interval_s[0] = 0.5
    timers.advance(6.1)
    assert 10 <= len(store.paths) - first_reads <= 13


def test_a_topic_is_read_further_after_an_error_in_its_user(
    store: Store, timers: Timers
):
    # Guards against a host that stops following the store because of one record.
    def raise_error(changed: dict[str, bytes], is_snapshot: bool) -> None:
        raise ValueError("not expected")

    topic = KeyedTopic(
        "keyed.x", store, timers, raise_error, lambda reachable, reason: None, lambda: 1
    )
    for act in (topic.start, lambda: timers.advance(1.0), lambda: timers.advance(1.0)):
        with pytest.raises(ValueError, match="not expected"):
            act()
    assert len(store.paths) == 4


@pytest.mark.parametrize(
    "key", [b"\xff\xfe", b"\\ud800", b"a\\uDFFFb", b"\\udc80\\udc81"]
)
def test_a_key_that_is_not_unicode_does_not_affect_the_others(
    store: Store, timers: Timers, key: bytes
):
    # Guards against a first read that fails for ever because of one writer's key.
    value = b'"value":"eA==","offset":1}'
    item, odd_item = b'{"key":"good",' + value, b'{"key":"' + key + b'",' + value
    store.first_page = b'{"items":[' + odd_item + b"," + item + b'],"end":0}'
    read: list[dict[str, bytes]] = []
    KeyedTopic(
        "keyed.x",
        store,
        timers,
        lambda changed, is_snapshot: read.append(changed),
        lambda reachable, reason: None,
        lambda: 1.0,
    ).start()
    assert read[0]["good"] == b"x"
    assert len(read[0]) == 2


def test_a_nested_page_does_not_end_the_reading(store: Store, timers: Timers):
    store.first_page = b'{"items":[],"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    reasons: list[tuple[bool, str]] = []
    KeyedTopic(
        "keyed.x",
        store,
        timers,
        lambda changed, is_snapshot: None,
        lambda reachable, reason: reasons.append((reachable, reason)),
        lambda: 1.0,
    ).start()
    timers.advance(1.0)
    assert len(store.paths) > 2
    assert not reasons[-1][0]
