"""Tests of lending: no slot is used twice within a term."""

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
from jackdawspur.sharing import LEND_MARGIN, LEND_TERM, LONGEST_HOLD, SlotPool
from jackdawspur.sharing.tests.trial import Trial, Way

ZONE = "zone-1"
HOSTS = tuple(HostId(ZONE, f"entry-{n}", 1) for n in range(2))
UPSTREAMS = tuple(Upstream(UpstreamId(ZONE, f"up-{n}"), "", slots=4) for n in range(2))


class Pair:
    """Two tables and the messages between them, in the order a test chooses."""

    def __init__(self):
        self.now = 0.0
        self.tables = {host: SlotPool(host) for host in HOSTS}
        self.flights = []
        for table in self.tables.values():
            table.set_members(UPSTREAMS, HOSTS, 0.0)

    def start(self, host):
        for upstream in self.tables[host].select_slots(1, self.now):
            self.tables[host].acquire(upstream, self.now)

    def end(self, host):
        table = self.tables[host]
        for upstream in UPSTREAMS:
            if table.busy():
                table.release(upstream.id)

    def ask(self, host, spare=4):
        other = HOSTS[1 - HOSTS.index(host)]
        for ask in self.tables[host].request_slots(8, {other: spare}, self.now):
            self.flights.append((host, ask.to, ask.request))

    def lend_late(self):
        for host, table in self.tables.items():
            for lend in table.grant_pending_requests(0, self.now):
                self.flights.append((host, lend.to, lend.grant))

    def give_back(self, host):
        self.tables[host].reclaim_expired(self.now)
        for back in self.tables[host].release_idle_slots(0, self.now):
            self.flights.append((host, back.to, back.message))

    def deliver(self, index, repeat):
        if not self.flights:
            return
        index %= len(self.flights)
        sender, to, message = self.flights[index]
        if not repeat:
            del self.flights[index]
        table = self.tables[to]
        if isinstance(message, SlotRequest):
            grant = table.lend(sender, message, 0, self.now)
            if grant:
                self.flights.append((to, sender, grant))
        elif isinstance(message, SlotGrant):
            for back in table.accept_grant(sender, message, self.now):
                self.flights.append((to, back.to, back.message))
        else:
            table.accept_return(sender, message)

    def held(self):
        """Count slots per upstream that run tasks or could start one now."""
        total = Counter()
        for table in self.tables.values():
            total += Counter(table.running())
            total += Counter(table.select_slots(100, self.now))
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
def test_no_slot_is_used_twice_whatever_happens_to_messages(steps):
    """Starts are refused because lender and borrower use the same slot.

    Requests, grants and returns are lost, repeated, overtaken or read after a pause
    longer than the term; all within the time after which a lender gives up waiting.
    """
    pair = Pair()
    for name, *args in steps:
        if name == "wait":
            pair.now = min(pair.now + args[0], LONGEST_HOLD - 0.1)
            pair.lend_late()
        elif name == "lose":
            if pair.flights:
                del pair.flights[args[0] % len(pair.flights)]
        else:
            getattr(pair, name)(*args)
        for upstream in UPSTREAMS:
            assert pair.held()[upstream.id] <= upstream.slots


@pytest.fixture
def lent():
    pair = Pair()
    for _ in range(8):
        pair.start(HOSTS[0])
    pair.ask(HOSTS[0], spare=2)
    pair.deliver(0, repeat=False)
    pair.deliver(0, repeat=False)
    assert pair.tables[HOSTS[0]].free(0.0) == 2
    return pair


def test_lent_slots_come_back_when_the_borrower_dies(lent):
    """A borrower dies; the lender must neither use its slots early nor lose them."""
    lender = lent.tables[HOSTS[1]]
    assert lender.free(0.0) == 2
    lender.set_members(UPSTREAMS, HOSTS[1:], 0.5)
    assert lender.free(0.5) == 8 - 2
    lender.reclaim_expired(LEND_TERM + LEND_MARGIN)
    assert lender.free(2.0) == 8


def test_a_lost_return_costs_the_slots_for_a_bounded_time(lent):
    lender = lent.tables[HOSTS[1]]
    lender.reclaim_expired(LONGEST_HOLD - 0.1)
    assert lender.free(1.0) == 2
    lender.reclaim_expired(LONGEST_HOLD)
    assert lender.free(1.0) == 4


