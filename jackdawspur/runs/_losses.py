"""Why jobs are lost, by what is known at that moment."""

from dataclasses import dataclass
from operator import add

from jackdawspur.runs._effects import JobLost, LossCause
from jackdawspur.runs._estimates import Estimates
from jackdawspur.runs._fleet import UpstreamPool
from jackdawspur.runs._job import Job, Task, TaskState
from jackdawspur.runs._order import useful_until
from jackdawspur.runs._progress import LEAST_PERCENT, project

__all__ = ["Losses"]

MS_PER_S = 1000.0
# Of so many tasks a line tells where they are: a job may have hundreds.
MOST_STORIES = 6


@dataclass(frozen=True, slots=True)
class Known:
    """Tell what a task takes at a pace of 1, when it began and when that was told.

    Of a `stalled` one its run has told too little to say more than that it is late.
    """

    whole_ms: float
    began: float
    told_at: float
    stalled: bool = False


class Losses:
    """Judge lost jobs, and tell where their tasks are."""

    def __init__(self, fleet: UpstreamPool, estimates: Estimates) -> None:
        self._fleet = fleet
        self._estimates = estimates

    def known(self, job: Job, task: Task) -> Known | None:
        """Return how long a task takes at a pace of 1, None while not known."""
        if task.state is TaskState.WAITING:
            return None
        pace = self._estimates.slowdown(task.upstream)
        if task.took_ms:
            ended = task.placed_at + task.took_ms / MS_PER_S
            return Known(task.took_ms / pace, task.placed_at, ended)
        run = self._fleet.run_of(task)
        projected = run and project(run, job.first_expected_ms[task.step])
        if not projected:
            return None
        whole_ms = projected.whole_s * MS_PER_S / pace
        began = projected.end - projected.whole_s
        stalled = run.percent - run.initial_percent < LEAST_PERCENT
        return Known(whole_ms, began, run.reported_at, stalled)

    def of(self, job: Job, now: float) -> JobLost:
        """Return why a job is lost that nobody waits for or that comes too late."""
        known = {task.name: self.known(job, task) for task in job.tasks}
        told = [one for one in known.values() if one and not one.stalled]
        longest = max(told, key=lambda one: one.whole_ms, default=None)
        return JobLost(
            job.id,
            job.request.route.name,
            self._cause(job, known, now),
            *start_times_ms(job),
            longest and round(longest.whole_ms),
            longest and round((now - longest.told_at) * MS_PER_S),
        )

    def _cause(self, job: Job, known: dict[str, Known | None], now: float) -> LossCause:
        if not job.started:
            return LossCause.NEVER_BEGUN
        if not any(known.values()):
            return LossCause.NO_PROGRESS
        limit_ms = (useful_until(job) - job.offer.arrived) * MS_PER_S
        step_ms = _step_ms(job, known)
        after_ms = _after_ms(job, step_ms)
        if max(map(add, step_ms, after_ms)) > limit_ms:
            return LossCause.TOO_LONG
        late, late_anywhere = False, False
        for task in job.tasks:
            if task.is_done:
                continue
            one = known[task.name]
            limit = limit_ms - after_ms[task.step]
            if self._ends_ms(job, task, one, now) <= limit:
                continue
            if one and one.stalled:
                return LossCause.STALLED
            if task.restarted:
                return LossCause.RESTARTED
            late = True
            begun_ms = _begun_ms(job, task, one, now)
            late_anywhere |= begun_ms + _needs_ms(job, task, one) > limit
        if late_anywhere:
            return LossCause.LATE_START
        return LossCause.SLOW_UPSTREAM if late else LossCause.IN_TIME

    def _ends_ms(self, job: Job, task: Task, known: Known | None, now: float) -> float:
        """Return when a task ends where it is, in milliseconds from the coming."""
        placed = task.state is TaskState.PLACED
        pace = self._estimates.slowdown(task.upstream) if placed else 1.0
        return _begun_ms(job, task, known, now) + _needs_ms(job, task, known) * pace

    def stories(self, job: Job, now: float) -> str:
        """Tell where the tasks are that end last, and how many others there are."""
        ends = {
            task.name: self._ends_ms(job, task, self.known(job, task), now)
            for task in job.tasks
        }
        tasks = sorted(job.tasks, key=lambda one: (one.is_done, -ends[one.name]))
        told = [self._story(task, now) for task in tasks[:MOST_STORIES]]
        others = tasks[MOST_STORIES:]
        told += [
            f"and {count} {state.value}"
            for state in TaskState
            if (count := sum(task.state is state for task in others))
        ]
        return " ".join(told)

    def _story(self, task: Task, now: float) -> str:
        """Tell where a task is, for how many milliseconds and how far, and the pace."""
        if task.upstream is None:
            return f"{task.state.value}:-:0"
        ms = task.took_ms or (now - task.placed_at) * MS_PER_S
        run = self._fleet.run_of(task)
        told = f":{round(run.percent)}%" if run else ""
        pace = self._estimates.slowdown(task.upstream)
        again = ":again" if task.restarted else ""
        name = task.upstream.name
        return f"{task.state.value}:{name}:{round(ms)}{told}:x{pace:.2f}{again}"


def start_times_ms(job: Job) -> tuple[int | None, int | None, int]:
    """Return when the first and last task first started, and how many did not."""
    begun = [
        task.begun_at
        for task in job.tasks
        if task.begun_at is not None and not task.spec.after and not task.adopted
    ]
    if not begun:
        return None, None, job.not_begun
    arrived = job.offer.arrived
    first_ms, last_ms = (
        round((when - arrived) * MS_PER_S) for when in (min(begun), max(begun))
    )
    return first_ms, last_ms, job.not_begun


def _begun_ms(job: Job, task: Task, known: Known | None, now: float) -> float:
    """Return when a task began, now if it has not, in milliseconds from the coming."""
    began = task.placed_at if task.state is TaskState.PLACED else now
    return ((known.began if known else began) - job.offer.arrived) * MS_PER_S


def _needs_ms(job: Job, task: Task, known: Known | None) -> float:
    return known.whole_ms if known else job.expected_ms[task.step]


def _step_ms(job: Job, known: dict[str, Known | None]) -> list[float]:
    """Return what the longest task of each step takes, as estimated if none told."""
    told: list[list[float]] = [[] for _ in job.request.steps]
    for task in job.tasks:
        one = known[task.name]
        if one and not one.stalled:
            told[task.step].append(one.whole_ms)
    return [
        max(some, default=expected)
        for some, expected in zip(told, job.first_expected_ms, strict=True)
    ]


def _after_ms(job: Job, step_ms: list[float]) -> list[float]:
    """Return how long what must follow each step takes."""
    after = [0.0] * len(step_ms)
    for number in reversed(range(len(step_ms))):
        for before in job.request.steps[number].after:
            after[before] = max(after[before], step_ms[number] + after[number])
    return after
