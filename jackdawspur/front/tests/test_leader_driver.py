"""Tests of the leader driver: offers, lists of upstreams and metrics."""

from dataclasses import dataclass, field, replace

import pytest

from jackdawspur.front._host_metrics import HostMetrics
from jackdawspur.front._leader_driver import LeaderDriver
from jackdawspur.front._load_status import group_loads, queues
from jackdawspur.front._routes import RouteTable
from jackdawspur.group import Group, HostAddress, HostHeartbeat, JobOffer
from jackdawspur.leases import Resources, UpstreamEntry
from jackdawspur.model import UpstreamId
from jackdawspur.runs import (
    DemandState,
    InitialTasksStarted,
    JobEvent,
    JobLost,
    JobNoted,
    JobRequest,
    JobStep,
    LevelLoad,
    LossCause,
    Progress,
    Route,
    RouteDemand,
    ServiceLoad,
)

ROUTE = Route("r", "h", "/q/", "s", 1500.0, 60.0, 1.6, 0, 3)
REQUEST = JobRequest("aa", "", (JobStep(1, Resources(1), 10.0),), ROUTE)
SENT_AT = 5.0
UNIX_MS = 1_800_000_000_000


@dataclass
class View:
    """A view of the store with an empty list of upstreams."""

    entries: tuple = ()
    evacuated: frozenset = frozenset()
    read_at: float | None = None

    def age_s(self, now: float) -> float:
        return 0.0 if self.read_at is None else now - self.read_at


class NoUpstreams:
    """A port without calls, since there is no upstream."""

    def close_connections_except(self, addresses: set[str]) -> None:
        pass


@dataclass
class Owner:
    """Stand-in for the rest of a host."""

    address: HostAddress = HostAddress("own", "z1", "127.0.0.1:1", 1)
    group: Group = field(default_factory=lambda: Group(Owner.address, 0.0))
    metrics: HostMetrics = field(default_factory=HostMetrics)
    routes: RouteTable = RouteTable(1, (ROUTE,))
    view: View = field(default_factory=View)

    def flush_soon(self) -> None:
        pass

    def send(self, host: str, message: object) -> None:
        pass


@pytest.fixture
def owner() -> Owner:
    leading_owner = Owner()
    assert leading_owner.group.update_leadership(True, UNIX_MS, 5.0)
    return leading_owner


@pytest.fixture
def driver(owner: Owner) -> LeaderDriver:
    leading_driver = LeaderDriver(owner, NoUpstreams(), 5.0)
    leading_driver.leadership_changed(5.0)
    return leading_driver


def offer(fence: int, handed: int = 0, sent_at: float = SENT_AT) -> JobOffer:
    return JobOffer("h2", fence, sent_at, REQUEST, 1, 0.0, 1000.0, handed, Progress())


def test_an_offer_for_the_current_term_is_accepted(owner: Owner, driver: LeaderDriver):
    driver.receive_offer(offer(owner.group.fence), 5.0)
    assert len(driver.dispatcher.open_jobs) == 1


def test_an_offer_repeated_for_an_earlier_term_is_not_accepted_as_new(
    owner: Owner, driver: LeaderDriver
):
    # A caller gets the answer that its job did not run, although it ran: the leader had
    # started a new term and forgotten the job that it had started. The job's host did
    # not know the new term yet and repeated the offer, which was now too late.
    before = owner.group.fence
    driver.receive_offer(offer(before), 5.0)
    owner.group.resolve_contention(UNIX_MS, 5.1)
    driver.leadership_changed(5.1)
    driver.receive_offer(offer(before), 5.2)
    assert len(driver.dispatcher.open_jobs) == 0
    driver.receive_offer(offer(owner.group.fence, handed=1), 5.3)
    assert len(driver.dispatcher.open_jobs) == 1


def test_a_job_whose_host_follows_a_later_leader_is_dropped(
    owner: Owner, driver: LeaderDriver
):
    # A task runs twice at the same time: its host gets heartbeats of two leaders that
    # are partitioned from each other. It follows the later one and hands the job over
    # to it. The earlier one still got the host's heartbeats, and continued the job on
    # upstreams that the later one can't reach.
    driver.receive_offer(offer(owner.group.fence), 5.0)
    driver.drop_handed_over("h2", owner.group.fence + 1, 5.1)
    assert len(driver.dispatcher.open_jobs) == 0


@pytest.mark.parametrize("fence_known", [0, 1])
def test_a_job_whose_host_does_not_follow_a_later_leader_goes_on(
    owner: Owner, driver: LeaderDriver, fence_known: int
):
    # A host without a leader, or one that does not know the current leader yet, has not
    # handed its job over to another one.
    driver.receive_offer(offer(owner.group.fence), 5.0)
    driver.drop_handed_over("h2", fence_known * (owner.group.fence - 1), 5.1)
    driver.drop_handed_over("h2", owner.group.fence, 5.2)
    assert len(driver.dispatcher.open_jobs) == 1


def test_the_first_job_of_a_host_unheard_since_its_list_was_newer_waits(
    owner: Owner, driver: LeaderDriver, monkeypatch
):
    # Guards against starting a job that was handed over before the lists are compared
    # with that of its host: its runs may be on an upstream that is not on this list.
    entry = UpstreamEntry(
        UpstreamId("z1", "u1"), "s", "z1:u1", Resources(1000), (), False
    )
    owner.view.entries, owner.view.read_at = (entry,), 5.0
    driver.upstreams_changed(5.0)
    host = HostAddress("h2", "z1", "127.0.0.1:2", 1)
    heartbeat = HostHeartbeat(host, 6.5, False, 0, True, False, False, 1, 0.1, ())
    owner.group.record_heartbeat(heartbeat, 6.5)
    driver.tick(9.99)
    listing = driver.dispatcher.upstream_pool.listing
    assert listing.is_complete(9.99)
    driver.receive_offer(offer(owner.group.fence, handed=1, sent_at=10.0), 10.0)
    monkeypatch.setattr(driver.dispatcher, "flush", lambda _now: [])
    driver.flush(10.0)
    assert not listing.is_complete(10.0)


