"""Faults of the platform, through the real decisions on virtual time.

The invariant checker sees only what upstreams and callers saw. Figures come from one
seed, so each count is exact.
"""

import pytest

from jackdawspur.bench import PRODUCT_POLICY

FAULTS_OVER_S = 6.0
# More than an ejection needs, far less than the jobs that a fault meets.
JOBS_LOST_TO_A_BAD_WORKER = 3
# Measured over these six seconds, which hold a job of 289 tasks, and a tenth more.
TAIL_AT_USUAL_LOAD = [("ramdenee", 1.56), ("derinsu", 1.8)]


@pytest.mark.parametrize("deployment", ["ramdenee", "derinsu"])
def test_steady_load_wastes_nothing(run, deployment):
    """All callers are served, and no message is wasted while nothing fails.

    Jobs arrive at six hosts which share the zone's slots without a coordinator. Were
    two hosts to believe in the same free slot, an upstream would refuse a start.
    """
    outcome = run("steady", PRODUCT_POLICY, deployment, load=0.3)
    assert outcome.broken == {}
    assert outcome.figures.failed == outcome.figures.lost == 0
    assert outcome.figures.wasted_per_job < 0.01


@pytest.mark.parametrize(("deployment", "most"), TAIL_AT_USUAL_LOAD)
def test_usual_load_keeps_the_tail_and_refuses_nobody(run, deployment, most):
    """Callers of wide jobs wait, though slots of other hosts and zones lie idle.

    At 70 % load each host alone often lacks slots that others have to spare.
    """
    outcome = run("steady", PRODUCT_POLICY, deployment, seconds=FAULTS_OVER_S)
    assert outcome.broken == {}
    assert outcome.figures.refused == outcome.figures.failed == 0
    assert outcome.figures.p99 <= most
    assert outcome.figures.wasted_per_job < 0.01


def test_always_failing_worker_costs_few_jobs(run):
    """Some callers see a failed job, then all is well again.

    From the fourth second on one upstream fails at once whatever it starts, and looks
    the freest of all. Without ejection it would draw most jobs to itself.
    """
    outcome = run("worker_fails_all", PRODUCT_POLICY, seconds=FAULTS_OVER_S)
    assert outcome.broken == {}
    assert outcome.figures.jobs_lost <= JOBS_LOST_TO_A_BAD_WORKER


def test_lost_replies_start_nothing_twice(run):
    """Callers notice little; every answer is whole.

    One reply in fifty is lost after its effect: starts, status queries, results and
    appends to the log. A start sent again would run its task twice.
    """
    outcome = run("lost_replies", PRODUCT_POLICY)
    assert outcome.broken == {}
    assert outcome.figures.status_queries > 0
    assert outcome.figures.jobs_lost == 0
