"""Callers' requests on this host, and the platform's looks at its readiness."""

import logging
from typing import Protocol

from jackdawspur.adapters import Call, WebService
from jackdawspur.callers import HttpResponse
from jackdawspur.front._clock import now_s
from jackdawspur.front._early_calls import EarlyCalls
from jackdawspur.front._gauges import Gauges
from jackdawspur.front._limits import WaitLimit
from jackdawspur.front._own_jobs import OwnJob, OwnJobs
from jackdawspur.front._ports import CallerPort, CallerRequest, RequestKind
from jackdawspur.front._routes import RouteTable
from jackdawspur.group import (
    Group,
    GroupMessage,
    HostAddress,
    JobCancellation,
    JobOffer,
    JobProgress,
    JobRedirect,
    JobResult,
    Term,
)
from jackdawspur.runs import JobEnd, JobOutcome, Offer

__all__ = ["CallerService", "ReadyService"]

MS_PER_S = 1000.0
# The answer must have left this host this long before its caller's time is over.
ANSWER_S = 0.005
# How long a job waits for a host to lead: the time in which a lost one is replaced.
LEADERLESS_S = 0.8
# A host counts as lost after 0.4 s without a sign; offers are all that another group's
# leading host hears of this one.
FAR_AGAIN_S = 0.12
READY = HttpResponse(200, b"{}")
NOT_READY = HttpResponse(503, b"{}")

log = logging.getLogger("jackdawspur.callers")


class ServiceOwner(Protocol):
    """Serve callers together with the rest of the host."""

    address: HostAddress
    group: Group
    gauges: Gauges
    routes: RouteTable
    lead: "JobTaker"
    ready: bool

    def reply(self, call_id: int, reply: HttpResponse) -> None:
        """Reply to a caller."""

    def reply_ready(self, call_id: int, reply: HttpResponse) -> None:
        """Reply to a look at readiness."""

    def waiting_jobs(self, route: str) -> int:
        """Return the number of a route's jobs that wait."""

    def send(self, host: str, message: GroupMessage) -> None:
        """Send a message to another host."""


class JobTaker(Protocol):
    """Run jobs while this host leads."""

    def take(self, offer: Offer, now: float) -> None:
        """Take a job."""

    def dropped(self, host: str, job: str, call: int, now: float) -> None:
        """Stop a job whose caller left."""


class ReadyService(WebService):
    """Tell the platform whether new connections are wanted."""

    def __init__(self, owner: ServiceOwner) -> None:
        self._owner = owner

    def handle_call(self, call: Call) -> None:
        """Answer one look."""
        reply = READY if self._owner.ready else NOT_READY
        self._owner.reply_ready(call.call_id, reply)

    def caller_disconnected(self, call_id: int) -> None:
        """Do nothing; a look keeps nothing."""


