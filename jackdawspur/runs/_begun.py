"""Of which jobs anything was ever started."""

from jackdawspur.runs._remembered import Remembered
from jackdawspur.runs._types import Offer

__all__ = ["StartedJobs"]

# A caller that had no answer sends its job again within this time.
ASKS_AGAIN_S = 10.0


class StartedJobs:
    """Know jobs that began while a caller may still wait for them or send them again.

    What began is never refused as not run, also after a change of the leading host.
    """

    def __init__(self) -> None:
        self._known = Remembered()

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._known

    def note(self, offer: Offer) -> None:
        """Keep that something of a job was started."""
        self._known.add(offer.request.id, offer.deadline + ASKS_AGAIN_S)

    def forget_old(self, now: float) -> None:
        """Forget the jobs that nobody sends again any more."""
        self._known.forget_old(now)
