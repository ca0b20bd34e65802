"""Each lost job tells its cause and what it had lost until then."""

from dataclasses import replace

import pytest

from jackdawspur.leases import RunResult
from jackdawspur.runs import (
    Decision,
    DecisionRecord,
    InitialTasksStarted,
    JobLost,
    JobRequest,
    JobStep,
    LossCause,
    Offer,
)
from jackdawspur.runs.tests.conftest import PATIENT, ROUTE, TASK, Leading

LONGEST_LINE = 900
MOST_TASKS = 360
LIMIT_S = 0.9


@pytest.fixture
def notes(
    leading: Leading, monkeypatch
) -> list[DecisionRecord | JobLost | InitialTasksStarted]:
    """Return what is told from now on."""
    told: list[DecisionRecord | JobLost | InitialTasksStarted] = []
    flush = leading.dispatcher.flush

    def keep(now: float) -> list:
        effects = flush(now)
        told.extend(
            e
            for e in effects
            if isinstance(e, DecisionRecord | JobLost | InitialTasksStarted)
        )
        return effects

    monkeypatch.setattr(leading.dispatcher, "flush", keep)
    return told


def lost(notes: list, job: str) -> JobLost:
    (one,) = [n for n in notes if isinstance(n, JobLost) and n.job == job]
    return one


def inputs(notes: list, job: str, decision: Decision) -> dict:
    (one,) = [
        n
        for n in notes
        if isinstance(n, DecisionRecord) and n.job == job and n.decision is decision
    ]
    return dict(one.inputs)


def advance_at(leading: Leading, job: str, total_s: float, seconds: float) -> None:
    """Let time pass in which all runs of a job progress as ones of a length."""
    began = leading.now
    while leading.now < began + seconds - 1e-9:
        for upstream in leading.upstreams.values():
            for task in upstream.running:
                if task.startswith(f"{job}."):
                    passed_s = leading.now + 0.05 - began
                    upstream.percent[task] = int(100.0 * passed_s / total_s)
        leading.advance(0.05)


def barred(leading: Leading, job: str) -> None:
    """Let no run of a job start again elsewhere."""
    for task in leading.dispatcher.open_jobs[job].tasks:
        task.restarts = 1


def test_a_job_longer_than_the_limit_says_so_and_what_it_needs(leading, notes):
    leading.offer("aa", tasks=2, deadline=leading.now + LIMIT_S)
    leading.settle()
    barred(leading, "aa")
    advance_at(leading, "aa", 1.5, 0.4)
    one = lost(notes, "aa")
    assert one.cause is LossCause.TOO_LONG
    assert 1350 < one.longest_ms < 1600
    assert one.told_ms <= 50
    assert (one.first_start_ms, one.last_start_ms, one.not_begun) == (0, 0, 0)
    line = inputs(notes, "aa", Decision.JOB_HOPELESS)
    assert line["cause"] == "too_long"
    assert line["longest_ms"] == one.longest_ms
    assert line["last_start_ms"] == 0


def test_a_job_on_a_slow_upstream_is_told_from_one_that_is_too_long(leading, notes):
    leading.offer("aa", deadline=leading.now + LIMIT_S)
    leading.settle()
    barred(leading, "aa")
    (place,) = leading.running()["aa.0.0.0"]
    slowdowns = leading.dispatcher.estimates._slowdowns
    slowdowns._measured[place], slowdowns._samples[place] = 0.5, 100
    advance_at(leading, "aa", 1.2, 0.4)
    one = lost(notes, "aa")
    assert one.cause is LossCause.SLOW_UPSTREAM
    assert one.longest_ms < 1000.0 * LIMIT_S


def test_a_job_that_began_late_tells_how_late(leading, notes):
    leading.offer("bb", tasks=4, route=PATIENT, call=2)
    leading.settle()
    leading.offer("aa", tasks=1, deadline=leading.now + LIMIT_S)
    leading.advance(0.2)
    for upstream in leading.upstreams.values():
        for task in list(upstream.running):
            upstream.end(task)
    leading.settle()
    barred(leading, "aa")
    advance_at(leading, "aa", 0.8, 0.3)
    one = lost(notes, "aa")
    assert one.cause is LossCause.LATE_START
    assert 190 <= one.last_start_ms <= 260


def test_a_run_that_stands_still_is_not_told_as_a_long_one(leading, notes):
    # Guards against looking for long jobs where upstreams hang.
    leading.offer("aa", tasks=2, deadline=leading.now + LIMIT_S)
    leading.settle()
    barred(leading, "aa")
    for upstream in leading.upstreams.values():
        upstream.percent.update(dict.fromkeys(upstream.running, 0.0))
    leading.advance(1.0)
    one = lost(notes, "aa")
    assert one.cause is LossCause.STALLED
    assert one.longest_ms is None


