"""A task never has two runs at one time."""

from jackdawspur.leases import CallOutcome, RunResult
from jackdawspur.runs import DropCause, JobEnd, Progress
from jackdawspur.runs.tests.conftest import FENCE, PATIENT, Leading


def test_a_job_ends_complete_with_its_last_task(leading: Leading):
    leading.offer("aa", tasks=3)
    leading.settle()
    names = sorted(leading.running())
    assert names == ["aa.0.0.0", "aa.0.0.1", "aa.0.0.2"]
    for name in names:
        assert not leading.answers
        upstream = leading.upstreams[leading.running()[name][0]]
        upstream.end(name)
        leading.settle()
    assert [a.outcome.end for a in leading.answers] == [JobEnd.COMPLETE]


def test_no_upstream_gets_more_than_its_capacity(leading: Leading):
    leading.offer("aa", tasks=9)
    leading.settle()
    assert [len(u.running) for u in leading.upstreams.values()] == [2, 2]


def test_an_unanswered_start_that_ran_is_found_and_not_repeated(leading: Leading):
    # A caller's task is billed twice. The start's reply was lost after the upstream
    # had carried it out, and the host sent the task to another upstream.
    leading.offer("aa")
    leading.collect()
    leading.lose_start(carried_out=True)
    leading.collect()
    assert not leading.starts
    leading.settle()
    assert {len(places) for places in leading.running().values()} == {1}
    assert leading.running().keys() == {"aa.0.0.0"}


def test_an_unanswered_start_is_barred_before_it_is_repeated(leading: Leading):
    # A caller's task is billed twice. A start got no reply and was carried out seconds
    # later, when the task already ran elsewhere. Looks under a higher token bar it.
    leading.offer("aa")
    leading.collect()
    order = leading.lose_start(carried_out=False)
    leading.settle()
    upstream = leading.upstreams[order.upstream]
    assert upstream.fence > order.fence
    assert sum(map(len, leading.running().values())) == 1


def test_a_silent_upstreams_task_waits_for_the_end_of_its_lease(leading: Leading):
    # A task runs twice at one time. Its upstream was cut off and ran on, and the host
    # started the task again as soon as it had no answer.
    leading.offer("aa")
    leading.settle()
    (place,) = leading.running()["aa.0.0.0"]
    leading.silent.add(place)
    leading.advance(0.4)
    assert leading.running()["aa.0.0.0"] == [place]
    leading.upstreams[place].running.clear()
    leading.advance(0.6)
    (other,) = leading.running()["aa.0.0.0"]
    assert other != place


def test_a_dropped_job_whose_stop_is_lost_gets_no_longer_lease(leading: Leading):
    # A caller that left asks again elsewhere and its task runs twice. The stop of the
    # first run was lost while looks for other tasks prolonged the lease for all.
    leading.offer("aa")
    leading.offer("bb", call=2)
    leading.settle()
    leading.dispatcher.drop("h2", "aa", 1, leading.now)
    leading.collect()
    (order,) = leading.stops
    leading.stops.clear()
    leading.dispatcher.stop_replied(order, CallOutcome.UNKNOWN, leading.now)
    leading.looks.clear()
    leading.now += 0.01
    held = next(
        h
        for h in leading.dispatcher.upstream_pool.upstreams
        if h.entry.id == order.upstream
    )
    held.pending_polls.clear()
    leading.collect()
    look = next(look for look in leading.looks if look.upstream == order.upstream)
    assert look.lease_until_ms is None


def test_the_same_job_again_waits_until_its_first_run_is_gone(leading: Leading):
    # A caller's channel breaks, and its request arrives again while the first run is
    # still being stopped: the task would run twice for a moment.
    leading.offer("aa")
    leading.settle()
    (place,) = leading.running()["aa.0.0.0"]
    leading.dispatcher.drop("h2", "aa", 1, leading.now)
    leading.offer("aa", host="h1", call=9)
    leading.collect()
    assert not leading.starts
    leading.settle()
    assert sum(map(len, leading.running().values())) == 1
    assert leading.upstreams[place].ends == 1


def test_a_failed_task_runs_again_up_to_its_attempts(leading: Leading):
    leading.offer("aa")
    for _ in range(3):
        leading.settle()
        ((name, (place,)),) = leading.running().items()
        leading.upstreams[place].end(name, RunResult.FAILED)
    leading.settle()
    assert [a.outcome.end for a in leading.answers] == [JobEnd.FAILED]
    assert not leading.running()


