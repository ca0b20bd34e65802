"""What is kept of one upstream."""

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
def held() -> LeasedUpstream:
    """Return an upstream that was listed just now."""
    entry = UpstreamEntry(
        UpstreamId("z1", "u1"), "s", "127.0.0.1:1", Resources(), (), False
    )
    return LeasedUpstream(entry, 1, 1, NOW)


def test_each_look_that_is_overdue_is_found_when_it_is(held: LeasedUpstream):
    # An upstream that turned silent gets tasks: the look that would show it was passed
    # over, since one that was sent beside it had been answered.
    first = held.register_poll(NOW + 0.3)
    second = held.register_poll(NOW + 0.1)
    third = held.register_poll(NOW + 0.2)
    held.complete_poll(second)
    assert held.overdue_at <= NOW + 0.1
    assert held.pop_overdue_polls(NOW + 0.1) == []
    assert held.overdue_at == NOW + 0.2
    assert held.pop_overdue_polls(NOW + 0.2) == [third]
    assert held.overdue_at == NOW + 0.3
    assert held.pop_overdue_polls(NOW + 0.3) == [first]
    assert held.overdue_at == float("inf")


def test_nothing_is_overdue_while_no_look_is_open(held: LeasedUpstream):
    assert held.overdue_at == float("inf")
    held.complete_poll(held.register_poll(NOW + 0.1))
    assert held.pop_overdue_polls(NOW + 1.0) == []
    assert held.overdue_at == float("inf")


def test_an_upstream_rests_only_while_all_is_known_of_it(held: LeasedUpstream):
    held.acquired, held.idle_until = True, NOW + 1.0
    assert held.can_skip_poll(NOW)
    assert not held.can_skip_poll(NOW + 1.0)
    held.consecutive_misses = 1
    assert not held.can_skip_poll(NOW)
    held.consecutive_misses, held.acquired = 0, False
    assert not held.can_skip_poll(NOW)
    held.acquired = True
    held.add_run(Run(RunId("aa.0.0.0", 1), Resources(), RunPhase.STARTING, NOW))
    assert not held.can_skip_poll(NOW)
