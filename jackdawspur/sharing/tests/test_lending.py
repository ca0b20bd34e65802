"""Tests that lent slots are never used by two hosts at once."""

from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st

from jackdawspur.messages import (
    SlotGrant,
    SlotRequest,
    SlotReturn,
    UpstreamSlots,
)
from jackdawspur.model import HostId, Upstream, UpstreamId
from jackdawspur.sharing import LOAN_MARGIN, LOAN_TERM, MAX_LOAN_TIME, SlotPool
from jackdawspur.sharing.tests.trial import Policy, Trial

ZONE = "zone-1"
HOSTS = tuple(HostId(ZONE, f"entry-{n}", 1) for n in range(2))
UPSTREAMS = tuple(Upstream(UpstreamId(ZONE, f"up-{n}"), "", slots=4) for n in range(2))


class Pair:
    """Slot pools of two hosts; a test chooses the order of messages between them."""

    def __init__(self):
        self.now = 0.0
        self.pools = {host: SlotPool(host) for host in HOSTS}
        self.messages = []
        for pool in self.pools.values():
            pool.set_members(UPSTREAMS, HOSTS, 0.0)

    def start(self, host):
        for upstream in self.pools[host].select_slots(1, self.now):
            self.pools[host].acquire(upstream, self.now)

    def end(self, host):
        pool = self.pools[host]
        for upstream in UPSTREAMS:
            if pool.busy():
                pool.release(upstream.id)

    def ask(self, host, spare=4):
        other = HOSTS[1 - HOSTS.index(host)]
        for outgoing in self.pools[host].request_slots(8, {other: spare}, self.now):
            self.messages.append((host, outgoing.to, outgoing.request))

    def grant_pending(self):
        for host, pool in self.pools.items():
            for outgoing in pool.grant_pending_requests(0, self.now):
                self.messages.append((host, outgoing.to, outgoing.grant))

    def give_back(self, host):
        self.pools[host].reclaim_expired(self.now)
        for outgoing in self.pools[host].release_idle_slots(0, self.now):
            self.messages.append((host, outgoing.to, outgoing.message))

    def deliver(self, index, repeat):
        if not self.messages:
            return
        index %= len(self.messages)
        sender, to, message = self.messages[index]
        if not repeat:
            del self.messages[index]
        pool = self.pools[to]
        if isinstance(message, SlotRequest):
            grant = pool.lend(sender, message, 0, self.now)
            if grant:
                self.messages.append((to, sender, grant))
        elif isinstance(message, SlotGrant):
            for outgoing in pool.accept_grant(sender, message, self.now):
                self.messages.append((to, outgoing.to, outgoing.message))
        else:
            pool.accept_return(sender, message)

    def usable(self):
        """Count the slots per upstream that run tasks or could start one now."""
        total = Counter()
        for pool in self.pools.values():
            total += Counter(pool.running())
            total += Counter(pool.select_slots(100, self.now))
        return total


def _steps():
    hosts = st.sampled_from(HOSTS)
    return st.lists(
        st.one_of(
            st.tuples(st.just("start"), hosts),
            st.tuples(st.just("end"), hosts),
            st.tuples(st.just("ask"), hosts),
            st.tuples(st.just("give_back"), hosts),
            st.tuples(st.just("deliver"), st.integers(0, 9), st.booleans()),
            st.tuples(st.just("lose"), st.integers(0, 9)),
            st.tuples(st.just("wait"), st.sampled_from((0.01, 0.3, 0.9, 1.3))),
        ),
        max_size=60,
    )


@settings(derandomize=True, max_examples=400, deadline=None)
@given(_steps())
def test_no_slot_is_used_twice_for_any_order_of_messages(steps):
    """Lender and borrower must not use the same slot, or starts are refused.

    Requests, grants and returns are lost, repeated, reordered or read after a pause
    longer than the term. Everything happens before a lender reclaims lent slots.
    """
    pair = Pair()
    for name, *args in steps:
        if name == "wait":
            pair.now = min(pair.now + args[0], MAX_LOAN_TIME - 0.1)
            pair.grant_pending()
        elif name == "lose":
            if pair.messages:
                del pair.messages[args[0] % len(pair.messages)]
        else:
            getattr(pair, name)(*args)
        for upstream in UPSTREAMS:
            assert pair.usable()[upstream.id] <= upstream.slots


@pytest.fixture
def pair_with_loan():
    pair = Pair()
    for _ in range(8):
        pair.start(HOSTS[0])
    pair.ask(HOSTS[0], spare=2)
    pair.deliver(0, repeat=False)
    pair.deliver(0, repeat=False)
    assert pair.pools[HOSTS[0]].free(0.0) == 2
    return pair


def test_lent_slots_are_reclaimed_when_the_borrower_dies(pair_with_loan):
    """The lender must not reuse slots of a dead borrower too early, nor lose them."""
    lender = pair_with_loan.pools[HOSTS[1]]
    assert lender.free(0.0) == 2
    lender.set_members(UPSTREAMS, HOSTS[1:], 0.5)
    assert lender.free(0.5) == 8 - 2
    lender.reclaim_expired(LOAN_TERM + LOAN_MARGIN)
    assert lender.free(2.0) == 8


