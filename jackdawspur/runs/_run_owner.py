"""What the upstreams held tell of runs."""

from typing import Protocol

from jackdawspur.leases import EndedRun, RunId
from jackdawspur.model import UpstreamId
from jackdawspur.runs._job import Job

__all__ = ["RunOwner"]


class RunOwner(Protocol):
    """Hear of what becomes of runs."""

    def job_of(self, task_name: str) -> Job | None:
        """Return the open job of a task."""

    def run_ended(
        self, upstream: UpstreamId, ended: EndedRun, since: float | None, now: float
    ) -> None:
        """Take in the end of a run; `since` is None when it was heard of late."""

    def found_done(self, task_name: str, now: float) -> None:
        """Take in that a run of an earlier leading host ended well."""

    def run_reported(self, task_name: str) -> None:
        """Take in that a run told its progress."""

    def incarnation_seen(self, upstream: UpstreamId, incarnation: int) -> None:
        """Take in which boot of an upstream answers, first or anew."""

    def run_lost(self, run: RunId, upstream: UpstreamId, now: float) -> None:
        """Take in that a run can't exist any more."""

    def start_invalid(self, task_name: str, now: float) -> None:
        """Take in that no upstream takes the task."""
