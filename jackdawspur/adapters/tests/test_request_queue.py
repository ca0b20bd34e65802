"""Tests of the order in which requests are handled."""

import pytest

from jackdawspur.adapters._request_queue import LARGE_BYTES, SLICE_S, RequestQueue

SMALL = 100
LARGE = LARGE_BYTES + 1


class Handler:
    """Handles requests in virtual time; an item's number is its duration."""

    def __init__(self) -> None:
        self.now = 100.0
        self.handled: list[float] = []

    def handle(self, item: float) -> None:
        self.handled.append(item)
        self.now += item

    def clock(self) -> float:
        return self.now


@pytest.fixture
def handler() -> Handler:
    return Handler()


@pytest.fixture
def queue(handler: Handler) -> RequestQueue[float]:
    return RequestQueue(handler.handle, handler.clock)


def test_requests_are_handled_at_once_while_there_is_time(handler, queue):
    queue.put(0.001, SMALL)
    queue.put(0.002, LARGE)
    assert handler.handled == [0.001, 0.002]
    assert queue.wait_s is None


def test_requests_beyond_a_slice_wait_for_a_later_pass(handler, queue):
    """Guards against a pass of the loop that handles the requests of all clients."""
    for _ in range(30):
        queue.put(SLICE_S / 10, SMALL)
    assert len(handler.handled) == 10
    assert queue.wait_s == 0.0
    queue.run_slice()
    assert len(handler.handled) <= 21
    queue.run_slice()
    queue.run_slice()
    assert len(handler.handled) == 30
    assert queue.wait_s is None


def test_small_requests_go_before_large_ones(handler, queue):
    """Guards against small requests that wait for the large ones of other clients."""
    queue.put(0.1, LARGE)
    queue.put(0.2, LARGE)
    queue.put(0.001, SMALL)
    queue.run_slice()
    assert handler.handled == [0.1, 0.001]


def test_large_requests_use_a_part_of_the_time(handler, queue):
    """Guards against large requests that leave no time to timers and heartbeats."""
    queue.put(0.1, LARGE)
    queue.put(0.1, LARGE)
    queue.run_slice()
    assert handler.handled == [0.1]
    assert queue.wait_s == pytest.approx(0.3)
    handler.now += 0.3
    queue.run_slice()
    assert handler.handled == [0.1, 0.1]
