"""Interface to which the upstream pool reports events of runs."""

from typing import Protocol

from jackdawspur.leases import EndedRun, RunId
from jackdawspur.model import UpstreamId
from jackdawspur.runs._job import Job

__all__ = ["RunOwner"]


class RunOwner(Protocol):
    """Handle events of runs and upstreams."""

    def job_of(self, task_name: str) -> Job | None:
        """Return the open job of a task."""

    def run_ended(
        self, upstream: UpstreamId, ended: EndedRun, since: float | None, now: float
    ) -> None:
        """Process the end of a run.

        `since` is that of the run (see Run), None if the end was reported late.
        """

    def found_done(self, task_name: str, now: float) -> None:
        """Record that a run of an earlier leader ended successfully."""

    def run_reported(self, task_name: str) -> None:
        """Record that a run reported its progress."""

    def incarnation_seen(self, upstream: UpstreamId, incarnation: int) -> None:
        """Record which incarnation of an upstream replies, initially or later."""

    def run_lost(self, run: RunId, upstream: UpstreamId, now: float) -> None:
        """Record that a run can't exist any more."""

    def start_invalid(self, task_name: str, now: float) -> None:
        """Record that no upstream accepts the task."""
