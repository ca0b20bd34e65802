"""A load tool: callers that submit jobs and check every answer."""

from jackdawspur.load._driver import LoadDriver, LoadPlan
from jackdawspur.load._mix import DEPLOYMENT_MIXES, JobKind, Mix, PlannedJob, plan_job
from jackdawspur.load._report import LoadReport, Tally

__all__ = [
    "DEPLOYMENT_MIXES",
    "JobKind",
    "LoadDriver",
    "LoadPlan",
    "LoadReport",
    "Mix",
    "PlannedJob",
    "Tally",
    "plan_job",
]
