"""Attribution of failures to a job class or to an upstream."""

from collections import deque
from dataclasses import dataclass

from jackdawspur.health._limits import (
    ATTRIBUTION_WINDOW_S,
    MIN_UPSTREAMS_OF_FAULTY_CLASS,
)
from jackdawspur.model import UpstreamId

__all__ = ["FailureAttribution"]

MAX_ENDS_PER_CLASS = 256


@dataclass(frozen=True, slots=True)
class _End:
    upstream: UpstreamId
    failed: bool
    at: float


class FailureAttribution:
    """Recent ends of tasks by job class, with the upstreams that ran them."""

    def __init__(self) -> None:
        self._ends: dict[str, deque[_End]] = {}

    def record(
        self, job_class: str, upstream: UpstreamId, failed: bool, now: float
    ) -> None:
        """Record the end of a task of the class."""
        ends = self._ends.setdefault(job_class, deque(maxlen=MAX_ENDS_PER_CLASS))
        ends.append(_End(upstream, failed, now))

    def class_is_faulty(self, job_class: str, now: float) -> bool:
        """Return whether the class fails regardless of the upstream."""
        recent = [
            end
            for end in self._ends.get(job_class, ())
            if now - end.at <= ATTRIBUTION_WINDOW_S
        ]
        failures = [end for end in recent if end.failed]
        upstream_count = len({end.upstream for end in failures})
        # Several unhealthy upstreams also cause failures on many upstreams, but then
        # the class still succeeds on the others. So only a class that fails more often
        # than it succeeds counts as faulty.
        return upstream_count >= MIN_UPSTREAMS_OF_FAULTY_CLASS and 2 * len(
            failures
        ) > len(recent)