def test_a_run_that_began_again_is_the_cause_and_no_first_start(leading, notes):
    leading.offer("aa", deadline=leading.now + LIMIT_S)
    leading.settle()
    leading.advance(0.3)
    (place,) = leading.running()["aa.0.0.0"]
    leading.upstreams[place].end("aa.0.0.0", RunResult.LAPSED)
    leading.settle()
    barred(leading, "aa")
    leading.upstreams[place].began_ms.clear()
    advance_at(leading, "aa", 0.75, 0.4)
    one = lost(notes, "aa")
    assert one.cause is LossCause.RESTARTED
    assert (one.first_start_ms, one.last_start_ms) == (0, 0)
    assert ":again" in inputs(notes, "aa", Decision.JOB_HOPELESS)["tasks"]


@pytest.mark.parametrize(
    ("late_s", "cause"),
    [(0.0, LossCause.REFUSED_TOO_LONG), (0.1, LossCause.REFUSED_WAITED)],
)
def test_a_refusal_tells_whether_the_job_had_waited(leading, notes, late_s, cause):
    leading.offer("ff", tasks=4, call=2)
    leading.settle()
    came = leading.now - late_s
    leading.offer("aa", arrived=came, deadline=came + 0.1 + late_s)
    leading.dispatcher.tick(leading.now)
    leading.collect()
    assert lost(notes, "aa").cause is cause
    line = inputs(notes, "aa", Decision.JOB_REFUSED)
    assert line["cause"] == cause.value
    assert line["reached_ms"] == round(1000.0 * late_s)


def test_a_refusal_for_other_work_says_so(leading, notes):
    for number in range(10):
        leading.offer(f"b{number}", tasks=4, call=number)
    leading.dispatcher.tick(leading.now)
    leading.collect()
    causes = {one.cause for one in notes if isinstance(one, JobLost)}
    assert LossCause.REFUSED_FOR_OTHERS in causes


def test_a_caller_that_leaves_before_the_start_and_a_failure_are_told(leading, notes):
    leading.offer("bb", tasks=4, route=replace(PATIENT, max_attempts=1), call=2)
    leading.settle()
    leading.offer("aa", call=3)
    leading.dispatcher.drop("h2", "aa", 3, leading.now)
    (place,) = leading.running()["bb.0.0.0"]
    leading.upstreams[place].end("bb.0.0.0", RunResult.FAILED)
    leading.settle()
    assert lost(notes, "aa").cause is LossCause.NEVER_BEGUN
    assert lost(notes, "bb").cause is LossCause.FAILED


def test_the_line_of_a_job_of_very_many_tasks_is_short(notes, leading):
    # Guards against lines of 10 KB, each of which stands for one lost job.
    step = JobStep(MOST_TASKS, replace(TASK, cpu_millis=10), 200.0)
    request = JobRequest("aa", "spec", (step,), ROUTE)
    now = leading.now
    leading.dispatcher.offer(Offer(request, "h2", 1, now, now + LIMIT_S), now)
    leading.settle()
    assert len(leading.running()) == MOST_TASKS
    (upstream,) = [one for one in leading.upstreams.values() if one.running]
    for task in list(upstream.running)[:100]:
        upstream.end(task)
    leading.settle()
    leading.dispatcher.drop("h2", "aa", 1, now)
    leading.collect()
    line = inputs(notes, "aa", Decision.JOB_DROPPED)
    assert len(str(line)) < LONGEST_LINE
    assert "and 254 placed and 100 done" in line["tasks"]


def test_the_tasks_that_end_last_are_told(notes, leading):
    leading.offer("aa", tasks=2, deadline=leading.now + 1.5)
    leading.settle()
    (slow,) = leading.running()["aa.0.0.1"]
    leading.upstreams[slow].percent["aa.0.0.1"] = 50.0
    leading.advance(0.15)
    leading.dispatcher.drop("h2", "aa", 1, leading.now)
    leading.collect()
    tasks = inputs(notes, "aa", Decision.JOB_DROPPED)["tasks"]
    assert tasks.startswith(f"placed:{slow.name}:150:50%")


def test_the_last_first_start_of_a_job_is_told_once(leading, notes):
    # Guards against telling the wait of the first task as that of all.
    leading.offer("aa", tasks=5, route=PATIENT)
    leading.settle()
    assert not [one for one in notes if isinstance(one, InitialTasksStarted)]
    leading.advance(0.1)
    for place in leading.upstreams.values():
        for task in list(place.running)[:1]:
            place.end(task)
    leading.settle()
    (begun,) = [one for one in notes if isinstance(one, InitialTasksStarted)]
    assert (begun.job, begun.route) == ("aa", ROUTE.name)
    assert 95.0 < begun.last_start_ms < 105.0
