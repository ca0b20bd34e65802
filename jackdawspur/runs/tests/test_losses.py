"""Each lost job is logged with its cause and its timings."""

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
from jackdawspur.runs.tests.conftest import LONG_TIMEOUT, ROUTE, TASK_RESOURCES, Leader

MAX_LINE_LENGTH = 900
MANY_TASKS = 360
LIMIT_S = 0.9


@pytest.fixture
def records(
    leader: Leader, monkeypatch
) -> list[DecisionRecord | JobLost | InitialTasksStarted]:
    """Return the list to which later records and reports are added."""
    collected: list[DecisionRecord | JobLost | InitialTasksStarted] = []
    flush = leader.dispatcher.flush

    def flush_and_collect(now: float) -> list:
        effects = flush(now)
        collected.extend(
            e
            for e in effects
            if isinstance(e, DecisionRecord | JobLost | InitialTasksStarted)
        )
        return effects

    monkeypatch.setattr(leader.dispatcher, "flush", flush_and_collect)
    return collected


def job_lost(records: list, job: str) -> JobLost:
    (record,) = [r for r in records if isinstance(r, JobLost) and r.job == job]
    return record


def inputs(records: list, job: str, decision: Decision) -> dict:
    (record,) = [
        r
        for r in records
        if isinstance(r, DecisionRecord) and r.job == job and r.decision is decision
    ]
    return dict(record.inputs)


def advance_with_progress(
    leader: Leader, job: str, total_s: float, seconds: float
) -> None:
    """Advance time while all runs of a job progress as if they took `total_s`."""
    started = leader.now
    while leader.now < started + seconds - 1e-9:
        for upstream in leader.upstreams.values():
            for task in upstream.running:
                if task.startswith(f"{job}."):
                    passed_s = leader.now + 0.05 - started
                    upstream.percent[task] = int(100.0 * passed_s / total_s)
        leader.advance(0.05)


def prevent_restarts(leader: Leader, job: str) -> None:
    """Prevent restarts of a job's runs on other upstreams."""
    for task in leader.dispatcher.open_jobs[job].tasks:
        task.restarts = 1


def test_a_too_long_job_is_logged_with_its_duration(leader, records):
    leader.offer("aa", tasks=2, deadline=leader.now + LIMIT_S)
    leader.settle()
    prevent_restarts(leader, "aa")
    advance_with_progress(leader, "aa", 1.5, 0.4)
    record = job_lost(records, "aa")
    assert record.cause is LossCause.TOO_LONG
    assert 1350 < record.longest_ms < 1600
    assert record.told_ms <= 50
    assert (record.first_start_ms, record.last_start_ms, record.not_begun) == (0, 0, 0)
    line = inputs(records, "aa", Decision.JOB_HOPELESS)
    assert line["cause"] == "too_long"
    assert line["longest_ms"] == record.longest_ms
    assert line["last_start_ms"] == 0


def test_a_slow_upstream_is_logged_as_the_cause(leader, records):
    leader.offer("aa", deadline=leader.now + LIMIT_S)
    leader.settle()
    prevent_restarts(leader, "aa")
    (upstream_id,) = leader.running()["aa.0.0.0"]
    slowdowns = leader.dispatcher.estimates._slowdowns
    slowdowns._measured[upstream_id], slowdowns._samples[upstream_id] = 0.5, 100
    advance_with_progress(leader, "aa", 1.2, 0.4)
    record = job_lost(records, "aa")
    assert record.cause is LossCause.SLOW_UPSTREAM
    assert record.longest_ms < 1000.0 * LIMIT_S


def test_a_late_start_is_logged_as_the_cause(leader, records):
    leader.offer("bb", tasks=4, route=LONG_TIMEOUT, call=2)
    leader.settle()
    leader.offer("aa", tasks=1, deadline=leader.now + LIMIT_S)
    leader.advance(0.2)
    for upstream in leader.upstreams.values():
        for task in list(upstream.running):
            upstream.end(task)
    leader.settle()
    prevent_restarts(leader, "aa")
    advance_with_progress(leader, "aa", 0.8, 0.3)
    record = job_lost(records, "aa")
    assert record.cause is LossCause.LATE_START
    assert 190 <= record.last_start_ms <= 260


def test_a_stalled_run_is_not_logged_as_a_long_one(leader, records):
    # Guards against logs that report long jobs although upstreams hang.
    leader.offer("aa", tasks=2, deadline=leader.now + LIMIT_S)
    leader.settle()
    prevent_restarts(leader, "aa")
    for upstream in leader.upstreams.values():
        upstream.percent.update(dict.fromkeys(upstream.running, 0.0))
    leader.advance(1.0)
    record = job_lost(records, "aa")
    assert record.cause is LossCause.STALLED
    assert record.longest_ms is None


