"""Handler of callers' requests."""

import logging

from jackdawspur.adapters import Call, WebService
from jackdawspur.callers import HttpResponse
from jackdawspur.front._clock import now_s
from jackdawspur.front._early_calls import EarlyCalls
from jackdawspur.front._limits import WaitLimit
from jackdawspur.front._own_jobs import OwnJob, OwnJobs, end_fields
from jackdawspur.front._ports import CallerPort, CallerRequest, RequestKind
from jackdawspur.front._service_owner import ServiceOwner
from jackdawspur.group import (
    JobCancellation,
    JobOffer,
    JobProgress,
    JobRedirect,
    JobResult,
    Term,
)
from jackdawspur.runs import JobEnd, JobOutcome, JobSizes, Offer

__all__ = ["CallerService"]

MS_PER_S = 1000.0
# The answer must be sent this long before the caller's timeout.
ANSWER_MARGIN_S = 0.005
# How long a job waits for a leader: a lost leader is replaced within this time.
MAX_LEADERLESS_S = 0.8
# Offers are the only messages that the leader of another group receives from this host,
# which counts as lost after 0.4 s without one.
REMOTE_OFFER_INTERVAL_S = 0.12
# Characters of a path in the log.
MAX_PATH = 200

log = logging.getLogger("jackdawspur.callers")


