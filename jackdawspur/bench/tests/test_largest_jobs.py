"""Tests that the largest jobs are served if there is capacity for all jobs."""

import pytest

from jackdawspur.bench._job_records import servable
from jackdawspur.bench.zones import SCENARIOS, largest_jobs, run_zones_scenario

SEEDS = range(11, 23)
SHORT_S = 12.0
MIN_SERVED_SHARE = 0.95


# Guards against losing the largest of the jobs that a median upstream ends in time.
@pytest.mark.parametrize(
    "name",
    ["room for all", "room for all, kinds named", "room for all, waits stated"],
)
def test_the_largest_jobs_that_can_be_served_are_served_where_there_is_room(name):
    (scenario,) = [item for item in SCENARIOS if item.name == name]
    figures = servable(
        largest_jobs([run_zones_scenario(scenario, seed, SHORT_S) for seed in SEEDS])
    )
    assert figures.servable > 10
    assert figures.share >= MIN_SERVED_SHARE, figures
