"""Causes of lost jobs, by what is known when they are lost."""

from dataclasses import dataclass
from operator import add

from jackdawspur.runs._effects import JobLost, LossCause
from jackdawspur.runs._estimates import Estimates
from jackdawspur.runs._job import Job, Task, TaskState
from jackdawspur.runs._order import useful_until
from jackdawspur.runs._pool import UpstreamPool
from jackdawspur.runs._progress import MIN_PERCENT, project
from jackdawspur.runs._types import JobTiming

__all__ = ["Losses", "job_timing"]

MS_PER_S = 1000.0
# Number of tasks that a log line describes: a job may have hundreds.
MAX_DESCRIBED_TASKS = 6


@dataclass(frozen=True, slots=True)
class TaskTiming:
    """A task's duration at a slowdown of 1, its start, and when this was reported.

    The run of a `stalled` task has reported too little to show more than that it is
    late.
    """

    total_ms: float
    started_at: float
    measured_at: float
    stalled: bool = False


class Losses:
    """Determine why jobs are lost, and describe the state of their tasks."""

    def __init__(self, pool: UpstreamPool, estimates: Estimates) -> None:
        self._pool = pool
        self._estimates = estimates

    def timing(self, job: Job, task: Task) -> TaskTiming | None:
        """Return a task's timing at a slowdown of 1, None while unknown."""
        if task.state is TaskState.WAITING:
            return None
        slowdown = self._estimates.slowdown(task.upstream)
        if task.took_ms:
            ended = task.placed_at + task.took_ms / MS_PER_S
            return TaskTiming(task.took_ms / slowdown, task.placed_at, ended)
        run = self._pool.run_of(task)
        projected = run and project(run, job.initial_expected_ms[task.step])
        if not projected:
            return None
        total_ms = projected.total_s * MS_PER_S / slowdown
        started_s = projected.end - projected.total_s
        stalled = run.percent - run.initial_percent < MIN_PERCENT
        return TaskTiming(total_ms, started_s, run.reported_at, stalled)

    def analyze(self, job: Job, now: float) -> JobLost:
        """Return why a job was dropped by its caller or would end too late."""
        timings = {task.name: self.timing(job, task) for task in job.tasks}
        known = [timing for timing in timings.values() if timing and not timing.stalled]
        longest = max(known, key=lambda timing: timing.total_ms, default=None)
        return JobLost(
            job.id,
            job.request.route.name,
            self._cause(job, timings, now),
            *start_times_ms(job),
            longest and round(longest.total_ms),
            longest and round((now - longest.measured_at) * MS_PER_S),
            priority=job.request.route.priority,
        )

    def _cause(
        self, job: Job, timings: dict[str, TaskTiming | None], now: float
    ) -> LossCause:
        if not job.started:
            return LossCause.NEVER_BEGUN
        if not any(timings.values()):
            return LossCause.NO_PROGRESS
        limit_ms = (useful_until(job) - job.offer.arrived) * MS_PER_S
        step_ms = _step_ms(job, timings)
        after_ms = _after_ms(job, step_ms)
        if max(map(add, step_ms, after_ms)) > limit_ms:
            return LossCause.TOO_LONG
        late, late_on_typical = False, False
        for task in job.tasks:
            if task.is_done:
                continue
            timing = timings[task.name]
            step_limit_ms = limit_ms - after_ms[task.step]
            if self._ends_ms(job, task, timing, now) <= step_limit_ms:
                continue
            if timing and timing.stalled:
                return LossCause.STALLED
            if task.restarted:
                return LossCause.RESTARTED
            late = True
            start_ms = _start_ms(job, task, timing, now)
            late_on_typical |= (
                start_ms + _duration_ms(job, task, timing) > step_limit_ms
            )
        if late_on_typical:
            return LossCause.LATE_START
        return LossCause.SLOW_UPSTREAM if late else LossCause.IN_TIME

    def _ends_ms(
        self, job: Job, task: Task, timing: TaskTiming | None, now: float
    ) -> float:
        """Return when a task ends on its upstream, in ms since the job's arrival."""
        placed = task.state is TaskState.PLACED
        slowdown = self._estimates.slowdown(task.upstream) if placed else 1.0
        return (
            _start_ms(job, task, timing, now)
            + _duration_ms(job, task, timing) * slowdown
        )

    def describe_tasks(self, job: Job, now: float) -> str:
        """Describe the tasks that end last, and count the others."""
        ends = {
            task.name: self._ends_ms(job, task, self.timing(job, task), now)
            for task in job.tasks
        }
        tasks = sorted(job.tasks, key=lambda task: (task.is_done, -ends[task.name]))
        descriptions = [
            self._describe_task(task, now) for task in tasks[:MAX_DESCRIBED_TASKS]
        ]
        others = tasks[MAX_DESCRIBED_TASKS:]
        descriptions += [
            f"and {count} {state.value}"
            for state in TaskState
            if (count := sum(task.state is state for task in others))
        ]
        return " ".join(descriptions)

    def _describe_task(self, task: Task, now: float) -> str:
        """Describe a task's state, upstream, time in ms, progress and slowdown."""
        if task.upstream is None:
            return f"{task.state.value}:-:0"
        ms = task.took_ms or (now - task.placed_at) * MS_PER_S
        run = self._pool.run_of(task)
        percent = f":{round(run.percent)}%" if run else ""
        slowdown = self._estimates.slowdown(task.upstream)
        again = ":again" if task.restarted else ""
        name = task.upstream.name
        return f"{task.state.value}:{name}:{round(ms)}{percent}:x{slowdown:.2f}{again}"


