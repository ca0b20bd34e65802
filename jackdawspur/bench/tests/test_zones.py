"""Tests of zones in virtual time, with generated jobs and passes of several events."""

import random
import statistics

import pytest

from jackdawspur.bench._front_simulation import JobKind
from jackdawspur.bench._generated_jobs import generate_job
from jackdawspur.bench._job_records import JobRecord, LostJob, largest_tenth, servable
from jackdawspur.bench._simulated_upstream import RunCounters
from jackdawspur.bench._zone import EventScheduler, Zone
from jackdawspur.bench.zones import LONG_KIND, SCENARIOS, run_zones_scenario

SHORT_S = 2.0
BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


def zone(pass_delay_s: float) -> tuple[EventScheduler, Zone]:
    scheduler = EventScheduler()
    return scheduler, Zone(
        None, scheduler, 0, 2, pass_delay_s, RunCounters(), random.Random(3)
    )


def test_run_times_and_estimates_of_a_job_have_the_spread_of_real_jobs():
    # Guards against a bench without the kind of jobs that get lost: if run times were
    # uniform within 0.15, the longest task would never be much longer than the others.
    rng = random.Random(5)
    kind = JobKind("long", 1.0, 4, 0.9)
    jobs = [generate_job(kind, f"{number:016x}", rng) for number in range(3000)]
    ratios, declared = [], []
    for job in jobs:
        run_times_s = list(job.demand.run_times_s.values())
        if len(run_times_s) == 4:
            mean_s = statistics.mean(run_times_s)
            ratios += [run_s / mean_s for run_s in run_times_s]
        declared.append(job.request.steps[0].estimate_ms / 1000.0)
    # Deviation of four tasks from their own mean: 0.15 times the square root of 3/4.
    assert 0.12 < statistics.pstdev(ratios) < 0.14
    assert max(ratios) > 1.3
    assert (
        0.85 < statistics.mean(max(j.demand.run_times_s.values()) for j in jobs) < 1.2
    )
    assert max(declared) > 3.0


def test_events_of_one_pass_are_handled_in_random_order():
    # Guards against a simulation in which no tick comes between the offer of a job and
    # its placement.
    scheduler, tested_zone = zone(0.005)
    handled: list[str] = []
    for _ in range(20):
        tested_zone.post(lambda: handled.append("offer"))
        tested_zone.post(lambda: handled.append("tick"))
        scheduler.run(scheduler.now + 0.01)
        handled.append("|")
    passes = "".join(handled).split("|")
    assert {"offertick", "tickoffer"} <= set(passes)


def test_without_a_pass_delay_each_event_is_handled_immediately():
    _, tested_zone = zone(0.0)
    handled: list[str] = []
    for name in ("offer", "tick"):
        tested_zone.post(lambda name=name: handled.append(name))
        assert handled[-1] == name


@pytest.mark.parametrize("name", ["three zones, one in a burst", "two zones, one full"])
def test_zones_redirect_jobs_and_run_no_task_twice(name: str):
    result = run_zones_scenario(BY_NAME[name], seed=11, seconds=7.0)
    assert result.redirected > 0
    assert result.counters.starts > 100
    assert result.counters.two_at_once == 0
    assert result.counters.over_capacity == 0


def test_every_job_has_one_record_and_each_lost_job_a_cause():
    result = run_zones_scenario(BY_NAME["new leader"], seed=11, seconds=6.0)
    assert len(result.records) == result.offered
    lost = [job for job in result.records if not job.served]
    assert lost
    assert all(job.lost.cause != "no_answer" for job in lost)


def test_equal_runs_of_zones_give_equal_results():
    scenario = BY_NAME["two zones, one full"]
    results = [run_zones_scenario(scenario, seed=11, seconds=SHORT_S) for _ in range(2)]
    assert results[0] == results[1]


def test_only_servable_jobs_count_as_lost():
    lost = LostJob("late_start", "late start")
    records = [
        JobRecord(LONG_KIND, size, 1.0, served, could, lost=None if served else lost)
        for size, served, could in (
            (1.0, True, True),
            (2.0, False, True),
            (3.0, False, False),
        )
    ]
    counts = servable(records)
    assert (counts.jobs, counts.servable, counts.served, counts.share) == (3, 2, 1, 0.5)
    assert counts.causes == {"late_start, late start": 1}
    assert largest_tenth(records * 10, LONG_KIND) == [records[2]] * 3
