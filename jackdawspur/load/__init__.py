"""Load generator: callers that submit jobs and check every answer."""

from jackdawspur.load._driver import LoadDriver, LoadPlan
from jackdawspur.load._mix import DEPLOYMENT_MIXES, JobKind, Mix, PlannedJob, plan_job
from jackdawspur.load._report import LoadCounters, LoadReport

__all__ = [
    "DEPLOYMENT_MIXES",
    "JobKind",
    "LoadCounters",
    "LoadDriver",
    "LoadPlan",
    "LoadReport",
    "Mix",
    "PlannedJob",
    "plan_job",
]
