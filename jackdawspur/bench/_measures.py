"""Compute the figures of one run."""

import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from jackdawspur.bench._clients import End, EndedJob
from jackdawspur.bench._deployment import DeploymentSpec
from jackdawspur.bench._traffic import Traffic
from jackdawspur.model import FailureCode

__all__ = ["Figures", "measure"]

WARM_UP_S = 2.0
LOST_CODES = frozenset(
    {
        FailureCode.TASK_FAILED,
        FailureCode.OUTCOME_UNKNOWN,
        FailureCode.OWNER_LOST,
        FailureCode.SHUTDOWN,
        FailureCode.NO_UPSTREAM,
    }
)


@dataclass(frozen=True, slots=True)
class Figures:
    """The measured figures of one run of one policy under one scenario.

    `p50`, `p99` and `p999` are quantiles of response time over ideal response time,
    for complete jobs. Message counts ending in `_per_job` are divided by the number of
    all jobs. `jobs_lost` counts jobs whose caller got no answer, or a failure for
    another reason than a deadline or a cancellation.
    """

    jobs: int
    complete: int
    failed: int
    refused: int
    lost: int
    jobs_lost: int
    jobs_lost_per_fault: float
    p50: float
    p99: float
    p999: float
    wasted_per_job: float
    lending_per_job: float
    forwarding_per_job: float
    refused_starts: int
    status_queries: int
    stops: int
    duplicates: int
    appends: int
    starts: int
    resubmitted: int
    broken_invariants: int


def measure(
    deployment: DeploymentSpec,
    ended: Sequence[EndedJob],
    traffic: Traffic,
    *,
    faults: int,
    resubmitted: int,
    broken: int,
) -> Figures:
    """Compute the figures; the ideal response time is longest task plus round trip."""
    ends = Counter(item.end for item in ended)
    ratios = _ratios(deployment, ended)
    jobs_lost = sum(
        item.end is End.LOST or (item.end is End.FAILED and item.code in LOST_CODES)
        for item in ended
    )
    jobs = max(len(ended), 1)
    return Figures(
        jobs=len(ended),
        complete=ends[End.COMPLETE],
        failed=ends[End.FAILED],
        refused=ends[End.REFUSED],
        lost=ends[End.LOST],
        jobs_lost=jobs_lost,
        jobs_lost_per_fault=round(jobs_lost / faults, 2) if faults else 0.0,
        p50=_quantile(ratios, 0.5),
        p99=_quantile(ratios, 0.99),
        p999=_quantile(ratios, 0.999),
        wasted_per_job=round(traffic.wasted / jobs, 4),
        lending_per_job=round(traffic.lending / jobs, 4),
        forwarding_per_job=round(traffic.forwarding / jobs, 4),
        refused_starts=traffic.refused_starts,
        status_queries=traffic.status_queries,
        stops=traffic.stops,
        duplicates=traffic.duplicates,
        appends=traffic.appends,
        starts=traffic.starts,
        resubmitted=resubmitted,
        broken_invariants=broken,
    )


def _ratios(deployment: DeploymentSpec, ended: Sequence[EndedJob]) -> list[float]:
    return sorted(
        item.response_s / (item.job.longest_ms / 1000 + deployment.round_trip_s)
        for item in ended
        if item.end is End.COMPLETE and item.job.at >= WARM_UP_S
    )


# Uses the nearest rank, so that the result is always one of the measured values.
def _quantile(ordered: Sequence[float], share: float) -> float:
    if not ordered:
        return 0.0
    return round(ordered[math.ceil(share * len(ordered)) - 1], 4)
