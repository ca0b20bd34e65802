"""A task never has two runs at the same time."""

from jackdawspur.leases import CallOutcome, RunResult
from jackdawspur.runs import DropCause, JobEnd, Progress
from jackdawspur.runs.tests.conftest import FENCE, LONG_TIMEOUT, Leader


def test_a_job_completes_with_its_last_task(leader: Leader):
    leader.offer("aa", tasks=3)
    leader.settle()
    names = sorted(leader.running())
    assert names == ["aa.0.0.0", "aa.0.0.1", "aa.0.0.2"]
    for name in names:
        assert not leader.answers
        upstream = leader.upstreams[leader.running()[name][0]]
        upstream.end(name)
        leader.settle()
    assert [a.outcome.end for a in leader.answers] == [JobEnd.COMPLETE]


def test_no_upstream_gets_more_than_its_capacity(leader: Leader):
    leader.offer("aa", tasks=9)
    leader.settle()
    assert [len(u.running) for u in leader.upstreams.values()] == [2, 2]


def test_an_unanswered_start_that_ran_is_found_and_not_repeated(leader: Leader):
    # A task ran twice. The reply to its start was lost after the upstream had carried
    # it out, and the host sent the task to another upstream.
    leader.offer("aa")
    leader.collect()
    leader.lose_start(carried_out=True)
    leader.collect()
    assert not leader.starts
    leader.settle()
    assert {len(upstream_ids) for upstream_ids in leader.running().values()} == {1}
    assert leader.running().keys() == {"aa.0.0.0"}


def test_an_unanswered_start_is_fenced_before_it_is_repeated(leader: Leader):
    # A task ran twice. Its start got no reply and was carried out seconds later, when
    # the task already ran elsewhere. Polls under a higher fence prevent this.
    leader.offer("aa")
    leader.collect()
    effect = leader.lose_start(carried_out=False)
    leader.settle()
    upstream = leader.upstreams[effect.upstream]
    assert upstream.fence > effect.fence
    assert sum(map(len, leader.running().values())) == 1


def test_a_task_on_an_unresponsive_upstream_waits_for_the_lease_to_expire(
    leader: Leader,
):
    # A task ran twice at the same time. Its upstream was partitioned and continued the
    # run, and the host started the task again as soon as it got no reply.
    leader.offer("aa")
    leader.settle()
    (upstream_id,) = leader.running()["aa.0.0.0"]
    leader.unresponsive.add(upstream_id)
    leader.advance(0.4)
    assert leader.running()["aa.0.0.0"] == [upstream_id]
    leader.upstreams[upstream_id].running.clear()
    leader.advance(0.6)
    (other,) = leader.running()["aa.0.0.0"]
    assert other != upstream_id


def test_no_lease_is_extended_while_a_stop_is_unacknowledged(leader: Leader):
    # A caller that left retried elsewhere and its task ran twice. The stop of the first
    # run was lost while polls for other tasks extended the lease of all.
    leader.offer("aa")
    leader.offer("bb", call=2)
    leader.settle()
    leader.dispatcher.drop("h2", "aa", 1, leader.now)
    leader.collect()
    (effect,) = leader.stops
    leader.stops.clear()
    leader.dispatcher.stop_replied(effect, CallOutcome.UNKNOWN, leader.now)
    leader.polls.clear()
    leader.now += 0.01
    upstream = next(
        u
        for u in leader.dispatcher.upstream_pool.upstreams
        if u.entry.id == effect.upstream
    )
    upstream.pending_polls.clear()
    leader.collect()
    poll = next(poll for poll in leader.polls if poll.upstream == effect.upstream)
    assert poll.lease_until_ms is None


def test_a_retried_job_waits_until_its_first_run_is_gone(leader: Leader):
    # A caller's connection failed, and its request arrived again while the first run
    # was still being stopped: the task would have run twice for a moment.
    leader.offer("aa")
    leader.settle()
    (upstream_id,) = leader.running()["aa.0.0.0"]
    leader.dispatcher.drop("h2", "aa", 1, leader.now)
    leader.offer("aa", host="h1", call=9)
    leader.collect()
    assert not leader.starts
    leader.settle()
    assert sum(map(len, leader.running().values())) == 1
    assert leader.upstreams[upstream_id].end_count == 1


