"""Tests of tasks that need all memory of an upstream, beside small ones."""

from dataclasses import replace

from jackdawspur.dispatch.tests.conftest import make_request, starts_in

HALF_MB = 65_536
ALL_MB = 131_072
SMALL_JOBS = 40
# Two tasks end before the large one has waited long enough to reserve an upstream, then
# at most all that run on both upstreams.
MAX_ENDED = 8


def _with_memory(memory_mb: int, deadline_ms: float = 60_000.0):
    request = make_request(1, deadline_ms=deadline_ms)
    (task,) = request.tasks
    return replace(request, tasks=(replace(task, memory_mb=memory_mb),))


def test_a_large_task_starts_before_the_small_ones_run_out(harness):
    """A large task must not wait until its deadline while small ones run.

    Four small tasks fill the memory of both upstreams, and more of them wait. Whenever
    one ends, another small one fits but the large one does not.
    """
    running = []
    for call in range(4):
        running += harness.submit(_with_memory(HALF_MB), call)
    assert len(running) == 4
    assert harness.submit(_with_memory(ALL_MB), 4) == []
    for call in range(5, SMALL_JOBS):
        assert harness.submit(_with_memory(HALF_MB), call) == []
    for start in running:
        harness.reply_to_starts(start)
    ended = 0
    while running and ended < SMALL_JOBS:
        harness.now += 0.1
        effects = harness.report_results(running.pop(0))
        ended += 1
        new = starts_in(effects)
        if any(task.memory_mb == ALL_MB for batch in new for task in batch.starts):
            break
        for start in new:
            harness.reply_to_starts(start)
        running += new
    assert ended <= MAX_ENDED
