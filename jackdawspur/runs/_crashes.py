"""Tasks that upstreams crashed under."""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field

from jackdawspur.model import UpstreamId
from jackdawspur.runs._types import TaskFailureCounts

__all__ = ["MOST_CRASHES", "Crashes"]

# A job is given up when so many upstreams crashed under one of its tasks, or under
# several of them together: a healthy job may lose two upstreams by chance.
MOST_CRASHES = 2
MOST_CRASHES_OF_JOB = 3
# So many upstreams lost within this time are a rack or a zone. That is the fault of a
# task only if one job had tasks on each of them.
MASS = 3
MASS_S = 1.0
# Callers ask again for a job that failed within seconds.
KEPT_S = 60.0
MOST_KEPT = 512


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
        self._open: dict[UpstreamId, _Loss] = {}
        self._numbers = itertools.count()
        # What earlier leading hosts counted beside this one.
        self._told: dict[str, int] = {}

    def lost(self, upstream: UpstreamId, tasks: Iterable[str], now: float) -> None:
        """Take in that an upstream fell silent for longer than its leases."""
        known = self._open.get(upstream)
        at, before = now, frozenset()
        if known is not None:
            at, before = known.at, known.tasks
            self._forget(known)
        all_tasks = before | frozenset(tasks)
        jobs = frozenset(map(_job_of, all_tasks))
        loss = _Loss(next(self._numbers), upstream, at, all_tasks, jobs)
        self._open[upstream] = loss
        self._keep(loss)

    def may_have_crashed(self, upstream: UpstreamId) -> bool:
        """Tell whether an upstream was lost, and it is not known whether it crashed."""
        return upstream in self._open

    def answered(self, upstream: UpstreamId) -> None:
        """Take in that the same boot answers again: it did not crash."""
        loss = self._open.get(upstream)
        if loss is not None:
            self._forget(loss)

    def crashed(self, upstream: UpstreamId, tasks: Iterable[str], now: float) -> None:
        """Take in that another boot is in the place of an upstream."""
        self.lost(upstream, tasks, now)
        self._open.pop(upstream).crashed = True

    def told(self, troubles: Iterable[TaskFailureCounts]) -> None:
        """Take in how many crashes are blamed on tasks, those counted here included."""
        for one in troubles:
            others = one.crashes - self._counted(one.task)
            if others > self._told.get(one.task, 0):
                self._told[one.task] = others

    def count(self, task: str) -> int:
        """Return how many upstreams crashed under a task by its fault."""
        return self._counted(task) + self._told.get(task, 0)

    def _counted(self, task: str) -> int:
        return sum(loss.crashed for loss in self._blaming(task))

    def reason_to_give_up(self, job: str, tasks: Iterable[str]) -> str | None:
        """Return why a job of these tasks is to be given up, None if it is not."""
        if job not in self._by_job and not self._told:
            return None
        suspects = [task for task in tasks if self.is_suspect(task)]
        if not suspects:
            return None
        worst = max(suspects, key=self.count)
        if self.count(worst) >= MOST_CRASHES:
            return f"{self.count(worst)} upstreams crashed under {worst}"
        crashed = sum(loss.crashed for loss in self._blaming_job(job))
        if crashed >= MOST_CRASHES_OF_JOB:
            return f"{crashed} upstreams crashed under tasks of the job"
        return None

    def is_suspect(self, task: str) -> bool:
        """Tell whether an upstream was lost under a task."""
        return task in self._by_task or task in self._told

    def must_wait(self, task: str) -> bool:
        """Tell whether a task may not start until it is known what was lost under it.

        Another start of one that crashes upstreams would cost the next one.
        """
        if not self.is_suspect(task):
            return False
        lost = len(self._blaming(task)) + self._told.get(task, 0)
        if lost >= MOST_CRASHES:
            return True
        return len(self._blaming_job(_job_of(task))) >= MOST_CRASHES_OF_JOB

    def runs_alone(self, task: str) -> bool:
        """Tell whether of a task's job one suspect may run at a time.

        The loss of one upstream says little: all that ran there starts again at once.
        """
        return len(self._blaming_job(_job_of(task))) >= MOST_CRASHES

    def forget_old(self, now: float) -> None:
        """Forget what is too old to matter."""
        while self._losses:
            loss = next(iter(self._losses.values()))
            if now - loss.at < KEPT_S and len(self._losses) <= MOST_KEPT:
                break
            self._forget(loss)
        while len(self._told) > MOST_KEPT:
            del self._told[next(iter(self._told))]

    def _keep(self, loss: _Loss) -> None:
        self._losses[loss.number] = loss
        loss.near += [
            other
            for other in self._losses.values()
            if abs(other.at - loss.at) <= MASS_S
        ]
        for other in loss.near:
            if other is not loss:
                other.near.append(loss)
        for kept, names in ((self._by_task, loss.tasks), (self._by_job, loss.jobs)):
            for name in names:
                kept.setdefault(name, []).append(loss)

    def _forget(self, loss: _Loss) -> None:
        del self._losses[loss.number]
        if self._open.get(loss.upstream) is loss:
            del self._open[loss.upstream]
        for other in loss.near:
            if other is not loss:
                other.near.remove(loss)
        for kept, names in ((self._by_task, loss.tasks), (self._by_job, loss.jobs)):
            for name in names:
                kept[name].remove(loss)
                if not kept[name]:
                    del kept[name]

    def _blaming(self, task: str) -> list[_Loss]:
        """Return the losses that may be a task's fault."""
        job = _job_of(task)
        losses = self._by_task.get(task, ())
        return [loss for loss in losses if _is_fault_of(job, loss)]

    def _blaming_job(self, job: str) -> list[_Loss]:
        """Return the losses that may be the fault of any task of a job."""
        losses = self._by_job.get(job, ())
        return [loss for loss in losses if _is_fault_of(job, loss)]


def _is_fault_of(job: str, loss: _Loss) -> bool:
    """Tell whether a loss may be a job's fault, as those of a rack or zone are not."""
    if len(loss.near) < MASS:
        return True
    return all(job in other.jobs for other in loss.near)


def _job_of(task: str) -> str:
    return task.split(".", 1)[0]
