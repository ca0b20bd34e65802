"""Forecast of free capacity from the current runs."""

import pytest

from jackdawspur.runs._capacity_forecast import CapacityForecast

CORE = 1000.0


@pytest.mark.parametrize(
    ("ahead_s", "begins_s"),
    [(0.0, 0.1), (0.4, 0.5), (0.9, 1.0), (1.9, 1.5), (2.9, 2.0)],
)
def test_waiting_work_starts_as_runs_end(ahead_s: float, begins_s: float):
    # Two cores: one becomes free after 0.1 s, the other after 1 s.
    forecast = CapacityForecast(2 * CORE, [(1.0, CORE), (0.1, CORE)])
    assert forecast.start_delay_s(ahead_s * CORE) == pytest.approx(begins_s)


def test_work_starts_at_once_on_free_capacity():
    forecast = CapacityForecast(2 * CORE, [(5.0, CORE)])
    assert forecast.start_delay_s(0.0) == 0.0
    assert forecast.start_delay_s(0.5 * CORE) == pytest.approx(0.5)


def test_work_after_all_runs_uses_the_total_capacity():
    forecast = CapacityForecast(2 * CORE, [(1.0, CORE), (1.0, CORE)])
    assert forecast.start_delay_s(4.0 * CORE) == pytest.approx(3.0)


def test_runs_on_lost_upstreams_do_not_exceed_capacity():
    # The capacity excludes lost upstreams, but their runs are still listed.
    forecast = CapacityForecast(CORE, [(0.5, CORE), (1.0, CORE)])
    assert forecast.start_delay_s(0.0) == pytest.approx(1.0)
    assert forecast.start_delay_s(1.0 * CORE) == pytest.approx(2.0)
