"""Checks that refuse a request before a job is created."""

from jackdawspur.dispatch._answers import refusal
from jackdawspur.dispatch._state import State
from jackdawspur.model import Answer, FailureCode, JobRequest
from jackdawspur.scheduling import refuse_oversized

__all__ = ["refuse_at_ingress"]

RETRY_AFTER_MS = 1000.0


def refuse_at_ingress(state: State, request: JobRequest, now: float) -> Answer | None:
    """Return the refusal of a request that this host can't accept, or None."""
    if state.draining:
        text = "this host is shutting down; submit again"
        return refusal(FailureCode.DRAINING, text, RETRY_AFTER_MS)
    if state.cluster_spec is None:
        text = "this host has no configuration yet"
        return refusal(FailureCode.NOT_READY, text, RETRY_AFTER_MS)
    if request.customer not in state.customers:
        return refusal(
            FailureCode.FORBIDDEN, "the customer is not in the configuration in force"
        )
    misfit = refuse_oversized(request, state.sizes)
    if misfit is not None:
        return refusal(misfit.code, misfit.message)
    limit = state.limits.check(request.customer, len(request.tasks), now)
    if limit is not None:
        return refusal(limit.code, limit.message, limit.retry_after_ms)
    return None
