"""Tell a failing job class from a failing upstream."""

from collections import deque
from dataclasses import dataclass

from jackdawspur.health._limits import BLAME_UPSTREAMS, BLAME_WINDOW
from jackdawspur.model import UpstreamId

__all__ = ["Blame"]

ENDS_KEPT = 256


@dataclass(frozen=True, slots=True)
class _End:
    upstream: UpstreamId
    failed: bool
    at: float


class Blame:
    """Remember where the tasks of each job class lately failed."""

    def __init__(self) -> None:
        self._ends: dict[str, deque[_End]] = {}

    def note(
        self, job_class: str, upstream: UpstreamId, failed: bool, now: float
    ) -> None:
        """Record the end of one task of the class."""
        ends = self._ends.setdefault(job_class, deque(maxlen=ENDS_KEPT))
        ends.append(_End(upstream, failed, now))

    def lies_with_class(self, job_class: str, now: float) -> bool:
        """Tell whether the class fails wherever it runs."""
        recent = [
            end for end in self._ends.get(job_class, ()) if now - end.at <= BLAME_WINDOW
        ]
        failures = [end for end in recent if end.failed]
        spread = len({end.upstream for end in failures})
        # Several bad upstreams spread failures too, but the class then still
        # succeeds elsewhere; only a class that mostly fails is blamed.
        return spread >= BLAME_UPSTREAMS and 2 * len(failures) > len(recent)
