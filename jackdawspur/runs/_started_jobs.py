"""Jobs of which any task was ever started."""

from jackdawspur.runs._expiring_set import ExpiringSet
from jackdawspur.runs._types import Offer

__all__ = ["StartedJobs"]

# A caller that got no answer sends its job again within this time.
RETRY_WINDOW_S = 10.0


class StartedJobs:
    """Track started jobs while a caller may wait for them or send them again.

    A started job is never refused as not run, even after a change of leader.
    """

    def __init__(self) -> None:
        self._started = ExpiringSet()

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._started

    def record(self, offer: Offer) -> None:
        """Record that a task of a job was started."""
        self._started.add(offer.request.id, offer.deadline + RETRY_WINDOW_S)

    def forget_old(self, now: float) -> None:
        """Remove the jobs that no caller sends again any more."""
        self._started.forget_old(now)
