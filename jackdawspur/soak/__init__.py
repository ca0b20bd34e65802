"""Real processes under faults: a deployment, its faults, and what must still hold."""

from jackdawspur.soak._checks import Findings, check
from jackdawspur.soak._deployment import Answer, Deployment, answers, stop, wait_until
from jackdawspur.soak._plan import Fault, FaultKind, Layout, layout_of, plan_faults
from jackdawspur.soak._proxy import Passage, Proxy
from jackdawspur.soak._soak import SoakResult, run_seed

__all__ = [
    "Answer",
    "Deployment",
    "Fault",
    "FaultKind",
    "Findings",
    "Layout",
    "Passage",
    "Proxy",
    "SoakResult",
    "answers",
    "check",
    "layout_of",
    "plan_faults",
    "run_seed",
    "stop",
    "wait_until",
]
