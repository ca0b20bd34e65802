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
