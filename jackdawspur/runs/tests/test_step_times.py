"""Tests of the times of a step's tasks."""

from hypothesis import given, strategies

from jackdawspur.model import UpstreamId
from jackdawspur.runs._job import Task, TaskState
from jackdawspur.runs._step_times import StepTimes
from jackdawspur.runs._types import JobStep
from jackdawspur.runs.tests.conftest import TASK_RESOURCES

STEP = JobStep(1, TASK_RESOURCES, 200.0)
KNOWN_MS = strategies.none() | strategies.sampled_from([0.0, 100.0, 200.0, 300.0])
ROWS = strategies.lists(
    strategies.tuples(KNOWN_MS, strategies.booleans(), strategies.integers(0, 3))
)


def make_tasks(rows) -> tuple[list[Task], dict[str, float | None]]:
    tasks, total_ms = [], {}
    for number, (known_ms, is_placed, placed_at) in enumerate(rows):
        task = Task(f"aa.0.0.{number}", 0, STEP, 1)
        if is_placed:
            task.state, task.upstream = TaskState.PLACED, UpstreamId("z1", "u0")
            task.placed_at = float(placed_at)
        tasks.append(task)
        total_ms[task.name] = known_ms
    return tasks, total_ms


@given(ROWS)
def test_each_task_is_compared_with_all_others(rows):
    """Guards against other results than those of examining all others for each task."""
    tasks, total_ms = make_tasks(rows)
    times = StepTimes(tasks, lambda task: total_ms[task.name])
    for task in tasks:
        others = [other for other in tasks if other is not task]
        known = sorted(filter(None, (total_ms[other.name] for other in others)))
        median = known[len(known) // 2] if known else None
        assert times.median_of_others(task) == median
        if task.state is not TaskState.PLACED:
            continue
        placed = [other for other in others if other.state is TaskState.PLACED]
        assert times.others_report(task) == any(total_ms[o.name] for o in placed)
        newest = max((other.placed_at for other in placed), default=None)
        assert times.newest_other(task) == newest
