"""What is kept of one upstream."""

import pytest

from jackdawspur.leases import HeldUpstream, Phase, Resources, Run, RunId, UpstreamEntry
from jackdawspur.model import UpstreamId

NOW = 10.0


@pytest.fixture
def held() -> HeldUpstream:
    """Return an upstream that was listed just now."""
    entry = UpstreamEntry(
        UpstreamId("z1", "u1"), "s", "127.0.0.1:1", Resources(), (), False
    )
    return HeldUpstream(entry, 1, 1, NOW)


def test_each_look_that_is_overdue_is_found_when_it_is(held: HeldUpstream):
    # An upstream that turned silent gets tasks: the look that would show it was passed
    # over, since one that was sent beside it had been answered.
    first = held.next_look(NOW + 0.3)
    second = held.next_look(NOW + 0.1)
    third = held.next_look(NOW + 0.2)
    held.close_look(second)
    assert held.overdue_at <= NOW + 0.1
    assert held.take_overdue(NOW + 0.1) == []
    assert held.overdue_at == NOW + 0.2
    assert held.take_overdue(NOW + 0.2) == [third]
    assert held.overdue_at == NOW + 0.3
    assert held.take_overdue(NOW + 0.3) == [first]
    assert held.overdue_at == float("inf")


def test_nothing_is_overdue_while_no_look_is_open(held: HeldUpstream):
    assert held.overdue_at == float("inf")
    held.close_look(held.next_look(NOW + 0.1))
    assert held.take_overdue(NOW + 1.0) == []
    assert held.overdue_at == float("inf")


def test_an_upstream_rests_only_while_all_is_known_of_it(held: HeldUpstream):
    held.held, held.rest_until = True, NOW + 1.0
    assert held.rests(NOW)
    assert not held.rests(NOW + 1.0)
    held.missed = 1
    assert not held.rests(NOW)
    held.missed, held.held = 0, False
    assert not held.rests(NOW)
    held.held = True
    held.add(Run(RunId("aa.0.0.0", 1), Resources(), Phase.STARTING, NOW))
    assert not held.rests(NOW)
