"""Collection of decisions and their reasons for the log."""

import math
from collections.abc import Mapping

from jackdawspur.runs._effects import (
    Decision,
    DecisionRecord,
    Effect,
    InitialTasksStarted,
    JobEvent,
    JobLost,
    JobNoted,
    LossCause,
)
from jackdawspur.runs._job import Job, Task
from jackdawspur.runs._order import latest_start, objective, useful_until
from jackdawspur.runs._reported_loads import GroupChoice

__all__ = ["DecisionLog"]

MS_PER_S = 1000.0


class DecisionLog:
    """Add records of decisions to the effects of a pass."""

    def __init__(self, effects: list[Effect]) -> None:
        self._effects = effects

    def add(
        self, decision: Decision, job: str, upstream: str, **inputs: str | int | float
    ) -> None:
        """Record one decision and its inputs."""
        record = DecisionRecord(decision, job, upstream, tuple(inputs.items()))
        self._effects.append(record)

    def job_lost(
        self, decision: Decision, job: Job, lost: JobLost, tasks: str, now: float
    ) -> None:
        """Record a job that was dropped by its caller or would end too late.

        `tasks` describes its tasks that end last.
        """
        self._effects.append(lost)
        self.add(
            decision,
            job.id,
            "",
            host=job.offer.host,
            cause=lost.cause.value,
            reached_ms=_ms(job.offered_at - job.offer.arrived),
            waited_ms=_ms(now - job.offer.arrived),
            left_ms=_ms(job.offer.deadline - now),
            useful_ms=_ms(useful_until(job) - now),
            expected_ms=round(max(job.expected_ms)),
            **_known_timings(lost),
            tasks=tasks,
        )

    def refused(
        self,
        job: Job,
        jobs: int,
        ahead_s: float,
        now: float,
        shedding: Mapping[str, int | float],
        by_cost: bool = False,
    ) -> None:
        """Record a refusal, the number of open jobs and the work ahead of the job.

        `shedding` contains what load shedding is based on, and `by_cost` tells whether
        it is the cause.
        """
        cause = LossCause.REFUSED_BY_COST if by_cost else _refusal_cause(job, ahead_s)
        waited_ms = (now - job.offer.arrived) * MS_PER_S
        self._record_loss(job, cause, waited_ms)
        self.add(
            Decision.JOB_REFUSED,
            job.id,
            "",
            cause=cause.value,
            reached_ms=_ms(job.offered_at - job.offer.arrived),
            waited_ms=_ms(now - job.offer.arrived),
            left_ms=_ms(job.offer.deadline - now),
            useful_ms=_ms(useful_until(job) - now),
            needs_ms=round(job.remaining_ms()),
            ahead_ms=_ms(ahead_s),
            jobs=jobs,
            **shedding,
        )

    def failed(self, job: Job, reason: str) -> None:
        """Record the failure of a job."""
        self._record_loss(job, LossCause.FAILED)
        self.add(Decision.JOB_FAILED, job.id, "", reason=reason)

    def started(self, job: Job, task: Task, now: float) -> None:
        """Report the start of a job's last initial task, whatever becomes of its run.

        Jobs that were handed over are left out: they may have started under another
        leader.
        """
        last = (
            not job.unstarted_initial_tasks
            and task.first_started_at == now
            and not task.spec.after
        )
        if last and not job.offer.handovers:
            waited_ms = (now - job.offer.arrived) * MS_PER_S
            self._effects.append(
                InitialTasksStarted(job.id, job.request.route.name, waited_ms)
            )

    def completed(self, job: Job, now: float) -> None:
        """Report a complete job if it is late by its objective."""
        if now > objective(job):
            self._note(JobEvent.LATE, job)

    def _record_loss(
        self, job: Job, cause: LossCause, refused_after_ms: float | None = None
    ) -> None:
        route = job.request.route
        self._effects.append(
            JobLost(
                job.id,
                route.name,
                cause,
                not_begun=job.unstarted_initial_tasks,
                priority=route.priority,
                refused_after_ms=refused_after_ms,
            )
        )

    def _note(self, event: JobEvent, job: Job) -> None:
        route = job.request.route
        self._effects.append(JobNoted(event, route.name, route.priority))

    def redirected(
        self,
        job: Job,
        leader: str,
        choice: GroupChoice | None,
        wait_here_s: float,
        now: float,
    ) -> None:
        """Record that a job is redirected to another group.

        `choice` contains the inputs of a choice by the expected wait; it is None if the
        group offered free capacity for all tasks.
        """
        self._note(JobEvent.REDIRECTED, job)
        self.add(
            Decision.JOB_PASSED_ON,
            job.id,
            "",
            leader=leader,
            waited_ms=_ms(now - job.offer.arrived),
            priority=job.request.route.priority,
            wait_here_ms=_ms(wait_here_s),
            reason="free capacity" if choice is None else "expected wait",
            **(_choice_inputs(choice) if choice else {}),
        )


def _ms(seconds: float) -> int:
    return round(seconds * MS_PER_S)


def _known_timings(lost: JobLost) -> dict[str, int]:
    """Return the known start times of a lost job and its longest task's time."""
    timings = {
        "first_start_ms": lost.first_start_ms,
        "last_start_ms": lost.last_start_ms,
        "not_begun": lost.not_begun,
        "longest_ms": lost.longest_ms,
        "told_ms": lost.told_ms,
    }
    return {name: ms for name, ms in timings.items() if ms is not None}


def _choice_inputs(choice: GroupChoice) -> dict[str, int | bool]:
    """Return the inputs of a choice by the expected wait."""
    return {
        "refused_here": math.isinf(choice.wait_here_s),
        "wait_there_ms": _ms(choice.wait_there_s),
        "report_age_ms": _ms(choice.age_s),
        "spare": round(choice.spare),
    }


def _refusal_cause(job: Job, ahead_s: float) -> LossCause:
    """Return why a job without started tasks is refused."""
    if ahead_s > 0.0:
        return LossCause.REFUSED_FOR_OTHERS
    if job.offer.arrived > latest_start(job):
        return LossCause.REFUSED_TOO_LONG
    return LossCause.REFUSED_WAITED
