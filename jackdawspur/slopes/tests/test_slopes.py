"""Slopes match the measured values, and failed runs give no measurement."""

import pytest

from jackdawspur.dispatch import Tick
from jackdawspur.messages import Heartbeat, Pulse
from jackdawspur.slopes import fit
from jackdawspur.slopes._host import DrivenHost, MeasurementError, Sizes
from jackdawspur.slopes._mesh import Mesh
from jackdawspur.slopes._messages import message_slopes


def test_fit_recovers_a_given_line():
    slope = fit("x", "us", "task", (1, 10, 100), lambda size: 7.0 + 3.0 * size)
    assert slope.intercept == pytest.approx(7.0)
    assert (slope.low, slope.per_unit, slope.high) == pytest.approx((3.0, 3.0, 3.0))
    assert slope.points == pytest.approx((10.0, 37.0, 307.0))


def test_range_covers_the_repeats():
    values = iter((0.0, 1.0, 0.0, 3.0, 0.0, 2.0))
    slope = fit("x", "us", "task", (0, 1), lambda _size: next(values), repeats=3)
    assert (slope.low, slope.per_unit, slope.high) == (1.0, 2.0, 3.0)


def test_driven_host_completes_its_jobs():
    host = DrivenHost(Sizes(upstreams=8, customers=2))
    for number in range(4):
        host.run_job(24, number % 2)
    assert host.core.counters.complete == 4
    assert host.core.counters.starts == 96


def test_a_job_without_free_capacity_raises_an_error():
    with pytest.raises(MeasurementError):
        DrivenHost(Sizes(upstreams=2)).run_job(24)


def test_mesh_keeps_all_peers_alive():
    host = DrivenHost(Sizes(upstreams=8, hosts=3, zones=4, customers=5))
    mesh = Mesh(host)
    mesh.join()
    mesh.run(10.0)
    assert len(host.core.state.view.peers()) == 11
    assert host.event_counts[Tick] >= 200
    assert host.event_counts[Pulse]
    assert host.event_counts[Heartbeat]


def test_message_sizes_are_reproducible():
    assert list(message_slopes()) == list(message_slopes())