def test_an_upstream_of_a_service_that_no_route_names_is_not_used(
    owner: Owner, driver: LeaderDriver
):
    # The stated retry time of refused jobs is too short: capacity that no job can use
    # counted as free capacity, and its upstream was polled five times a second.
    entries = [
        UpstreamEntry(
            UpstreamId("z1", name), service, "127.0.0.1:1", Resources(8), (), False
        )
        for name, service in (("u1", "s"), ("u2", "nobody"))
    ]
    owner.view.entries = tuple(entries)
    driver.upstreams_changed(6.0)
    assert [
        leased.entry.id.name for leased in driver.dispatcher.upstream_pool.upstreams
    ] == ["u1"]


@pytest.mark.parametrize(("late_s", "accepted"), [(0.0, 1), (0.39, 1), (0.41, 0)])
def test_an_offer_that_was_delayed_in_transit_is_not_accepted(
    owner: Owner, driver: LeaderDriver, late_s: float, accepted: int
):
    # A task runs twice at the same time: an offer was delayed by a network partition
    # until its host, which received no more heartbeats, had redirected the job to
    # another group.
    driver.receive_offer(offer(owner.group.fence, sent_at=6.0 - late_s), 6.0)
    assert len(driver.dispatcher.open_jobs) == accepted
    assert owner.group.is_alive("h2", 6.0) == bool(accepted)


def test_a_lost_job_is_counted_by_route_and_cause(owner: Owner, driver: LeaderDriver):
    driver.receive_offer(offer(owner.group.fence), 5.0)
    driver.dispatcher.tick(7.0)
    driver.flush(7.0)
    lines = owner.metrics.lines()
    assert 'jackdawspur_jobs_lost{route="r",cause="never_begun"} 1' in lines


def test_the_time_to_the_last_start_is_recorded_by_route(
    driver: LeaderDriver, owner: Owner
):
    for ms in (0.0, 5.0, 40.0):
        driver._carry_out(InitialTasksStarted("aa", "r", ms))
    lines = owner.metrics.lines()
    assert 'jackdawspur_last_start_ms_count{route="r"} 3' in lines
    assert 'jackdawspur_last_start_ms{route="r",quantile="0.5"} 5' in lines


def test_jobs_are_counted_by_priority(owner: Owner, driver: LeaderDriver):
    # An operator can't tell whether urgent callers are refused, or after which wait; a
    # job that failed must not count among them.
    waited = LossCause.REFUSED_WAITED
    driver._carry_out(JobLost("aa", "r", waited, priority=2, refused_after_ms=20.0))
    driver._carry_out(JobLost("bb", "r", LossCause.FAILED, priority=2))
    for event in (JobEvent.LATE, JobEvent.REDIRECTED):
        driver._carry_out(JobNoted(event, "r", 1))
    lines = owner.metrics.lines()
    refused = 'route="r",priority="2"'
    assert f'jackdawspur_refusals{{{refused},cause="{waited.value}"}} 1' in lines
    assert f'jackdawspur_refused_wait_ms{{{refused},quantile="0.5"}} 20' in lines
    assert 'jackdawspur_jobs_late{route="r",priority="1"} 1' in lines
    assert 'jackdawspur_jobs_redirected{route="r",priority="1"} 1' in lines
    assert sum("refusals" in line for line in lines) == 1


def test_the_status_shows_no_outdated_load(owner: Owner, driver: LeaderDriver):
    # A group looks as if it had capacity though its reports have stopped, and a host
    # that no longer leads shows the fractions that it admitted.
    long = replace(ROUTE, name="long", priority=2)
    owner.routes, owner.leader_driver = RouteTable(1, (ROUTE, long)), driver
    driver.upstreams_changed(5.0)
    demand = RouteDemand("s", "long", False, 900.0, 3.0, 300.0, 0.25, 2)
    driver.dispatcher.load_tracker.seed(DemandState((demand,)), 0.0, 5.0)
    leader = HostAddress("far", "z2", "127.0.0.1:2", 1)
    loads = (ServiceLoad("s", (LevelLoad(0, 40, 700),)),)
    heartbeat = HostHeartbeat(
        leader, 5.0, True, 9, True, False, False, 1, 0.0, (), by_zone=True, loads=loads
    )
    owner.group.set_upstream_count(100, 5.0)
    owner.group.record_heartbeat(heartbeat, 5.0)
    driver.exchange.record_loads(heartbeat, 5.0)
    refused, urgent = queues(owner, 5.0)
    assert (refused.route, refused.open, refused.admitted) == ("long", 0, 0.25)
    assert urgent.admitted is None
    (current,), (outdated,) = group_loads(owner, 5.25), group_loads(owner, 6.0)
    assert (current.report_age_s, current.levels[0].wait_ms) == (0.25, 40)
    assert (outdated.report_age_s, outdated.levels) == (-1.0, ())
    driver.dispatcher.stop_leading(6.0)
    assert queues(owner, 6.0) == group_loads(owner, 6.0) == ()
