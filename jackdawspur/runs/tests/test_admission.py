"""More work than room: many users come at once, for seconds.

The pattern: twice the work that all upstreams do, as after a loss of power, when all
callers come back within a second, or in a burst. Two upstreams have room for four tasks
of 0.2 s, which is 20 tasks a second; an answer is on time within 1.6 times its work
and 60 ms, and of use within three times that.
"""

from jackdawspur.runs import JobEnd
from jackdawspur.runs.tests.conftest import PATIENT, TASK_MS, Leading

JOBS = 60
# Longer than two passes of the leading host's ticks.
AT_ONCE_S = 0.11


def serve(leading: Leading, seconds: float, step_s: float = 0.01) -> list[float]:
    """Let tasks end after their 0.2 s; return when each job was complete."""
    began: dict[str, float] = {}
    ended: list[float] = []
    until = leading.now + seconds
    while leading.now < until:
        leading.advance(step_s, step_s)
        for upstream in leading.upstreams.values():
            for task in list(upstream.running):
                began.setdefault(task, leading.now)
                if leading.now - began[task] >= TASK_MS / 1000:
                    upstream.end(task)
        leading.settle(2)
        done = sum(a.outcome.end is JobEnd.COMPLETE for a in leading.answers)
        ended += [leading.now] * (done - len(ended))
    return ended


def test_what_can_not_be_served_is_refused_at_once(leading: Leading):
    # A supervisor waits for 0.8 s for the word that there is no room, which could have
    # been said when the request came, and could have asked elsewhere meanwhile.
    for number in range(JOBS):
        leading.offer(f"{number:02x}", call=number)
    serve(leading, AT_ONCE_S)
    refused = [a.job for a in leading.answers if a.outcome.end is JobEnd.REFUSED]
    # Of use within 1.1 s: twenty tasks a second and what ends of four places then.
    assert JOBS - 28 <= len(refused) <= JOBS - 16
    assert all(
        a.outcome.not_run and a.outcome.retry_after_s > 0 for a in leading.answers
    )


def test_jobs_that_came_later_are_served_on_time_beside_a_backlog(leading: Leading):
    # After a loss of power all that callers ask for is late for a second, also what
    # comes when the first rush is over.
    for number in range(JOBS):
        leading.offer(f"{number:02x}", call=number)
    serve(leading, 0.15)
    leading.offer("new", call=99)
    serve(leading, 0.42)
    answered = [a.job for a in leading.answers if a.outcome.end is JobEnd.COMPLETE]
    assert "new" in answered


def test_a_job_that_is_left_out_is_served_when_room_comes_free(leading: Leading):
    # A long job never runs: it was left out for shorter ones once, and stayed so.
    leading.offer("big", tasks=8, route=PATIENT)
    for number in range(8):
        leading.offer(f"{number:02x}", call=number + 2)
    serve(leading, 2.0)
    done = {a.job for a in leading.answers if a.outcome.end is JobEnd.COMPLETE}
    assert "big" in done


def test_a_job_that_stands_still_keeps_no_other_out(leading: Leading):
    # All requests are refused for a second, with free places: the tasks of one job
    # stood still, and by their progress they seemed to need all room for minutes.
    leading.offer("aa", tasks=2, route=PATIENT, deadline=leading.now + 5.0)
    leading.settle()
    for upstream in leading.upstreams.values():
        upstream.percent = dict.fromkeys(upstream.running, 1.0)
    leading.advance(0.3)
    for number in range(2):
        leading.offer(f"{number:02x}", call=number + 2)
    leading.advance(0.1)
    assert not [a for a in leading.answers if a.outcome.end is JobEnd.REFUSED]


# Guards against refusing short jobs for long runs, beside which room comes free.
def test_a_job_is_not_refused_for_runs_that_end_after_room_came_free(leading: Leading):
    leading.offer("long", tasks=3, task_ms=3000.0, deadline=leading.now + 9.0)
    leading.offer("aa", call=2)
    leading.settle()
    assert len(leading.running()) == 4
    leading.offer("bb", call=3)
    leading.advance(0.15)
    assert not leading.answers
    ((upstream,),) = [
        where for task, where in leading.running().items() if task.startswith("aa.")
    ]
    leading.upstreams[upstream].end("aa.0.0.0")
    leading.settle()
    assert any(task.startswith("bb.") for task in leading.running())
