"""The largest jobs are served where there is room for all."""

import pytest

from jackdawspur.bench._job_records import servable
from jackdawspur.bench.zones import SCENARIOS, largest_jobs, run_zones_scenario

SEEDS = range(11, 23)
SHORT_S = 12.0
LEAST = 0.95


# Guards against losing the largest jobs that a usual upstream ends in time.
@pytest.mark.parametrize(
    "name",
    ["room for all", "room for all, kinds named", "room for all, waits stated"],
)
def test_the_largest_jobs_that_can_be_served_are_served_where_there_is_room(name):
    (scenario,) = [one for one in SCENARIOS if one.name == name]
    told = servable(
        largest_jobs([run_zones_scenario(scenario, seed, SHORT_S) for seed in SEEDS])
    )
    assert told.servable > 10
    assert told.share >= LEAST, told
