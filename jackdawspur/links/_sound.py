"""Numbers that no host may act on, whoever sent them."""

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

__all__ = ["is_sound"]


def is_sound(message: Message) -> bool:
    """Tell whether a message's times are numbers and its request could be a caller's.

    A time that is no number sorts nowhere: as a deadline it would hold up all other
    timers of the host, and no caller would be answered any more.
    """
    match message:
        case Delegate(request=request, remaining_ms=ms):
            return isfinite(ms) and _is_sound_request(request)
        case Forward(request=JobRequest() as request):
            return _is_sound_request(request)
        case Heartbeat(backlog_ms=ms) | Pulse(backlog_ms=ms) | SlotGrant(term_ms=ms):
            return isfinite(ms)
    return True


def _is_sound_request(request: JobRequest) -> bool:
    counted = 1 <= len(request.tasks) <= MAX_TASKS_PER_JOB
    return (
        counted and isfinite(request.deadline_ms) and all(map(_is_sound, request.tasks))
    )


def _is_sound(spec: TaskSpec) -> bool:
    least = min(spec.run_ms, spec.cpus, spec.memory_mb, spec.accelerators)
    return isfinite(spec.run_ms) and least >= 0
