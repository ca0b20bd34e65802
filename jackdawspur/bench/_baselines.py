"""Baseline policies for comparison: each host picks upstreams independently.

They preserve all invariants within one host, but don't forward jobs, lend slots or
claim idempotency keys.
"""

import abc
import heapq
import random
from collections import Counter, deque
from dataclasses import dataclass, field

from jackdawspur.bench._dispatcher import Dispatcher
from jackdawspur.dispatch import (
    AnswerCall,
    CancelRequested,
    ClusterSpecUpdated,
    DrainRequested,
    Effect,
    Event,
    IssueIds,
    QueryTaskStatus,
    ResultsReplied,
    StartRequestFailed,
    StartsReplied,
    StartTasks,
    StatusQueryFailed,
    StatusReplied,
    StopTasks,
    SubmissionIdsRequested,
    Submitted,
    Tick,
    UsageReplied,
)
from jackdawspur.external import RefusalReason, TaskStart, UpstreamReply, Usage
from jackdawspur.model import (
    Answer,
    FailureCode,
    HostId,
    JobRequest,
    JobState,
    SubmissionId,
    TaskId,
    TaskState,
    UpstreamId,
)

__all__ = ["BASELINES", "Baseline"]

REFUSAL_BACKOFF_S = 0.01
UNREACHABLE_BACKOFF_S = 1.0
STATUS_RETRY_S = 0.5
LEASE_SLACK_MS = 1000.0


@dataclass(slots=True)
class _UpstreamState:
    id: UpstreamId
    slots: int
    used_slots: int = 0
    usage: Usage | None = None
    incarnation: int = 0
    leaving: bool = False
    avoid_until: float = 0.0


@dataclass(slots=True)
class _Job:
    call: int
    id: SubmissionId
    request: JobRequest
    deadline: float
    sent_to: dict[int, UpstreamId] = field(default_factory=dict)
    outputs: dict[int, str] = field(default_factory=dict)
    any_sent: bool = False


