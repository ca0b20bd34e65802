"""Steps, labels and bounds decide when and where tasks start."""

from dataclasses import replace

from jackdawspur.leases import UpstreamEntry
from jackdawspur.runs import JobRequest, JobStep, Offer
from jackdawspur.runs.tests.conftest import PATIENT, TASK, Leading


def offer(leading: Leading, *steps: JobStep) -> None:
    request = JobRequest("aa", "spec", steps, PATIENT)
    offered = Offer(request, "h2", 1, leading.now, leading.now + 5.0)
    leading.dispatcher.offer(offered, leading.now)
    leading.settle()


def label(leading: Leading, *labels: str) -> None:
    """Give the upstreams these labels, in their order."""
    entries: list[UpstreamEntry] = []
    for one, text in zip(leading.upstreams, labels, strict=True):
        entries.append(replace(leading.entry(one), labels=(text,)))
    leading.dispatcher.set_upstreams(entries, leading.now)


def test_a_step_waits_for_the_steps_before_it(leading: Leading):
    # A clean is confirmed before its crew was assigned: a later step began while a task
    # of an earlier one still ran.
    offer(leading, JobStep(2, TASK, 200.0), JobStep(1, TASK, 200.0, after=(0,)))
    assert set(leading.running()) == {"aa.0.0.0", "aa.0.0.1"}
    for name in ("aa.0.0.0", "aa.0.0.1"):
        assert "aa.0.1.0" not in leading.running()
        (place,) = leading.running()[name]
        leading.upstreams[place].end(name)
        leading.settle()
    assert set(leading.running()) == {"aa.0.1.0"}


def test_a_needed_label_is_obeyed_though_the_other_upstream_is_free(leading: Leading):
    label(leading, "a", "b")
    offer(leading, JobStep(4, TASK, 200.0, label="b"))
    assert [len(u.running) for u in leading.upstreams.values()] == [0, 2]


def test_a_near_rack_is_preferred_and_not_needed(leading: Leading):
    label(leading, "r1", "r2")
    offer(leading, JobStep(3, TASK, 200.0, near="r2"))
    assert [len(u.running) for u in leading.upstreams.values()] == [1, 2]


def test_an_upstream_gets_no_more_tasks_of_a_step_than_allowed(leading: Leading):
    offer(leading, JobStep(4, TASK, 200.0, most_per_upstream=1))
    assert [len(u.running) for u in leading.upstreams.values()] == [1, 1]


def test_a_draining_upstream_gets_no_task(leading: Leading):
    first, second = leading.upstreams
    entries = [leading.entry(first, draining=True), leading.entry(second)]
    leading.dispatcher.set_upstreams(entries, leading.now)
    offer(leading, JobStep(4, TASK, 200.0))
    assert [len(u.running) for u in leading.upstreams.values()] == [0, 2]
