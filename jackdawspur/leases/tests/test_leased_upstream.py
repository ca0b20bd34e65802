"""State of one leased upstream."""

import pytest

from jackdawspur.leases import (
    LeasedUpstream,
    Resources,
    Run,
    RunId,
    RunPhase,
    UpstreamEntry,
)
from jackdawspur.model import UpstreamId

NOW = 10.0


@pytest.fixture
def upstream() -> LeasedUpstream:
    """Return an upstream that was listed just now."""
    entry = UpstreamEntry(
        UpstreamId("z1", "u1"), "s", "127.0.0.1:1", Resources(), (), False
    )
    return LeasedUpstream(entry, 1, 1, NOW)


def test_each_overdue_poll_is_found_in_time(upstream: LeasedUpstream):
    # An unresponsive upstream kept getting tasks: the poll that would have shown it was
    # skipped, because a poll sent beside it had been answered.
    first = upstream.register_poll(NOW + 0.3)
    second = upstream.register_poll(NOW + 0.1)
    third = upstream.register_poll(NOW + 0.2)
    upstream.complete_poll(second)
    assert upstream.overdue_at <= NOW + 0.1
    assert upstream.pop_overdue_polls(NOW + 0.1) == []
    assert upstream.overdue_at == NOW + 0.2
    assert upstream.pop_overdue_polls(NOW + 0.2) == [third]
    assert upstream.overdue_at == NOW + 0.3
    assert upstream.pop_overdue_polls(NOW + 0.3) == [first]
    assert upstream.overdue_at == float("inf")


def test_nothing_is_overdue_without_pending_polls(upstream: LeasedUpstream):
    assert upstream.overdue_at == float("inf")
    upstream.complete_poll(upstream.register_poll(NOW + 0.1))
    assert upstream.pop_overdue_polls(NOW + 1.0) == []
    assert upstream.overdue_at == float("inf")


def test_polls_are_skipped_only_for_idle_confirmed_upstreams(upstream: LeasedUpstream):
    upstream.acquired, upstream.idle_until = True, NOW + 1.0
    assert upstream.can_skip_poll(NOW)
    assert not upstream.can_skip_poll(NOW + 1.0)
    upstream.consecutive_misses = 1
    assert not upstream.can_skip_poll(NOW)
    upstream.consecutive_misses, upstream.acquired = 0, False
    assert not upstream.can_skip_poll(NOW)
    upstream.acquired = True
    upstream.add_run(Run(RunId("aa.0.0.0", 1), Resources(), RunPhase.STARTING, NOW))
    assert not upstream.can_skip_poll(NOW)
