"""Handed-over jobs, which may have run under an earlier leader."""

from jackdawspur.runs.tests.conftest import FENCE, Leader

WAIT_S = 0.3


def leader_with_waiting_job() -> Leader:
    """Return a leader without free capacity, on which a job waits."""
    leader = Leader(upstreams=1)
    leader.lead()
    leader.offer("bb", tasks=2)
    leader.settle()
    leader.offer("aa")
    leader.settle()
    assert set(leader.running()) == {"bb.0.0.0", "bb.0.0.1"}
    return leader


def test_a_job_handed_back_is_not_refused_as_not_run():
    # A client was notified that its job did not run although it did. Its host had
    # followed another leader for a moment, which started the job, and came back before
    # this leader had dropped it, so the job still counted as not started here.
    leader = leader_with_waiting_job()
    leader.offer("aa", handovers=2)
    leader.advance(2.0)
    (answer,) = [a for a in leader.answers if a.job == "aa"]
    assert not answer.outcome.not_run


def test_a_late_earlier_offer_does_not_reset_a_job():
    # The same failure, where an earlier offer was overtaken by the later one.
    leader = leader_with_waiting_job()
    leader.offer("aa", handovers=2)
    leader.offer("aa", handovers=0)
    leader.advance(2.0)
    (answer,) = [a for a in leader.answers if a.job == "aa"]
    assert not answer.outcome.not_run
    assert answer.handovers == 2


def test_a_job_from_a_higher_fence_waits_although_all_upstreams_replied():
    # A task ran twice at the same time: its host lost contact with a leader of a higher
    # fence and handed the job to one of a lower fence. Polls of the latter had been
    # answered just before the other one took over the upstreams, and did not show what
    # that one started.
    leader = Leader()
    leader.lead()
    leader.offer("aa", handovers=1, outranked=True)
    leader.offer("bb", handovers=1)
    leader.advance(WAIT_S)
    assert set(leader.running()) == {"bb.0.0.0"}


def test_a_job_is_not_given_up_before_its_run_is_found():
    # Guards against giving up nearly finished jobs when another host takes over the
    # leadership.
    leader = Leader()
    upstream = next(iter(leader.upstreams.values()))
    upstream.running["aa.0.0.0"] = 1
    upstream.percent["aa.0.0.0"] = 90.0
    leader.dispatcher.start_leading(FENCE, leader.now)
    arrived = leader.now - 0.18
    leader.offer("aa", handovers=1, arrived=arrived, deadline=arrived + 0.3)
    leader.dispatcher.tick(leader.now)
    leader.settle()
    assert not leader.answers
    assert leader.running() == {"aa.0.0.0": [upstream.id]}
