"""Tests of the caller service: each caller gets exactly one correct answer."""

from dataclasses import dataclass, field

import pytest

from jackdawspur.adapters import Call
from jackdawspur.callers import HttpResponse
from jackdawspur.front import CallerRequest, RequestKind, RouteTable
from jackdawspur.front._host_metrics import HostMetrics
from jackdawspur.front._own_jobs import OFFER_RETRY_S
from jackdawspur.front._service import MAX_LEADERLESS_S, CallerService
from jackdawspur.group import (
    Group,
    HostAddress,
    HostHeartbeat,
    JobCancellation,
    JobOffer,
    JobRedirect,
    JobResult,
)
from jackdawspur.group._pauses import CATCH_UP_S, CATCH_UP_UPDATES
from jackdawspur.leases import Resources
from jackdawspur.platform import PlatformCallerCodec
from jackdawspur.runs import JobEnd, JobOutcome, JobRequest, JobStep, Route

ROUTE = Route("r", "h", "/q/", "s", 1500.0, 60.0, 1.6, 0, 3)
REQUEST = JobRequest("aa", "", (JobStep(1, Resources(1), 10.0),), ROUTE)
REFUSED = JobOutcome(JobEnd.REFUSED, True, 1.0, "full")
# Latency of the request and of the answer, 2 ms each, and a margin.
ANSWER_LATENCY_S = 0.006


class Port(PlatformCallerCodec):
    """A codec that decodes each call as the same job."""

    def decode_call(
        self, call: Call, routes: RouteTable, max_size: int
    ) -> CallerRequest:
        return CallerRequest(RequestKind.SUBMIT, ROUTE, "aa", REQUEST, None)


@dataclass
class Owner:
    """Stand-in for the rest of a follower."""

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
    caller_service = CallerService(owner, Port())
    caller_service.handle_call(Call(1, "POST", "/q/aa", "", None, b"", clock()))
    return caller_service


def test_a_job_is_offered_to_the_leader_and_its_answer_is_returned(owner, service):
    ((to, offer),) = owner.sent
    assert to == "first"
    assert isinstance(offer, JobOffer)
    service.receive_result(JobResult("aa", 1, 0, JobOutcome(JobEnd.COMPLETE, False)))
    assert [r.status for r in owner.replies] == [200]


def test_a_late_refusal_by_an_earlier_leader_is_ignored(owner, service):
    # A caller gets the answer that its job did not run, although it runs: the refusal
    # came from a host that had just lost the leadership, after the job was handed over.
    follow(owner.group, "second", 20)
    service.offer_waiting(clock())
    service.receive_result(JobResult("aa", 1, 0, REFUSED))
    assert not owner.replies
    service.receive_result(JobResult("aa", 1, 1, JobOutcome(JobEnd.COMPLETE, False)))
    assert [r.status for r in owner.replies] == [200]


def test_a_late_result_of_an_earlier_leader_ends_the_job(owner, service):
    follow(owner.group, "second", 20)
    service.offer_waiting(clock())
    service.receive_result(JobResult("aa", 1, 0, JobOutcome(JobEnd.COMPLETE, False)))
    assert [r.status for r in owner.replies] == [200]
    assert owner.sent[-1] == ("second", JobCancellation("own", "aa", 1))


def test_a_job_is_cancelled_at_once_when_its_caller_leaves(owner, service):
    service.caller_disconnected(1)
    assert owner.sent[-1] == ("first", JobCancellation("own", "aa", 1))
    assert not owner.replies


def test_a_redirect_of_an_earlier_offer_is_ignored(owner, service):
    # A task runs twice: a host was paused, repeated its offer when it resumed, and then
    # read the leader's redirect of the first offer to another group. The leader had
    # accepted the second offer at that point.
    ((_, first),) = owner.sent
    owner.group.record_message("first", clock() + 0.9)
    service.offer_waiting(clock() + 1.0)
    service.redirect(JobRedirect("aa", 1, first.attempt, "far", 30))
    assert [to for to, _ in owner.sent] == ["first", "first"]
    service.redirect(JobRedirect("aa", 1, owner.sent[-1][1].attempt, "far", 30))
    assert [to for to, _ in owner.sent] == ["first", "first", "far"]
    service.redirect(JobRedirect("aa", 1, owner.sent[-1][1].attempt, "other", 40))
    assert len(owner.sent) == 3


def pause(owner: Owner, seconds: float) -> None:
    """Let the host resume from a pause now."""
    owner.group.pauses.update(clock() - seconds)
    owner.group.pauses.update(clock())


def run_host(owner: Owner, since: float, now: float) -> None:
    """Let the host run without a pause."""
    for step in range(CATCH_UP_UPDATES + 1):
        at = since + (now - since) * step / CATCH_UP_UPDATES
        owner.group.pauses.update(at)


def test_a_request_read_after_a_pause_waits_for_a_leader(owner):
    # Guards against refusing requests before a leader is elected, whenever all hosts
    # of a group were paused.
    caller_service = CallerService(owner, Port())
    pause(owner, 0.7)
    caller_service.handle_call(Call(1, "POST", "/q/aa", "", None, b"", clock()))
    resumed_at = clock()
    later, end = resumed_at + CATCH_UP_S, resumed_at + MAX_LEADERLESS_S
    run_host(owner, resumed_at, later)
    caller_service.tick(later)
    assert not owner.replies
    run_host(owner, later, end)
    caller_service.tick(end)
    assert [r.status for r in owner.replies] == [429]


