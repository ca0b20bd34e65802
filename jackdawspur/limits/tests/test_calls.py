"""Tests of the bounds on retries and waiting work, per customer and per host."""

import pytest

from jackdawspur.limits import CallBounds, CallLimits, RetryBudget
from jackdawspur.limits._retries import CUSTOMER_BURST, HOST_BURST, RETRY_FRACTION

BOUNDS = CallBounds(
    waiting_tasks=100, waiting_tasks_customer=40, calls=10, calls_customer=4
)


@pytest.fixture
def limits():
    return CallLimits(BOUNDS)


def test_refusal_storm_costs_a_tenth_more_messages():
    """Retries double the load on upstreams that refuse all starts.

    Ten thousand starts in ten seconds are each refused and retried at once.
    """
    budget = RetryBudget()
    retries = 0
    for step in range(10_000):
        now = step / 1000.0
        budget.started("a", now)
        while budget.may_retry("a", now):
            retries += 1
    assert retries <= RETRY_FRACTION * 10_000 + CUSTOMER_BURST + 10.0 + 1
    assert retries >= RETRY_FRACTION * 10_000


def test_one_customer_does_not_exhaust_the_retries_of_others():
    budget = RetryBudget()
    while budget.may_retry("a", 0.0):
        pass
    assert budget.may_retry("b", 0.0)
    allowed = sum(budget.may_retry(f"c{n % 50}", 0.0) for n in range(5_000))
    assert allowed <= HOST_BURST


def test_bounds_of_a_customer_and_of_the_host(limits):
    limits.queued("a", 40)
    assert limits.check("a", 1, 0.0).message.startswith("the customer")
    assert limits.check("b", 40, 0.0) is None
    limits.queued("b", 40)
    assert limits.check("c", 21, 0.0).message.startswith("this host")
    for _ in range(4):
        limits.opened("d")
    assert "open calls" in limits.check("d", 1, 0.0).message
    limits.answered("d")
    assert limits.check("d", 1, 0.0) is None


def test_cancelled_tasks_free_their_bound_at_once(limits):
    """A customer that cancelled all its waiting tasks is still refused by its bound.

    The cancelled tasks never started, so they were never removed from the count.
    """
    for _ in range(4):
        limits.opened("a")
        limits.queued("a", 10)
    assert limits.check("a", 10, 0.0) is not None
    for _ in range(4):
        limits.dropped("a", 10)
        limits.answered("a")
    assert limits.check("a", 10, 0.0) is None
    assert (limits.open_calls, limits.waiting_tasks) == (0, 0)


def test_retry_after_follows_the_drain_rate(limits):
    for step in range(400):
        limits.queued("a", 1)
        limits.started("a", 1, step / 100.0)
    # 100 starts a second drain 50 tasks in half a second.
    assert limits.retry_after_ms(50, 4.0) == pytest.approx(500.0, rel=0.1)
