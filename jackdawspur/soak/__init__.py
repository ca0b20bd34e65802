"""Fault-injection tests of real processes, with invariants checked at the end."""

from jackdawspur.soak._checks import Findings, check
from jackdawspur.soak._deployment import (
    Answer,
    Deployment,
    stop_host,
    wait_for_answers,
    wait_until,
)
from jackdawspur.soak._plan import Fault, FaultKind, Layout, layout_of, plan_faults
from jackdawspur.soak._proxy import Proxy, ProxyMode
from jackdawspur.soak._soak import SoakResult, run_seed

__all__ = [
    "Answer",
    "Deployment",
    "Fault",
    "FaultKind",
    "Findings",
    "Layout",
    "Proxy",
    "ProxyMode",
    "SoakResult",
    "check",
    "layout_of",
    "plan_faults",
    "run_seed",
    "stop_host",
    "wait_for_answers",
    "wait_until",
]