class CallerService(WebService):
    """Keep callers waiting while the leading host runs their jobs."""

    def __init__(self, owner: ServiceOwner, port: CallerPort) -> None:
        self._owner = owner
        self._port = port
        self._jobs = OwnJobs()
        self._early = EarlyCalls()
        self._stops_at: float | None = None

    @property
    def waiting(self) -> int:
        """Return the number of callers that wait."""
        return len(self._jobs)

    def handle_call(self, call: Call) -> None:
        """Take one request."""
        now = now_s()
        if self._owner.routes.version:
            self._read(call, now)
        elif self._stops_at is not None or not self._early.add(call, now):
            self._refuse_early(call)

    def configured(self) -> None:
        """Take the requests that waited for a configuration."""
        for early in self._early.take_all():
            self._read(early.call, early.arrived)

    def _refuse_early(self, call: Call) -> None:
        reply = self._port.encode_not_ready("no configuration yet")
        self._owner.reply(call.call_id, reply)

    def _read(self, call: Call, arrived: float) -> None:
        asked = self._port.decode_call(call, self._owner.routes)
        if isinstance(asked, HttpResponse):
            log.info(
                "request refused",
                extra={"path": call.path, "status": asked.status},
            )
            self._owner.reply(call.call_id, asked)
            return
        self._asked(call, asked, arrived)

    def caller_disconnected(self, call_id: int) -> None:
        """Stop the job of a caller that left, at once."""
        self._early.drop(call_id)
        job = self._jobs.take(call_id)
        if job is None:
            return
        self._owner.gauges.count("callers_left")
        log.info("caller left", extra={"job": job.request.id})
        self._drop(job)

    def stop_by(self, stops_at: float) -> None:
        """Give every caller its answer by this time, also those still to come.

        What is cut off when the process ends looks to its caller as if it might still
        run. The balancer and open connections bring requests until the end.
        """
        self._stops_at = stops_at
        self._jobs.end_by(stops_at - ANSWER_S)
        for early in self._early.take_all():
            self._refuse_early(early.call)

    def answered(self, answer: JobResult) -> None:
        """Pass the leading host's answer on to the caller.

        A result is one whoever had the job. A refusal of a host that led before says
        nothing: the job was handed to another since, which may have started it.
        """
        job = self._jobs.find(answer.call, answer.job)
        if job is None:
            return
        earlier = answer.handed != job.handovers
        if earlier and answer.outcome.end not in (JobEnd.COMPLETE, JobEnd.FAILED):
            return
        self._jobs.take(job.call)
        if earlier:
            self._drop(job)
        self._reply(job, answer.outcome)

    def passed_on(self, message: JobRedirect) -> None:
        """Offer a job to another group, for which the own one has no room.

        Only what was never handed over: an earlier leading host may run it. And only in
        reply to the last offer: the leading host has taken that one, and may run it.
        """
        job = self._jobs.find(message.call, message.job)
        if job is None or job.handovers or job.far is not None:
            return
        if message.attempt != job.attempt:
            return
        now = now_s()
        job.far = Term(message.leader, message.fence)
        job.far_since = now
        self._owner.gauges.count("jobs_passed_on")
        self._offer(job, job.far, now)

    def far_leaders(self) -> set[str]:
        """Return the leading hosts of other groups that have jobs of this host."""
        return {job.far.leader for job in self._jobs.far_jobs()}

    def note_progress(self, told: JobProgress) -> None:
        """Keep what the next leading host must know of a job's tasks."""
        self._jobs.note_progress(told.job, told.progress)

    def tick(self, now: float) -> None:
        """Answer callers whose time is over."""
        for early in self._early.take_late(now):
            self._refuse_early(early.call)
        group = self._owner.group
        leaderless = group.leader(now) is None
        patience_s = 0.0 if group.backing_off else LEADERLESS_S
        for job, outcome in self._jobs.given_up(leaderless, patience_s, now):
            self._jobs.take(job.call)
            self._drop(job)
            self._reply(job, outcome)
        for job in self._jobs.far_jobs():
            self._tend_far(job, now)

    def _tend_far(self, job: OwnJob, now: float) -> None:
        """Repeat the offer of a job that another group has, or give it up.

        The repeated offer is also what tells that group that this host lives. When it
        is lost the job may have run there, on upstreams that this group does not hold.
        """
        if self._owner.group.is_term_active(job.far, job.far_since, now):
            if now - job.offered_at > FAR_AGAIN_S:
                self._offer(job, job.far, now)
        elif job.passed_on:
            self._jobs.take(job.call)
            reason = "the other group that had it is lost"
            self._reply(job, JobOutcome(JobEnd.OUT_OF_TIME, False, 0.0, reason))
        else:
            job.far = None

    def offer_waiting(self, now: float) -> None:
        """Hand the jobs that the leading host does not have to it."""
        group = self._owner.group
        term = group.term(now)
        for job in self._jobs.left_behind(term):
            if group.leads_other_group(job.offered_to, now):
                self._stay(job, now)
        if term is None:
            return
        self._jobs.note_reach(term)
        for job in self._jobs.to_offer(term, now):
            if job.offered_to not in (None, term):
                self._hand_over(job, term)
            job.offered_to = term
            job.all_zones |= not term.by_zone
            job.highest = max(job.highest, term.fence)
            self._offer(job, term, now)

    def _stay(self, job: OwnJob, now: float) -> None:
        """Leave a job with the group that this host belonged to while it has it.

        Handed over, it would run twice at one time: the own leading host holds the
        upstreams of its own group, and the other one goes on with the job on others.
        """
        job.far, job.far_since = job.offered_to, now
        log.info(
            "job stays with another group",
            extra={
                "job": job.request.id,
                "leader": job.far.leader,
                "fence": job.far.fence,
            },
        )
        self._offer(job, job.far, now)

    def _hand_over(self, job: OwnJob, term: Term) -> None:
        job.handovers += 1
        job.earlier_all_zones = job.all_zones
        job.outranked = job.highest > term.fence
        log.info(
            "job handed over",
            extra={
                "job": job.request.id,
                "before": job.offered_to.leader,
                "before_fence": job.offered_to.fence,
                "leader": term.leader,
                "fence": term.fence,
                "hand_overs": job.handovers,
            },
        )

    def _asked(self, call: Call, asked: CallerRequest, arrived: float) -> None:
        if asked.kind is RequestKind.SUBMIT:
            self._submit(call, asked, arrived)
        elif asked.kind is RequestKind.COUNT:
            waiting = self._owner.waiting_jobs(asked.route.name)
            self._owner.reply(call.call_id, self._port.encode_waiting_count(waiting))
        elif asked.kind is RequestKind.CANCEL and self._cancel(asked.job):
            self._owner.reply(call.call_id, self._port.encode_cancelled())
        else:
            self._owner.reply(call.call_id, self._port.encode_unknown_job())

    def _submit(self, call: Call, asked: CallerRequest, arrived: float) -> None:
        now = now_s()
        limit = WaitLimit(asked.caller_timeout_s, asked.route.timeout_s)
        ends = arrived + limit.wait_s
        if self._stops_at is not None:
            ends = min(ends, self._stops_at)
        deadline = ends - ANSWER_S
        if deadline <= now:
            reply = self._port.encode_not_ready("this host stops")
            self._owner.reply(call.call_id, reply)
            return
        self._jobs.add(OwnJob(call.call_id, asked.request, arrived, deadline, limit))
        self.offer_waiting(now)

    def _offer(self, job: OwnJob, term: Term, now: float) -> None:
        job.offered_at = now
        job.attempt += 1
        own = self._owner.address.name
        if term.leader == own:
            self._owner.lead.take(
                Offer(
                    job.request,
                    own,
                    job.call,
                    job.arrived,
                    job.deadline,
                    job.handovers,
                    job.progress,
                    attempt=job.attempt,
                    zone=self._owner.address.zone,
                    all_zones=job.earlier_all_zones,
                    outranked=job.outranked,
                ),
                now,
            )
            return
        self._owner.send(term.leader, self._message(job, term, now))

    def _message(self, job: OwnJob, term: Term, now: float) -> JobOffer:
        return JobOffer(
            sender=self._owner.address.name,
            fence=term.fence,
            leader_at=self._owner.group.clock_lower_bound(term.leader, now),
            job=job.request,
            call=job.call,
            age_ms=(now - job.arrived) * MS_PER_S,
            left_ms=(job.deadline - now) * MS_PER_S,
            handed=job.handovers,
            progress=job.progress,
            far=job.far is not None,
            attempt=job.attempt,
            zone=self._owner.address.zone,
            all_zones=job.earlier_all_zones,
            outranked=job.outranked,
        )

    def _cancel(self, job_id: str) -> bool:
        job = self._jobs.by_job(job_id)
        if job is None:
            return False
        self._jobs.take(job.call)
        self._drop(job)
        outcome = JobOutcome(JobEnd.FAILED, not_run=False, reason="cancelled")
        self._reply(job, outcome)
        return True

    def _drop(self, job: OwnJob) -> None:
        now = now_s()
        leader = job.far.leader if job.far else self._owner.group.leader(now)
        own = self._owner.address.name
        if leader == own:
            self._owner.lead.dropped(own, job.request.id, job.call, now)
        elif leader is not None:
            self._owner.send(leader, JobCancellation(own, job.request.id, job.call))

    def _reply(self, job: OwnJob, outcome: JobOutcome) -> None:
        took_ms = (now_s() - job.arrived) * MS_PER_S
        route = job.request.route.name
        self._owner.gauges.ended(route, outcome.end, took_ms)
        log.info(
            "job ended",
            extra={
                "job": job.request.id,
                "route": route,
                "end": outcome.end.value,
                "not_run": outcome.not_run,
                "took_ms": round(took_ms, 1),
                "hand_overs": job.handovers,
                "reason": outcome.reason,
                **job.limit.log_fields(),
            },
        )
        self._owner.reply(job.call, self._port.encode_outcome(outcome))