def test_a_borrower_starts_nothing_after_the_term(lent):
    """A borrower wakes from a pause and starts tasks on slots that are no longer its.

    The term ends by its own clock, counted from its request.
    """
    borrower = lent.tables[HOSTS[0]]
    assert borrower.free(LEND_TERM - 0.01) == 2
    assert borrower.free(LEND_TERM) == 0
    (back,) = borrower.release_idle_slots(5, LEND_TERM)
    assert sum(item.slots for item in back.message.slots) == 2


def test_a_task_that_outlasts_the_term_keeps_its_slot(lent):
    lent.start(HOSTS[0])
    borrower = lent.tables[HOSTS[0]]
    (back,) = borrower.release_idle_slots(0, LEND_TERM)
    lent.tables[HOSTS[1]].accept_return(HOSTS[0], back.message)
    assert lent.tables[HOSTS[1]].free(LEND_TERM) == 3
    lent.end(HOSTS[0])
    (back,) = borrower.release_idle_slots(0, LEND_TERM + 1)
    lent.tables[HOSTS[1]].accept_return(HOSTS[0], back.message)
    lent.tables[HOSTS[1]].accept_return(HOSTS[0], back.message)
    assert lent.tables[HOSTS[1]].free(LEND_TERM + 1) == 4


def test_lending_beats_a_fixed_division_when_load_is_uneven():
    """The balancer sends one host 70 % of the jobs; its callers wait, slots idle."""
    fixed = Trial(Way("slots"), 0.7, 1, skew=0.7).run(10.0)
    lending = Trial(Way("lent", lends=True), 0.7, 1, skew=0.7).run(10.0)
    assert lending.quantile(0.99) < fixed.quantile(0.99) / 2
    assert lending.refused == 0


def test_a_return_of_more_than_was_lent_frees_no_more(lent):
    """A lender starts tasks on slots that it never held, and they are refused.

    A faulty or repeated return names more slots than the grant did, and an upstream
    that was not lent.
    """
    lender = lent.tables[HOSTS[1]]
    slots = tuple(UpstreamSlots(upstream.id, 100) for upstream in UPSTREAMS)
    other = UpstreamSlots(UpstreamId(ZONE, "up-9"), 5)
    lender.accept_return(HOSTS[0], SlotReturn(1, (*slots, other)))
    assert lender.free(0.0) == 4
    lender.accept_return(HOSTS[0], SlotReturn(1, slots))
    assert lender.free(0.0) == 4


def test_a_late_grant_is_handed_back(lent):
    """A grant answers a request that its borrower has given up long since.

    Its slots would lie idle at a borrower that no longer counts on them, until the
    lender gives up waiting.
    """
    borrower = lent.tables[HOSTS[0]]
    late = SlotGrant(99, 500.0, (UpstreamSlots(UPSTREAMS[0].id, 3),), request=98)
    (back,) = borrower.accept_grant(HOSTS[1], late, 1.0)
    assert (back.to, back.message) == (HOSTS[1], SlotReturn(99, late.slots))
    in_time = replace(late, grant=7, request=1)
    assert borrower.accept_grant(HOSTS[1], in_time, LEND_TERM) == ()
    assert borrower.free(LEND_TERM) == 0
    returned = borrower.release_idle_slots(1, LEND_TERM)
    assert SlotReturn(7, late.slots) in [back.message for back in returned]


def test_the_most_urgent_job_of_all_hosts_gets_the_next_slot():
    """A wide job at one host keeps another host's small job waiting.

    All slots are busy and every host has tasks that wait; without the order over
    hosts the one whose task ends takes the slot, however wide its own job is.
    """
    far = HostId("zone-2", "entry-0", 1)
    pair = Pair()
    lender = pair.tables[HOSTS[1]]
    lender.set_remote_hosts((far,))
    for _ in range(4):
        pair.start(HOSTS[1])
    assert lender.lend(far, SlotRequest(9, 1, 100.0, urgent=1), 5, 0.0) is None
    assert lender.lend(HOSTS[0], SlotRequest(9, 1, 300.0, urgent=9), 5, 0.0) is None
    lender.release(UPSTREAMS[0].id)
    lender.release(UPSTREAMS[1].id)
    lends = lender.grant_pending_requests(5, 0.1, latest_start=0.2)
    assert [(lend.to, _count(lend.grant)) for lend in lends] == [(far, 1)]
    assert lender.free(0.1) == 1


def test_a_stranger_borrows_nothing(lent):
    stranger = HostId("zone-2", "entry-0", 1)
    assert lent.tables[HOSTS[1]].lend(stranger, SlotRequest(1, 1), 0, 0.0) is None
    assert lent.tables[HOSTS[1]].free(0.0) == 2


def _count(grant):
    return sum(item.slots for item in grant.slots)
