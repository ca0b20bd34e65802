"""Decide, on the leader, which task starts where and when."""

from collections.abc import Iterable

from jackdawspur.leases import (
    CallOutcome,
    EndedRun,
    Fence,
    PollReport,
    RunId,
    RunResult,
    UpstreamEntry,
)
from jackdawspur.model import HostId, UpstreamId
from jackdawspur.runs._answers import Answers
from jackdawspur.runs._decision_log import DecisionLog
from jackdawspur.runs._effects import (
    Decision,
    DropCause,
    Effect,
    PollUpstream,
    StartRun,
    StopRun,
)
from jackdawspur.runs._estimates import Estimates
from jackdawspur.runs._expiring_set import ExpiringSet
from jackdawspur.runs._job import Job, Task, TaskState
from jackdawspur.runs._job_endings import JobEndings
from jackdawspur.runs._job_sizes import job_size
from jackdawspur.runs._load_tracker import LoadTracker
from jackdawspur.runs._offered_capacity import RemoteLeader, SpareCapacity
from jackdawspur.runs._open_jobs import OpenJobs
from jackdawspur.runs._order import Timeliness, latest_start, timeliness
from jackdawspur.runs._overload_control import OverloadControl
from jackdawspur.runs._overload_policy import DEFAULT_POLICY, OverloadPolicy
from jackdawspur.runs._placer import Placer
from jackdawspur.runs._polls import Polls
from jackdawspur.runs._pool import UpstreamPool
from jackdawspur.runs._progress import Verdict
from jackdawspur.runs._redirector import JobRedirector
from jackdawspur.runs._refusals import Refusals
from jackdawspur.runs._replies import Replies
from jackdawspur.runs._review import Review
from jackdawspur.runs._started_jobs import StartedJobs
from jackdawspur.runs._starts import Starts
from jackdawspur.runs._types import Offer

__all__ = ["Dispatcher"]

# Hosts offer their jobs again within this time after a change of leader.
DONE_TASK_TTL_S = 2.0


