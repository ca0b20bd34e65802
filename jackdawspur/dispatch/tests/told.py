"""Steps and expectations that the tables of answers share."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from jackdawspur.dispatch import (
    AppendClaim,
    Claim,
    ClaimsRead,
    IdsAsked,
    IssueIds,
    StartsLost,
    StatusReplied,
    Submitted,
)
from jackdawspur.dispatch.tests.conftest import (
    FIRST_RUN,
    SIBLING,
    Bench,
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
    "DEAD",
    "DEADLINE_MS",
    "FAILED",
    "FILL",
    "KINDS",
    "REFUSED",
    "SHORT_MS",
    "UNKNOWN",
    "Case",
    "Told",
    "begin",
    "check",
    "claims_in",
    "fill",
    "finish",
    "last_job",
    "lose",
    "request_of",
    "send",
    "status",
    "wait_in_queue",
]

COMPLETE, FAILED, REFUSED = JobState.COMPLETE, JobState.FAILED, JobState.REFUSED
UNKNOWN = FailureCode.OUTCOME_UNKNOWN
KINDS = ("plain", "key_idempotent", "key_once", "issued_id")
DEADLINE_MS = 5000.0
SHORT_MS = 800.0
FILL = 16
DEAD = replace(SIBLING, incarnation=SIBLING.incarnation + 1)


@dataclass(frozen=True, slots=True)
class Told:
    """Say what the caller must hear last; `starts` counts sends of its task."""

    state: JobState
    code: FailureCode | None = None
    not_run: bool = False
    starts: int = 0


@dataclass(frozen=True, slots=True)
class Case:
    """Hold one case of the table; `act` brings it about."""

    act: Callable
    told: Told


def request_of(bench: Bench, kind: str, deadline_ms: float = DEADLINE_MS) -> JobRequest:
    once = kind in ("key_once", "issued_id")
    request = make_request(1, deadline_ms=deadline_ms, idempotent=not once)
    if kind == "issued_id":
        effects = bench.do(IdsAsked(90, "roster", 1))
        (ids,) = [e.ids for e in effects if isinstance(e, IssueIds)]
        return replace(request, submission=ids[0])
    return request if kind == "plain" else replace(request, key="order-17")


def claims_in(effects) -> tuple[Claim, ...]:
    return tuple(e.claim for e in effects if isinstance(e, AppendClaim))


def send(bench: Bench, request: JobRequest, call: int = 1) -> list:
    """Submit, and let the log confirm a claim at once."""
    effects = bench.do(Submitted(call, request))
    claims = claims_in(effects)
    return effects + bench.do(ClaimsRead(claims)) if claims else effects


def fill(bench: Bench) -> None:
    for start in bench.submit(make_request(FILL, deadline_ms=60_000.0), call=50):
        bench.verdicts(start)


def begin(bench: Bench, kind: str, deadline_ms: float = DEADLINE_MS):
    """Submit a job of one task; return its request and the one batch of starts."""
    request = request_of(bench, kind, deadline_ms)
    (start,) = starts_in(send(bench, request))
    return request, start


def wait_in_queue(bench: Bench, kind: str, deadline_ms: float = DEADLINE_MS):
    fill(bench)
    request = request_of(bench, kind, deadline_ms)
    send(bench, request)
    return request, last_job(bench).submission


def last_job(bench: Bench):
    return list(bench.core.state.jobs.values())[-1]


def finish(bench: Bench, start) -> None:
    bench.verdicts(start)
    bench.results(start)


def lose(bench: Bench, start, left: bool = True) -> list:
    tasks = tuple(s.task for s in start.starts)
    return bench.do(StartsLost(start.upstream, tasks, left))


def status(bench: Bench, start, state: TaskState, run: int = FIRST_RUN) -> list:
    outcomes = tuple(TaskOutcome(s.task, state, "late") for s in start.starts)
    reply = UpstreamReply(start.upstream, run, outcomes=outcomes)
    return bench.do(StatusReplied(reply)) + bench.wait(0.6)


def check(bench: Bench, told: Told) -> None:
    answer = [e for e in answers_in(bench.effects)][-1]
    own = [t for t in bench.started if t.submission != filler(bench)]
    seen = Told(answer.state, answer.code, answer.not_run, len(own))
    assert seen == told, answer


def filler(bench: Bench):
    jobs = bench.core.state.jobs.values()
    return next((j.submission for j in jobs if len(j.request.tasks) == FILL), None)
