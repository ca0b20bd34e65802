"""Attribution of upstream crashes to tasks."""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field

from jackdawspur.model import UpstreamId
from jackdawspur.runs._types import TaskFailureCounts

__all__ = ["MAX_CRASHES", "Crashes"]

# A job fails when this many upstreams crashed under one of its tasks, or under several
# of its tasks together: a healthy job may lose two upstreams by chance.
MAX_CRASHES = 2
MAX_CRASHES_PER_JOB = 3
# If this many upstreams are lost within this time, a rack or a zone probably failed. A
# task caused that only if one job had tasks on each of the upstreams.
MASS_LOSS_COUNT = 3
MASS_LOSS_S = 1.0
# Callers retry a failed job within seconds.
LOSS_TTL_S = 60.0
MAX_ENTRIES = 512


@dataclass(eq=False, slots=True)
class _Loss:
    """A lost incarnation and its tasks; `crashed` once another one is seen."""

    number: int
    upstream: UpstreamId
    at: float
    tasks: frozenset[str]
    jobs: frozenset[str]
    crashed: bool = False
    # This loss and those within MASS_LOSS_S of it.
    concurrent: list["_Loss"] = field(default_factory=list)


class Crashes:
    """Track lost upstreams, and attribute crashes to tasks.

    That an upstream is unresponsive does not prove a crash: it may be partitioned or
    paused. Only another incarnation in its place proves one.
    """

    def __init__(self) -> None:
        self._losses: dict[int, _Loss] = {}
        self._by_task: dict[str, list[_Loss]] = {}
        self._by_job: dict[str, list[_Loss]] = {}
        # Losses by upstream of which it is not yet known whether they are crashes.
        self._unresolved: dict[UpstreamId, _Loss] = {}
        self._numbers = itertools.count()
        # Crashes that earlier leaders counted in addition to this one.
        self._reported: dict[str, int] = {}

    def record_loss(
        self, upstream: UpstreamId, tasks: Iterable[str], now: float
    ) -> None:
        """Record that an upstream was unresponsive for longer than its leases."""
        known = self._unresolved.get(upstream)
        at, known_tasks = now, frozenset()
        if known is not None:
            at, known_tasks = known.at, known.tasks
            self._forget(known)
        all_tasks = known_tasks | frozenset(tasks)
        jobs = frozenset(map(_job_of, all_tasks))
        loss = _Loss(next(self._numbers), upstream, at, all_tasks, jobs)
        self._unresolved[upstream] = loss
        self._add_loss(loss)

    def may_have_crashed(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream was lost and may have crashed."""
        return upstream in self._unresolved

    def record_reply(self, upstream: UpstreamId) -> None:
        """Record that the same incarnation replies again, so that it did not crash."""
        loss = self._unresolved.get(upstream)
        if loss is not None:
            self._forget(loss)

    def record_crash(
        self, upstream: UpstreamId, tasks: Iterable[str], now: float
    ) -> None:
        """Record that another incarnation has replaced an upstream."""
        self.record_loss(upstream, tasks, now)
        self._unresolved.pop(upstream).crashed = True

    def record_reported(self, all_failure_counts: Iterable[TaskFailureCounts]) -> None:
        """Record reported crashes of tasks, which include those counted here."""
        for failure_counts in all_failure_counts:
            others = failure_counts.crashes - self._count_local(failure_counts.task)
            if others > self._reported.get(failure_counts.task, 0):
                self._reported[failure_counts.task] = others

    def count(self, task: str) -> int:
        """Return how many upstream crashes are attributed to a task."""
        return self._count_local(task) + self._reported.get(task, 0)

    def _count_local(self, task: str) -> int:
        return sum(loss.crashed for loss in self._attributed_to(task))

    def reason_to_give_up(self, job: str, tasks: Iterable[str]) -> str | None:
        """Return why a job with these tasks must be given up, None if it need not."""
        if job not in self._by_job and not self._reported:
            return None
        suspects = [task for task in tasks if self.is_suspect(task)]
        if not suspects:
            return None
        worst = max(suspects, key=self.count)
        if self.count(worst) >= MAX_CRASHES:
            return f"{self.count(worst)} upstreams crashed under {worst}"
        crashed = sum(loss.crashed for loss in self._attributed_to_job(job))
        if crashed >= MAX_CRASHES_PER_JOB:
            return f"{crashed} upstreams crashed under tasks of the job"
        return None

    def is_suspect(self, task: str) -> bool:
        """Return whether an upstream was lost under a task."""
        return task in self._by_task or task in self._reported

    def must_wait(self, task: str) -> bool:
        """Return whether a task must wait until the cause of its losses is known.

        If the task crashes upstreams, another start would cost the next one.
        """
        if not self.is_suspect(task):
            return False
        lost = len(self._attributed_to(task)) + self._reported.get(task, 0)
        if lost >= MAX_CRASHES:
            return True
        return len(self._attributed_to_job(_job_of(task))) >= MAX_CRASHES_PER_JOB

    def must_run_alone(self, task: str) -> bool:
        """Return whether only one suspect task of the task's job may run at a time.

        The loss of one upstream does not show which task caused it, so all of its tasks
        start again at once.
        """
        return len(self._attributed_to_job(_job_of(task))) >= MAX_CRASHES

    def forget_old(self, now: float) -> None:
        """Remove old losses, and the oldest losses and reports beyond MAX_ENTRIES."""
        while self._losses:
            loss = next(iter(self._losses.values()))
            if now - loss.at < LOSS_TTL_S and len(self._losses) <= MAX_ENTRIES:
                break
            self._forget(loss)
        while len(self._reported) > MAX_ENTRIES:
            del self._reported[next(iter(self._reported))]

    def _add_loss(self, loss: _Loss) -> None:
        self._losses[loss.number] = loss
        loss.concurrent += [
            other
            for other in self._losses.values()
            if abs(other.at - loss.at) <= MASS_LOSS_S
        ]
        for other in loss.concurrent:
            if other is not loss:
                other.concurrent.append(loss)
        for index, names in ((self._by_task, loss.tasks), (self._by_job, loss.jobs)):
            for name in names:
                index.setdefault(name, []).append(loss)

    def _forget(self, loss: _Loss) -> None:
        del self._losses[loss.number]
        if self._unresolved.get(loss.upstream) is loss:
            del self._unresolved[loss.upstream]
        for other in loss.concurrent:
            if other is not loss:
                other.concurrent.remove(loss)
        for index, names in ((self._by_task, loss.tasks), (self._by_job, loss.jobs)):
            for name in names:
                index[name].remove(loss)
                if not index[name]:
                    del index[name]

    def _attributed_to(self, task: str) -> list[_Loss]:
        """Return the losses that a task may have caused."""
        job = _job_of(task)
        losses = self._by_task.get(task, ())
        return [loss for loss in losses if _may_be_fault_of(job, loss)]

    def _attributed_to_job(self, job: str) -> list[_Loss]:
        """Return the losses that any task of a job may have caused."""
        losses = self._by_job.get(job, ())
        return [loss for loss in losses if _may_be_fault_of(job, loss)]


def _may_be_fault_of(job: str, loss: _Loss) -> bool:
    """Return whether a job may have caused a loss, unlike that of a rack or zone."""
    if len(loss.concurrent) < MASS_LOSS_COUNT:
        return True
    return all(job in other.jobs for other in loss.concurrent)


def _job_of(task: str) -> str:
    return task.split(".", 1)[0]
