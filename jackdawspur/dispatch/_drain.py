"""Graceful shutdown: no new jobs, and an answer to every accepted one."""

from jackdawspur.dispatch._answers import abort_job
from jackdawspur.dispatch._events import DrainRequested
from jackdawspur.dispatch._job import Stage
from jackdawspur.dispatch._state import State
from jackdawspur.model import FailureCode

__all__ = ["drain", "is_drained"]

MS_PER_S = 1000.0


def drain(state: State, event: DrainRequested, now: float) -> None:
    """Accept no more jobs, and end those that are left after the timeout."""
    state.draining = True
    end_at = now + event.drain_timeout_ms / MS_PER_S
    state.schedule(end_at, lambda at: _abort_all(state, at))


def is_drained(state: State) -> bool:
    """Return whether every caller has its answer."""
    return (
        state.draining
        and not state.live_jobs
        and not state.pending_forwards
        and not state.remote_calls
    )


def _abort_all(state: State, now: float) -> None:
    text = "the host shut down before the job's end"
    for job in list(state.jobs.values()):
        if job.stage is Stage.ENDED:
            continue
        unknown = not job.nothing_sent and job.outcome_unknown
        code = FailureCode.OUTCOME_UNKNOWN if unknown else FailureCode.SHUTDOWN
        abort_job(state, job, code, text, now)
