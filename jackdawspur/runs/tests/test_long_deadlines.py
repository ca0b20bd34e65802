"""Jobs whose callers wait long."""

from jackdawspur.runs import JobEnd
from jackdawspur.runs.tests.conftest import Leading

WAITS_S = 15.0


# Guards against saying of a job that began that it did not run, as its caller waits.
def test_what_began_is_not_refused_as_not_run_while_its_caller_waits(leading: Leading):
    leading.lead()
    leading.offer("aa", deadline=leading.now + WAITS_S)
    leading.settle()
    assert leading.running()
    leading.dispatcher.drop("h2", "aa", 1, leading.now)
    leading.advance(WAITS_S - 1.0)
    leading.offer("bb", tasks=4, deadline=leading.now + WAITS_S)
    leading.settle()
    leading.offer("aa", host="h3", deadline=leading.now + 0.01)
    leading.advance(0.1)
    assert leading.answers[-1].job == "aa"
    outcome = leading.answers[-1].outcome
    assert outcome.end is JobEnd.OUT_OF_TIME
    assert not outcome.not_run