def test_after_a_pause_no_job_is_offered_until_all_is_read(owner, service):
    # Guards against offering the jobs of callers that have left during the pause.
    pause(owner, 3.0)
    service.offer_waiting(clock())
    assert len(owner.sent) == 1
    resumed_at = clock()
    later = resumed_at + OFFER_RETRY_S
    run_host(owner, resumed_at, later)
    owner.group.record_message("first", later)
    service.offer_waiting(later)
    assert len(owner.sent) == 2


def test_a_redirect_that_was_not_read_during_a_pause_is_ignored(owner, service):
    ((_, first),) = owner.sent
    pause(owner, 1.0)
    service.redirect(JobRedirect("aa", 1, first.attempt, "far", 30))
    assert [to for to, _ in owner.sent] == ["first"]


def test_a_result_that_was_not_read_during_a_pause_is_sent_late(owner, service):
    # Guards against reporting that the time is over, while the result waits unread.
    pause(owner, 3.0)
    service.tick(clock() + ROUTE.timeout_ms / 1000)
    assert not owner.replies
    service.receive_result(JobResult("aa", 1, 0, JobOutcome(JobEnd.COMPLETE, False)))
    assert [r.status for r in owner.replies] == [200]


def test_a_stopping_host_answers_its_callers_also_after_a_pause(owner, service):
    # Guards against ending the process with callers unanswered.
    service.stop_by(clock() + 0.1)
    pause(owner, 3.0)
    service.tick(clock() + 0.1)
    assert [r.status for r in owner.replies] == [504]


def test_a_refusal_that_was_not_read_during_a_pause_is_true(owner, service):
    # Guards against offering a job again before the refusal of the first offer is read:
    # the leader would run it, while its caller is told that it did not run.
    pause(owner, 3.0)
    service.offer_waiting(clock())
    service.receive_result(JobResult("aa", 1, 0, REFUSED))
    assert [r.status for r in owner.replies] == [429]
    assert len(owner.sent) == 1


def test_a_request_read_after_a_pause_counts_from_its_start(owner, service, caplog):
    caplog.set_level("INFO", logger="jackdawspur.callers")
    pause(owner, 3.0)
    service.handle_call(Call(2, "POST", "/q/aa", "", None, b"", clock()))
    (reply,) = owner.replies
    assert (reply.status, reply.retry_after_s) == (503, 1)
    line = caplog.records[-1]
    assert line.message == "late request refused"
    assert (line.job, line.limit_ms) == ("aa", ROUTE.timeout_ms)
    assert 3000.0 <= line.age_ms < 4000.0


def test_a_result_that_can_still_reach_its_caller_in_time_is_sent(owner, service):
    # Guards against discarding results that would reach their callers in time.
    service.tick(clock() + ROUTE.timeout_ms / 1000 - ANSWER_LATENCY_S)
    service.receive_result(JobResult("aa", 1, 0, JobOutcome(JobEnd.COMPLETE, False)))
    assert [r.status for r in owner.replies] == [200]


def test_a_draining_host_answers_all_callers_before_it_stops(owner, service):
    # A rolling restart breaks a request: it arrived late in the host's grace period,
    # its caller's timeout was later than the end of the period, and the process ended.
    service.stop_by(clock() + 0.1)
    service.tick(clock() + 0.05)
    assert not owner.replies
    service.tick(clock() + 0.1)
    assert [r.status for r in owner.replies] == [504]
    assert owner.sent[-1] == ("first", JobCancellation("own", "aa", 1))


def test_a_host_about_to_stop_refuses_requests_as_not_run_at_once(owner, service):
    # A caller gets no answer: its request reached a host that was about to stop.
    service.stop_by(clock())
    service.handle_call(Call(2, "POST", "/q/aa", "", None, b"", clock()))
    (reply,) = owner.replies
    assert (reply.status, reply.retry_after_s) == (503, 1)
    assert len(owner.sent) == 1


def test_a_job_handed_over_to_a_lower_fence_is_marked_as_outranked(owner, service):
    owner.group.record_message("first", clock() - 1.0)
    follow(owner.group, "second", 5)
    service.offer_waiting(clock())
    (_, first), (to, second) = owner.sent
    assert (to, first.outranked, second.outranked) == ("second", False, True)


# Guards against log lines of timed-out jobs that don't name the source of the timeout.
def test_the_log_names_the_source_of_the_time_limit_of_a_job(service, caplog):
    caplog.set_level("INFO", logger="jackdawspur.callers")
    service.receive_result(JobResult("aa", 1, 0, JobOutcome(JobEnd.COMPLETE, False)))
    line = caplog.records[-1]
    assert (line.limit, line.limit_ms) == ("route", ROUTE.timeout_ms)
    assert (line.caller_ms, line.route_ms) == (None, ROUTE.timeout_ms)
