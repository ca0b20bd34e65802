"""A slope is what was measured, and a run that went wrong gives none."""

import pytest

from jackdawspur.dispatch import Tick
from jackdawspur.messages import Heartbeat, Pulse
from jackdawspur.slopes import fit
from jackdawspur.slopes._host import DrivenHost, Sizes, WrongRun
from jackdawspur.slopes._mesh import Mesh
from jackdawspur.slopes._messages import message_slopes


def test_fit_finds_a_planted_line():
    slope = fit("x", "us", "task", (1, 10, 100), lambda size: 7.0 + 3.0 * size)
    assert slope.base == pytest.approx(7.0)
    assert (slope.low, slope.each, slope.high) == pytest.approx((3.0, 3.0, 3.0))
    assert slope.points == pytest.approx((10.0, 37.0, 307.0))


def test_range_covers_the_repeats():
    figures = iter((0.0, 1.0, 0.0, 3.0, 0.0, 2.0))
    slope = fit("x", "us", "task", (0, 1), lambda _size: next(figures), repeats=3)
    assert (slope.low, slope.each, slope.high) == (1.0, 2.0, 3.0)


def test_driven_host_completes_its_jobs():
    host = DrivenHost(Sizes(upstreams=8, customers=2))
    for number in range(4):
        host.run_job(24, number % 2)
    assert host.core.counters.complete == 4
    assert host.core.counters.starts == 96


def test_job_that_finds_no_room_is_no_measurement():
    with pytest.raises(WrongRun):
        DrivenHost(Sizes(upstreams=2)).run_job(24)


def test_mesh_keeps_all_peers_alive():
    host = DrivenHost(Sizes(upstreams=8, hosts=3, zones=4, customers=5))
    mesh = Mesh(host)
    mesh.join()
    mesh.run(10.0)
    assert len(host.core.state.view.peers()) == 11
    assert host.handled[Tick] >= 200
    assert host.handled[Pulse]
    assert host.handled[Heartbeat]


def test_bytes_repeat_exactly():
    assert list(message_slopes()) == list(message_slopes())
