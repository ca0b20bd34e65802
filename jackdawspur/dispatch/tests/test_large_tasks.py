"""Tasks that need most of an upstream's memory, beside small ones."""

from dataclasses import replace

from jackdawspur.dispatch.tests.conftest import make_request, starts_in

HALF_MB = 65_536
ALL_MB = 131_072
SMALL_JOBS = 40
# Two until the wait is too long, and then at most all that run at both upstreams.
MOST_ENDS = 8


def _with_memory(memory_mb: int, deadline_ms: float = 60_000.0):
    request = make_request(1, deadline_ms=deadline_ms)
    (task,) = request.tasks
    return replace(request, tasks=(replace(task, memory_mb=memory_mb),))


def test_a_large_task_starts_before_the_small_ones_run_out(harness):
    """A caller's one large task waits until its deadline while small ones run.

    Four small tasks fill the memory of both upstreams and more wait. Whenever one
    ends, another of its size fits and the large one doesn't, so it never starts.
    """
    running = []
    for call in range(4):
        running += harness.submit(_with_memory(HALF_MB), call)
    assert len(running) == 4
    assert harness.submit(_with_memory(ALL_MB), 4) == []
    for call in range(5, SMALL_JOBS):
        assert harness.submit(_with_memory(HALF_MB), call) == []
    for start in running:
        harness.verdicts(start)
    ended = 0
    while running and ended < SMALL_JOBS:
        harness.now += 0.1
        effects = harness.results(running.pop(0))
        ended += 1
        new = starts_in(effects)
        if any(task.memory_mb == ALL_MB for one in new for task in one.starts):
            break
        for start in new:
            harness.verdicts(start)
        running += new
    assert ended <= MOST_ENDS
