"""Validation of the numbers in messages between hosts."""

from math import isfinite

from jackdawspur.messages import (
    Delegate,
    Forward,
    Heartbeat,
    Message,
    Pulse,
    SlotGrant,
)
from jackdawspur.model import MAX_TASKS_PER_JOB, JobRequest, TaskSpec

__all__ = ["is_valid_message"]


def is_valid_message(message: Message) -> bool:
    """Return whether a message's times are finite and its request is valid.

    NaN can't be sorted. As a deadline it would block all other timers of the host, and
    callers would no longer get answers.
    """
    match message:
        case Delegate(request=request, remaining_ms=ms):
            return isfinite(ms) and _is_valid_request(request)
        case Forward(request=JobRequest() as request):
            return _is_valid_request(request)
        case Heartbeat(backlog_ms=ms) | Pulse(backlog_ms=ms) | SlotGrant(term_ms=ms):
            return isfinite(ms)
    return True


def _is_valid_request(request: JobRequest) -> bool:
    valid_count = 1 <= len(request.tasks) <= MAX_TASKS_PER_JOB
    return (
        valid_count
        and isfinite(request.deadline_ms)
        and all(map(_is_valid_task, request.tasks))
    )


def _is_valid_task(spec: TaskSpec) -> bool:
    smallest = min(spec.run_ms, spec.cpus, spec.memory_mb, spec.accelerators)
    return isfinite(spec.run_ms) and smallest >= 0
