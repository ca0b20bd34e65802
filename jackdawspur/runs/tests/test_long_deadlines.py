"""Jobs whose callers wait for a long time."""

from jackdawspur.runs import JobEnd
from jackdawspur.runs.tests.conftest import Leader

DEADLINE_S = 15.0


# Guards against refusing a started job as not run while its caller waits.
def test_a_started_job_is_not_refused_as_not_run(leader: Leader):
    leader.lead()
    leader.offer("aa", deadline=leader.now + DEADLINE_S)
    leader.settle()
    assert leader.running()
    leader.dispatcher.drop("h2", "aa", 1, leader.now)
    leader.advance(DEADLINE_S - 1.0)
    leader.offer("bb", tasks=4, deadline=leader.now + DEADLINE_S)
    leader.settle()
    leader.offer("aa", host="h3", deadline=leader.now + 0.01)
    leader.advance(0.1)
    assert leader.answers[-1].job == "aa"
    outcome = leader.answers[-1].outcome
    assert outcome.end is JobEnd.OUT_OF_TIME
    assert not outcome.not_run