class Baseline(Dispatcher):
    """Run jobs in order of arrival; subclasses choose the upstream of each task."""

    def __init__(self, host: HostId, rng: random.Random, now: float) -> None:
        self._host = host
        self._rng = rng
        self._upstreams: dict[UpstreamId, _UpstreamState] = {}
        self._jobs: dict[SubmissionId, _Job] = {}
        self._deadlines: list[tuple[float, SubmissionId]] = []
        self._queue: deque[TaskId] = deque()
        self._timers: list[tuple[float, TaskId, UpstreamId]] = []
        self._sequence = 0
        self._draining = False
        self._blocked_until = 0.0

    def next_wake(self) -> float | None:
        times = [when for when, _, _ in self._timers]
        while self._deadlines and self._deadlines[0][1] not in self._jobs:
            heapq.heappop(self._deadlines)
        times += [when for when, _ in self._deadlines[:1]]
        if self._queue and self._blocked_until:
            times.append(self._blocked_until)
        return min(times, default=None)

    @abc.abstractmethod
    def pick(self, free: list[_UpstreamState]) -> _UpstreamState:
        """Choose one of the upstreams with a slot that this host doesn't use."""

    def handle(self, event: Event, now: float) -> list[Effect]:
        effects: list[Effect] = []
        match event:
            case ClusterSpecUpdated(cluster_spec=cluster_spec):
                self._upstreams = {
                    item.id: _UpstreamState(item.id, item.slots)
                    for item in cluster_spec.upstreams
                }
            case Submitted(call=call, request=request):
                effects += self._submit(call, request, now)
            case SubmissionIdsRequested(call=call, count=count):
                ids = tuple(self._next_id() for _ in range(count))
                effects.append(IssueIds(call, ids))
            case CancelRequested(call=call, submission=submission):
                effects += self._cancel(call, submission)
            case DrainRequested():
                self._draining = True
            case Tick():
                effects += self._expire(now)
            case _:
                effects += self._handle_reply(event, now)
        return effects + self._place(now)

    def _handle_reply(self, event: Event, now: float) -> list[Effect]:
        match event:
            case StartsReplied(reply=reply):
                return self._handle_verdicts(reply, now)
            case StartRequestFailed(
                upstream=upstream, tasks=tasks, maybe_sent=maybe_sent
            ):
                return self._handle_failed_start(upstream, tasks, maybe_sent, now)
            case (
                ResultsReplied(reply=reply)
                | StatusReplied(reply=reply)
                | UsageReplied(reply=reply)
            ):
                return self._handle_outcomes(reply, now)
            case StatusQueryFailed(upstream=upstream, tasks=tasks):
                retry_at = now + STATUS_RETRY_S
                self._timers += [(retry_at, task, upstream) for task in tasks]
        return []

    def _next_id(self) -> SubmissionId:
        self._sequence += 1
        return SubmissionId(self._host, self._sequence)

    def _submit(self, call: int, request: JobRequest, now: float) -> list[Effect]:
        if self._draining:
            answer = Answer(JobState.REFUSED, code=FailureCode.DRAINING, not_run=True)
            return [AnswerCall(call, answer)]
        submission = request.submission or self._next_id()
        deadline = now + request.deadline_ms / 1000
        self._jobs[submission] = _Job(call, submission, request, deadline)
        heapq.heappush(self._deadlines, (deadline, submission))
        self._queue += [TaskId(submission, n) for n in range(len(request.tasks))]
        return []

    def _cancel(self, call: int, submission: SubmissionId) -> list[Effect]:
        job = self._jobs.get(submission)
        if job is None:
            answer = Answer(JobState.REFUSED, code=FailureCode.NOT_FOUND)
            return [AnswerCall(call, answer)]
        effects = self._fail(job, FailureCode.CANCELLED)
        return [*effects, AnswerCall(call, effects[-1].answer)]

    def _place(self, now: float) -> list[Effect]:
        batches: dict[UpstreamId, list[TaskStart]] = {}
        self._blocked_until = 0.0
        while self._queue:
            free = [
                upstream_state
                for upstream_state in self._upstreams.values()
                if upstream_state.used_slots < upstream_state.slots
                and not upstream_state.leaving
                and upstream_state.avoid_until <= now
            ]
            if not free:
                self._blocked_until = now + REFUSAL_BACKOFF_S
                break
            task = self._queue.popleft()
            job = self._jobs.get(task.submission)
            if job is None:
                continue
            upstream_state = self.pick(free)
            batches.setdefault(upstream_state.id, []).append(
                self._start(job, task, upstream_state, now)
            )
        return [
            StartTasks(upstream, tuple(starts)) for upstream, starts in batches.items()
        ]

    def _start(
        self, job: _Job, task: TaskId, upstream_state: _UpstreamState, now: float
    ) -> TaskStart:
        upstream_state.used_slots += 1
        job.sent_to[task.index] = upstream_state.id
        job.any_sent = True
        spec = job.request.tasks[task.index]
        lease_ms = (job.deadline - now) * 1000 + LEASE_SLACK_MS
        return TaskStart(task, spec.payload, lease_ms)

    def _release(self, job: _Job, index: int) -> None:
        upstream = job.sent_to.pop(index, None)
        if upstream is not None:
            self._upstreams[upstream].used_slots -= 1

    def _requeue(self, task: TaskId, upstream: UpstreamId) -> None:
        job = self._jobs.get(task.submission)
        if job is not None and job.sent_to.get(task.index) == upstream:
            self._release(job, task.index)
            self._queue.appendleft(task)

    def _handle_verdicts(self, reply: UpstreamReply, now: float) -> list[Effect]:
        upstream_state = self._upstreams[reply.upstream]
        effects = self._record_incarnation(upstream_state, reply.incarnation)
        for verdict in reply.verdicts:
            if verdict.refusal is None:
                continue
            upstream_state.leaving |= verdict.refusal is RefusalReason.LEAVING
            upstream_state.avoid_until = now + REFUSAL_BACKOFF_S
            self._requeue(verdict.task, reply.upstream)
        return effects

    def _handle_failed_start(
        self,
        upstream: UpstreamId,
        tasks: tuple[TaskId, ...],
        maybe_sent: bool,
        now: float,
    ) -> list[Effect]:
        self._upstreams[upstream].avoid_until = now + UNREACHABLE_BACKOFF_S
        if maybe_sent:
            return [QueryTaskStatus(upstream, tasks)]
        for task in tasks:
            self._requeue(task, upstream)
        return []

    def _handle_outcomes(self, reply: UpstreamReply, now: float) -> list[Effect]:
        upstream_state = self._upstreams[reply.upstream]
        effects = self._record_incarnation(upstream_state, reply.incarnation)
        if reply.usage is not None:
            upstream_state.usage = reply.usage
            upstream_state.leaving |= reply.usage.leaving
        for outcome in reply.outcomes:
            job = self._jobs.get(outcome.task.submission)
            if job is None or job.sent_to.get(outcome.task.index) != reply.upstream:
                continue
            effects += self._handle_outcome(job, outcome, reply.upstream)
        return effects

    def _handle_outcome(self, job: _Job, outcome, upstream: UpstreamId) -> list[Effect]:
        match outcome.state:
            case TaskState.DONE:
                self._release(job, outcome.task.index)
                job.outputs[outcome.task.index] = outcome.output
                return self._complete(job)
            case TaskState.SEALED:
                self._requeue(outcome.task, upstream)
            case TaskState.FAILED | TaskState.STOPPED:
                self._release(job, outcome.task.index)
                return self._fail(job, FailureCode.TASK_FAILED)
            case TaskState.UNKNOWN:
                return self._fail(job, FailureCode.OUTCOME_UNKNOWN)
        return []

    # A restarted upstream has lost the state of its tasks, so their jobs fail.
    def _record_incarnation(
        self, upstream_state: _UpstreamState, incarnation: int
    ) -> list[Effect]:
        restarted = upstream_state.incarnation not in (0, incarnation)
        upstream_state.incarnation = incarnation
        if not restarted:
            return []
        lost_jobs = [
            job
            for job in self._jobs.values()
            if upstream_state.id in job.sent_to.values()
        ]
        effects: list[Effect] = []
        for job in lost_jobs:
            effects += self._fail(job, FailureCode.OUTCOME_UNKNOWN)
        return effects

    def _complete(self, job: _Job) -> list[Effect]:
        if len(job.outputs) < len(job.request.tasks):
            return []
        del self._jobs[job.id]
        outputs = tuple(job.outputs[index] for index in sorted(job.outputs))
        answer = Answer(JobState.COMPLETE, job.id, outputs)
        return [AnswerCall(job.call, answer)]

    def _fail(self, job: _Job, code: FailureCode) -> list[Effect]:
        del self._jobs[job.id]
        running: dict[UpstreamId, list[TaskId]] = {}
        for index, upstream in job.sent_to.items():
            running.setdefault(upstream, []).append(TaskId(job.id, index))
            self._upstreams[upstream].used_slots -= 1
        state = JobState.FAILED if job.any_sent else JobState.REFUSED
        answer = Answer(state, job.id, code=code, not_run=not job.any_sent)
        stops = [StopTasks(item, tuple(tasks)) for item, tasks in running.items()]
        return [*stops, AnswerCall(job.call, answer)]

    def _expire(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, submission = heapq.heappop(self._deadlines)
            job = self._jobs.get(submission)
            if job is not None:
                effects += self._fail(job, FailureCode.DEADLINE)
        due = [timer for timer in self._timers if timer[0] <= now]
        self._timers = [timer for timer in self._timers if timer[0] > now]
        for _, task, upstream in due:
            if task.submission in self._jobs:
                effects.append(QueryTaskStatus(upstream, (task,)))
        return effects


class RandomBaseline(Baseline):
    """Pick a random upstream."""

    def pick(self, free: list[_UpstreamState]) -> _UpstreamState:
        return self._rng.choice(free)


class RoundRobinBaseline(Baseline):
    """Pick upstreams in round-robin order."""

    def __init__(self, host: HostId, rng: random.Random, now: float) -> None:
        super().__init__(host, rng, now)
        self._pick_counts: Counter[UpstreamId] = Counter()

    def pick(self, free: list[_UpstreamState]) -> _UpstreamState:
        upstream_state = min(free, key=lambda item: self._pick_counts[item.id])
        self._pick_counts[upstream_state.id] += 1
        return upstream_state


class TwoChoicesBaseline(Baseline):
    """Pick the one of two random upstreams on which this host uses fewer slots."""

    def pick(self, free: list[_UpstreamState]) -> _UpstreamState:
        candidates = self._rng.sample(free, min(2, len(free)))
        return min(candidates, key=lambda item: item.used_slots)


class ShortestQueueBaseline(Baseline):
    """Pick the upstream with the fewest busy slots.

    These are the slots in its last usage report, which is stale, or those that this
    host uses, whichever are more.
    """

    def pick(self, free: list[_UpstreamState]) -> _UpstreamState:
        def load(upstream_state: _UpstreamState) -> tuple[int, float]:
            busy = upstream_state.usage.busy if upstream_state.usage is not None else 0
            return (max(busy, upstream_state.used_slots), self._rng.random())

        return min(free, key=load)


BASELINES = {
    "random": RandomBaseline,
    "round_robin": RoundRobinBaseline,
    "two_choices": TwoChoicesBaseline,
    "shortest_queue": ShortestQueueBaseline,
}
