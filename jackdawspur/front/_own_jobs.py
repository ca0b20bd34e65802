"""The jobs whose callers wait on this host."""

from dataclasses import dataclass, field

from jackdawspur.front._limits import WaitLimit
from jackdawspur.group import Term
from jackdawspur.leases import Fence
from jackdawspur.runs import (
    JobEnd,
    JobOutcome,
    JobRequest,
    Progress,
    TaskFailureCounts,
)

__all__ = ["OwnJob", "OwnJobs"]

# A caller refused for want of a leading host may find one after this.
RETRY_AFTER_S = 1.0
# Answers to most jobs come sooner; repeating an offer costs a message and nothing else.
OFFER_AGAIN_S = 0.4


@dataclass(eq=False, slots=True)
class OwnJob:
    """Keep one waiting caller; times in seconds of this host's clock.

    `attempt` counts the offers of its job, to whomever.
    `far` is the term of another group that has the job since `far_since`: one that it
    was passed on to, or that this host belonged to when it offered the job.
    `all_zones` tells that some term that had the job covered all zones, and
    `earlier_all_zones` that one before the present one did. `highest` is the highest
    fence of them, and `outranked` tells that one before the present one had a higher.
    """

    call: int
    request: JobRequest
    arrived: float
    deadline: float
    limit: WaitLimit
    handovers: int = 0
    offered_to: Term | None = None
    offered_at: float = 0.0
    done: set[str] = field(default_factory=set)
    troubles: dict[str, TaskFailureCounts] = field(default_factory=dict)
    attempt: int = 0
    far: Term | None = None
    far_since: float = 0.0
    all_zones: bool = False
    earlier_all_zones: bool = False
    highest: Fence = 0
    outranked: bool = False

    @property
    def progress(self) -> Progress:
        """Return what the leading host must know of the job's tasks."""
        return Progress(tuple(self.done), tuple(self.troubles.values()))

    @property
    def passed_on(self) -> bool:
        """Tell whether the own group passed the job on to another."""
        return self.far is not None and self.far != self.offered_to


class OwnJobs:
    """Keep the waiting callers by call and by job."""

    def __init__(self) -> None:
        self._by_call: dict[int, OwnJob] = {}

    def __len__(self) -> int:
        return len(self._by_call)

    def all(self) -> tuple[OwnJob, ...]:
        """Return the jobs of all waiting callers."""
        return tuple(self._by_call.values())

    def add(self, job: OwnJob) -> None:
        """Keep a caller that waits."""
        self._by_call[job.call] = job

    def end_by(self, deadline: float) -> None:
        """Let no caller wait longer than this."""
        for job in self._by_call.values():
            job.deadline = min(job.deadline, deadline)

    def take(self, call: int) -> OwnJob | None:
        """Forget a caller and return its job."""
        return self._by_call.pop(call, None)

    def find(self, call: int, job_id: str) -> OwnJob | None:
        """Return the job of a call, if it still is that job."""
        job = self._by_call.get(call)
        return job if job is not None and job.request.id == job_id else None

    def by_job(self, job_id: str) -> OwnJob | None:
        """Return a waiting caller's job by its id."""
        for job in self._by_call.values():
            if job.request.id == job_id:
                return job
        return None

    def to_offer(self, term: Term, now: float) -> list[OwnJob]:
        """Return the jobs that the leading host of a term may not have.

        An offer or its answer is lost with a connection that went silent, so what has
        no answer is offered again.
        """
        return [
            job
            for job in self._by_call.values()
            if job.far is None
            and (job.offered_to != term or now - job.offered_at > OFFER_AGAIN_S)
        ]

    def note_reach(self, term: Term) -> None:
        """Keep which jobs upstreams of all zones may run."""
        for job in self._by_call.values():
            if job.offered_to == term and not term.by_zone:
                job.all_zones = True

    def left_behind(self, term: Term | None) -> list[OwnJob]:
        """Return the jobs that were offered to another term than the present one."""
        return [
            job
            for job in self._by_call.values()
            if job.far is None and job.offered_to not in (None, term)
        ]

    def far_jobs(self) -> list[OwnJob]:
        """Return the jobs that other groups have."""
        return [job for job in self._by_call.values() if job.far is not None]

    def note_progress(self, job_id: str, progress: Progress) -> None:
        """Keep what the next leading host must know of a job's tasks."""
        job = self.by_job(job_id)
        if job is not None:
            job.done.update(progress.done)
            job.troubles.update({one.task: one for one in progress.troubles})

    def given_up(
        self, leaderless: bool, patience_s: float, now: float
    ) -> list[tuple[OwnJob, JobOutcome]]:
        """Return the jobs that end here, with their outcome.

        Without a leading host a new job waits for one no longer than `patience_s`.
        """
        ended = []
        for job in self._by_call.values():
            tired = leaderless and now - job.arrived >= patience_s
            outcome = _outcome(job, tired, now)
            if outcome is not None:
                ended.append((job, outcome))
        return ended


def _outcome(job: OwnJob, tired: bool, now: float) -> JobOutcome | None:
    """Return the end of a job that no leading host answered in time.

    A job that was handed to a host may have run there, so only one that never was is
    refused as not run.
    """
    never_offered = job.offered_to is None and not job.handovers
    if now >= job.deadline:
        if never_offered:
            return JobOutcome(JobEnd.REFUSED, True, RETRY_AFTER_S, "no leading host")
        return JobOutcome(JobEnd.OUT_OF_TIME, False, 0.0, "the caller's time is over")
    if tired and never_offered:
        return JobOutcome(JobEnd.REFUSED, True, RETRY_AFTER_S, "no leading host")
    return None