class CallerService(WebService):
    """Accepts callers' requests, offers their jobs to the leader and sends replies."""

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

    @property
    def job_sizes(self) -> JobSizes:
        """Return the sizes of the jobs whose callers wait."""
        return self._jobs.sizes

    def handle_call(self, call: Call) -> None:
        """Handle one request, whose age counts from its earliest possible arrival."""
        arrived = self._owner.group.pauses.earliest_arrival(call.received_at)
        if self._owner.routes.version:
            self._decode_and_handle(call, arrived)
        elif self._stops_at is not None or not self._early.add(call, arrived):
            self._refuse_early(call)

    def on_configured(self) -> None:
        """Handle the requests that waited for a configuration, unless for too long."""
        self._refuse_overdue(now_s())
        for early in self._early.pop_all():
            self._decode_and_handle(early.call, early.arrived)

    def _refuse_overdue(self, now: float) -> None:
        for early in self._early.pop_overdue(now):
            self._refuse_early(early.call)

    def _refuse_early(self, call: Call) -> None:
        reply = self._port.encode_not_ready("no configuration yet")
        self._owner.reply(call.call_id, reply)

    def _decode_and_handle(self, call: Call, arrived: float) -> None:
        max_size = self._jobs.sizes.max_admitted(now_s())
        request = self._port.decode_call(call, self._owner.routes, max_size)
        if isinstance(request, HttpResponse):
            log.info(
                "request refused",
                extra={"path": call.path[:MAX_PATH], "status": request.status},
            )
            self._owner.reply(call.call_id, request)
            return
        self._handle_request(call, request, arrived)

    def held_bytes(self, call: Call) -> int:
        """Return the size of a call that waits for a configuration, else zero."""
        return len(call.body) if call.call_id in self._early else 0

    def caller_disconnected(self, call_id: int) -> None:
        """Cancel the job of a caller that left."""
        self._early.remove(call_id)
        job = self._jobs.pop(call_id)
        if job is None:
            return
        self._owner.metrics.count("callers_left")
        waited_ms = round((now_s() - job.arrived) * MS_PER_S, 1)
        log.info("caller left", extra={"job": job.request.id, "waited_ms": waited_ms})
        self._cancel_at_leader(job)

    def stop_by(self, stops_at: float) -> None:
        """Answer all current and future callers by this time.

        If the process ended with a request unanswered, its caller would have to assume
        that the job may still run. The balancer and open connections deliver requests
        until the process ends.
        """
        self._stops_at = stops_at
        self._jobs.limit_deadlines(stops_at - ANSWER_MARGIN_S)
        for early in self._early.pop_all():
            self._refuse_early(early.call)

    def receive_result(self, result: JobResult) -> None:
        """Reply to the caller with the leader's result.

        A result is valid no matter which leader had the job. A refusal by an earlier
        leader is ignored: the job was handed over since, and the next leader may have
        started it.
        """
        job = self._jobs.find(result.call, result.job)
        if job is None:
            return
        earlier = result.handed != job.handovers
        if earlier and result.outcome.end not in (JobEnd.COMPLETE, JobEnd.FAILED):
            return
        self._jobs.pop(job.call)
        if earlier:
            self._cancel_at_leader(job)
        self._reply(job, result.outcome)

    def redirect(self, message: JobRedirect) -> None:
        """Offer a job for which this group has no free capacity to another group.

        A job that was handed over is not redirected: an earlier leader may run it. A
        reply to any but the last offer is ignored: the leader has accepted a later one
        and may run the job. After a pause the job is offered to its own group again.
        """
        now = now_s()
        job = self._jobs.find(message.call, message.job)
        if job is None or job.handovers or job.remote_term is not None:
            return
        if message.attempt != job.attempt or self._is_catching_up(now):
            return
        job.remote_term = Term(message.leader, message.fence)
        job.remote_since = now
        self._owner.metrics.count("jobs_passed_on")
        self._offer(job, job.remote_term, now)

    def remote_leaders(self) -> set[str]:
        """Return the leaders of other groups that have jobs of this host."""
        return {job.remote_term.leader for job in self._jobs.remote_jobs()}

    def record_progress(self, reported: JobProgress) -> None:
        """Record what the next leader must know of a job's tasks."""
        self._jobs.record_progress(reported.job, reported.progress)

    def tick(self, now: float) -> None:
        """Answer callers whose time has run out, and update remote jobs."""
        self._refuse_overdue(now)
        if self._stops_at is None and self._is_catching_up(now):
            # Their answers may be among the messages that are not read yet.
            return
        group = self._owner.group
        leaderless = group.leader(now) is None
        max_wait_s = 0.0 if group.backing_off else MAX_LEADERLESS_S
        for job, outcome in self._jobs.ended_jobs(leaderless, max_wait_s, now):
            self._jobs.pop(job.call)
            self._cancel_at_leader(job)
            self._reply(job, outcome)
        for job in self._jobs.remote_jobs():
            self._update_remote_job(job, now)

    def _update_remote_job(self, job: OwnJob, now: float) -> None:
        """Repeat the offer of a job that another group has, or give the job up.

        The repeated offer also shows that group that this host is alive. If the group
        is lost, the job may have run there, on upstreams that this group does not
        lease.
        """
        if self._owner.group.is_term_active(job.remote_term, job.remote_since, now):
            if now - job.offered_at > REMOTE_OFFER_INTERVAL_S:
                self._offer(job, job.remote_term, now)
        elif job.is_redirected:
            self._jobs.pop(job.call)
            reason = "the other group that had it is lost"
            self._reply(job, JobOutcome(JobEnd.OUT_OF_TIME, False, 0.0, reason))
        else:
            job.remote_term = None

    def offer_waiting(self, now: float) -> None:
        """Offer to the leader the jobs that it does not have.

        After a pause this waits until it is known which callers have left meanwhile:
        they may have sent their jobs to other hosts.
        """
        if self._is_catching_up(now):
            return
        group = self._owner.group
        term = group.term(now)
        for job in self._jobs.offered_to_other_terms(term):
            if group.is_term_of_other_group(job.offered_to, now):
                self._leave_with_other_group(job, now)
        if term is None:
            return
        self._jobs.record_zone_coverage(term)
        for job in self._jobs.jobs_to_offer(term, now):
            if job.offered_to not in (None, term):
                self._hand_over(job, term)
            job.offered_to = term
            job.all_zones |= not term.by_zone
            job.highest_fence = max(job.highest_fence, term.fence)
            self._offer(job, term, now)

    def _is_catching_up(self, now: float) -> bool:
        return self._owner.group.pauses.is_catching_up(now)

    def _leave_with_other_group(self, job: OwnJob, now: float) -> None:
        """Leave a job with the other group that this host belonged to.

        If it were handed over it would run twice at the same time: on the upstreams of
        this group's leader, and on those of the other leader, which continues it.
        """
        job.remote_term, job.remote_since = job.offered_to, now
        log.info(
            "job stays with another group",
            extra={
                "job": job.request.id,
                "leader": job.remote_term.leader,
                "fence": job.remote_term.fence,
            },
        )
        self._offer(job, job.remote_term, now)

    def _hand_over(self, job: OwnJob, term: Term) -> None:
        job.handovers += 1
        job.earlier_all_zones = job.all_zones
        job.outranked = job.highest_fence > term.fence
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

    def _handle_request(
        self, call: Call, request: CallerRequest, arrived: float
    ) -> None:
        if request.kind is RequestKind.SUBMIT:
            self._submit(call, request, arrived)
        elif request.kind is RequestKind.COUNT:
            waiting = self._owner.waiting_jobs(request.route.name)
            self._owner.reply(call.call_id, self._port.encode_waiting_count(waiting))
        elif request.kind is RequestKind.CANCEL and self._cancel(request.job):
            self._owner.reply(call.call_id, self._port.encode_cancelled())
        else:
            self._owner.reply(call.call_id, self._port.encode_unknown_job())

    def _submit(self, call: Call, request: CallerRequest, arrived: float) -> None:
        now = now_s()
        limit = WaitLimit(request.caller_timeout_s, request.route.timeout_s)
        ends_at = arrived + limit.wait_s
        if self._stops_at is not None:
            ends_at = min(ends_at, self._stops_at)
        deadline = ends_at - ANSWER_MARGIN_S
        if deadline <= now:
            self._refuse_late(call, request.job, limit, now - arrived)
            return
        received_at = call.received_at
        job = OwnJob(
            call.call_id, request.request, arrived, received_at, deadline, limit
        )
        self._jobs.add(job, now)
        self.offer_waiting(now)

    def _refuse_late(
        self, call: Call, job: str, limit: WaitLimit, age_s: float
    ) -> None:
        """Refuse a job for whose caller there is no time left."""
        reason = "the caller's time may be over"
        if self._stops_at is not None:
            reason = "this host stops"
        age_ms = round(age_s * MS_PER_S, 1)
        fields = {"job": job, "age_ms": age_ms, "reason": reason, "not_run": True}
        log.info("late request refused", extra=fields | limit.log_fields())
        self._owner.metrics.count("late_requests")
        self._owner.reply(call.call_id, self._port.encode_not_ready(reason))

    def _offer(self, job: OwnJob, term: Term, now: float) -> None:
        job.offered_at = now
        job.attempt += 1
        local_name = self._owner.address.name
        if term.leader == local_name:
            self._owner.leader_driver.accept_offer(
                Offer(
                    job.request,
                    local_name,
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
        self._owner.send(term.leader, self._offer_message(job, term, now))

    def _offer_message(self, job: OwnJob, term: Term, now: float) -> JobOffer:
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
            far=job.remote_term is not None,
            attempt=job.attempt,
            zone=self._owner.address.zone,
            all_zones=job.earlier_all_zones,
            outranked=job.outranked,
        )

    def _cancel(self, job_id: str) -> bool:
        job = self._jobs.find_by_id(job_id)
        if job is None:
            return False
        self._jobs.pop(job.call)
        self._cancel_at_leader(job)
        outcome = JobOutcome(JobEnd.FAILED, not_run=False, reason="cancelled")
        self._reply(job, outcome)
        return True

    def _cancel_at_leader(self, job: OwnJob) -> None:
        now = now_s()
        leader = (
            job.remote_term.leader if job.remote_term else self._owner.group.leader(now)
        )
        local_name = self._owner.address.name
        if leader == local_name:
            self._owner.leader_driver.cancel_job(
                local_name, job.request.id, job.call, now
            )
        elif leader is not None:
            self._owner.send(
                leader, JobCancellation(local_name, job.request.id, job.call)
            )

    def _reply(self, job: OwnJob, outcome: JobOutcome) -> None:
        took_ms = (now_s() - job.arrived) * MS_PER_S
        route = job.request.route.name
        self._owner.metrics.record_end(route, outcome.end, took_ms)
        log.info(
            "job ended",
            extra={"took_ms": round(took_ms, 1), **end_fields(job, outcome)},
        )
        self._owner.reply(job.call, self._port.encode_outcome(outcome))
