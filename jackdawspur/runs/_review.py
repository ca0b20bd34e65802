"""Runs under way, judged against the others of their job."""

from jackdawspur.leases import Run, RunPhase
from jackdawspur.runs._effects import Decision
from jackdawspur.runs._estimates import Estimates
from jackdawspur.runs._fleet import UpstreamPool
from jackdawspur.runs._job import Job, Task
from jackdawspur.runs._losses import Losses
from jackdawspur.runs._notes import DecisionLog
from jackdawspur.runs._placing import choose
from jackdawspur.runs._progress import (
    Verdict,
    ends_in_time_anew,
    judge,
    may_be_late,
)

__all__ = ["Review"]

MS_PER_S = 1000.0
# A lone task may well take this many times what its caller declared.
DOUBT_OF_DECLARED = 1.6
MOST_OF_DECLARED = 3.0
# Paces are learned to within a tenth or so: one that differs by less is no reason.
MOST_OF_PACE = 0.87
# Looks wait for 0.2 s, so that all runs have told their progress by then.
ALL_TOLD_S = 0.3


class Review:
    """Restart slow runs elsewhere, and find jobs that can't end in time."""

    def __init__(
        self, fleet: UpstreamPool, estimates: Estimates, notes: DecisionLog
    ) -> None:
        self._fleet = fleet
        self._estimates = estimates
        self._notes = notes
        self._losses = Losses(fleet, estimates)

    def job(self, job: Job, now: float) -> Verdict:
        """Look at all runs of a job; tell whether it is to be given up."""
        placed = job.placed()
        for step in {task.step for task in placed}:
            self._correct(job, step)
        for task in placed:
            run = self._fleet.run_of(task)
            if run is None or run.phase is not RunPhase.RUNNING:
                continue
            elsewhere_ms = self._elsewhere_ms(job, task)
            verdict = judge(run, job, elsewhere_ms, task.restarts, now)
            if verdict is Verdict.RESTART and self._others_may_tell(job, task, now):
                continue
            if verdict is Verdict.RESTART or self._better_anew(job, task, run, now):
                self._restart(task, run, elsewhere_ms, now)
            elif verdict is Verdict.GIVE_UP:
                return verdict
        return Verdict.GO_ON

    def _better_anew(self, job: Job, task: Task, run: Run, now: float) -> bool:
        """Tell whether a run is late for its slow upstream, and in time on another.

        The fast one must have room: a run is not stopped for one that has to wait.
        """
        expected_ms = job.first_expected_ms[task.step]
        if task.restarts or not may_be_late(run, job, expected_ms):
            return False
        service = job.request.route.service
        others = [
            held
            for held in self._fleet.with_room(now).get(service, ())
            if held.entry.id != task.upstream
        ]
        held = choose(task, job, others, self._estimates, now)
        if held is None:
            return False
        pace = self._estimates.slowdown(task.upstream)
        faster = self._estimates.slowdown(held.entry.id) / pace
        if faster > MOST_OF_PACE:
            return False
        return ends_in_time_anew(run, job, expected_ms, faster, now)

    def note_late(self, decision: Decision, job: Job, now: float) -> None:
        """Explain the end of a job that nobody waits for or that comes too late."""
        lost = self._losses.of(job, now)
        self._notes.late(decision, job, lost, self._losses.stories(job, now), now)

    def _correct(self, job: Job, step: int) -> None:
        """Expect of a step what its tasks show by their progress.

        The contract counts from the work that a job really is. Were a long job judged
        by a short estimate, it would be given up, only short ones would be learned
        from, and estimates would shrink until nearly all jobs were given up.
        """
        tasks = [task for task in job.tasks if task.step == step]
        known = sorted(filter(None, (self._whole_ms(job, task) for task in tasks)))
        if not known:
            return
        work_ms = known[len(known) // 2]
        if len(known) == 1:
            # It may be its upstream that is slow.
            declared_ms = job.first_expected_ms[step]
            work_ms = min(work_ms, declared_ms * MOST_OF_DECLARED)
        job.expect(step, work_ms)

    def _elsewhere_ms(self, job: Job, task: Task) -> float:
        """Return how long a task should take on a sound upstream.

        Tasks of one step are nearly equal: what the others took, or will by their
        progress, tells more than what the caller declared, which is often half of it.
        """
        others = [t for t in job.tasks if t.step == task.step and t is not task]
        known = sorted(filter(None, (self._whole_ms(job, t) for t in others)))
        if known:
            return known[len(known) // 2]
        return job.first_expected_ms[task.step] * DOUBT_OF_DECLARED

    def _whole_ms(self, job: Job, task: Task) -> float | None:
        """Return how long a task takes at a pace of one, None while not known."""
        known = self._losses.known(job, task)
        return known and known.whole_ms

    def _others_may_tell(self, job: Job, task: Task, now: float) -> bool:
        """Tell whether others of the job will soon correct what is expected of a task.

        All tasks of a job that is longer than declared look slow until others tell.
        """
        others = [t for t in job.placed() if t.step == task.step and t is not task]
        if any(self._whole_ms(job, other) for other in others):
            return False
        return any(now - other.placed_at < ALL_TOLD_S for other in others)

    def _restart(self, task: Task, run: Run, elsewhere_ms: float, now: float) -> None:
        task.restarts += 1
        task.avoid.add(task.upstream)
        self._notes.add(
            Decision.RUN_RESTARTED,
            task.name,
            str(task.upstream),
            percent=run.percent,
            after_ms=round((now - run.since) * MS_PER_S),
            expected_ms=round(elsewhere_ms),
        )
        self._fleet.stop(task.name, now)
