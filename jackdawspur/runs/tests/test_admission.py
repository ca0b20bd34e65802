"""Overload: many callers send jobs at the same time, for seconds.

The load is twice the work that all upstreams can do, as in a burst, or after a power
failure, when all callers reconnect within a second. Two upstreams have capacity for
four tasks of 0.2 s, which is 20 tasks per second; an answer is on time within 1.6 times
its work plus 60 ms, and useful within three times that.
"""

from jackdawspur.runs import JobEnd
from jackdawspur.runs.tests.conftest import LONG_TIMEOUT, TASK_MS, Leader

JOBS = 60
# Longer than two ticks of the leader.
TWO_TICKS_S = 0.11


def serve(leader: Leader, seconds: float, step_s: float = 0.01) -> list[float]:
    """End tasks after their 0.2 s, and return when each job was complete."""
    started_at: dict[str, float] = {}
    completed_at: list[float] = []
    end_at = leader.now + seconds
    while leader.now < end_at:
        leader.advance(step_s, step_s)
        leader.end_tasks(started_at, TASK_MS / 1000)
        leader.settle(2)
        done = sum(a.outcome.end is JobEnd.COMPLETE for a in leader.answers)
        completed_at += [leader.now] * (done - len(completed_at))
    return completed_at


def test_unservable_jobs_are_refused_at_once(leader: Leader):
    # A caller waited 0.8 s for a refusal that could have been sent when its job
    # arrived, and could have tried elsewhere in the meantime.
    for number in range(JOBS):
        leader.offer(f"{number:02x}", call=number)
    serve(leader, TWO_TICKS_S)
    refused = [a.job for a in leader.answers if a.outcome.end is JobEnd.REFUSED]
    # Answers are useful within 1.1 s. In that time, upstreams complete twenty tasks per
    # second, and four more tasks still run at its end.
    assert JOBS - 28 <= len(refused) <= JOBS - 16
    assert all(
        a.outcome.not_run and a.outcome.retry_after_s > 0 for a in leader.answers
    )


def test_later_jobs_are_on_time_despite_a_backlog(leader: Leader):
    # After a power failure all jobs were late for a second, even those that arrived
    # after the first burst.
    for number in range(JOBS):
        leader.offer(f"{number:02x}", call=number)
    serve(leader, 0.15)
    leader.offer("new", call=99)
    serve(leader, 0.42)
    answered = [a.job for a in leader.answers if a.outcome.end is JobEnd.COMPLETE]
    assert "new" in answered


def test_a_deferred_job_is_served_when_capacity_is_free(leader: Leader):
    # A long job never ran: it was deferred once in favor of shorter ones, and stayed
    # deferred.
    leader.offer("big", tasks=8, route=LONG_TIMEOUT)
    for number in range(8):
        leader.offer(f"{number:02x}", call=number + 2)
    serve(leader, 2.0)
    done = {a.job for a in leader.answers if a.outcome.end is JobEnd.COMPLETE}
    assert "big" in done


def test_a_stalled_job_does_not_keep_out_others(leader: Leader):
    # All jobs were refused for a second although capacity was free: the tasks of one
    # job were stalled, and by their progress they seemed to need all capacity for
    # minutes.
    leader.offer("aa", tasks=2, route=LONG_TIMEOUT, deadline=leader.now + 5.0)
    leader.settle()
    for upstream in leader.upstreams.values():
        upstream.percent = dict.fromkeys(upstream.running, 1.0)
    leader.advance(0.3)
    for number in range(2):
        leader.offer(f"{number:02x}", call=number + 2)
    leader.advance(0.1)
    assert not [a for a in leader.answers if a.outcome.end is JobEnd.REFUSED]


# Guards against refusing short jobs because of long runs, although other capacity
# becomes free earlier.
def test_a_job_is_not_refused_because_of_longer_runs(leader: Leader):
    leader.offer("long", tasks=3, task_ms=3000.0, deadline=leader.now + 9.0)
    leader.offer("aa", call=2)
    leader.settle()
    assert len(leader.running()) == 4
    leader.offer("bb", call=3)
    leader.advance(0.15)
    assert not leader.answers
    ((upstream,),) = [
        locations
        for task, locations in leader.running().items()
        if task.startswith("aa.")
    ]
    leader.upstreams[upstream].end("aa.0.0.0")
    leader.settle()
    assert any(task.startswith("bb.") for task in leader.running())
