"""Leases of upstreams with fencing tokens, and the runs on them."""

from jackdawspur.leases._fence import FENCE_STEP, Fence, next_fence
from jackdawspur.leases._leased_upstream import LeasedUpstream, Run, RunPhase
from jackdawspur.leases._resources import NO_RESOURCES, Resources
from jackdawspur.leases._types import (
    CallOutcome,
    EndedRun,
    PollReport,
    RunId,
    RunningRun,
    RunResult,
    UpstreamEntry,
)

__all__ = [
    "CallOutcome",
    "EndedRun",
    "FENCE_STEP",
    "Fence",
    "LeasedUpstream",
    "NO_RESOURCES",
    "PollReport",
    "Resources",
    "Run",
    "RunId",
    "RunPhase",
    "RunResult",
    "RunningRun",
    "UpstreamEntry",
    "next_fence",
]
