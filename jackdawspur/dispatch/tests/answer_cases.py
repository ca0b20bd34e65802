"""Steps and expected answers, shared by the tests that are tables of cases."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from jackdawspur.dispatch import (
    AppendClaim,
    Claim,
    ClaimsRead,
    IssueIds,
    StartRequestFailed,
    StatusReplied,
    SubmissionIdsRequested,
    Submitted,
)
from jackdawspur.dispatch.tests.conftest import (
    FIRST_INCARNATION,
    ZONE_PEER,
    CoreHarness,
    answers_in,
    make_request,
    starts_in,
)
from jackdawspur.external import UpstreamReply
from jackdawspur.model import (
    FailureCode,
    JobRequest,
    JobState,
    TaskOutcome,
    TaskState,
)

__all__ = [
    "COMPLETE",
    "RESTARTED_ZONE_PEER",
    "DEADLINE_MS",
    "FAILED",
    "FILLER_TASKS",
    "REQUEST_KINDS",
    "REFUSED",
    "SHORT_MS",
    "UNKNOWN",
    "Case",
    "ExpectedAnswer",
    "start_job",
    "check_last_answer",
    "claims_in",
    "fill_slots",
    "finish",
    "last_job",
    "lose_start_reply",
    "request_of",
    "send",
    "reply_to_status_query",
    "wait_in_queue",
]

COMPLETE, FAILED, REFUSED = JobState.COMPLETE, JobState.FAILED, JobState.REFUSED
UNKNOWN = FailureCode.OUTCOME_UNKNOWN
REQUEST_KINDS = ("plain", "key_idempotent", "key_once", "issued_id")
DEADLINE_MS = 5000.0
SHORT_MS = 800.0
FILLER_TASKS = 16
RESTARTED_ZONE_PEER = replace(ZONE_PEER, incarnation=ZONE_PEER.incarnation + 1)


@dataclass(frozen=True, slots=True)
class ExpectedAnswer:
    """Last answer that the caller must get; `starts` counts starts of its task."""

    state: JobState
    code: FailureCode | None = None
    not_run: bool = False
    starts: int = 0


@dataclass(frozen=True, slots=True)
class Case:
    """One case of a table; `act` runs its steps."""

    act: Callable
    expected: ExpectedAnswer


def request_of(
    harness: CoreHarness, kind: str, deadline_ms: float = DEADLINE_MS
) -> JobRequest:
    once = kind in ("key_once", "issued_id")
    request = make_request(1, deadline_ms=deadline_ms, idempotent=not once)
    if kind == "issued_id":
        effects = harness.send_event(SubmissionIdsRequested(90, "roster", 1))
        (ids,) = [e.ids for e in effects if isinstance(e, IssueIds)]
        return replace(request, submission=ids[0])
    return request if kind == "plain" else replace(request, key="order-17")


def claims_in(effects) -> tuple[Claim, ...]:
    return tuple(e.claim for e in effects if isinstance(e, AppendClaim))


def send(harness: CoreHarness, request: JobRequest, call: int = 1) -> list:
    """Submit a request; if it is claimed, the log confirms the claim at once."""
    effects = harness.send_event(Submitted(call, request))
    claims = claims_in(effects)
    return effects + harness.send_event(ClaimsRead(claims)) if claims else effects


def fill_slots(harness: CoreHarness) -> None:
    for start in harness.submit(
        make_request(FILLER_TASKS, deadline_ms=60_000.0), call=50
    ):
        harness.reply_to_starts(start)


def start_job(harness: CoreHarness, kind: str, deadline_ms: float = DEADLINE_MS):
    """Submit a job of one task; return its request and its batch of starts."""
    request = request_of(harness, kind, deadline_ms)
    (start,) = starts_in(send(harness, request))
    return request, start


def wait_in_queue(harness: CoreHarness, kind: str, deadline_ms: float = DEADLINE_MS):
    fill_slots(harness)
    request = request_of(harness, kind, deadline_ms)
    send(harness, request)
    return request, last_job(harness).submission


def last_job(harness: CoreHarness):
    return list(harness.core.state.jobs.values())[-1]


def finish(harness: CoreHarness, start) -> None:
    harness.reply_to_starts(start)
    harness.report_results(start)


def lose_start_reply(harness: CoreHarness, start, maybe_sent: bool = True) -> list:
    tasks = tuple(s.task for s in start.starts)
    return harness.send_event(StartRequestFailed(start.upstream, tasks, maybe_sent))


def reply_to_status_query(
    harness: CoreHarness, start, state: TaskState, incarnation: int = FIRST_INCARNATION
) -> list:
    outcomes = tuple(TaskOutcome(s.task, state, "late") for s in start.starts)
    reply = UpstreamReply(start.upstream, incarnation, outcomes=outcomes)
    return harness.send_event(StatusReplied(reply)) + harness.wait(0.6)


def check_last_answer(harness: CoreHarness, expected: ExpectedAnswer) -> None:
    answer = [e for e in answers_in(harness.effects)][-1]
    starts = [t for t in harness.started if t.submission != filler_submission(harness)]
    actual = ExpectedAnswer(answer.state, answer.code, answer.not_run, len(starts))
    assert actual == expected, answer


def filler_submission(harness: CoreHarness):
    jobs = harness.core.state.jobs.values()
    return next(
        (j.submission for j in jobs if len(j.request.tasks) == FILLER_TASKS), None
    )
