"""Decide, on the leading host, which task starts where and when."""

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
from jackdawspur.runs._admission import Admission, retry_after_s
from jackdawspur.runs._answers import Answers
from jackdawspur.runs._begun import StartedJobs
from jackdawspur.runs._effects import (
    AnswerJob,
    Decision,
    DropCause,
    Effect,
    PollUpstream,
    StartRun,
    StopRun,
)
from jackdawspur.runs._estimates import Estimates
from jackdawspur.runs._fleet import UpstreamPool
from jackdawspur.runs._job import Job, Task, TaskState
from jackdawspur.runs._looks import Looks
from jackdawspur.runs._notes import DecisionLog
from jackdawspur.runs._offered_capacity import RemoteLeader, SpareCapacity, may_go
from jackdawspur.runs._open_jobs import OpenJobs
from jackdawspur.runs._order import Standing, latest_start, standing
from jackdawspur.runs._passing_on import JobRedirector
from jackdawspur.runs._placer import Placer
from jackdawspur.runs._progress import Verdict
from jackdawspur.runs._remembered import Remembered
from jackdawspur.runs._replies import Replies
from jackdawspur.runs._review import Review
from jackdawspur.runs._starts import Starts
from jackdawspur.runs._types import JobEnd, JobOutcome, Offer

__all__ = ["Dispatcher"]

# Hosts offer their jobs again within this time of a change of the leading host.
FOUND_KEPT_S = 2.0


