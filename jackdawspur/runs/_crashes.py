"""Tasks that upstreams crashed under."""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field

from jackdawspur.model import UpstreamId
from jackdawspur.runs._types import TaskFailureCounts

__all__ = ["MAX_CRASHES", "Crashes"]

# A job is given up when so many upstreams crashed under one of its tasks, or under
# several of them together: a healthy job may lose two upstreams by chance.
MAX_CRASHES = 2
MAX_CRASHES_PER_JOB = 3
# So many upstreams lost within this time are a rack or a zone. That is the fault of a
# task only if one job had tasks on each of them.
MASS_LOSS_COUNT = 3
MASS_LOSS_S = 1.0
# Callers ask again for a job that failed within seconds.
LOSS_TTL_S = 60.0
MAX_LOSSES = 512


@dataclass(eq=False, slots=True)
class _Loss:
    """Keep one lost boot and what ran there; `crashed` once another boot is seen."""

    number: int
    upstream: UpstreamId
    at: float
    tasks: frozenset[str]
    jobs: frozenset[str]
    crashed: bool = False
    # Itself and the others of about the same time.
    near: list["_Loss"] = field(default_factory=list)


class Crashes:
    """Keep which upstreams were lost, and say which tasks are to blame.

    That an upstream is silent proves no crash: it may be cut off or stand still. What
    proves it is another boot in its place.
    """

    def __init__(self) -> None:
        self._losses: dict[int, _Loss] = {}
        self._by_task: dict[str, list[_Loss]] = {}
        self._by_job: dict[str, list[_Loss]] = {}
        # By upstream, what may yet turn out to be a crash or none.
        self._unresolved: dict[UpstreamId, _Loss] = {}
        self._numbers = itertools.count()
        # What earlier leading hosts counted beside this one.
        self._reported: dict[str, int] = {}

    def lost(self, upstream: UpstreamId, tasks: Iterable[str], now: float) -> None:
        """Take in that an upstream fell silent for longer than its leases."""
        known = self._unresolved.get(upstream)
        at, known_tasks = now, frozenset()
        if known is not None:
            at, known_tasks = known.at, known.tasks
            self._forget(known)
        all_tasks = known_tasks | frozenset(tasks)
        jobs = frozenset(map(_job_of, all_tasks))
        loss = _Loss(next(self._numbers), upstream, at, all_tasks, jobs)
        self._unresolved[upstream] = loss
        self._keep(loss)

    def may_have_crashed(self, upstream: UpstreamId) -> bool:
        """Tell whether an upstream was lost, and it is not known whether it crashed."""
        return upstream in self._unresolved

    def answered(self, upstream: UpstreamId) -> None:
        """Take in that the same boot answers again: it did not crash."""
        loss = self._unresolved.get(upstream)
        if loss is not None:
            self._forget(loss)

    def crashed(self, upstream: UpstreamId, tasks: Iterable[str], now: float) -> None:
        """Take in that another boot is in the place of an upstream."""
        self.lost(upstream, tasks, now)
        self._unresolved.pop(upstream).crashed = True

    def record_reported(self, troubles: Iterable[TaskFailureCounts]) -> None:
        """Take in how many crashes are blamed on tasks, those counted here included."""
        for trouble in troubles:
            others = trouble.crashes - self._count_local(trouble.task)
            if others > self._reported.get(trouble.task, 0):
                self._reported[trouble.task] = others

    def count(self, task: str) -> int:
        """Return how many upstreams crashed under a task by its fault."""
        return self._count_local(task) + self._reported.get(task, 0)

    def _count_local(self, task: str) -> int:
        return sum(loss.crashed for loss in self._attributed_to(task))

    def reason_to_give_up(self, job: str, tasks: Iterable[str]) -> str | None:
        """Return why a job of these tasks is to be given up, None if it is not."""
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
        """Tell whether an upstream was lost under a task."""
        return task in self._by_task or task in self._reported

    def must_wait(self, task: str) -> bool:
        """Tell whether a task may not start until it is known what was lost under it.

        Another start of one that crashes upstreams would cost the next one.
        """
        if not self.is_suspect(task):
            return False
        lost = len(self._attributed_to(task)) + self._reported.get(task, 0)
        if lost >= MAX_CRASHES:
            return True
        return len(self._attributed_to_job(_job_of(task))) >= MAX_CRASHES_PER_JOB

    def runs_alone(self, task: str) -> bool:
        """Tell whether of a task's job one suspect may run at a time.

        The loss of one upstream says little: all that ran there starts again at once.
        """
        return len(self._attributed_to_job(_job_of(task))) >= MAX_CRASHES

    def forget_old(self, now: float) -> None:
        """Forget what is too old to matter."""
        while self._losses:
            loss = next(iter(self._losses.values()))
            if now - loss.at < LOSS_TTL_S and len(self._losses) <= MAX_LOSSES:
                break
            self._forget(loss)
        while len(self._reported) > MAX_LOSSES:
            del self._reported[next(iter(self._reported))]

    def _keep(self, loss: _Loss) -> None:
        self._losses[loss.number] = loss
        loss.near += [
            other
            for other in self._losses.values()
            if abs(other.at - loss.at) <= MASS_LOSS_S
        ]
        for other in loss.near:
            if other is not loss:
                other.near.append(loss)
        for index, names in ((self._by_task, loss.tasks), (self._by_job, loss.jobs)):
            for name in names:
                index.setdefault(name, []).append(loss)

    def _forget(self, loss: _Loss) -> None:
        del self._losses[loss.number]
        if self._unresolved.get(loss.upstream) is loss:
            del self._unresolved[loss.upstream]
        for other in loss.near:
            if other is not loss:
                other.near.remove(loss)
        for index, names in ((self._by_task, loss.tasks), (self._by_job, loss.jobs)):
            for name in names:
                index[name].remove(loss)
                if not index[name]:
                    del index[name]

    def _attributed_to(self, task: str) -> list[_Loss]:
        """Return the losses that may be a task's fault."""
        job = _job_of(task)
        losses = self._by_task.get(task, ())
        return [loss for loss in losses if _may_be_fault_of(job, loss)]

    def _attributed_to_job(self, job: str) -> list[_Loss]:
        """Return the losses that may be the fault of any task of a job."""
        losses = self._by_job.get(job, ())
        return [loss for loss in losses if _may_be_fault_of(job, loss)]


def _may_be_fault_of(job: str, loss: _Loss) -> bool:
    """Tell whether a loss may be a job's fault, as those of a rack or zone are not."""
    if len(loss.near) < MASS_LOSS_COUNT:
        return True
    return all(job in other.jobs for other in loss.near)


def _job_of(task: str) -> str:
    return task.split(".", 1)[0]