def test_a_run_of_unknown_size_closes_its_upstream_until_it_is_stopped():
    # An upstream is driven over its capacity. A new leading host found a run whose job
    # it did not have, counted it as nothing and filled the upstream.
    leading = Leading(upstreams=1)
    (upstream,) = leading.upstreams.values()
    upstream.running["old.0.0.0"] = 1
    leading.lead()
    leading.offer("aa", tasks=2)
    leading.settle()
    assert set(upstream.running) == {"old.0.0.0"}
    leading.advance(0.5)
    assert set(upstream.running) == {"aa.0.0.0", "aa.0.0.1"}


def test_a_handed_over_job_keeps_what_runs_of_it():
    # A leading host dies; its jobs' tasks are started again beside the old runs.
    leading = Leading()
    upstream = next(iter(leading.upstreams.values()))
    upstream.running["aa.0.0.1"] = 1
    leading.lead()
    leading.offer("aa", tasks=2, handovers=1, progress=Progress(("aa.0.0.0",)))
    leading.settle()
    assert leading.running() == {"aa.0.0.1": [upstream.id]}
    upstream.end("aa.0.0.1")
    leading.settle()
    assert [a.outcome.end for a in leading.answers] == [JobEnd.COMPLETE]


def test_a_handed_over_job_waits_for_upstreams_that_do_not_answer():
    # A task runs twice: the new leading host can't reach an upstream on which the old
    # one, cut off from the new but not from that upstream, still runs the task.
    leading = Leading()
    first = next(iter(leading.upstreams))
    leading.silent.add(first)
    leading.lead()
    leading.offer("aa", route=PATIENT, deadline=leading.now + 5.0, handovers=1)
    leading.settle()
    assert not leading.running()
    leading.advance(1.0)
    assert not leading.running()
    leading.advance(0.2)
    assert len(leading.running()) == 1


def test_a_higher_fence_elsewhere_stops_all_starts_there():
    leading = Leading(upstreams=1)
    (upstream,) = leading.upstreams.values()
    leading.lead()
    upstream.fence = FENCE * 4
    leading.offer("aa")
    leading.settle()
    assert not leading.running()
    assert leading.dispatcher.upstream_pool.fenced_since is not None


def test_every_listed_run_takes_room_though_its_task_runs_elsewhere():
    # An upstream is driven over its capacity. Two leading hosts had started the same
    # task in turn, and the run found second was counted as no load.
    leading = Leading(upstreams=2)
    first, second = leading.upstreams.values()
    first.running["aa.0.0.0"] = 1
    second.running["aa.0.0.0"] = 17
    leading.lead()
    leading.offer("aa", handovers=1)
    leading.offer("bb", tasks=4, call=2)
    leading.collect()
    assert all(len(u.running) <= 2 for u in leading.upstreams.values())
    leading.settle()
    assert sum("aa.0.0.0" in u.running for u in (first, second)) <= 1
    assert all(len(u.running) <= 2 for u in leading.upstreams.values())


def test_a_handed_over_job_waits_for_an_idle_upstream_that_was_cut_off(
    leading: Leading,
):
    # A task runs twice after a cut heals. The other side's leading host had taken over
    # an upstream that was idle when the cut began; this one, which got that host's
    # jobs, still counted the upstream as its own and as empty.
    first = next(iter(leading.upstreams))
    leading.silent.add(first)
    leading.advance(1.0)
    leading.offer("aa", handovers=1)
    leading.settle()
    assert not leading.running()


def test_a_task_that_ended_between_two_leading_hosts_is_not_done_again():
    # A crew is sent twice: its task ended just after the leading host died, the next
    # one took note of an end that it knew nothing of, and started the task again.
    leading = Leading()
    upstream = next(iter(leading.upstreams.values()))
    upstream.running["aa.0.0.0"] = 1
    upstream.end("aa.0.0.0")
    leading.lead()
    leading.offer("aa", handovers=1)
    leading.settle()
    assert [a.outcome.end for a in leading.answers] == [JobEnd.COMPLETE]
    assert not leading.running()


