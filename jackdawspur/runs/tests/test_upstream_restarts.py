"""An upstream that starts again under its name is not taken for the boot before."""

import pytest

from jackdawspur.model import UpstreamId
from jackdawspur.runs import JobEnd
from jackdawspur.runs.tests.conftest import FakeUpstream, Leading

PLACE = UpstreamId("z1", "u0")
LEASE_MS = 600
IDLE_S = 1.3


def run_jobs(leading: Leading, count: int) -> None:
    """Let jobs run to their ends, one after the other."""
    for number in range(count):
        name = f"b{number}"
        leading.offer(name)
        leading.settle()
        leading.upstreams[PLACE].end(f"{name}.0.0.0")
        leading.settle()


@pytest.fixture
def leading() -> Leading:
    """Return a host whose only upstream has ended some runs."""
    one = Leading(upstreams=1)
    one.lead()
    run_jobs(one, 3)
    one.answers.clear()
    return one


@pytest.fixture
def place(leading: Leading) -> FakeUpstream:
    """Return the only upstream."""
    return leading.upstreams[PLACE]


def test_a_task_that_is_done_after_a_restart_does_not_run_again(
    leading: Leading, place: FakeUpstream
):
    # Guards against taking the first ends of the new boot for ends known already.
    place.start_again()
    leading.advance(IDLE_S)
    leading.offer("aa")
    leading.settle()
    place.end("aa.0.0.0")
    leading.settle()
    assert [one.outcome.end for one in leading.answers] == [JobEnd.COMPLETE]
    assert not place.running


def test_a_run_that_ended_with_its_boot_starts_again(
    leading: Leading, place: FakeUpstream
):
    leading.offer("aa")
    leading.settle()
    place.start_again()
    leading.advance(0.1)
    assert place.running == {"aa.0.0.0": 2}
    assert not leading.answers


def test_a_start_that_the_new_boot_carried_out_is_no_lost_run():
    # Guards against two runs at one time: the start arrived just after the restart.
    leading = Leading(upstreams=2)
    leading.lead()
    leading.offer("aa")
    leading.collect()
    place = leading.upstreams[leading.starts[0].upstream]
    place.start_again()
    leading.settle()
    leading.advance(0.1)
    assert leading.running() == {"aa.0.0.0": [place.id]}


def test_a_late_report_of_the_boot_before_frees_no_room(
    leading: Leading, place: FakeUpstream
):
    # Guards against two runs at one time: a late reply lists no run of the present.
    leading.now += IDLE_S
    leading.collect()
    (old_look,) = leading.looks
    leading.looks.clear()
    old_report = place.report(0)
    place.start_again()
    leading.now += IDLE_S
    leading.settle()
    leading.offer("aa")
    leading.settle()
    leading.dispatcher.poll_replied(old_look, old_report, leading.now)
    leading.settle()
    assert place.running == {"aa.0.0.0": 1}


def test_leases_follow_the_clock_of_the_new_boot(leading: Leading, place: FakeUpstream):
    # Guards against leases that outlast the belief in them: the clock starts anew.
    place.clock_ms = 500_000
    leading.advance(IDLE_S)
    place.start_again()
    leading.advance(IDLE_S)
    leading.offer("aa")
    leading.collect()
    (start,) = leading.starts
    assert place.clock_ms < start.lease_until_ms <= place.clock_ms + LEASE_MS
