"""Upstreams' speeds are learned from tasks that ran side by side."""

import random

from jackdawspur.model import UpstreamId
from jackdawspur.runs._paces import Paces

FAST, EVEN, SLOW = (UpstreamId("z1", name) for name in ("fast", "even", "slow"))


def test_speeds_are_told_apart_though_jobs_differ_by_far():
    paces, rng = Paces(), random.Random(4)
    paces.set_upstreams([FAST, EVEN, SLOW])
    for _ in range(60):
        work = rng.lognormvariate(6.0, 0.4)
        took = [(FAST, 0.8), (EVEN, 1.0), (SLOW, 1.25)]
        paces.learn([(one, work * f * rng.uniform(0.85, 1.15)) for one, f in took])
    assert paces.of(FAST) < 0.9 < paces.of(EVEN) < 1.1 < paces.of(SLOW)


def test_an_upstream_that_turns_slow_is_believed_at_once():
    # Jobs are late one after the other: an upstream takes six times as long all of a
    # sudden, and the average over its past hides that for a dozen jobs.
    paces = Paces()
    paces.set_upstreams([FAST, EVEN, SLOW])
    for _ in range(2):
        paces.learn([(FAST, 100.0), (EVEN, 100.0), (SLOW, 600.0)])
    assert paces.of(SLOW) > 3.0
    assert paces.of(EVEN) < 1.2


def test_paces_do_not_drift_together():
    # Hardly a job is served any more: all upstreams came to count as slow, what jobs
    # take was corrected by that, and jobs of 200 ms were expected to take 11 ms.
    paces, rng = Paces(), random.Random(5)
    upstreams = [UpstreamId("z1", f"u{n}") for n in range(9)]
    paces.set_upstreams(upstreams)
    for _ in range(500):
        one, other = rng.sample(upstreams, 2)
        stalled = rng.choice([1.0, 1.0, 1.0, 8.0])
        paces.learn([(one, 100.0), (other, 100.0 * stalled)])
    middle = sorted(paces.of(one) for one in upstreams)[4]
    assert 0.8 < middle < 1.25


def test_a_job_that_ends_when_all_upstreams_left_the_list_teaches_nothing():
    # A host's decisions stop with an error: its last upstreams had left the list while
    # the last job's tasks ended there, and there was no median of no paces.
    paces = Paces()
    paces.set_upstreams([])
    gone = UpstreamId("z1", "gone")
    paces.learn([(gone, 100.0), (gone, 110.0)])
    assert paces.of(gone) == 1.0


def test_a_few_jobs_tell_an_upstream_that_is_slower_by_a_third():
    # Guards against learning slow upstreams over a dozen jobs each.
    rng, off = random.Random(6), []
    for _ in range(40):
        paces = Paces()
        paces.set_upstreams([FAST, EVEN, SLOW])
        for _ in range(5):
            took = [(FAST, 1.0), (EVEN, 1.0), (SLOW, 1.3)]
            paces.learn([(one, 900.0 * f * rng.gauss(1.0, 0.15)) for one, f in took])
        off.append(paces.of(SLOW) / paces.of(FAST))
    assert sum(off) / len(off) > 1.15
