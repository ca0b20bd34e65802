"""A host's callers get one true answer each."""

from dataclasses import dataclass, field

import pytest

from jackdawspur.adapters import Call
from jackdawspur.callers import HttpResponse
from jackdawspur.front import CallerRequest, RequestKind, RouteTable
from jackdawspur.front._host_metrics import HostMetrics
from jackdawspur.front._service import CallerService
from jackdawspur.group import (
    Group,
    HostAddress,
    HostHeartbeat,
    JobCancellation,
    JobOffer,
    JobRedirect,
    JobResult,
)
from jackdawspur.leases import Resources
from jackdawspur.platform import PlatformCallerCodec
from jackdawspur.runs import JobEnd, JobOutcome, JobRequest, JobStep, Route

ROUTE = Route("r", "h", "/q/", "s", 1500.0, 60.0, 1.6, 0, 3)
REQUEST = JobRequest("aa", "", (JobStep(1, Resources(1), 10.0),), ROUTE)
REFUSED = JobOutcome(JobEnd.REFUSED, True, 1.0, "full")
# To the caller, and what the request took from there: 2 ms each, and some to spare.
ANSWER_TAKES_S = 0.006


class Port(PlatformCallerCodec):
    """Take every call for the same job."""

    def decode_call(self, call: Call, routes: RouteTable) -> CallerRequest:
        return CallerRequest(RequestKind.SUBMIT, ROUTE, "aa", REQUEST, None)


@dataclass
class Owner:
    """Stand in for the rest of a host that follows others."""

    group: Group
    address: HostAddress = HostAddress("own", "z1", "127.0.0.1:1", 1)
    routes: RouteTable = RouteTable(1, (ROUTE,))
    metrics: HostMetrics = field(default_factory=HostMetrics)
    replies: list[HttpResponse] = field(default_factory=list)
    sent: list[tuple[str, object]] = field(default_factory=list)

    def reply(self, call_id: int, reply: HttpResponse) -> None:
        self.replies.append(reply)

    def send(self, host: str, message: object) -> None:
        self.sent.append((host, message))


def follow(group: Group, name: str, fence: int) -> None:
    host = HostAddress(name, "z1", "127.0.0.1:2", 1)
    heartbeat = HostHeartbeat(host, 0.0, True, fence, True, False, False, 1, 0.0, ())
    group.record_heartbeat(heartbeat, clock())


def clock() -> float:
    from jackdawspur.front._clock import now_s

    return now_s()


@pytest.fixture
def owner() -> Owner:
    return Owner(Group(Owner.address, clock()))


@pytest.fixture
def service(owner: Owner) -> CallerService:
    follow(owner.group, "first", 10)
    one = CallerService(owner, Port())
    one.handle_call(Call(1, "POST", "/q/aa", "", None, b""))
    return one


def test_an_offer_goes_to_the_leading_host_and_its_answer_back(owner, service):
    ((to, offer),) = owner.sent
    assert to == "first"
    assert isinstance(offer, JobOffer)
    service.receive_result(JobResult("aa", 1, 0, JobOutcome(JobEnd.COMPLETE, False)))
    assert [r.status for r in owner.replies] == [200]


def test_a_late_refusal_of_a_host_that_led_before_is_not_passed_on(owner, service):
    # A caller is told that its job did not run, and it runs: the refusal came from a
    # host that had just lost the lead, after the job was handed to the next.
    follow(owner.group, "second", 20)
    service.offer_waiting(clock())
    service.receive_result(JobResult("aa", 1, 0, REFUSED))
    assert not owner.replies
    service.receive_result(JobResult("aa", 1, 1, JobOutcome(JobEnd.COMPLETE, False)))
    assert [r.status for r in owner.replies] == [200]


def test_a_late_result_of_a_host_that_led_before_ends_the_job(owner, service):
    follow(owner.group, "second", 20)
    service.offer_waiting(clock())
    service.receive_result(JobResult("aa", 1, 0, JobOutcome(JobEnd.COMPLETE, False)))
    assert [r.status for r in owner.replies] == [200]
    assert owner.sent[-1] == ("second", JobCancellation("own", "aa", 1))


def test_a_caller_that_leaves_drops_its_job_at_once(owner, service):
    service.caller_disconnected(1)
    assert owner.sent[-1] == ("first", JobCancellation("own", "aa", 1))
    assert not owner.replies


def test_a_job_offered_again_is_not_also_passed_on(owner, service):
    # A crew is sent twice: a host stood still, offered its job again when it woke, and
    # then read that the leading host had passed the first offer on to another group.
    # The leading host has taken the second offer by then.
    ((_, first),) = owner.sent
    owner.group.record_message("first", clock() + 0.9)
    service.offer_waiting(clock() + 1.0)
    service.redirect(JobRedirect("aa", 1, first.attempt, "far", 30))
    assert [to for to, _ in owner.sent] == ["first", "first"]
    service.redirect(JobRedirect("aa", 1, owner.sent[-1][1].attempt, "far", 30))
    assert [to for to, _ in owner.sent] == ["first", "first", "far"]
    service.redirect(JobRedirect("aa", 1, owner.sent[-1][1].attempt, "other", 40))
    assert len(owner.sent) == 3


def test_a_result_that_still_reaches_its_caller_in_time_is_passed_on(owner, service):
    # Guards against results thrown away that would reach their callers in time.
    service.tick(clock() + ROUTE.timeout_ms / 1000 - ANSWER_TAKES_S)
    service.receive_result(JobResult("aa", 1, 0, JobOutcome(JobEnd.COMPLETE, False)))
    assert [r.status for r in owner.replies] == [200]


def test_a_stopping_host_answers_all_callers_before_it_ends(owner, service):
    # A request is cut off by a rolling restart: it came late in the host's time to
    # stop, its caller would have waited longer than that, and the process ended.
    service.stop_by(clock() + 0.1)
    service.tick(clock() + 0.05)
    assert not owner.replies
    service.tick(clock() + 0.1)
    assert [r.status for r in owner.replies] == [504]
    assert owner.sent[-1] == ("first", JobCancellation("own", "aa", 1))


def test_a_host_at_its_end_refuses_as_not_run_at_once(owner, service):
    # A caller waits in vain: its request reached a host that was about to end.
    service.stop_by(clock())
    service.handle_call(Call(2, "POST", "/q/aa", "", None, b""))
    (reply,) = owner.replies
    assert (reply.status, reply.retry_after_s) == (503, 1)
    assert len(owner.sent) == 1


def test_a_job_handed_to_a_lower_fence_says_so(owner, service):
    owner.group.record_message("first", clock() - 1.0)
    follow(owner.group, "second", 5)
    service.offer_waiting(clock())
    (_, first), (to, second) = owner.sent
    assert (to, first.outranked, second.outranked) == ("second", False, True)


# Guards against ends of jobs in time-outs that the log doesn't say who stated.
def test_the_end_of_a_job_says_who_stated_how_long_its_caller_waits(service, caplog):
    caplog.set_level("INFO", logger="jackdawspur.callers")
    service.receive_result(JobResult("aa", 1, 0, JobOutcome(JobEnd.COMPLETE, False)))
    line = caplog.records[-1]
    assert (line.limit, line.limit_ms) == ("route", ROUTE.timeout_ms)
    assert (line.caller_ms, line.route_ms) == (None, ROUTE.timeout_ms)
