"""Callers and the balancer in front of the entry hosts."""

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

__all__ = ["Clients", "Ended", "End"]

# The balancer's readiness probe notices a paused or draining host after these.
PAUSE_NOTICED_S = 2.0
DRAIN_NOTICED_S = 1.0
RESUBMIT_AFTER_DEATH_S = 0.5
RESUBMIT_AFTER_SILENCE_S = 5.0


class End(enum.StrEnum):
    """Tell how a job ended for its caller."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Ended:
    """Record the end of a job; the response time in seconds."""

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
    """Submit jobs, and note what comes back.

    With `resubmits`, a keyed request, or one under an id issued in advance, is sent
    again to another host when its host dies or stays silent.
    """

    def __init__(self, simulation: "Simulation", resubmits: bool) -> None:
        self.ended: list[Ended] = []
        self.resubmitted = 0
        self.ids_in_advance = False
        self._simulation = simulation
        self._resubmits = resubmits
        self._open: dict[int, _OpenCall] = {}
        self._submissions: dict[int, SubmissionId] = {}
        self._calls = 0

    @property
    def waiting(self) -> bool:
        """Tell whether a caller still waits for its answer."""
        return bool(self._open)

    def submit(self, job: Job) -> None:
        """Send a job to the host that the balancer chooses."""
        host = self._choose(job.balance)
        if host is None:
            self.ended.append(Ended(job, End.REFUSED, 0.0, FailureCode.NOT_READY))
        elif self.ids_in_advance and job.request.key is None:
            call = self._call(_OpenCall(job, host, control=True))
            self._simulation.checker.control_call_sent(call)
            self._send(host, SubmissionIdsRequested(call, job.request.customer, 1))
        else:
            self._submit_to(job, host)

    def cancel(self, jobs: Sequence[Job]) -> None:
        """Ask the hosts to cancel jobs whose ids are known."""
        for job in jobs:
            submission = self._submissions.get(job.number)
            host = self._choose(job.balance)
            if submission is not None and host is not None:
                call = self._call(_OpenCall(job, host, control=True))
                self._simulation.checker.control_call_sent(call)
                event = CancelRequested(call, job.request.customer, submission)
                self._send(host, event)

    def ids_issued(self, call: int, ids: tuple[SubmissionId, ...]) -> None:
        """Receive ids in advance, and submit under one; any host may be met."""
        self._later(lambda: self._use_id(call, ids[0]))

    def answered(self, call: int, answer: Answer) -> None:
        """Receive an answer after its way back."""
        self._later(lambda: self._take(call, answer))

    def host_died(self, host: SimulatedHost, draining: bool) -> None:
        """Notice that connections to a host broke."""
        for call, record in list(self._open.items()):
            if record.host is host:
                self._later(lambda call=call: self._lose(call, draining))

    def _choose(self, balance: float) -> SimulatedHost | None:
        now = self._simulation.loop.now
        hosts = [
            host
            for host in self._simulation.hosts.values()
            if host.alive
            and not _since(host.paused_since, now) > PAUSE_NOTICED_S
            and not _since(host.draining_since, now) > DRAIN_NOTICED_S
        ]
        return hosts[int(balance * len(hosts))] if hosts else None

    def _call(self, record: _OpenCall) -> int:
        self._calls += 1
        self._open[self._calls] = record
        return self._calls

    def _later(self, action) -> None:
        deployment = self._simulation.deployment
        self._simulation.loop.after(deployment.client_s, action)

    def _send(self, host: SimulatedHost, event) -> None:
        run = host.id
        self._later(lambda: self._arrive(host, run, event))

    def _arrive(self, host: SimulatedHost, run, event) -> None:
        if host.id == run and host.alive:
            host.receive(run, event)
        elif event.call in self._open:
            self._lose(event.call, draining=False)

    def _submit_to(self, job: Job, host: SimulatedHost, again: bool = False) -> None:
        call = self._call(_OpenCall(job, host, resubmission=again))
        self._simulation.checker.call_sent(call, job.number, job.request)
        self._send(host, Submitted(call, job.request))
        if self._resubmits and not again and _may_resubmit(job):
            silence = RESUBMIT_AFTER_SILENCE_S
            self._simulation.loop.after(silence, lambda: self._check_silence(call))

    # Only a paused host is silent that long without an answer being due.
    def _check_silence(self, call: int) -> None:
        record = self._open.get(call)
        if record is not None and record.host.paused_since is not None:
            self._resubmit(record.job)

    def _resubmit(self, job: Job) -> None:
        host = self._choose(1.0 - job.balance - 1e-9)
        if host is not None:
            self.resubmitted += 1
            self._submit_to(job, host, again=True)

    def _use_id(self, call: int, submission: SubmissionId) -> None:
        record = self._open.pop(call)
        self._simulation.checker.control_call_answered(call, self._simulation.loop.now)
        job = record.job
        self._submissions[job.number] = submission
        job = replace(job, request=replace(job.request, submission=submission))
        host = self._choose((job.balance * 7.0) % 1.0)
        if host is not None:
            self._submit_to(job, host)

    def _take(self, call: int, answer: Answer) -> None:
        now = self._simulation.loop.now
        self._simulation.checker.call_answered(call, answer, now)
        record = self._open.pop(call, None)
        if record is None or record.control or record.resubmission:
            return
        end = End.FAILED
        if answer.state is JobState.COMPLETE:
            end = End.COMPLETE
        elif answer.state is JobState.REFUSED or answer.not_run:
            end = End.REFUSED
        response_s = now - record.job.at
        self.ended.append(Ended(record.job, end, response_s, answer.code))

    def _lose(self, call: int, draining: bool) -> None:
        record = self._open.pop(call, None)
        if record is None:
            return
        now = self._simulation.loop.now
        self._simulation.checker.call_disconnected(call, now, draining)
        if record.control or record.resubmission:
            return
        self.ended.append(Ended(record.job, End.LOST, now - record.job.at))
        if self._resubmits and _may_resubmit(record.job):
            self._simulation.loop.after(
                RESUBMIT_AFTER_DEATH_S, lambda: self._resubmit(record.job)
            )


def _may_resubmit(job: Job) -> bool:
    return job.request.key is not None or job.request.submission is not None


def _since(moment: float | None, now: float) -> float:
    return 0.0 if moment is None else now - moment
