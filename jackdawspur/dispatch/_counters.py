"""Counters of one entry host since its start, for operators."""

from dataclasses import dataclass, field

from jackdawspur.dispatch._job import Job
from jackdawspur.metrics import HistogramKey, Histograms
from jackdawspur.model import FailureCode, JobState

__all__ = ["Counters"]

MS_PER_S = 1000.0


@dataclass(slots=True)
class Counters:
    """Counts of jobs, starts and messages; response times in milliseconds."""

    complete: int = 0
    failed: int = 0
    refused: int = 0
    starts: int = 0
    starts_refused: int = 0
    starts_lost: int = 0
    status_queries: int = 0
    delegated: int = 0
    loans_asked: int = 0
    codes: dict[FailureCode, int] = field(default_factory=dict)
    responses: Histograms = field(default_factory=Histograms)

    def count_end(self, job: Job, now: float) -> None:
        """Count the end of a job, and record its response time if it completed."""
        answer = job.answer
        if answer.state is JobState.COMPLETE:
            self.complete += 1
            key = HistogramKey(job.customer, job.request.job_class)
            self.responses.record(key, (now - job.arrived) * MS_PER_S)
        elif answer.state is JobState.REFUSED:
            self.refused += 1
        else:
            self.failed += 1
        if answer.code is not None:
            self.codes[answer.code] = self.codes.get(answer.code, 0) + 1
