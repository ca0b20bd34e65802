"""Slowdowns of upstreams are learned from tasks that ran side by side."""

import random

from jackdawspur.model import UpstreamId
from jackdawspur.runs._slowdowns import Slowdowns

FAST, TYPICAL, SLOW = (UpstreamId("z1", name) for name in ("fast", "even", "slow"))


def test_speeds_are_distinguished_although_jobs_differ_widely():
    slowdowns, rng = Slowdowns(), random.Random(4)
    slowdowns.set_upstreams([FAST, TYPICAL, SLOW])
    for _ in range(60):
        work_ms = rng.lognormvariate(6.0, 0.4)
        factors = [(FAST, 0.8), (TYPICAL, 1.0), (SLOW, 1.25)]
        slowdowns.learn(
            [
                (upstream, work_ms * f * rng.uniform(0.85, 1.15))
                for upstream, f in factors
            ]
        )
    assert (
        slowdowns.factor(FAST)
        < 0.9
        < slowdowns.factor(TYPICAL)
        < 1.1
        < slowdowns.factor(SLOW)
    )


def test_an_upstream_that_becomes_slow_counts_as_slow_at_once():
    # Jobs were late one after the other: an upstream suddenly took six times as long,
    # and the average over its past hid that for a dozen jobs.
    slowdowns = Slowdowns()
    slowdowns.set_upstreams([FAST, TYPICAL, SLOW])
    for _ in range(2):
        slowdowns.learn([(FAST, 100.0), (TYPICAL, 100.0), (SLOW, 600.0)])
    assert slowdowns.factor(SLOW) > 3.0
    assert slowdowns.factor(TYPICAL) < 1.2


def test_slowdowns_do_not_drift_together():
    # Hardly any job was served: all upstreams came to count as slow, the learned run
    # times were corrected by that, and jobs of 200 ms were expected to take 11 ms.
    slowdowns, rng = Slowdowns(), random.Random(5)
    upstreams = [UpstreamId("z1", f"u{n}") for n in range(9)]
    slowdowns.set_upstreams(upstreams)
    for _ in range(500):
        first, second = rng.sample(upstreams, 2)
        stalled = rng.choice([1.0, 1.0, 1.0, 8.0])
        slowdowns.learn([(first, 100.0), (second, 100.0 * stalled)])
    median = sorted(slowdowns.factor(upstream) for upstream in upstreams)[4]
    assert 0.8 < median < 1.25


def test_nothing_is_learned_after_all_upstreams_left_the_list():
    # The core logic of a host stopped with an error: its last upstreams had left the
    # list while the last job's tasks ended there, and the median of no slowdowns does
    # not exist.
    slowdowns = Slowdowns()
    slowdowns.set_upstreams([])
    gone = UpstreamId("z1", "gone")
    slowdowns.learn([(gone, 100.0), (gone, 110.0)])
    assert slowdowns.factor(gone) == 1.0


def test_a_few_jobs_reveal_an_upstream_that_is_a_third_slower():
    # Guards against a dozen jobs on each slow upstream before its slowdown is known.
    rng, ratios = random.Random(6), []
    for _ in range(40):
        slowdowns = Slowdowns()
        slowdowns.set_upstreams([FAST, TYPICAL, SLOW])
        for _ in range(5):
            factors = [(FAST, 1.0), (TYPICAL, 1.0), (SLOW, 1.3)]
            slowdowns.learn(
                [
                    (upstream, 900.0 * f * rng.gauss(1.0, 0.15))
                    for upstream, f in factors
                ]
            )
        ratios.append(slowdowns.factor(SLOW) / slowdowns.factor(FAST))
    assert sum(ratios) / len(ratios) > 1.15