class Dispatcher:
    """Run the jobs of all hosts on all upstreams; a task has one run at a time.

    A task starts only while no run of it uses capacity anywhere. A run uses capacity
    from before its start is sent until its end is reported or it can't exist any more.
    """

    def __init__(
        self, local_id: HostId, now: float, policy: OverloadPolicy = DEFAULT_POLICY
    ) -> None:
        self._zone = local_id.zone
        self._effects: list[Effect] = []
        self._log = DecisionLog(self._effects)
        self._estimates = Estimates(local_id, policy.remote_factor)
        self._replies = Replies()
        self._pool = UpstreamPool(self, self._effects, self._log, self._replies)
        self._starts = Starts(self._pool, self._replies)
        self._polls = Polls(self._pool, self._replies)
        self._run_review = Review(self._pool, self._estimates, self._log)
        jobs = self._jobs = OpenJobs()
        self._done_tasks = ExpiringSet()
        self._started_jobs = StartedJobs()
        self._overload = OverloadControl(policy, jobs, self._pool, self._estimates)
        self._redirector = JobRedirector(
            jobs, self._pool, self._overload.load_tracker, self._effects
        )
        self._placer = Placer(
            self._pool,
            self._starts,
            self._estimates,
            self._started_jobs,
            self._redirector,
        )
        self._answers = Answers()
        self._endings = JobEndings(
            jobs,
            self._pool,
            self._estimates,
            self._run_review,
            self._answers,
            self._effects,
        )
        self._refusals = Refusals(
            jobs, self._pool, self._overload, self._redirector, self._endings
        )
        self.is_leader = False

    @property
    def upstream_pool(self) -> UpstreamPool:
        """Return the leased upstreams."""
        return self._pool

    @property
    def estimates(self) -> Estimates:
        """Return the learned run times of routes and slowdowns of upstreams."""
        return self._estimates

    @property
    def load_tracker(self) -> LoadTracker:
        """Return the demand of each service, and what is admitted of it."""
        return self._overload.load_tracker

    def set_policy(self, policy: OverloadPolicy) -> None:
        """Apply another overload policy from now on."""
        self.load_tracker.policy = policy
        self._estimates.remote_factor = policy.remote_factor

    @property
    def open_jobs(self) -> OpenJobs:
        """Return the jobs that have not ended."""
        return self._jobs

    def spare_capacity(self, now: float) -> dict[str, SpareCapacity]:
        """Return the free capacity by service, none if a job here waits for it."""
        waiting = (job for job in self._jobs.values() if job.has_waiting)
        if not all(map(self._placer.waits_for_fast_upstream, waiting)):
            return {}
        return self._placer.spare_capacity(now)

    def can_serve(self, now: float) -> bool:
        """Return whether a new job may start, here or in another group.

        Upstreams that do not respond count, since others may still reach them.
        """
        offered_capacity = self._redirector.offered_capacity
        return not self._pool.all_draining or offered_capacity.is_reachable(now)

    def needs_capacity(self, now: float) -> bool:
        """Return whether a job found no free capacity here recently."""
        return self._placer.needs_capacity(now)

    def update_offered_capacity(
        self, leader: RemoteLeader, capacity: dict[str, SpareCapacity], now: float
    ) -> None:
        """Record the capacity that another group offers."""
        self._redirector.offered_capacity.update(leader, capacity, now)

    def start_leading(self, fence: Fence, now: float) -> None:
        """Start a term as leader; no task starts on an upstream before a poll of it."""
        self._jobs.clear()
        self._answers.clear()
        self.is_leader = True
        self._estimates.start_leading(now)
        self._pool.lease_all(fence, now)
        self._estimates.reset_health(u.entry.id for u in self._pool.upstreams)

    def stop_leading(self, now: float) -> None:
        """Give up all jobs and upstreams; the next leader takes them over."""
        self._jobs.clear()
        self._answers.clear()
        self._overload.clear()
        self.is_leader = False
        self._pool.release_all(now)
        self._estimates.stop_leading(now)

    def set_upstreams(
        self,
        entries: Iterable[UpstreamEntry],
        now: float,
        listed: Iterable[UpstreamEntry] | None = None,
        by_zone: bool = False,
    ) -> None:
        """Set the upstreams of the group and of all groups, and if it is one zone."""
        group = tuple(entries)
        if by_zone != self._pool.listing.by_zone:
            # Hosts that left the group are about to report which jobs stay here.
            self._jobs.reset_refresh_times(now)
        self._pool.listing.set_zone(self._zone if by_zone else None, now)
        self._pool.set_entries(group, group if listed is None else tuple(listed), now)
        self._estimates.set_upstreams(group)

    def offer(self, offer: Offer, now: float) -> None:
        """Accept a job, or answer at once that it can't be done in time.

        A job that is open already keeps its runs: its caller retried, or its host got
        no answer. One that was answered is answered again: an answer is lost when the
        connection between the hosts stops responding.
        """
        self._pool.crashes.record_reported(offer.progress.troubles)
        known = self._jobs.get(offer.request.id)
        if known is not None:
            known.offered_again(offer, now)
            return
        answer = self._answers.find(offer)
        if answer is not None:
            self._effects.append(answer)
            return
        request = offer.request
        size = job_size(request)
        if self._is_too_large(offer, size, now):
            self._endings.refuse_size(offer, size, now)
            return
        expected = self._estimates.expected_ms(request.route, request.steps)
        job = Job(offer, expected, now)
        if job.id in self._started_jobs:
            job.started = True
            self._started_jobs.record(offer)
        self._overload.arrived(job, now)
        self._jobs.add(job, size, now)
        self._placer.due = True
        for name in [name for name in job.by_name if name in self._done_tasks]:
            self._done_tasks.discard(name)
            job.end_task(job.by_name[name])
        self._pool.claim(job, now)
        if job.complete:
            self._endings.complete(job, now)

    def _is_too_large(self, offer: Offer, size: int, now: float) -> bool:
        """Return whether a new job is too large beside those that are open.

        Many large jobs would exceed the memory of the leader, and each of its passes
        would take so long that its followers give it up.
        """
        if offer.handovers or offer.request.id in self._started_jobs:
            return False
        return size > self._jobs.sizes.max_admitted(now)

    def drop(self, host: str, job_id: str, call: int, now: float) -> None:
        """Stop a job that nobody waits for, unless it was offered again since."""
        job = self._jobs.get(job_id)
        if job is None or (job.offer.host, job.offer.call) != (host, call):
            return
        self._run_review.log_loss(Decision.JOB_DROPPED, job, now)
        self._endings.remove(job, now)

    def drop_host(self, host: str, cause: DropCause, now: float) -> None:
        """Stop the jobs of a host that is gone or has handed them to another leader."""
        for job in self._jobs.of_host(host):
            self._drop(job, cause, now)

    def drop_unrefreshed(self, other_group_hosts: set[str], now: float) -> None:
        """Stop jobs that hosts of other groups no longer offer."""
        for job in self._jobs.unrefreshed(other_group_hosts, now):
            self._drop(job, DropCause.NOT_REPEATED, now)

    def _drop(self, job: Job, cause: DropCause, now: float) -> None:
        host = job.offer.host
        self._log.add(Decision.JOB_DROPPED, job.id, "", host=host, cause=cause.value)
        self._endings.remove(job, now)

    def start_replied(self, effect: StartRun, outcome: CallOutcome, now: float) -> None:
        """Process the outcome of a start."""
        self._starts.replied(effect, outcome, now)

    def stop_replied(self, effect: StopRun, outcome: CallOutcome, now: float) -> None:
        """Process the outcome of a stop."""
        self._pool.stop_replied(effect, outcome, now)

    def poll_replied(
        self, effect: PollUpstream, result: PollReport | CallOutcome, now: float
    ) -> None:
        """Process the reply to a poll, or the reason why there is none."""
        self._polls.replied(effect, result, now)

    def flush(self, now: float) -> list[Effect]:
        """Place waiting tasks and return the pending effects."""
        if self.is_leader:
            all_read = self._replies.check_all_read(now)
            if all_read:
                self._starts.resolve_overdue(now)
            self._placer.place_if_due(self._jobs.values(), now)
            self._refusals.refuse_shed(now)
            if all_read:
                self._polls.count_overdue(now)
            self._polls.send_due(now)
        effects = self._effects[:]
        self._effects.clear()
        return effects

    @property
    def overdue_at(self) -> float | None:
        """Return when the next flush is due at the latest, for an overdue reply."""
        return self._starts.overdue_at if self.is_leader else None

    def tick(self, now: float) -> None:
        """Give up unresponsive upstreams, and jobs that can't be answered in time."""
        if not self.is_leader:
            return
        # A job that arrived since the last pass is placed before it is judged.
        self._placer.place_if_due(self._jobs.values(), now)
        self._overload.update(now)
        self._refusals.refuse_shed(now)
        for job in list(self._jobs.values()):
            self._end_if_hopeless(job, now)
        self._refusals.refuse_unservable(now)
        for job in self._jobs.pop_reported():
            if self._run_review.review_job(job, now) is Verdict.GIVE_UP:
                self._give_up(job, Decision.JOB_HOPELESS, now)
        self._placer.due = True
        self._done_tasks.forget_old(now)
        self._answers.forget_old(now)
        self._started_jobs.forget_old(now)
        self._pool.crashes.forget_old(now)
        self._pool.tick(now)

    # Callbacks from the upstream pool (see RunOwner).

    def job_of(self, task_name: str) -> Job | None:
        """Return the open job of a task."""
        return self._jobs.get(task_name.split(".", 1)[0])

    def run_ended(
        self, upstream: UpstreamId, ended: EndedRun, since: float | None, now: float
    ) -> None:
        """Process the end of a run on an upstream."""
        job = self.job_of(ended.run.task)
        task = job.by_name.get(ended.run.task) if job else None
        self._estimates.ended(job, task, upstream, ended.result, since, now)
        if task is None or not task.is_current_run(ended.run, upstream):
            return
        if ended.result is RunResult.DONE:
            job.end_task(task)
            if job.complete:
                self._endings.complete(job, now)
        else:
            self._retry_task(job, task, ended.result, now)

    def found_done(self, task_name: str, now: float) -> None:
        """Record that a task which an earlier leader had started is done.

        The next poll acknowledges its end, after which the upstream no longer reports
        it. Its job, which its host is about to offer again, would repeat the task.
        """
        job = self.job_of(task_name)
        if job is None:
            self._done_tasks.add(task_name, now + DONE_TASK_TTL_S)
        elif task_name in job.by_name:
            self._complete_found_task(job, job.by_name[task_name], now)

    def _complete_found_task(self, job: Job, task: Task, now: float) -> None:
        if task.state is not TaskState.WAITING:
            return
        job.end_task(task)
        if job.complete:
            self._endings.complete(job, now)

    def run_reported(self, task_name: str) -> None:
        """Mark the job for review in the next tick, by the progress of its runs."""
        job = self.job_of(task_name)
        if job is not None:
            job.reported = True

    def incarnation_seen(self, upstream: UpstreamId, incarnation: int) -> None:
        """Record which incarnation of an upstream replies."""
        self._estimates.incarnation_seen(upstream, incarnation)

    def run_lost(self, run: RunId, upstream: UpstreamId, now: float) -> None:
        """Requeue a task whose run can't exist any more."""
        self._estimates.lost(upstream, now)
        job = self.job_of(run.task)
        task = job.by_name.get(run.task) if job else None
        if task is not None and task.is_current_run(run, upstream):
            job.requeue(task)

    def start_invalid(self, task_name: str, now: float) -> None:
        """Fail the job of a task that no upstream accepts."""
        job = self.job_of(task_name)
        if job is not None:
            self._endings.fail(job, "task refused", now)

    def _retry_task(self, job: Job, task: Task, result: RunResult, now: float) -> None:
        job.requeue(task)
        if result is not RunResult.FAILED:
            return
        task.failures += 1
        if task.failures >= job.request.route.max_attempts:
            self._endings.fail(job, f"{task.name} failed {task.failures} times", now)

    def _end_if_hopeless(self, job: Job, now: float) -> None:
        if now >= job.offer.deadline:
            self._give_up(job, Decision.JOB_OUT_OF_TIME, now)
            return
        if reason := self._pool.crashes.reason_to_give_up(job.id, job.by_name):
            self._endings.fail(job, reason, now)
            return
        start = self._placer.earliest_start(job, now)
        if not job.started:
            if start > latest_start(job):
                self._refusals.refuse(job, now)
        elif job.placed() or self._placer.awaits_runs(job, now):
            return
        elif timeliness(job, start) is Timeliness.HOPELESS:
            self._give_up(job, Decision.JOB_HOPELESS, now)

    def _give_up(self, job: Job, decision: Decision, now: float) -> None:
        retry_s = 0.0 if job.started else self._overload.retry_s(job, now)
        self._endings.give_up(job, decision, retry_s, now)
