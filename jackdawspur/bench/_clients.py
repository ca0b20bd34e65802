"""Simulated callers, and the load balancer in front of the entry hosts."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from jackdawspur.bench._host import SimulatedHost
from jackdawspur.bench._workload import Job
from jackdawspur.dispatch import CancelRequested, SubmissionIdsRequested, Submitted
from jackdawspur.model import Answer, FailureCode, JobState, SubmissionId

if TYPE_CHECKING:
    from jackdawspur.bench._simulation import Simulation

__all__ = ["Clients", "EndedJob", "End"]

# Time until the balancer's readiness probe detects a paused or draining host.
PAUSE_DETECTION_S = 2.0
DRAIN_DETECTION_S = 1.0
RESUBMIT_AFTER_DISCONNECT_S = 0.5
RESUBMIT_AFTER_TIMEOUT_S = 5.0


class End(enum.StrEnum):
    """How a job ended for its caller."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class EndedJob:
    """The end of a job as its caller saw it; the response time is in seconds."""

    job: Job
    end: End
    response_s: float
    code: FailureCode | None = None


@dataclass(slots=True)
class _OpenCall:
    job: Job
    host: SimulatedHost
    resubmission: bool = False
    control: bool = False


class Clients:
    """Submit jobs and record their answers.

    With `resubmits`, a request with a key or with an id issued in advance is
    submitted again to another host if its host dies or doesn't respond.
    """

    def __init__(self, simulation: "Simulation", resubmits: bool) -> None:
        self.ended: list[EndedJob] = []
        self.resubmitted = 0
        self.requests_ids_in_advance = False
        self._simulation = simulation
        self._resubmits = resubmits
        self._open_calls: dict[int, _OpenCall] = {}
        self._submissions: dict[int, SubmissionId] = {}
        self._last_call = 0

    @property
    def waiting(self) -> bool:
        """Return whether any caller is still waiting for its answer."""
        return bool(self._open_calls)

    def submit(self, job: Job) -> None:
        """Submit a job to the host that the balancer chooses."""
        host = self._choose_host(job.balance)
        if host is None:
            self.ended.append(EndedJob(job, End.REFUSED, 0.0, FailureCode.NOT_READY))
        elif self.requests_ids_in_advance and job.request.key is None:
            call = self._open_call(_OpenCall(job, host, control=True))
            self._simulation.checker.control_call_sent(call)
            self._send(host, SubmissionIdsRequested(call, job.request.customer, 1))
        else:
            self._submit_to(job, host)

    def cancel(self, jobs: Sequence[Job]) -> None:
        """Request the cancellation of those jobs whose ids are known."""
        for job in jobs:
            submission = self._submissions.get(job.number)
            host = self._choose_host(job.balance)
            if submission is not None and host is not None:
                call = self._open_call(_OpenCall(job, host, control=True))
                self._simulation.checker.control_call_sent(call)
                event = CancelRequested(call, job.request.customer, submission)
                self._send(host, event)

    def ids_issued(self, call: int, ids: tuple[SubmissionId, ...]) -> None:
        """Receive ids issued in advance, and submit under the first to any host."""
        self._after_latency(lambda: self._submit_under_id(call, ids[0]))

    def answered(self, call: int, answer: Answer) -> None:
        """Receive an answer, after the network latency."""
        self._after_latency(lambda: self._record_answer(call, answer))

    def host_died(self, host: SimulatedHost, draining: bool) -> None:
        """Break the connections of callers to a host that died."""
        for call, record in list(self._open_calls.items()):
            if record.host is host:
                self._after_latency(
                    lambda call=call: self._record_disconnect(call, draining)
                )

    def _choose_host(self, balance: float) -> SimulatedHost | None:
        now = self._simulation.loop.now
        hosts = [
            host
            for host in self._simulation.hosts.values()
            if host.alive
            and not _elapsed_s(host.paused_since, now) > PAUSE_DETECTION_S
            and not _elapsed_s(host.draining_since, now) > DRAIN_DETECTION_S
        ]
        return hosts[int(balance * len(hosts))] if hosts else None

    def _open_call(self, record: _OpenCall) -> int:
        self._last_call += 1
        self._open_calls[self._last_call] = record
        return self._last_call

    def _after_latency(self, callback) -> None:
        deployment = self._simulation.deployment
        self._simulation.loop.after(deployment.client_latency_s, callback)

    def _send(self, host: SimulatedHost, event) -> None:
        host_id = host.id
        self._after_latency(lambda: self._arrive(host, host_id, event))

    def _arrive(self, host: SimulatedHost, host_id, event) -> None:
        if host.id == host_id and host.alive:
            host.receive(host_id, event)
        elif event.call in self._open_calls:
            self._record_disconnect(event.call, draining=False)

    def _submit_to(
        self, job: Job, host: SimulatedHost, is_resubmission: bool = False
    ) -> None:
        call = self._open_call(_OpenCall(job, host, resubmission=is_resubmission))
        self._simulation.checker.call_sent(call, job.number, job.request)
        self._send(host, Submitted(call, job.request))
        if self._resubmits and not is_resubmission and _may_resubmit(job):
            timeout_s = RESUBMIT_AFTER_TIMEOUT_S
            self._simulation.loop.after(timeout_s, lambda: self._check_timeout(call))

    # Resubmits only if the host is paused: any other host that hasn't answered yet may
    # still be running the job.
    def _check_timeout(self, call: int) -> None:
        record = self._open_calls.get(call)
        if record is not None and record.host.paused_since is not None:
            self._resubmit(record.job)

    def _resubmit(self, job: Job) -> None:
        host = self._choose_host(1.0 - job.balance - 1e-9)
        if host is not None:
            self.resubmitted += 1
            self._submit_to(job, host, is_resubmission=True)

    def _submit_under_id(self, call: int, submission: SubmissionId) -> None:
        record = self._open_calls.pop(call)
        self._simulation.checker.control_call_answered(call, self._simulation.loop.now)
        job = record.job
        self._submissions[job.number] = submission
        job = replace(job, request=replace(job.request, submission=submission))
        host = self._choose_host((job.balance * 7.0) % 1.0)
        if host is not None:
            self._submit_to(job, host)

    def _record_answer(self, call: int, answer: Answer) -> None:
        now = self._simulation.loop.now
        self._simulation.checker.call_answered(call, answer, now)
        record = self._open_calls.pop(call, None)
        if record is None or record.control or record.resubmission:
            return
        end = End.FAILED
        if answer.state is JobState.COMPLETE:
            end = End.COMPLETE
        elif answer.state is JobState.REFUSED or answer.not_run:
            end = End.REFUSED
        response_s = now - record.job.at
        self.ended.append(EndedJob(record.job, end, response_s, answer.code))

    def _record_disconnect(self, call: int, draining: bool) -> None:
        record = self._open_calls.pop(call, None)
        if record is None:
            return
        now = self._simulation.loop.now
        self._simulation.checker.call_disconnected(call, now, draining)
        if record.control or record.resubmission:
            return
        self.ended.append(EndedJob(record.job, End.LOST, now - record.job.at))
        if self._resubmits and _may_resubmit(record.job):
            self._simulation.loop.after(
                RESUBMIT_AFTER_DISCONNECT_S, lambda: self._resubmit(record.job)
            )


def _may_resubmit(job: Job) -> bool:
    return job.request.key is not None or job.request.submission is not None


def _elapsed_s(since: float | None, now: float) -> float:
    return 0.0 if since is None else now - since