def test_a_failed_task_runs_again_up_to_its_attempts(leader: Leader):
    leader.offer("aa")
    for _ in range(3):
        leader.settle()
        ((name, (upstream_id,)),) = leader.running().items()
        leader.upstreams[upstream_id].end(name, RunResult.FAILED)
    leader.settle()
    assert [a.outcome.end for a in leader.answers] == [JobEnd.FAILED]
    assert not leader.running()


def test_a_run_of_unknown_size_uses_its_whole_upstream():
    # An upstream was loaded beyond its capacity. A new leader found a run whose job it
    # did not know, counted it as no load and filled the upstream.
    leader = Leader(upstreams=1)
    (upstream,) = leader.upstreams.values()
    upstream.running["old.0.0.0"] = 1
    leader.lead()
    leader.offer("aa", tasks=2)
    leader.settle()
    assert set(upstream.running) == {"old.0.0.0"}
    leader.advance(0.5)
    assert set(upstream.running) == {"aa.0.0.0", "aa.0.0.1"}


def test_a_handed_over_job_keeps_its_runs():
    # A leader failed, and its jobs' tasks were started again beside the old runs.
    leader = Leader()
    upstream = next(iter(leader.upstreams.values()))
    upstream.running["aa.0.0.1"] = 1
    leader.lead()
    leader.offer("aa", tasks=2, handovers=1, progress=Progress(("aa.0.0.0",)))
    leader.settle()
    assert leader.running() == {"aa.0.0.1": [upstream.id]}
    upstream.end("aa.0.0.1")
    leader.settle()
    assert [a.outcome.end for a in leader.answers] == [JobEnd.COMPLETE]


def test_a_handed_over_job_waits_for_unresponsive_upstreams():
    # A task ran twice: the new leader could not reach an upstream on which the old one,
    # partitioned from the new one but not from that upstream, still ran the task.
    leader = Leader()
    first = next(iter(leader.upstreams))
    leader.unresponsive.add(first)
    leader.lead()
    leader.offer("aa", route=LONG_TIMEOUT, deadline=leader.now + 5.0, handovers=1)
    leader.settle()
    assert not leader.running()
    leader.advance(1.0)
    assert not leader.running()
    leader.advance(0.2)
    assert len(leader.running()) == 1


def test_a_higher_fence_on_an_upstream_stops_all_starts_there():
    leader = Leader(upstreams=1)
    (upstream,) = leader.upstreams.values()
    leader.lead()
    upstream.fence = FENCE * 4
    leader.offer("aa")
    leader.settle()
    assert not leader.running()
    assert leader.dispatcher.upstream_pool.fenced_since is not None


def test_every_listed_run_uses_capacity():
    # An upstream was loaded beyond its capacity. Two leaders had started the same task
    # in turn, and the run found second counted as no load.
    leader = Leader(upstreams=2)
    first, second = leader.upstreams.values()
    first.running["aa.0.0.0"] = 1
    second.running["aa.0.0.0"] = 17
    leader.lead()
    leader.offer("aa", handovers=1)
    leader.offer("bb", tasks=4, call=2)
    leader.collect()
    assert all(len(u.running) <= 2 for u in leader.upstreams.values())
    leader.settle()
    assert sum("aa.0.0.0" in u.running for u in (first, second)) <= 1
    assert all(len(u.running) <= 2 for u in leader.upstreams.values())


def test_a_handed_over_job_waits_for_an_idle_partitioned_upstream(
    leader: Leader,
):
    # A task ran twice after a network partition ended. The leader on the other side had
    # taken over an upstream that was idle when the partition began. This leader, which
    # got that host's jobs, still assumed that it leased the upstream and that nothing
    # ran there.
    first = next(iter(leader.upstreams))
    leader.unresponsive.add(first)
    leader.advance(1.0)
    leader.offer("aa", handovers=1)
    leader.settle()
    assert not leader.running()


def test_a_task_that_ended_between_two_leaders_is_not_repeated():
    # A task was done twice: it ended just after the leader had failed, and the next
    # leader acknowledged an end that it had no record of and started the task again.
    leader = Leader()
    upstream = next(iter(leader.upstreams.values()))
    upstream.running["aa.0.0.0"] = 1
    upstream.end("aa.0.0.0")
    leader.lead()
    leader.offer("aa", handovers=1)
    leader.settle()
    assert [a.outcome.end for a in leader.answers] == [JobEnd.COMPLETE]
    assert not leader.running()


