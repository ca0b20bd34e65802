"""A leading host takes the jobs that are meant for its present term."""

from dataclasses import dataclass, field

import pytest

from jackdawspur.front._host_metrics import HostMetrics
from jackdawspur.front._leader_driver import LeaderDriver
from jackdawspur.front._routes import RouteTable
from jackdawspur.group import Group, HostAddress, JobOffer
from jackdawspur.leases import Resources, UpstreamEntry
from jackdawspur.model import UpstreamId
from jackdawspur.runs import InitialTasksStarted, JobRequest, JobStep, Progress, Route

ROUTE = Route("r", "h", "/q/", "s", 1500.0, 60.0, 1.6, 0, 3)
REQUEST = JobRequest("aa", "", (JobStep(1, Resources(1), 10.0),), ROUTE)
SENT_AT = 5.0
UNIX_MS = 1_800_000_000_000


@dataclass
class Views:
    """Know no upstream."""

    entries: tuple = ()
    evacuated: frozenset = frozenset()

    def age_s(self, now: float) -> float:
        return 0.0


class NoUpstreams:
    """Be called by nobody, since there is no upstream."""

    def close_connections_except(self, addresses: set[str]) -> None:
        pass


@dataclass
class Owner:
    """Stand in for the rest of a host."""

    address: HostAddress = HostAddress("own", "z1", "127.0.0.1:1", 1)
    group: Group = field(default_factory=lambda: Group(Owner.address, 0.0))
    metrics: HostMetrics = field(default_factory=HostMetrics)
    routes: RouteTable = RouteTable(1, (ROUTE,))
    views: Views = field(default_factory=Views)

    def flush_soon(self) -> None:
        pass

    def send(self, host: str, message: object) -> None:
        pass


@pytest.fixture
def owner() -> Owner:
    one = Owner()
    assert one.group.update_leadership(True, UNIX_MS, 5.0)
    return one


@pytest.fixture
def driver(owner: Owner) -> LeaderDriver:
    one = LeaderDriver(owner, NoUpstreams(), 5.0)
    one.leadership_changed(5.0)
    return one


def offer(fence: int, handed: int = 0, sent_at: float = SENT_AT) -> JobOffer:
    return JobOffer("h2", fence, sent_at, REQUEST, 1, 0.0, 1000.0, handed, Progress())


def test_an_offer_for_the_present_term_is_taken(owner: Owner, driver: LeaderDriver):
    driver.receive_offer(offer(owner.group.fence), 5.0)
    assert len(driver.dispatcher.open_jobs) == 1


def test_an_offer_repeated_for_an_earlier_term_is_not_taken_as_new(
    owner: Owner, driver: LeaderDriver
):
    # A client is told that its job did not run, and it did: the leading host had begun
    # a new term and forgotten the job that it had started; the job's host, which had
    # not heard of that, offered it again, and now it was too late for it.
    before = owner.group.fence
    driver.receive_offer(offer(before), 5.0)
    owner.group.resolve_contention(UNIX_MS, 5.1)
    driver.leadership_changed(5.1)
    driver.receive_offer(offer(before), 5.2)
    assert len(driver.dispatcher.open_jobs) == 0
    driver.receive_offer(offer(owner.group.fence, handed=1), 5.3)
    assert len(driver.dispatcher.open_jobs) == 1


def test_a_job_whose_host_follows_a_later_lead_is_stopped(
    owner: Owner, driver: LeaderDriver
):
    # A task runs twice at one time: its host hears two leading hosts that do not hear
    # each other. It follows the later lead and hands the job to it; the earlier one
    # still hears the host, and ran the job on where the later one does not reach.
    driver.receive_offer(offer(owner.group.fence), 5.0)
    driver.record_follower("h2", owner.group.fence + 1, 5.1)
    assert len(driver.dispatcher.open_jobs) == 0


@pytest.mark.parametrize("behind", [0, 1])
def test_a_job_whose_host_has_not_heard_of_a_later_lead_goes_on(
    owner: Owner, driver: LeaderDriver, behind: int
):
    # A host without a leading host, or one that is late to hear of the present one,
    # has handed its job to nobody else.
    driver.receive_offer(offer(owner.group.fence), 5.0)
    driver.record_follower("h2", behind * (owner.group.fence - 1), 5.1)
    driver.record_follower("h2", owner.group.fence, 5.2)
    assert len(driver.dispatcher.open_jobs) == 1


def test_an_upstream_of_a_service_that_no_route_names_is_not_used(
    owner: Owner, driver: LeaderDriver
):
    # Each refused job is told to come back too soon: capacity that no job can use
    # counted as room, and was asked for its runs five times a second.
    entries = [
        UpstreamEntry(
            UpstreamId("z1", name), service, "127.0.0.1:1", Resources(8), (), False
        )
        for name, service in (("u1", "s"), ("u2", "nobody"))
    ]
    owner.views.entries = tuple(entries)
    driver.upstreams_changed(6.0)
    assert [
        held.entry.id.name for held in driver.dispatcher.upstream_pool.upstreams
    ] == ["u1"]


@pytest.mark.parametrize(("late_s", "taken"), [(0.0, 1), (0.39, 1), (0.41, 0)])
def test_an_offer_that_was_held_up_on_its_way_is_not_taken(
    owner: Owner, driver: LeaderDriver, late_s: float, taken: int
):
    # A task runs twice at one time: an offer was held up by a cut until its host, which
    # heard no heartbeat any more, had handed the job to another group.
    driver.receive_offer(offer(owner.group.fence, sent_at=6.0 - late_s), 6.0)
    assert len(driver.dispatcher.open_jobs) == taken
    assert owner.group.is_alive("h2", 6.0) == bool(taken)


def test_a_lost_job_is_counted_by_route_and_cause(owner: Owner, driver: LeaderDriver):
    driver.receive_offer(offer(owner.group.fence), 5.0)
    driver.dispatcher.tick(7.0)
    driver.flush(7.0)
    lines = owner.metrics.lines()
    assert 'jackdawspur_jobs_lost{route="r",cause="never_begun"} 1' in lines


def test_the_wait_for_the_last_start_is_told_by_route(
    driver: LeaderDriver, owner: Owner
):
    for ms in (0.0, 5.0, 40.0):
        driver._act(InitialTasksStarted("aa", "r", ms))
    lines = owner.metrics.lines()
    assert 'jackdawspur_last_start_ms_count{route="r"} 3' in lines
    assert 'jackdawspur_last_start_ms{route="r",quantile="0.5"} 5' in lines
