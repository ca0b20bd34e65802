"""Review of a job's runs, each compared with the others of the job."""

from collections.abc import Set
from functools import partial

from jackdawspur.leases import Run, RunPhase
from jackdawspur.runs._decision_log import DecisionLog
from jackdawspur.runs._effects import Decision
from jackdawspur.runs._estimates import Estimates
from jackdawspur.runs._job import Job, Task
from jackdawspur.runs._losses import Losses
from jackdawspur.runs._pool import UpstreamPool
from jackdawspur.runs._progress import (
    Verdict,
    judge,
    may_be_late,
    restart_meets_deadline,
)
from jackdawspur.runs._step_times import StepTimes
from jackdawspur.runs._upstream_choice import choose

__all__ = ["Review"]

MS_PER_S = 1000.0
# A single task may well take this many times as long as initially expected.
INITIAL_SAFETY_FACTOR = 1.6
# What the progress of a step's only known task shows counts up to this multiple of
# the initial estimate, since its upstream may be slow.
MAX_INITIAL_FACTOR = 3.0
# Slowdowns are learned to within a tenth or so: a smaller difference is no reason to
# restart a run.
MAX_SLOWDOWN_RATIO = 0.87
# Polls wait for 0.2 s, so after this time all runs have reported their progress.
FIRST_REPORTS_S = 0.3


class Review:
    """Restart slow runs elsewhere, and find jobs that can't end in time."""

    def __init__(
        self, pool: UpstreamPool, estimates: Estimates, log: DecisionLog
    ) -> None:
        self._pool = pool
        self._estimates = estimates
        self._log = log
        self._losses = Losses(pool, estimates)

    def review_job(self, job: Job, now: float) -> Verdict:
        """Review all runs of a job, and return whether it should be given up."""
        placed = job.placed()
        times = self._step_times(job, {task.step for task in placed})
        for step, step_times in times.items():
            _update_expected(job, step, step_times)
        for task in placed:
            run = self._pool.run_of(task)
            if run is None or run.phase is not RunPhase.RUNNING:
                continue
            healthy_run_ms = _healthy_run_ms(job, task, times[task.step])
            verdict = judge(run, job, healthy_run_ms, task.restarts, now)
            if verdict is Verdict.RESTART and _awaits_other_reports(
                task, times[task.step], now
            ):
                continue
            if verdict is Verdict.RESTART or self._should_move(job, task, run, now):
                self._restart(task, run, healthy_run_ms, now)
            elif verdict is Verdict.GIVE_UP:
                return verdict
        return Verdict.GO_ON

    def _should_move(self, job: Job, task: Task, run: Run, now: float) -> bool:
        """Return whether a run is late on its slow upstream, but in time on another.

        The faster upstream must have free capacity: a run is not stopped for one that
        has to wait.
        """
        expected_ms = job.initial_expected_ms[task.step]
        if task.restarts or not may_be_late(run, job, expected_ms):
            return False
        service = job.request.route.service
        others = [
            upstream
            for upstream in self._pool.with_free_capacity(now).get(service, ())
            if upstream.entry.id != task.upstream
        ]
        upstream = choose(task, job, others, self._estimates, now)
        if upstream is None:
            return False
        slowdown = self._estimates.slowdown(task.upstream)
        time_ratio = self._estimates.slowdown(upstream.entry.id) / slowdown
        if time_ratio > MAX_SLOWDOWN_RATIO:
            return False
        return restart_meets_deadline(run, job, expected_ms, time_ratio, now)

    def log_loss(self, decision: Decision, job: Job, now: float) -> None:
        """Log a job that was dropped by its caller or would end too late."""
        lost = self._losses.analyze(job, now)
        self._log.job_lost(
            decision, job, lost, self._losses.describe_tasks(job, now), now
        )

    def _step_times(self, job: Job, steps: Set[int]) -> dict[int, StepTimes]:
        """Return what is known of the tasks of each step."""
        tasks: dict[int, list[Task]] = {step: [] for step in steps}
        for task in job.tasks:
            if task.step in steps:
                tasks[task.step].append(task)
        return {
            step: StepTimes(found, partial(self._total_ms, job))
            for step, found in tasks.items()
        }

    def _total_ms(self, job: Job, task: Task) -> float | None:
        """Return how long a task takes at a slowdown of 1, None while unknown."""
        known = self._losses.timing(job, task)
        return known and known.total_ms

    def _restart(self, task: Task, run: Run, healthy_run_ms: float, now: float) -> None:
        task.restarts += 1
        task.avoid.add(task.upstream)
        self._log.add(
            Decision.RUN_RESTARTED,
            task.name,
            str(task.upstream),
            percent=run.percent,
            after_ms=round((now - run.since) * MS_PER_S),
            expected_ms=round(healthy_run_ms),
        )
        self._pool.stop(task.name, now)


def _update_expected(job: Job, step: int, times: StepTimes) -> None:
    """Set the expected time of a step to what its tasks' progress shows.

    The contract counts from the actual work of a job. If a long job were judged by a
    short estimate, it would be given up, only short ones would be learned from, and
    estimates would shrink until nearly all jobs were given up.
    """
    known = times.known_ms
    if not known:
        return
    work_ms = known[len(known) // 2]
    if len(known) == 1:
        # Its upstream may be slow instead.
        initial_ms = job.initial_expected_ms[step]
        work_ms = min(work_ms, initial_ms * MAX_INITIAL_FACTOR)
    job.set_expected_ms(step, work_ms)


def _healthy_run_ms(job: Job, task: Task, times: StepTimes) -> float:
    """Return how long a task should take on a healthy upstream.

    Tasks of one step are nearly equal: the times of the others, measured or projected,
    predict it better than the time that the caller declared, which is often half of it.
    """
    known_ms = times.median_of_others(task)
    if known_ms is not None:
        return known_ms
    return job.initial_expected_ms[task.step] * INITIAL_SAFETY_FACTOR


def _awaits_other_reports(task: Task, times: StepTimes, now: float) -> bool:
    """Return whether other tasks' reports will soon correct the expected time.

    All tasks of a job that is longer than expected look slow until others report.
    """
    if times.others_report(task):
        return False
    newest = times.newest_other(task)
    return newest is not None and now - newest < FIRST_REPORTS_S
