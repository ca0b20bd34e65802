"""Zones in virtual time: jobs as callers send them, several events in one pass."""

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


def zone(pass_s: float) -> tuple[EventScheduler, Zone]:
    scheduler = EventScheduler()
    return scheduler, Zone(
        None, scheduler, 0, 2, pass_s, RunCounters(), random.Random(3)
    )


def test_tasks_and_estimates_of_a_job_differ_as_those_of_callers_do():
    # Guards against a bench without the jobs that are lost: with tasks that differ
    # evenly by 0.15 the longest one is never far from the others.
    rng = random.Random(5)
    kind = JobKind("long", 1.0, 4, 0.9)
    jobs = [generate_job(kind, f"{number:016x}", rng) for number in range(3000)]
    shares, declared = [], []
    for job in jobs:
        seconds = list(job.demand.run_times_s.values())
        if len(seconds) == 4:
            middle = statistics.mean(seconds)
            shares += [one / middle for one in seconds]
        declared.append(job.request.steps[0].estimate_ms / 1000.0)
    # Of four tasks about their own mean: 0.15 times the root of three quarters.
    assert 0.12 < statistics.pstdev(shares) < 0.14
    assert max(shares) > 1.3
    assert (
        0.85 < statistics.mean(max(j.demand.run_times_s.values()) for j in jobs) < 1.2
    )
    assert max(declared) > 3.0


def test_what_falls_into_one_pass_is_handled_in_any_order():
    # Guards against ticks that never see a job before it was placed.
    scheduler, one = zone(0.005)
    handled: list[str] = []
    for _ in range(20):
        one.post(lambda: handled.append("offer"))
        one.post(lambda: handled.append("tick"))
        scheduler.run(scheduler.now + 0.01)
        handled.append("|")
    passes = "".join(handled).split("|")
    assert {"offertick", "tickoffer"} <= set(passes)


def test_with_passes_of_no_length_each_event_is_handled_at_once():
    _, one = zone(0.0)
    handled: list[str] = []
    for name in ("offer", "tick"):
        one.post(lambda name=name: handled.append(name))
        assert handled[-1] == name


@pytest.mark.parametrize("name", ["three zones, one in a burst", "two zones, one full"])
def test_zones_pass_jobs_on_and_run_no_task_twice(name: str):
    result = run_zones_scenario(BY_NAME[name], seed=11, seconds=7.0)
    assert result.redirected > 0
    assert result.counters.starts > 100
    assert result.counters.two_at_once == 0
    assert result.counters.over_capacity == 0


def test_every_job_is_told_once_and_each_lost_one_with_its_cause():
    result = run_zones_scenario(BY_NAME["new leader"], seed=11, seconds=6.0)
    assert len(result.records) == result.offered
    lost = [one for one in result.records if not one.served]
    assert lost
    assert all(one.lost.cause != "no_answer" for one in lost)


def test_a_run_of_zones_repeats():
    scenario = BY_NAME["two zones, one full"]
    again = [run_zones_scenario(scenario, seed=11, seconds=SHORT_S) for _ in range(2)]
    assert again[0] == again[1]


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
    told = servable(records)
    assert (told.jobs, told.servable, told.served, told.share) == (3, 2, 1, 0.5)
    assert told.causes == {"late_start, late start": 1}
    assert largest_tenth(records * 10, LONG_KIND) == [records[2]] * 3
