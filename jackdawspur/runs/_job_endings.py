"""Ends of jobs on the leader: their answers, and the removal of what they use."""

from dataclasses import replace

from jackdawspur.runs._answers import Answers
from jackdawspur.runs._decision_log import DecisionLog
from jackdawspur.runs._effects import AnswerJob, Decision, Effect
from jackdawspur.runs._estimates import Estimates
from jackdawspur.runs._job import Job
from jackdawspur.runs._job_sizes import SIZE_RETRY_S
from jackdawspur.runs._losses import job_timing
from jackdawspur.runs._open_jobs import OpenJobs
from jackdawspur.runs._pool import UpstreamPool
from jackdawspur.runs._review import Review
from jackdawspur.runs._types import JobEnd, JobOutcome, Offer

__all__ = ["JobEndings"]


class JobEndings:
    """Answer jobs that end, remove them, and stop their runs."""

    def __init__(
        self,
        jobs: OpenJobs,
        pool: UpstreamPool,
        estimates: Estimates,
        review: Review,
        answers: Answers,
        effects: list[Effect],
    ) -> None:
        self._jobs = jobs
        self._pool = pool
        self._estimates = estimates
        self._review = review
        self._answers = answers
        self._effects = effects

    @property
    def _log(self) -> DecisionLog:
        return self._pool.log

    def complete(self, job: Job, now: float) -> None:
        """End a job whose tasks are all done."""
        self._estimates.learn_slowdowns(job)
        self._log.completed(job, now)
        self._answer(job, JobOutcome(JobEnd.COMPLETE, not_run=False), now)
        del self._jobs[job.id]

    def fail(self, job: Job, reason: str, now: float) -> None:
        """End a job that failed."""
        self._log.failed(job, reason)
        outcome = JobOutcome(JobEnd.FAILED, not job.started, reason=reason)
        self._answer(job, outcome, now)
        self.remove(job, now)

    def give_up(self, job: Job, decision: Decision, retry_s: float, now: float) -> None:
        """End a job that can't end within its caller's time."""
        self._review.log_loss(decision, job, now)
        if job.started:
            self._estimates.learn_given_up(job)
        reason = "it can't end within the caller's time"
        outcome = JobOutcome(JobEnd.OUT_OF_TIME, not job.started, retry_s, reason)
        self._answer(job, outcome, now)
        self.remove(job, now)

    def refuse(
        self, job: Job, retry_s: float, now: float, by_cost: bool = False
    ) -> None:
        """End a job of which no task was started; `by_cost` if it was shed."""
        reason = "it could not end within the caller's time"
        if by_cost:
            reason = "the service is overloaded"
        outcome = JobOutcome(JobEnd.REFUSED, True, retry_s, reason)
        self._answer(job, outcome, now)
        self.remove(job, now)

    def refuse_size(self, offer: Offer, size: int, now: float) -> None:
        """Refuse a job that is too large beside those that are open."""
        sizes = self._jobs.sizes
        self._log.add(
            Decision.JOB_REFUSED,
            offer.request.id,
            "",
            cause="size",
            size=size,
            max_size=sizes.max_admitted(now),
            open_size=sizes.total,
            jobs=len(self._jobs),
        )
        reason = "the leader has no memory for a job of this size"
        outcome = JobOutcome(JobEnd.REFUSED, True, SIZE_RETRY_S, reason)
        self._send(offer, outcome, now)

    def remove(self, job: Job, now: float) -> None:
        """Remove a job and stop its runs."""
        del self._jobs[job.id]
        for task in job.placed():
            self._pool.stop(task.name, now)

    def _answer(self, job: Job, outcome: JobOutcome, now: float) -> None:
        outcome = replace(outcome, timing=job_timing(job, now))
        self._send(job.offer, outcome, now)

    def _send(self, offer: Offer, outcome: JobOutcome, now: float) -> None:
        answer = AnswerJob(
            offer.host, offer.call, offer.handovers, offer.request.id, outcome
        )
        self._effects.append(answer)
        self._answers.add(answer, now)