def test_a_restart_is_logged_as_the_cause_and_not_as_first_start(leader, records):
    leader.offer("aa", deadline=leader.now + LIMIT_S)
    leader.settle()
    leader.advance(0.3)
    (upstream_id,) = leader.running()["aa.0.0.0"]
    leader.upstreams[upstream_id].end("aa.0.0.0", RunResult.LAPSED)
    leader.settle()
    prevent_restarts(leader, "aa")
    leader.upstreams[upstream_id].started_ms.clear()
    advance_with_progress(leader, "aa", 0.75, 0.4)
    record = job_lost(records, "aa")
    assert record.cause is LossCause.RESTARTED
    assert (record.first_start_ms, record.last_start_ms) == (0, 0)
    assert ":again" in inputs(records, "aa", Decision.JOB_HOPELESS)["tasks"]


@pytest.mark.parametrize(
    ("late_s", "cause"),
    [(0.0, LossCause.REFUSED_TOO_LONG), (0.1, LossCause.REFUSED_WAITED)],
)
def test_a_refusal_logs_whether_the_job_had_waited(leader, records, late_s, cause):
    leader.offer("ff", tasks=4, call=2)
    leader.settle()
    arrived = leader.now - late_s
    leader.offer("aa", arrived=arrived, deadline=arrived + 0.1 + late_s)
    leader.dispatcher.tick(leader.now)
    leader.collect()
    assert job_lost(records, "aa").cause is cause
    line = inputs(records, "aa", Decision.JOB_REFUSED)
    assert line["cause"] == cause.value
    assert line["reached_ms"] == round(1000.0 * late_s)


def test_a_refusal_because_of_other_jobs_is_logged(leader, records):
    for number in range(10):
        leader.offer(f"b{number}", tasks=4, call=number)
    leader.dispatcher.tick(leader.now)
    leader.collect()
    causes = {record.cause for record in records if isinstance(record, JobLost)}
    assert LossCause.REFUSED_FOR_OTHERS in causes


def test_a_caller_leaving_early_and_a_failure_are_logged(leader, records):
    leader.offer("bb", tasks=4, route=replace(LONG_TIMEOUT, max_attempts=1), call=2)
    leader.settle()
    leader.offer("aa", call=3)
    leader.dispatcher.drop("h2", "aa", 3, leader.now)
    (upstream_id,) = leader.running()["bb.0.0.0"]
    leader.upstreams[upstream_id].end("bb.0.0.0", RunResult.FAILED)
    leader.settle()
    assert job_lost(records, "aa").cause is LossCause.NEVER_BEGUN
    assert job_lost(records, "bb").cause is LossCause.FAILED


def test_the_log_line_of_a_job_with_many_tasks_is_short(records, leader):
    # Guards against log lines of 10 KB for one lost job each.
    step = JobStep(MANY_TASKS, replace(TASK_RESOURCES, cpu_millis=10), 200.0)
    request = JobRequest("aa", "spec", (step,), ROUTE)
    now = leader.now
    leader.dispatcher.offer(Offer(request, "h2", 1, now, now + LIMIT_S), now)
    leader.settle()
    assert len(leader.running()) == MANY_TASKS
    (upstream,) = [u for u in leader.upstreams.values() if u.running]
    for task in list(upstream.running)[:100]:
        upstream.end(task)
    leader.settle()
    leader.dispatcher.drop("h2", "aa", 1, now)
    leader.collect()
    line = inputs(records, "aa", Decision.JOB_DROPPED)
    assert len(str(line)) < MAX_LINE_LENGTH
    assert "and 254 placed and 100 done" in line["tasks"]


def test_the_tasks_that_end_last_are_logged(records, leader):
    leader.offer("aa", tasks=2, deadline=leader.now + 1.5)
    leader.settle()
    (slow_upstream,) = leader.running()["aa.0.0.1"]
    leader.upstreams[slow_upstream].percent["aa.0.0.1"] = 50.0
    leader.advance(0.15)
    leader.dispatcher.drop("h2", "aa", 1, leader.now)
    leader.collect()
    tasks = inputs(records, "aa", Decision.JOB_DROPPED)["tasks"]
    assert tasks.startswith(f"placed:{slow_upstream.name}:150:50%")


def test_the_last_initial_start_of_a_job_is_reported_once(leader, records):
    # Guards against reporting the wait of the first task as that of all.
    leader.offer("aa", tasks=5, route=LONG_TIMEOUT)
    leader.settle()
    assert not [record for record in records if isinstance(record, InitialTasksStarted)]
    leader.advance(0.1)
    for upstream in leader.upstreams.values():
        for task in list(upstream.running)[:1]:
            upstream.end(task)
    leader.settle()
    (initial_start,) = [
        record for record in records if isinstance(record, InitialTasksStarted)
    ]
    assert (initial_start.job, initial_start.route) == ("aa", ROUTE.name)
    assert 95.0 < initial_start.last_start_ms < 105.0