def job_timing(job: Job, now: float) -> JobTiming:
    """Return the times of a job that ends now."""
    first_ms, last_ms, _ = start_times_ms(job)
    reached_s, ended_s = (at - job.offer.arrived for at in (job.offered_at, now))
    return JobTiming(
        round(reached_s * MS_PER_S), first_ms, last_ms, round(ended_s * MS_PER_S)
    )


def start_times_ms(job: Job) -> tuple[int | None, int | None, int]:
    """Return when the first and the last initial task started, and how many did not."""
    started_at = [
        task.first_started_at
        for task in job.tasks
        if task.first_started_at is not None
        and not task.spec.after
        and not task.adopted
    ]
    if not started_at:
        return None, None, job.unstarted_initial_tasks
    arrived = job.offer.arrived
    first_ms, last_ms = (
        round((start - arrived) * MS_PER_S)
        for start in (min(started_at), max(started_at))
    )
    return first_ms, last_ms, job.unstarted_initial_tasks


def _start_ms(job: Job, task: Task, timing: TaskTiming | None, now: float) -> float:
    """Return when a task started, now if it has not, in ms since the job's arrival."""
    started_s = task.placed_at if task.state is TaskState.PLACED else now
    return ((timing.started_at if timing else started_s) - job.offer.arrived) * MS_PER_S


def _duration_ms(job: Job, task: Task, timing: TaskTiming | None) -> float:
    return timing.total_ms if timing else job.expected_ms[task.step]


def _step_ms(job: Job, timings: dict[str, TaskTiming | None]) -> list[float]:
    """Return the time of each step's longest task, estimated if none is known."""
    by_step: list[list[float]] = [[] for _ in job.request.steps]
    for task in job.tasks:
        timing = timings[task.name]
        if timing and not timing.stalled:
            by_step[task.step].append(timing.total_ms)
    return [
        max(step_times, default=expected)
        for step_times, expected in zip(by_step, job.initial_expected_ms, strict=True)
    ]


def _after_ms(job: Job, step_ms: list[float]) -> list[float]:
    """Return how long the steps that must follow each step take."""
    after = [0.0] * len(step_ms)
    for number in reversed(range(len(step_ms))):
        for before in job.request.steps[number].after:
            after[before] = max(after[before], step_ms[number] + after[number])
    return after
