"""Invariants, checked only from what upstreams and callers observe."""

import enum
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from jackdawspur.bench._workload import Payload, expected_output
from jackdawspur.model import Answer, JobRequest, JobState, SubmissionId, TaskId

__all__ = ["Invariant", "InvariantChecker", "Violation"]

LEAVING_GRACE_S = 3.0
MAX_DETAILED_VIOLATIONS = 20


class Invariant(enum.StrEnum):
    """An invariant, named after its violation."""

    STARTED_TWICE = "started_twice"
    PARTIAL_ANSWER = "partial_answer"
    FALSE_NOT_RUN = "false_not_run"
    ANSWERED_TWICE = "answered_twice"
    NEVER_ANSWERED = "never_answered"
    RAN_TWICE = "non_idempotent_ran_twice"
    # Outputs of another request, or outputs in the wrong order.
    CROSSED_ANSWER = "crossed_answer"
    SENT_TO_LEAVING = "sent_to_leaving"
    CONFIG_WENT_BACK = "config_went_back"
    # A draining host broke the connection of a waiting caller.
    CUT_BY_SHUTDOWN = "cut_by_shutdown"


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of an invariant; `at` is its time in seconds."""

    invariant: Invariant
    at: float
    detail: str


@dataclass(slots=True)
class _CallRecord:
    request: int | None
    answer: Answer | None = None
    disconnected: bool = False


@dataclass(slots=True)
class _RequestRecord:
    job_request: JobRequest
    starts: Counter[int] = field(default_factory=Counter)
    submissions: set[SubmissionId] = field(default_factory=set)
    not_run: bool = False


class InvariantChecker:
    """Check the observations of fakes and callers, and record the violations."""

    def __init__(self) -> None:
        self._calls: dict[int, _CallRecord] = {}
        self._requests: dict[int, _RequestRecord] = {}
        self._versions: defaultdict[str, int] = defaultdict(lambda: -1)
        self._counts: Counter[Invariant] = Counter()
        self._violations: list[Violation] = []

    @property
    def violations(self) -> tuple[Violation, ...]:
        """Return the first violations, with details."""
        return tuple(self._violations)

    @property
    def counts(self) -> dict[Invariant, int]:
        """Return the number of violations by invariant; empty if all held."""
        return dict(self._counts)

    def call_sent(
        self, call: int, request_number: int, job_request: JobRequest
    ) -> None:
        """Record that a caller sent a request; resubmissions share its number."""
        self._calls[call] = _CallRecord(request_number)
        self._requests.setdefault(request_number, _RequestRecord(job_request))

    def control_call_sent(self, call: int) -> None:
        """Record a call that starts no run: a cancellation or a request for ids."""
        self._calls[call] = _CallRecord(None)

    def control_call_answered(self, call: int, now: float) -> None:
        """Record that a request for ids was answered."""
        self.call_answered(call, Answer(JobState.PENDING), now)

    def call_disconnected(self, call: int, now: float, draining: bool = False) -> None:
        """Record that a caller's connection broke before the answer."""
        record = self._calls[call]
        record.disconnected = True
        if draining and record.answer is None:
            self._report(Invariant.CUT_BY_SHUTDOWN, now, f"call {call}")

    def call_answered(self, call: int, answer: Answer, now: float) -> None:
        """Check the answer that a caller received; only complete ones have outputs."""
        record = self._calls[call]
        if record.answer is not None:
            self._report(Invariant.ANSWERED_TWICE, now, f"call {call}")
            return
        record.answer = answer
        if record.request is None:
            return
        request = self._requests[record.request]
        if answer.not_run:
            request.not_run = True
            if request.starts:
                self._report(Invariant.FALSE_NOT_RUN, now, f"call {call} {answer}")
        if answer.state is JobState.COMPLETE:
            self._check_outputs(call, request.job_request, answer, now)

    def task_started(
        self, payload_text: str, task: TaskId, upstream: str, now: float
    ) -> None:
        """Check that a task that an upstream started was allowed to start."""
        payload = Payload.parse(payload_text)
        request = self._requests[payload.job]
        request.starts[payload.index] += 1
        request.submissions.add(task.submission)
        detail = f"request {payload.job} task {payload.index} as {task} at {upstream}"
        if request.starts[payload.index] > 1:
            self._report(Invariant.STARTED_TWICE, now, detail)
        if len(request.submissions) > 1 and not request.job_request.idempotent:
            self._report(Invariant.RAN_TWICE, now, detail)
        if request.not_run:
            self._report(Invariant.FALSE_NOT_RUN, now, f"{detail}, answered before")

    def start_received(
        self, upstream: str, leaving_for_s: float | None, now: float
    ) -> None:
        """Check that an upstream gets no start once it has been leaving for a while."""
        if leaving_for_s is not None and leaving_for_s > LEAVING_GRACE_S:
            detail = f"{upstream} had been leaving for {leaving_for_s:.3f} s"
            self._report(Invariant.SENT_TO_LEAVING, now, detail)

    def version_seen(self, host: str, version: int, now: float) -> None:
        """Check that the configuration version in force at a host never decreases.

        It is the version that the host reports to its peers; a restarted host reports
        a negative one until it has a configuration.
        """
        if 0 <= version < self._versions[host]:
            detail = f"{host}: {self._versions[host]} to {version}"
            self._report(Invariant.CONFIG_WENT_BACK, now, detail)
        self._versions[host] = max(version, self._versions[host])

    def finish(self, now: float) -> None:
        """Check that no connected caller is still waiting; call after all deadlines."""
        for call, record in self._calls.items():
            if record.answer is None and not record.disconnected:
                self._report(Invariant.NEVER_ANSWERED, now, f"call {call}")

    def _check_outputs(
        self, call: int, job_request: JobRequest, answer: Answer, now: float
    ) -> None:
        expected = tuple(expected_output(task.payload) for task in job_request.tasks)
        if answer.outputs == expected:
            return
        unexpected = set(answer.outputs) - set(expected) - {""}
        if unexpected or sorted(answer.outputs) == sorted(expected):
            self._report(Invariant.CROSSED_ANSWER, now, f"call {call}")
        if len(set(answer.outputs) & set(expected)) < len(expected):
            self._report(Invariant.PARTIAL_ANSWER, now, f"call {call}")

    def _report(self, invariant: Invariant, now: float, detail: str) -> None:
        self._counts[invariant] += 1
        if len(self._violations) < MAX_DETAILED_VIOLATIONS:
            self._violations.append(Violation(invariant, now, detail))