def test_slots_of_a_lost_return_are_reclaimed_after_a_bounded_time(pair_with_loan):
    lender = pair_with_loan.pools[HOSTS[1]]
    lender.reclaim_expired(MAX_LOAN_TIME - 0.1)
    assert lender.free(1.0) == 2
    lender.reclaim_expired(MAX_LOAN_TIME)
    assert lender.free(1.0) == 4


def test_a_borrower_starts_nothing_after_the_term(pair_with_loan):
    """A borrower that resumes from a pause must not use slots of an expired loan.

    The term ends by the clock of the borrower, counted from its request.
    """
    borrower = pair_with_loan.pools[HOSTS[0]]
    assert borrower.free(LOAN_TERM - 0.01) == 2
    assert borrower.free(LOAN_TERM) == 0
    (outgoing,) = borrower.release_idle_slots(5, LOAN_TERM)
    assert sum(item.slots for item in outgoing.message.slots) == 2


def test_a_task_that_outlasts_the_term_keeps_its_slot(pair_with_loan):
    pair_with_loan.start(HOSTS[0])
    borrower = pair_with_loan.pools[HOSTS[0]]
    (outgoing,) = borrower.release_idle_slots(0, LOAN_TERM)
    pair_with_loan.pools[HOSTS[1]].accept_return(HOSTS[0], outgoing.message)
    assert pair_with_loan.pools[HOSTS[1]].free(LOAN_TERM) == 3
    pair_with_loan.end(HOSTS[0])
    (outgoing,) = borrower.release_idle_slots(0, LOAN_TERM + 1)
    pair_with_loan.pools[HOSTS[1]].accept_return(HOSTS[0], outgoing.message)
    pair_with_loan.pools[HOSTS[1]].accept_return(HOSTS[0], outgoing.message)
    assert pair_with_loan.pools[HOSTS[1]].free(LOAN_TERM + 1) == 4


def test_lending_is_faster_than_a_fixed_division_under_uneven_load():
    """Jobs must not wait while slots are idle, if one host gets 70 % of the jobs."""
    fixed = Trial(Policy("slots"), 0.7, 1, skew=0.7).run(10.0)
    lending = Trial(Policy("lent", lends=True), 0.7, 1, skew=0.7).run(10.0)
    assert lending.quantile(0.99) < fixed.quantile(0.99) / 2
    assert lending.refused == 0


def test_a_return_of_more_than_was_lent_frees_no_more(pair_with_loan):
    """A lender must not use more slots than it lent, or its starts are refused.

    A faulty or repeated return names more slots than the grant did, and an upstream
    that was not lent.
    """
    lender = pair_with_loan.pools[HOSTS[1]]
    slots = tuple(UpstreamSlots(upstream.id, 100) for upstream in UPSTREAMS)
    other = UpstreamSlots(UpstreamId(ZONE, "up-9"), 5)
    lender.accept_return(HOSTS[0], SlotReturn(1, (*slots, other)))
    assert lender.free(0.0) == 4
    lender.accept_return(HOSTS[0], SlotReturn(1, slots))
    assert lender.free(0.0) == 4


def test_a_late_grant_is_returned(pair_with_loan):
    """A grant for a request that its borrower has dropped must be returned.

    Otherwise its slots would stay idle at the borrower until the lender reclaims them.
    """
    borrower = pair_with_loan.pools[HOSTS[0]]
    late = SlotGrant(99, 500.0, (UpstreamSlots(UPSTREAMS[0].id, 3),), request=98)
    (outgoing,) = borrower.accept_grant(HOSTS[1], late, 1.0)
    assert (outgoing.to, outgoing.message) == (HOSTS[1], SlotReturn(99, late.slots))
    in_time = replace(late, grant=7, request=1)
    assert borrower.accept_grant(HOSTS[1], in_time, LOAN_TERM) == ()
    assert borrower.free(LOAN_TERM) == 0
    returned = borrower.release_idle_slots(1, LOAN_TERM)
    assert SlotReturn(7, late.slots) in [outgoing.message for outgoing in returned]


def test_the_most_urgent_job_of_all_hosts_gets_the_next_slot():
    """A job of many tasks at one host must not delay a small job of another host.

    All slots are busy, and tasks wait at every host. Without an order across hosts, the
    host whose task ends uses the slot, however many tasks its own job has.
    """
    remote_host = HostId("zone-2", "entry-0", 1)
    pair = Pair()
    lender = pair.pools[HOSTS[1]]
    lender.set_remote_hosts((remote_host,))
    for _ in range(4):
        pair.start(HOSTS[1])
    assert lender.lend(remote_host, SlotRequest(9, 1, 100.0, urgent=1), 5, 0.0) is None
    assert lender.lend(HOSTS[0], SlotRequest(9, 1, 300.0, urgent=9), 5, 0.0) is None
    lender.release(UPSTREAMS[0].id)
    lender.release(UPSTREAMS[1].id)
    grants = lender.grant_pending_requests(5, 0.1, latest_start=0.2)
    assert [(item.to, _count(item.grant)) for item in grants] == [(remote_host, 1)]
    assert lender.free(0.1) == 1


def test_an_unknown_host_borrows_nothing(pair_with_loan):
    unknown_host = HostId("zone-2", "entry-0", 1)
    assert (
        pair_with_loan.pools[HOSTS[1]].lend(unknown_host, SlotRequest(1, 1), 0, 0.0)
        is None
    )
    assert pair_with_loan.pools[HOSTS[1]].free(0.0) == 2


def _count(grant):
    return sum(item.slots for item in grant.slots)
