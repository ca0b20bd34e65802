"""Work of jobs, in thousandths of a core times seconds."""

from jackdawspur.runs._job import Job, Task, TaskState

__all__ = ["expected_run_s", "job_work", "waiting_work"]

MS_PER_S = 1000.0
# A stalled run seems to need unlimited time. It is stopped before long, so it counts
# for at most this multiple of its expected time: otherwise all other jobs would be
# refused because of one such job.
MAX_EXPECTED_FACTOR = 2.0


def job_work(job: Job) -> float:
    """Return the work of all tasks of a job."""
    return sum(
        step.count * job.expected_ms[number] / MS_PER_S * step.resources.cpu_millis
        for number, step in enumerate(job.request.steps)
    )


def waiting_work(job: Job) -> float:
    """Return the work of a job's waiting tasks."""
    return sum(
        expected_run_s(job, task) * task.spec.resources.cpu_millis
        for task in job.tasks
        if task.state is TaskState.WAITING
    )


def expected_run_s(job: Job, task: Task) -> float:
    """Return how long a task takes at a slowdown of 1, with a bound."""
    max_ms = MAX_EXPECTED_FACTOR * job.initial_expected_ms[task.step]
    return min(job.expected_ms[task.step], max_ms) / MS_PER_S
