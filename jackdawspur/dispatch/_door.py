"""What is refused before it becomes a job."""

from jackdawspur.dispatch._answers import refusal
from jackdawspur.dispatch._state import State
from jackdawspur.model import Answer, FailureCode, JobRequest
from jackdawspur.scheduling import refuse_oversized

__all__ = ["refuse_at_door"]

COME_BACK_MS = 1000.0


def refuse_at_door(state: State, request: JobRequest, now: float) -> Answer | None:
    """Return why a request can't become a job here, or None."""
    if state.draining:
        text = "this host is shutting down; submit again"
        return refusal(FailureCode.DRAINING, text, COME_BACK_MS)
    if state.cluster_spec is None:
        text = "this host has no configuration yet"
        return refusal(FailureCode.NOT_READY, text, COME_BACK_MS)
    if request.customer not in state.customers:
        return refusal(FailureCode.FORBIDDEN, "no such customer in force")
    misfit = refuse_oversized(request, state.sizes)
    if misfit is not None:
        return refusal(misfit.code, misfit.message)
    limit = state.limits.check(request.customer, len(request.tasks), now)
    if limit is not None:
        return refusal(limit.code, limit.message, limit.retry_after_ms)
    return None