def test_a_handed_over_job_waits_for_an_upstream_that_vanished_from_the_list(
    leading: Leading,
):
    # A task runs twice after a long cut: the entry of its upstream had lapsed, and the
    # host that got the job back believed that it held all upstreams there are.
    first, second = leading.upstreams
    leading.dispatcher.set_upstreams([leading.entry(second)], leading.now)
    leading.advance(0.1)
    leading.offer("aa", route=PATIENT, deadline=leading.now + 5.0, handovers=1)
    leading.settle()
    assert not leading.running()
    leading.offer("bb", call=2)
    leading.settle()
    assert set(leading.running()) == {"bb.0.0.0"}
    leading.advance(1.2)
    assert set(leading.running()) == {"aa.0.0.0", "bb.0.0.0"}


def test_an_offer_repeated_after_its_answer_is_answered_again_and_not_run(
    leading: Leading,
):
    # A caller waits to its limit for a job that is long done, or its task is done
    # twice: the answer was lost with a connection that went silent.
    leading.offer("aa")
    leading.settle()
    (place,) = leading.running()["aa.0.0.0"]
    leading.upstreams[place].end("aa.0.0.0")
    leading.settle()
    leading.offer("aa")
    leading.settle()
    assert [a.outcome.end for a in leading.answers] == [JobEnd.COMPLETE] * 2
    assert not leading.running()


def test_a_host_that_leads_again_counts_no_starts_of_its_earlier_lead(
    leading: Leading,
):
    # Upstreams that once failed a task get no more work: their one trial task counted
    # as running for ever, since its end had gone to the host that led in between.
    leading.offer("aa", tasks=4)
    leading.settle()
    leading.dispatcher.stop_leading(leading.now)
    for upstream in leading.upstreams.values():
        upstream.running.clear()
    leading.lead(FENCE * 2)
    leading.offer("bb", tasks=4)
    leading.settle()
    for name, (place,) in list(leading.running().items()):
        leading.upstreams[place].end(name, RunResult.FAILED)
    leading.settle()
    assert leading.running()


def test_a_job_that_was_dropped_after_a_start_is_never_refused_as_not_run(
    leading: Leading,
):
    # A client is told that its job did not run, and it did: its host had not been heard
    # for a moment, the job was dropped while its task ran, and when the host offered it
    # again it was too late for it.
    leading.offer("aa")
    leading.settle()
    leading.dispatcher.drop_host("h2", DropCause.SILENT, leading.now)
    leading.settle()
    leading.offer("aa", deadline=leading.now + 0.1)
    leading.advance(0.1)
    (answer,) = leading.answers
    assert not answer.outcome.not_run
    assert answer.outcome.end is JobEnd.OUT_OF_TIME


def test_the_lease_of_a_run_that_is_taken_over_is_prolonged_at_once():
    # Callers wait 0.6 s longer after the leading host died: the next one found their
    # runs, and its next look, sent before it had their jobs, waited 0.2 s for an end
    # without prolonging the lease. The runs ended and started all over again.
    leading = Leading(upstreams=1)
    (upstream,) = leading.upstreams.values()
    upstream.running["aa.0.0.0"] = 1
    leading.dispatcher.start_leading(FENCE, leading.now)
    leading.collect()
    leading.reply_looks()
    leading.collect()
    assert [look.lease_until_ms for look in leading.looks] == [None]
    leading.offer("aa", handovers=1)
    leading.collect()
    assert leading.looks[-1].lease_until_ms is not None
    assert leading.looks[-1].wait_ms == 0


def test_a_handed_over_job_that_must_wait_too_long_is_given_up_early():
    # A skipper is kept waiting for nothing: after a cut the new leading host may start
    # the tasks again only 1.1 s later, too late for the caller, who got no answer until
    # its time was nearly over.
    leading = Leading()
    leading.silent.add(next(iter(leading.upstreams)))
    leading.lead()
    leading.offer(
        "aa", handovers=1, arrived=leading.now - 0.5, deadline=leading.now + 1.0
    )
    leading.advance(0.2)
    assert not leading.answers
    leading.advance(0.2)
    assert [a.outcome.end for a in leading.answers] == [JobEnd.OUT_OF_TIME]


def test_a_handed_over_job_with_time_left_waits_and_runs():
    leading = Leading()
    leading.silent.add(next(iter(leading.upstreams)))
    leading.lead()
    leading.offer("aa", route=PATIENT, handovers=1, deadline=leading.now + 3.0)
    leading.advance(1.2)
    assert not leading.answers
    assert len(leading.running()) == 1
