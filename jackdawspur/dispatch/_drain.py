"""Graceful shutdown: no new jobs, and an answer to all that were accepted."""

from jackdawspur.dispatch._answers import give_up
from jackdawspur.dispatch._events import DrainRequested
from jackdawspur.dispatch._job import Stage
from jackdawspur.dispatch._state import State
from jackdawspur.model import FailureCode

__all__ = ["drain", "is_drained"]

MS_PER_S = 1000.0


def drain(state: State, event: DrainRequested, now: float) -> None:
    """Take no more jobs; end what has not ended within the bound."""
    state.draining = True
    bound = now + event.drain_timeout_ms / MS_PER_S
    state.schedule(bound, lambda at: _end_all(state, at))


def is_drained(state: State) -> bool:
    """Tell whether every caller has its answer."""
    return (
        state.draining
        and not state.live_jobs
        and not state.pending_forwards
        and not state.remote_calls
    )


def _end_all(state: State, now: float) -> None:
    text = "the host shut down before the job's end"
    for job in list(state.jobs.values()):
        if job.stage is Stage.ENDED:
            continue
        unsure = not job.untouched and job.unsure
        code = FailureCode.OUTCOME_UNKNOWN if unsure else FailureCode.SHUTDOWN
        give_up(state, job, code, text, now)
