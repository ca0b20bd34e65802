"""Upstreams held under fenced leases, and the runs on them."""

from jackdawspur.leases._fence import FENCE_STEP, Fence, fence_at
from jackdawspur.leases._held import HeldUpstream, Phase, Run
from jackdawspur.leases._resources import NO_RESOURCES, Resources
from jackdawspur.leases._types import (
    CallOutcome,
    EndedRun,
    Ending,
    LookReport,
    RunId,
    RunningRun,
    UpstreamEntry,
)

__all__ = [
    "CallOutcome",
    "EndedRun",
    "Ending",
    "FENCE_STEP",
    "Fence",
    "HeldUpstream",
    "LookReport",
    "NO_RESOURCES",
    "Phase",
    "Resources",
    "Run",
    "RunId",
    "RunningRun",
    "UpstreamEntry",
    "fence_at",
]