class Dispatcher:
    """Run the jobs of all hosts on all upstreams; a task has one run at a time.

    A task starts only while no run of it takes room anywhere, and a run takes room
    from before its start is sent until its end is listed or it can't be any more.
    """

    def __init__(self, own: HostId, now: float) -> None:
        self._zone = own.zone
        self._effects: list[Effect] = []
        self._notes = DecisionLog(self._effects)
        self._estimates = Estimates(own)
        self._replies = Replies()
        self._fleet = UpstreamPool(self, self._effects, self._notes, self._replies)
        self._starts = Starts(self._fleet, self._replies)
        self._looks = Looks(self._fleet, self._replies)
        self._review_of = Review(self._fleet, self._estimates, self._notes)
        self._jobs = OpenJobs()
        self._found_done = Remembered()
        self._begun = StartedJobs()
        self._redirector = JobRedirector(self._jobs, self._fleet, self._effects)
        self._placer = Placer(
            self._fleet, self._starts, self._estimates, self._begun, self._redirector
        )
        self._admission = Admission(self._estimates.slowdown)
        self._answers = Answers()
        self._now = now
        self.is_leader = False

    @property
    def upstream_pool(self) -> UpstreamPool:
        """Return the upstreams held."""
        return self._fleet

    @property
    def estimates(self) -> Estimates:
        """Return what was learned of routes and upstreams."""
        return self._estimates

    @property
    def open_jobs(self) -> OpenJobs:
        """Return the jobs not yet ended."""
        return self._jobs

    def spare_capacity(self, now: float) -> dict[str, SpareCapacity]:
        """Return what is left of the upstreams, by service, unless a job wants it."""
        waiting = (job for job in self._jobs.values() if job.has_waiting)
        if not all(map(self._placer.waits_by_choice, waiting)):
            return {}
        return self._placer.spare_capacity(now)

    def needs_capacity(self, now: float) -> bool:
        """Tell whether a job found no room here just now."""
        return self._placer.needs_capacity(now)

    def update_offered_capacity(
        self, place: RemoteLeader, room: dict[str, SpareCapacity], now: float
    ) -> None:
        """Take in the room that another group offers."""
        self._redirector.elsewhere.offered(place, room, now)

    def start_leading(self, fence: Fence, now: float) -> None:
        """Begin to lead: nothing starts on an upstream before a look at it."""
        self._jobs.clear()
        self._answers.clear()
        self.is_leader = True
        self._estimates.start_leading(now)
        self._fleet.hold_all(fence, now)
        self._estimates.forget_running(held.entry.id for held in self._fleet.upstreams)

    def stop_leading(self, now: float) -> None:
        """Give up all jobs and upstreams; the host that leads next takes them over."""
        self._jobs.clear()
        self._answers.clear()
        self.is_leader = False
        self._fleet.release_all(now)
        self._estimates.stop_leading(now)

    def set_upstreams(
        self,
        entries: Iterable[UpstreamEntry],
        now: float,
        listed: Iterable[UpstreamEntry] | None = None,
        by_zone: bool = False,
    ) -> None:
        """Take in the group's upstreams, all listed, and whether it is one zone."""
        kept = tuple(entries)
        if by_zone != self._fleet.listing.by_zone:
            # Hosts that left the group are about to say which jobs stay here.
            self._jobs.all_repeated(now)
        self._fleet.listing.set_zone(self._zone if by_zone else None, now)
        self._fleet.set_entries(kept, kept if listed is None else tuple(listed), now)
        self._estimates.set_upstreams(kept)

    def update_peer_lists(
        self, longest: int, all_read_at: float, behind: bool = False
    ) -> None:
        """Take in the longest list of other hosts, and when they had all read one.

        `behind` tells that another host has read a newer list than this one.
        """
        self._fleet.listing.compare(longest, all_read_at, behind)

    def offer(self, offer: Offer, now: float) -> None:
        """Take a job, or answer at once that it can't be done in time.

        A job that is here already keeps its runs: its caller asked again, or its host
        had no answer. One that was answered is answered again: a connection between
        hosts that goes silent loses what was sent on it.
        """
        self._fleet.crashes.told(offer.progress.troubles)
        known = self._jobs.get(offer.request.id)
        if known is not None:
            known.offered_again(offer, now)
            return
        answer = self._answers.find(offer)
        if answer is not None:
            self._effects.append(answer)
            return
        request = offer.request
        expected = self._estimates.expected_ms(request.route, request.steps)
        job = Job(offer, expected, now)
        if job.id in self._begun:
            job.started = True
            self._begun.note(offer)
        self._jobs[job.id] = job
        self._placer.due = True
        for name in [name for name in job.by_name if name in self._found_done]:
            self._found_done.discard(name)
            job.end_task(job.by_name[name])
        self._fleet.claim(job, now)
        if job.complete:
            self._complete(job)

    def drop(self, host: str, job_id: str, call: int, now: float) -> None:
        """Stop a job nobody waits for, unless it was offered again since."""
        job = self._jobs.get(job_id)
        if job is None or (job.offer.host, job.offer.call) != (host, call):
            return
        self._review_of.note_late(Decision.JOB_DROPPED, job, now)
        self._end(job, now)

    def drop_host(self, host: str, cause: DropCause, now: float) -> None:
        """Stop the jobs of a host that is gone or has handed them to another."""
        for job in self._jobs.of_host(host):
            self._drop(job, cause, now)

    def drop_unrefreshed(self, outsiders: set[str], now: float) -> None:
        """Stop jobs of hosts of other groups that offer them no more."""
        for job in self._jobs.unrefreshed(outsiders, now):
            self._drop(job, DropCause.NOT_REPEATED, now)

    def _drop(self, job: Job, cause: DropCause, now: float) -> None:
        host = job.offer.host
        self._notes.add(Decision.JOB_DROPPED, job.id, "", host=host, cause=cause.value)
        self._end(job, now)

    def start_replied(self, order: StartRun, outcome: CallOutcome, now: float) -> None:
        """Take in what became of a start."""
        self._starts.replied(order, outcome, now)

    def stop_replied(self, order: StopRun, outcome: CallOutcome, now: float) -> None:
        """Take in what became of a stop."""
        self._fleet.stop_replied(order, outcome, now)

    def poll_replied(
        self, order: PollUpstream, result: PollReport | CallOutcome, now: float
    ) -> None:
        """Take in the reply to a look, or why there is none."""
        self._looks.replied(order, result, now)

    def flush(self, now: float) -> list[Effect]:
        """Give room to waiting tasks and return all that is to be done."""
        self._now = now
        if self.is_leader:
            all_read = self._replies.all_read(now)
            if all_read:
                self._starts.settle_overdue(now)
            self._placer.place_if_due(self._jobs.values(), now)
            if all_read:
                self._looks.count_overdue(now)
            self._looks.send_due(now)
        effects = self._effects[:]
        self._effects.clear()
        return effects

    @property
    def overdue_at(self) -> float | None:
        """Return when to flush at the latest, for a reply that is overdue then."""
        return self._starts.overdue_at if self.is_leader else None

    def tick(self, now: float) -> None:
        """Give up what can't be answered in time, and upstreams that are silent."""
        if not self.is_leader:
            return
        # A job that came since the last pass is judged by what it finds, not before.
        self._placer.place_if_due(self._jobs.values(), now)
        for job in list(self._jobs.values()):
            self._end_if_hopeless(job, now)
        self._refuse_unservable(now)
        for job in self._jobs.take_reported():
            if self._review_of.job(job, now) is Verdict.GIVE_UP:
                self._give_up(job, Decision.JOB_HOPELESS, now)
        self._placer.due = True
        self._found_done.forget_old(now)
        self._answers.forget_old(now)
        self._begun.forget_old(now)
        self._fleet.crashes.forget_old(now)
        self._fleet.tick(now)

    # What the fleet tells of runs.

    def job_of(self, task_name: str) -> Job | None:
        """Return the open job of a task."""
        return self._jobs.get(task_name.split(".", 1)[0])

    def run_ended(
        self, upstream: UpstreamId, ended: EndedRun, since: float | None, now: float
    ) -> None:
        """Take in the end of a run that took room on an upstream."""
        job = self.job_of(ended.run.task)
        task = job.by_name.get(ended.run.task) if job else None
        self._estimates.ended(job, task, upstream, ended.result, since, now)
        if task is None or not task.runs_as(ended.run, upstream):
            return
        if ended.result is RunResult.DONE:
            job.end_task(task)
            if job.complete:
                self._complete(job)
        else:
            self._run_again(job, task, ended.result, now)

    def found_done(self, task_name: str, now: float) -> None:
        """Keep that a task is done which an earlier leading host had started.

        Its end is taken note of with the next look, so nobody else would learn of it,
        and its job, which its host is about to offer, would do the work again.
        """
        job = self.job_of(task_name)
        if job is None:
            self._found_done.add(task_name, now + FOUND_KEPT_S)
        elif task_name in job.by_name:
            self._end_found(job, job.by_name[task_name])

    def _end_found(self, job: Job, task: Task) -> None:
        if task.state is not TaskState.WAITING:
            return
        job.end_task(task)
        if job.complete:
            self._complete(job)

    def run_reported(self, task_name: str) -> None:
        """Review the job with the next tick: its runs' progress says when it ends."""
        job = self.job_of(task_name)
        if job is not None:
            job.reported = True

    def boot_seen(self, upstream: UpstreamId, boot: int) -> None:
        """Take in which boot of an upstream answers."""
        self._estimates.boot_seen(upstream, boot)

    def run_lost(self, run: RunId, upstream: UpstreamId, now: float) -> None:
        """Let a task wait again whose run can't exist any more."""
        self._estimates.lost(upstream, now)
        job = self.job_of(run.task)
        task = job.by_name.get(run.task) if job else None
        if task is not None and task.runs_as(run, upstream):
            job.requeue(task)

    def start_invalid(self, task_name: str, now: float) -> None:
        """Fail the job of a task that no upstream takes."""
        job = self.job_of(task_name)
        if job is not None:
            self._fail(job, "task refused", now)

    def _run_again(self, job: Job, task: Task, ending: RunResult, now: float) -> None:
        job.requeue(task)
        if ending is not RunResult.FAILED:
            return
        task.failures += 1
        if task.failures >= job.request.route.max_attempts:
            self._fail(job, f"{task.name} failed {task.failures} times", now)

    def _fail(self, job: Job, reason: str, now: float) -> None:
        self._notes.failed(job, reason)
        self._answer(job, JobOutcome(JobEnd.FAILED, not job.started, reason=reason))
        self._end(job, now)

    def _complete(self, job: Job) -> None:
        self._estimates.learn_paces(job)
        self._answer(job, JobOutcome(JobEnd.COMPLETE, not_run=False))
        del self._jobs[job.id]

    def _answer(self, job: Job, outcome: JobOutcome) -> None:
        offer = job.offer
        answer = AnswerJob(offer.host, offer.call, offer.handovers, job.id, outcome)
        self._effects.append(answer)
        self._answers.add(answer, self._now)

    def _end(self, job: Job, now: float) -> None:
        """Forget a job and stop what runs of it."""
        del self._jobs[job.id]
        for task in job.placed():
            self._fleet.stop(task.name, now)

    def _end_if_hopeless(self, job: Job, now: float) -> None:
        if now >= job.offer.deadline:
            self._give_up(job, Decision.JOB_OUT_OF_TIME, now)
            return
        if crashing := self._fleet.crashes.reason_to_give_up(job.id, job.by_name):
            self._fail(job, crashing, now)
            return
        start = self._placer.earliest_start(job, now)
        if not job.started:
            if start > latest_start(job):
                self._refuse(job, now)
        elif job.placed() or self._placer.awaits_runs(job, now):
            return
        elif standing(job, start) is Standing.HOPELESS:
            self._give_up(job, Decision.JOB_HOPELESS, now)

    def _give_up(self, job: Job, decision: Decision, now: float) -> None:
        self._review_of.note_late(decision, job, now)
        if job.started:
            self._estimates.learn_given_up(job)
        reason = "it can't end within the caller's time"
        retry_s = 0.0 if job.started else self._retry_after_s()
        outcome = JobOutcome(JobEnd.OUT_OF_TIME, not job.started, retry_s, reason)
        self._answer(job, outcome)
        self._end(job, now)

    def _refuse_unservable(self, now: float) -> None:
        """Refuse what the work ahead of it makes too late, or pass it on at once."""
        jobs, capacities = self._jobs.values(), self._fleet.capacities
        for beyond in self._admission.review(jobs, capacities, now):
            goes = may_go(beyond.job, now, longest_s=0.0)
            if not (goes and self._redirector.send(beyond.job, now)):
                self._refuse(beyond.job, now, beyond.ahead_s)

    def _refuse(self, job: Job, now: float, ahead_s: float = 0.0) -> None:
        self._notes.refused(job, len(self._jobs), ahead_s, now)
        reason = "it could not end within the caller's time"
        self._answer(
            job, JobOutcome(JobEnd.REFUSED, True, self._retry_after_s(), reason)
        )
        self._end(job, now)

    def _retry_after_s(self) -> float:
        return retry_after_s(self._jobs.values(), self._fleet.cpu_millis)