def test_a_handed_over_job_waits_for_a_vanished_upstream(
    leader: Leader,
):
    # A task ran twice after a long network partition: the entry of its upstream had
    # expired, and the host that got the job back assumed that it had leased all
    # existing upstreams.
    first, second = leader.upstreams
    leader.dispatcher.set_upstreams([leader.entry(second)], leader.now)
    leader.advance(0.1)
    leader.offer("aa", route=LONG_TIMEOUT, deadline=leader.now + 5.0, handovers=1)
    leader.settle()
    assert not leader.running()
    leader.offer("bb", call=2)
    leader.settle()
    assert set(leader.running()) == {"bb.0.0.0"}
    leader.advance(1.2)
    assert set(leader.running()) == {"aa.0.0.0", "bb.0.0.0"}


def test_an_answered_offer_is_answered_again_and_not_run(
    leader: Leader,
):
    # A caller waited until its deadline for a job that was long done, or its task was
    # done twice: the answer was lost with a connection that had become unresponsive.
    leader.offer("aa")
    leader.settle()
    (upstream_id,) = leader.running()["aa.0.0.0"]
    leader.upstreams[upstream_id].end("aa.0.0.0")
    leader.settle()
    leader.offer("aa")
    leader.settle()
    assert [a.outcome.end for a in leader.answers] == [JobEnd.COMPLETE] * 2
    assert not leader.running()


def test_a_new_term_counts_no_starts_of_an_earlier_one(
    leader: Leader,
):
    # Upstreams on which a task had failed once got no more tasks: their single probe
    # counted as running forever, since its end had been reported to the host that led
    # in between.
    leader.offer("aa", tasks=4)
    leader.settle()
    leader.dispatcher.stop_leading(leader.now)
    for upstream in leader.upstreams.values():
        upstream.running.clear()
    leader.lead(FENCE * 2)
    leader.offer("bb", tasks=4)
    leader.settle()
    for name, (upstream_id,) in list(leader.running().items()):
        leader.upstreams[upstream_id].end(name, RunResult.FAILED)
    leader.settle()
    assert leader.running()


def test_a_dropped_started_job_is_never_refused_as_not_run(
    leader: Leader,
):
    # A client was notified that its job did not run although it did: its host had not
    # been heard from for a moment, the job was dropped while its task ran, and when the
    # host offered it again it was too late for it.
    leader.offer("aa")
    leader.settle()
    leader.dispatcher.drop_host("h2", DropCause.SILENT, leader.now)
    leader.settle()
    leader.offer("aa", deadline=leader.now + 0.1)
    leader.advance(0.1)
    (answer,) = leader.answers
    assert not answer.outcome.not_run
    assert answer.outcome.end is JobEnd.OUT_OF_TIME


def test_the_lease_of_an_adopted_run_is_extended_at_once():
    # Callers waited 0.6 s longer after the leader failed. The next leader found their
    # runs, but its next poll, which it sent before it had their jobs, waited 0.2 s for
    # a run to end and extended no lease. The leases expired, and the tasks ran again
    # from the beginning.
    leader = Leader(upstreams=1)
    (upstream,) = leader.upstreams.values()
    upstream.running["aa.0.0.0"] = 1
    leader.dispatcher.start_leading(FENCE, leader.now)
    leader.collect()
    leader.reply_polls()
    leader.collect()
    assert [poll.lease_until_ms for poll in leader.polls] == [None]
    leader.offer("aa", handovers=1)
    leader.collect()
    assert leader.polls[-1].lease_until_ms is not None
    assert leader.polls[-1].wait_ms == 0


def test_a_handed_over_job_with_too_long_a_wait_is_given_up_early():
    # A caller waited for nothing: after a network partition the new leader may start
    # the tasks again only 1.1 s later, too late for the caller, which got no answer
    # until shortly before its deadline.
    leader = Leader()
    leader.unresponsive.add(next(iter(leader.upstreams)))
    leader.lead()
    leader.offer("aa", handovers=1, arrived=leader.now - 0.5, deadline=leader.now + 1.0)
    leader.advance(0.2)
    assert not leader.answers
    leader.advance(0.2)
    assert [a.outcome.end for a in leader.answers] == [JobEnd.OUT_OF_TIME]


def test_a_handed_over_job_with_time_left_waits_and_runs():
    leader = Leader()
    leader.unresponsive.add(next(iter(leader.upstreams)))
    leader.lead()
    leader.offer("aa", route=LONG_TIMEOUT, handovers=1, deadline=leader.now + 3.0)
    leader.advance(1.2)
    assert not leader.answers
    assert len(leader.running()) == 1
