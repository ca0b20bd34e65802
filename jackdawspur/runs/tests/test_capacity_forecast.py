"""When room comes free by the runs under way."""

import pytest

from jackdawspur.runs._capacity_forecast import CapacityForecast

CORE = 1000.0


@pytest.mark.parametrize(
    ("ahead_s", "begins_s"),
    [(0.0, 0.1), (0.4, 0.5), (0.9, 1.0), (1.9, 1.5), (2.9, 2.0)],
)
def test_work_begins_as_one_run_after_the_other_ends(ahead_s: float, begins_s: float):
    # Two cores: one is free from 0.1 s on, the other from 1 s on.
    room = CapacityForecast(2 * CORE, [(1.0, CORE), (0.1, CORE)])
    assert room.start_delay_s(ahead_s * CORE) == pytest.approx(begins_s)


def test_work_begins_at_once_where_room_is_free():
    room = CapacityForecast(2 * CORE, [(5.0, CORE)])
    assert room.start_delay_s(0.0) == 0.0
    assert room.start_delay_s(0.5 * CORE) == pytest.approx(0.5)


def test_work_beyond_all_runs_is_done_by_all_upstreams():
    room = CapacityForecast(2 * CORE, [(1.0, CORE), (1.0, CORE)])
    assert room.start_delay_s(4.0 * CORE) == pytest.approx(3.0)


def test_runs_on_lost_upstreams_free_no_more_than_there_is():
    # Capacity counts no upstream that is lost, its runs are still listed.
    room = CapacityForecast(CORE, [(0.5, CORE), (1.0, CORE)])
    assert room.start_delay_s(0.0) == pytest.approx(1.0)
    assert room.start_delay_s(1.0 * CORE) == pytest.approx(2.0)
