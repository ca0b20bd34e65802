"""Replies that come late, or out of order, free no room that is in use."""

from jackdawspur.leases import CallOutcome, RunResult
from jackdawspur.runs.tests.conftest import FENCE, Leading

LATER_FENCE = FENCE * 2
# An upstream on which nothing runs is looked at once in this time.
IDLE_S = 1.3
# A silent upstream is looked at once in this time.
SOON_S = 0.3


def test_a_late_refusal_frees_no_room_of_a_start_under_a_later_fence():
    # A batch is pressed twice. A start under an earlier term and one of the same run
    # under the present term were both open; the refusal of the first came after the
    # second was carried out, and the task was started on another upstream as well.
    leading = Leading()
    leading.lead()
    leading.offer("aa")
    leading.collect()
    (early,) = leading.starts
    leading.starts.clear()
    leading.lead(LATER_FENCE)
    leading.offer("aa", host="h3", call=7)
    leading.collect()
    (later,) = leading.starts
    assert (later.upstream, later.run) == (early.upstream, early.run)
    leading.upstreams[later.upstream].running["aa.0.0.0"] = later.run.number
    leading.dispatcher.start_replied(early, CallOutcome.FENCED, leading.now)
    leading.settle()
    assert leading.running() == {"aa.0.0.0": [later.upstream]}


def test_a_look_from_before_an_upstream_was_relisted_frees_no_room():
    # A batch is pressed twice. After a cut an upstream left the list and came back;
    # the report of a look from before was taken for a new one, which a start since
    # then had to be listed in.
    leading = Leading(upstreams=1)
    leading.lead()
    (place,) = leading.upstreams
    for _ in range(8):
        leading.now += IDLE_S
        leading.settle()
    leading.now += IDLE_S
    leading.collect()
    old_look = next(look for look in leading.looks if look.upstream == place)
    leading.looks.clear()
    old_report = leading.upstreams[place].report(0)
    leading.dispatcher.set_upstreams([], leading.now)
    leading.dispatcher.tick(leading.now)
    leading.dispatcher.set_upstreams([leading.entry(place)], leading.now)
    leading.offer("aa")
    leading.settle()
    assert leading.running() == {"aa.0.0.0": [place]}
    leading.dispatcher.poll_replied(old_look, old_report, leading.now)
    leading.collect()
    assert not leading.starts


def test_the_end_of_another_run_elsewhere_leaves_a_task_running():
    # A crew is sent twice. The task's first run, of an earlier leading host, had the
    # same number as the present one on another upstream; when it was stopped, the task
    # counted as waiting, and its job's end left the present run without a stop.
    leading = Leading()
    first, other = leading.upstreams.values()
    other.running["aa.0.0.0"] = 1
    leading.silent.add(other.id)
    leading.lead()
    leading.offer("aa")
    leading.settle()
    place = first.id
    assert leading.running() == {"aa.0.0.0": [place, other.id]}
    leading.silent.clear()
    leading.advance(SOON_S)
    assert leading.running() == {"aa.0.0.0": [place]}
    assert [end.result for end in other.ended] in ([], [RunResult.STOPPED])
    leading.dispatcher.drop("h2", "aa", 1, leading.now)
    leading.settle()
    assert not leading.running()


def test_one_refusal_as_fenced_stops_all_starts_until_looks_are_answered():
    # After a cut healed a job's tasks tried one upstream after the other, run after
    # run: each had gone over to the other side's leading host already.
    leading = Leading(upstreams=8)
    leading.lead()
    leading.offer("aa")
    leading.collect()
    (order,) = leading.starts
    leading.starts.clear()
    for upstream in leading.upstreams.values():
        upstream.fence = LATER_FENCE
    leading.dispatcher.start_replied(order, CallOutcome.FENCED, leading.now)
    leading.collect()
    assert not leading.starts
    leading.settle()
    assert not leading.starts and not leading.running()
