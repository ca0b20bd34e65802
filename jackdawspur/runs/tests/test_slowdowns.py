"""Upstreams' speeds are learned from tasks that ran side by side."""

import random

from jackdawspur.model import UpstreamId
from jackdawspur.runs._slowdowns import Slowdowns

FAST, EVEN, SLOW = (UpstreamId("z1", name) for name in ("fast", "even", "slow"))


def test_speeds_are_told_apart_though_jobs_differ_by_far():
    slowdowns, rng = Slowdowns(), random.Random(4)
    slowdowns.set_upstreams([FAST, EVEN, SLOW])
    for _ in range(60):
        work = rng.lognormvariate(6.0, 0.4)
        took = [(FAST, 0.8), (EVEN, 1.0), (SLOW, 1.25)]
        slowdowns.learn([(one, work * f * rng.uniform(0.85, 1.15)) for one, f in took])
    assert (
        slowdowns.factor(FAST)
        < 0.9
        < slowdowns.factor(EVEN)
        < 1.1
        < slowdowns.factor(SLOW)
    )


def test_an_upstream_that_turns_slow_is_believed_at_once():
    # Jobs are late one after the other: an upstream takes six times as long all of a
    # sudden, and the average over its past hides that for a dozen jobs.
    slowdowns = Slowdowns()
    slowdowns.set_upstreams([FAST, EVEN, SLOW])
    for _ in range(2):
        slowdowns.learn([(FAST, 100.0), (EVEN, 100.0), (SLOW, 600.0)])
    assert slowdowns.factor(SLOW) > 3.0
    assert slowdowns.factor(EVEN) < 1.2


def test_paces_do_not_drift_together():
    # Hardly a job is served any more: all upstreams came to count as slow, what jobs
    # take was corrected by that, and jobs of 200 ms were expected to take 11 ms.
    slowdowns, rng = Slowdowns(), random.Random(5)
    upstreams = [UpstreamId("z1", f"u{n}") for n in range(9)]
    slowdowns.set_upstreams(upstreams)
    for _ in range(500):
        one, other = rng.sample(upstreams, 2)
        stalled = rng.choice([1.0, 1.0, 1.0, 8.0])
        slowdowns.learn([(one, 100.0), (other, 100.0 * stalled)])
    middle = sorted(slowdowns.factor(one) for one in upstreams)[4]
    assert 0.8 < middle < 1.25


def test_a_job_that_ends_when_all_upstreams_left_the_list_teaches_nothing():
    # A host's decisions stop with an error: its last upstreams had left the list while
    # the last job's tasks ended there, and there was no median of no slowdowns.
    slowdowns = Slowdowns()
    slowdowns.set_upstreams([])
    gone = UpstreamId("z1", "gone")
    slowdowns.learn([(gone, 100.0), (gone, 110.0)])
    assert slowdowns.factor(gone) == 1.0


def test_a_few_jobs_tell_an_upstream_that_is_slower_by_a_third():
    # Guards against learning slow upstreams over a dozen jobs each.
    rng, off = random.Random(6), []
    for _ in range(40):
        slowdowns = Slowdowns()
        slowdowns.set_upstreams([FAST, EVEN, SLOW])
        for _ in range(5):
            took = [(FAST, 1.0), (EVEN, 1.0), (SLOW, 1.3)]
            slowdowns.learn(
                [(one, 900.0 * f * rng.gauss(1.0, 0.15)) for one, f in took]
            )
        off.append(slowdowns.factor(SLOW) / slowdowns.factor(FAST))
    assert sum(off) / len(off) > 1.15
