"""The jobs whose callers wait on this host."""

from dataclasses import asdict, dataclass, field

from jackdawspur.front._limits import WaitLimit
from jackdawspur.group import Term
from jackdawspur.leases import Fence
from jackdawspur.runs import (
    JobEnd,
    JobOutcome,
    JobRequest,
    JobSizes,
    Progress,
    TaskFailureCounts,
    job_size,
)

__all__ = ["OwnJob", "OwnJobs", "end_fields"]

# A caller that is refused because there is no leader may retry after this time.
RETRY_AFTER_S = 1.0
# An offer without an answer is repeated after this time. Most jobs are answered sooner,
# and a repeated offer costs only one message.
OFFER_RETRY_S = 0.4


@dataclass(eq=False, slots=True)
class OwnJob:
    """A job whose caller waits on this host; times in seconds of this host's clock.

    The time limit counts from `arrived`, before which the request can't have arrived,
    and the wait for a leader from `received_at`, when it was read.
    `attempt` counts the offers of the job to any leader.
    `remote_term` is the term of another group that has had the job since
    `remote_since`: the job was redirected to it, or this host belonged to that group
    when it offered the job.
    `all_zones` is true if any term that had the job covered all zones, and
    `earlier_all_zones` if one before the current term did. `highest_fence` is the
    highest fence of these terms, and `outranked` is true if a term before the current
    one had a higher fence.
    """

    call: int
    request: JobRequest
    arrived: float
    received_at: float
    deadline: float
    limit: WaitLimit
    handovers: int = 0
    offered_to: Term | None = None
    offered_at: float = 0.0
    done: set[str] = field(default_factory=set)
    troubles: dict[str, TaskFailureCounts] = field(default_factory=dict)
    attempt: int = 0
    remote_term: Term | None = None
    remote_since: float = 0.0
    all_zones: bool = False
    earlier_all_zones: bool = False
    highest_fence: Fence = 0
    outranked: bool = False

    @property
    def progress(self) -> Progress:
        """Return what the leader must know of the job's tasks."""
        return Progress(tuple(self.done), tuple(self.troubles.values()))

    @property
    def is_redirected(self) -> bool:
        """Return whether this group redirected the job to another one."""
        return self.remote_term is not None and self.remote_term != self.offered_to


class OwnJobs:
    """The jobs of the callers that wait on this host."""

    def __init__(self) -> None:
        self._by_call: dict[int, OwnJob] = {}
        self.sizes = JobSizes()

    def __len__(self) -> int:
        return len(self._by_call)

    def all(self) -> tuple[OwnJob, ...]:
        """Return the jobs of all waiting callers."""
        return tuple(self._by_call.values())

    def add(self, job: OwnJob, now: float) -> None:
        """Add the job of a waiting caller."""
        self._by_call[job.call] = job
        self.sizes.add(job.call, job_size(job.request), now)

    def limit_deadlines(self, deadline: float) -> None:
        """Limit all deadlines to this time."""
        for job in self._by_call.values():
            job.deadline = min(job.deadline, deadline)

    def pop(self, call: int) -> OwnJob | None:
        """Remove and return the job of a call, None if there is none."""
        self.sizes.remove(call)
        return self._by_call.pop(call, None)

    def find(self, call: int, job_id: str) -> OwnJob | None:
        """Return the job of a call if its id matches, else None."""
        job = self._by_call.get(call)
        return job if job is not None and job.request.id == job_id else None

    def find_by_id(self, job_id: str) -> OwnJob | None:
        """Return a job by its id, None if there is none."""
        for job in self._by_call.values():
            if job.request.id == job_id:
                return job
        return None

    def jobs_to_offer(self, term: Term, now: float) -> list[OwnJob]:
        """Return the jobs to offer to the leader of a term.

        These are jobs that were not offered to it, and jobs without an answer: an offer
        or its answer may be lost with a connection that stopped delivering messages.
        """
        return [
            job
            for job in self._by_call.values()
            if job.remote_term is None
            and (job.offered_to != term or now - job.offered_at > OFFER_RETRY_S)
        ]

    def record_zone_coverage(self, term: Term) -> None:
        """Record for the jobs of a term whether it covers all zones."""
        for job in self._by_call.values():
            if job.offered_to == term and not term.by_zone:
                job.all_zones = True

    def offered_to_other_terms(self, term: Term | None) -> list[OwnJob]:
        """Return the jobs that were last offered to another term of this group."""
        return [
            job
            for job in self._by_call.values()
            if job.remote_term is None and job.offered_to not in (None, term)
        ]

    def remote_jobs(self) -> list[OwnJob]:
        """Return the jobs that other groups have."""
        return [job for job in self._by_call.values() if job.remote_term is not None]

    def record_progress(self, job_id: str, progress: Progress) -> None:
        """Record what the next leader must know of a job's tasks."""
        job = self.find_by_id(job_id)
        if job is not None:
            job.done.update(progress.done)
            job.troubles.update({counts.task: counts for counts in progress.troubles})

    def ended_jobs(
        self, leaderless: bool, max_wait_s: float, now: float
    ) -> list[tuple[OwnJob, JobOutcome]]:
        """Return the jobs that end without an answer of a leader, and their outcomes.

        Without a leader a new job waits for one for at most `max_wait_s`.
        """
        ended = []
        for job in self._by_call.values():
            gave_up_waiting = leaderless and now - job.received_at >= max_wait_s
            outcome = _outcome(job, gave_up_waiting, now)
            if outcome is not None:
                ended.append((job, outcome))
        return ended


def end_fields(job: OwnJob, outcome: JobOutcome) -> dict[str, object]:
    """Return the log fields of a job that ended, and of the leader that had it."""
    term = job.remote_term or job.offered_to
    return {
        "job": job.request.id,
        "route": job.request.route.name,
        "priority": job.request.route.priority,
        "end": outcome.end.value,
        "not_run": outcome.not_run,
        "hand_overs": job.handovers,
        "reason": outcome.reason,
        "leader": term.leader if term else "",
        **(asdict(outcome.timing) if outcome.timing else {}),
        **job.limit.log_fields(),
    }


def _outcome(job: OwnJob, gave_up_waiting: bool, now: float) -> JobOutcome | None:
    """Return the outcome of a job that no leader answered in time, else None.

    Only a job that was never offered is refused as not run: an offered one may have
    run.
    """
    never_offered = job.offered_to is None and not job.handovers
    if now >= job.deadline:
        if never_offered:
            return JobOutcome(JobEnd.REFUSED, True, RETRY_AFTER_S, "no leading host")
        return JobOutcome(JobEnd.OUT_OF_TIME, False, 0.0, "the caller's time is over")
    if gave_up_waiting and never_offered:
        return JobOutcome(JobEnd.REFUSED, True, RETRY_AFTER_S, "no leading host")
    return None
