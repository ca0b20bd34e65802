"""The order of jobs and tasks, learned run times and admission."""

from jackdawspur.scheduling._admission import (
    Admission,
    Admit,
    LocalLoad,
    Refuse,
    UpstreamSizes,
    Verdict,
    expected_wait_ms,
    never_fits,
)
from jackdawspur.scheduling._elsewhere import Elsewhere, HostLoad, Move
from jackdawspur.scheduling._job import NextTask, QueuedJob, Reservation
from jackdawspur.scheduling._queue import JobQueue
from jackdawspur.scheduling._run_times import Moments, RunTimes

__all__ = [
    "Admission",
    "Admit",
    "Elsewhere",
    "HostLoad",
    "JobQueue",
    "Moments",
    "LocalLoad",
    "Move",
    "NextTask",
    "QueuedJob",
    "Refuse",
    "Reservation",
    "RunTimes",
    "UpstreamSizes",
    "Verdict",
    "expected_wait_ms",
    "never_fits",
]
