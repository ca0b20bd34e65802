"""What must hold of every job, whatever fails around it."""

from dataclasses import dataclass, field

from jackdawspur.soak._deployment import Answer
from jackdawspur.standins import PlatformReport

__all__ = ["Findings", "Sent", "check"]

# Statuses that say "not run".
NOT_RUN = (429, 503)
# Statuses that leave open whether anything ran.
OUT_OF_TIME = (502, 504)


@dataclass(frozen=True, slots=True)
class Sent:
    """Keep one job that was sent, and what its caller got.

    `host_killed` tells whether its host was killed while the caller waited, `unread`
    whether no line of the host names the job: a connection that the kernel took for a
    process that was ending ends unread, and its caller may ask elsewhere.
    """

    job: str
    tasks: int
    fails: bool
    answer: Answer
    host_killed: bool
    unread: bool = False

    def task_names(self) -> list[str]:
        """Return the names under which workers know the job's tasks."""
        return [f"{self.job}.0.0.{index}" for index in range(self.tasks)]


@dataclass(slots=True)
class Findings:
    """Count how jobs ended, and list what must not be."""

    complete: int = 0
    failed: int = 0
    refused: int = 0
    out_of_time: int = 0
    broken: int = 0
    nobody_there: int = 0
    wrong: list[str] = field(default_factory=list)


def check(sent: list[Sent], report: PlatformReport) -> Findings:
    """Compare what callers got with what workers ran."""
    findings = Findings()
    if report.two_at_once:
        findings.wrong.append(f"two_at_once: {report.two_at_once}, {report.twice}")
    if report.over_capacity:
        findings.wrong.append(f"over_capacity: {report.over_capacity}")
    started, done = set(report.started), set(report.done)
    for one in sent:
        _check_one(one, started, done, findings)
    return findings


def _check_one(
    one: Sent, started: set[str], done: set[str], findings: Findings
) -> None:
    status = one.answer.status
    if status == 200:
        _check_ended(one, done, findings)
    elif status in NOT_RUN:
        _check_refused(one, started, findings)
    elif status in OUT_OF_TIME:
        findings.out_of_time += 1
    elif one.answer.nobody_there or one.unread:
        findings.nobody_there += 1
    elif status == 0 and one.host_killed:
        findings.broken += 1
    else:
        findings.wrong.append(f"{one.job}: status {status}, {one.answer.body}")


def _check_ended(one: Sent, done: set[str], findings: Findings) -> None:
    if one.answer.body.get("state") == "completed":
        findings.complete += 1
        if not done.issuperset(one.task_names()):
            findings.wrong.append(f"{one.job}: complete, but not all tasks are done")
        return
    findings.failed += 1
    if not one.fails:
        findings.wrong.append(f"{one.job}: failed, but none of its tasks did")


def _check_refused(one: Sent, started: set[str], findings: Findings) -> None:
    findings.refused += 1
    if not started.isdisjoint(one.task_names()):
        findings.wrong.append(f"{one.job}: refused as not run, but it started")
    if one.answer.retry_after is None:
        findings.wrong.append(f"{one.job}: refused without Retry-After")
