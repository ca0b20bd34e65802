"""Tests of the product's policy under faults of the platform, in virtual time.

The invariant checker uses only what upstreams and callers observe. The figures are of
one seed, so each count is exact.
"""

import pytest

from jackdawspur.bench import PRODUCT_POLICY

RUN_S = 6.0
# More than are lost until an ejection, far fewer than the fault affects without one.
MAX_JOBS_LOST_TO_FAILING_UPSTREAM = 3
# The p99 measured over RUN_S plus a tenth; these runs include a job of 289 tasks.
MAX_P99_AT_USUAL_LOAD = [("ramdenee", 1.56), ("derinsu", 1.8)]


@pytest.mark.parametrize("deployment", ["ramdenee", "derinsu"])
def test_steady_load_wastes_nothing(run, deployment):
    """All callers are served, and no message is wasted while nothing fails.

    Jobs arrive at six hosts, which share the slots of their zones without a
    coordinator. If two hosts used the same free slot, an upstream would refuse a start.
    """
    outcome = run("steady", PRODUCT_POLICY, deployment, load=0.3)
    assert outcome.broken == {}
    assert outcome.figures.failed == outcome.figures.lost == 0
    assert outcome.figures.wasted_per_job < 0.01


@pytest.mark.parametrize(("deployment", "max_p99"), MAX_P99_AT_USUAL_LOAD)
def test_usual_load_keeps_p99_within_its_bound_and_refuses_no_job(
    run, deployment, max_p99
):
    """Jobs of many tasks must not wait while slots of other hosts and zones are free.

    At 70 % load, a host often lacks slots that other hosts don't need.
    """
    outcome = run("steady", PRODUCT_POLICY, deployment, seconds=RUN_S)
    assert outcome.broken == {}
    assert outcome.figures.refused == outcome.figures.failed == 0
    assert outcome.figures.p99 <= max_p99
    assert outcome.figures.wasted_per_job < 0.01


def test_always_failing_worker_costs_few_jobs(run):
    """A few jobs fail, then none.

    From the fourth second on, one upstream fails every task immediately, and so
    appears to have the most free slots. Without ejection it would get most jobs.
    """
    outcome = run("worker_fails_all", PRODUCT_POLICY, seconds=RUN_S)
    assert outcome.broken == {}
    assert outcome.figures.jobs_lost <= MAX_JOBS_LOST_TO_FAILING_UPSTREAM


def test_lost_replies_start_nothing_twice(run):
    """Callers are hardly affected; every answer is complete.

    One reply in fifty is lost after the call took effect: of starts, status queries,
    results and appends to the log. A repeated start would run its task twice.
    """
    outcome = run("lost_replies", PRODUCT_POLICY)
    assert outcome.broken == {}
    assert outcome.figures.status_queries > 0
    assert outcome.figures.jobs_lost == 0
