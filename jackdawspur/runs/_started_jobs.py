"""Of which jobs anything was ever started."""

from jackdawspur.runs._expiring_set import ExpiringSet
from jackdawspur.runs._types import Offer

__all__ = ["StartedJobs"]

# A caller that had no answer sends its job again within this time.
RETRY_WINDOW_S = 10.0


class StartedJobs:
    """Know jobs that began while a caller may still wait for them or send them again.

    What began is never refused as not run, also after a change of the leading host.
    """

    def __init__(self) -> None:
        self._started = ExpiringSet()

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._started

    def record(self, offer: Offer) -> None:
        """Keep that something of a job was started."""
        self._started.add(offer.request.id, offer.deadline + RETRY_WINDOW_S)

    def forget_old(self, now: float) -> None:
        """Forget the jobs that nobody sends again any more."""
        self._started.forget_old(now)
