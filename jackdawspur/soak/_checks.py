"""Invariants that hold for every job, whatever fails around it."""

from dataclasses import dataclass, field

from jackdawspur.soak._deployment import Answer
from jackdawspur.standins import PlatformReport

__all__ = ["Findings", "SentJob", "check"]

# Statuses which promise that no task of the job ran.
NOT_RUN_STATUSES = (429, 503)
# Statuses which leave open whether any task ran.
UNKNOWN_OUTCOME_STATUSES = (502, 504)


@dataclass(frozen=True, slots=True)
class SentJob:
    """A job that was sent, and the answer that its caller got.

    `host_killed` is set if the host was killed while the caller waited. `not_logged`
    is set if the host's log does not mention the job: the kernel may accept a
    connection for a process that is exiting, which then closes it unread. The caller
    may retry at another host.
    """

    job_id: str
    tasks: int
    fails: bool
    answer: Answer
    host_killed: bool
    not_logged: bool = False

    def task_names(self) -> list[str]:
        """Return the names of the job's tasks as workers report them."""
        return [f"{self.job_id}.0.0.{index}" for index in range(self.tasks)]


@dataclass(slots=True)
class Findings:
    """Count the outcomes of jobs and list violated invariants in `wrong`.

    `broken` counts connections that broke because their host was killed, and
    `nobody_there` those that were refused or that the host never read.
    """

    complete: int = 0
    failed: int = 0
    refused: int = 0
    out_of_time: int = 0
    broken: int = 0
    nobody_there: int = 0
    wrong: list[str] = field(default_factory=list)


def check(sent: list[SentJob], report: PlatformReport) -> Findings:
    """Compare the answers of callers with the tasks that workers ran."""
    findings = Findings()
    if report.two_at_once:
        findings.wrong.append(f"two_at_once: {report.two_at_once}, {report.twice}")
    if report.over_capacity:
        findings.wrong.append(f"over_capacity: {report.over_capacity}")
    started, done = set(report.started), set(report.done)
    for job in sent:
        _check_job(job, started, done, findings)
    return findings


def _check_job(
    job: SentJob, started: set[str], done: set[str], findings: Findings
) -> None:
    status = job.answer.status
    if status == 200:
        _check_ended(job, done, findings)
    elif status in NOT_RUN_STATUSES:
        _check_refused(job, started, findings)
    elif status in UNKNOWN_OUTCOME_STATUSES:
        findings.out_of_time += 1
    elif job.answer.nobody_there or job.not_logged:
        findings.nobody_there += 1
    elif status == 0 and job.host_killed:
        findings.broken += 1
    else:
        findings.wrong.append(f"{job.job_id}: status {status}, {job.answer.body}")


def _check_ended(job: SentJob, done: set[str], findings: Findings) -> None:
    if job.answer.body.get("state") == "completed":
        findings.complete += 1
        if not done.issuperset(job.task_names()):
            findings.wrong.append(f"{job.job_id}: complete, but not all tasks are done")
        return
    findings.failed += 1
    if not job.fails:
        findings.wrong.append(f"{job.job_id}: failed, but none of its tasks did")


def _check_refused(job: SentJob, started: set[str], findings: Findings) -> None:
    findings.refused += 1
    if not started.isdisjoint(job.task_names()):
        findings.wrong.append(f"{job.job_id}: refused as not run, but it started")
    if job.answer.retry_after is None:
        findings.wrong.append(f"{job.job_id}: refused without Retry-After")
