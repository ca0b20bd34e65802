"""Tests that a task which crashes its upstream takes few upstreams down."""

import pytest

from jackdawspur.front.tests.faulty import FaultyWorld
from jackdawspur.front.tests.faulty_parts import Caller, FaultyUpstream
from jackdawspur.leases import CallOutcome

CRASHES_AFTER_S = 0.05
DOWN_S = 2.0
JOB_INTERVAL_S = 0.1
# A job that is given up because its tasks crash may crash one more upstream by chance.
MAX_CRASHES = 3
# Fraction of the other jobs that may be lost.
MAX_LOST_FRACTION = 0.01


class CrashingWorld(FaultyWorld):
    """A simulation in which the tasks of some jobs crash their upstreams."""

    def __init__(self, monkeypatch, seed: int) -> None:
        super().__init__(monkeypatch, 64, seed)
        self.crashing: set[str] = set()
        self.crashes: dict[str, int] = {}
        for zone in ("z1", "z2", "z3"):
            self.add_upstreams(zone, 4)
        start = FaultyUpstream.start

        def start_crashing(upstream: FaultyUpstream, run, *rest) -> CallOutcome:
            outcome = start(upstream, run, *rest)
            job = run.task.split(".", 1)[0]
            if outcome is CallOutcome.OK and job in self.crashing:
                self.after(CRASHES_AFTER_S, lambda: self._crash(upstream, job))
            return outcome

        monkeypatch.setattr(FaultyUpstream, "start", start_crashing)
        for number in range(2):
            for zone in ("z1", "z2", "z3"):
                self.start(f"{zone}-h{number}", zone)
        self.run(2.5)

    def _crash(self, upstream: FaultyUpstream, job: str) -> None:
        if not upstream.is_down:
            self.crashes[job] = self.crashes.get(job, 0) + 1
            self.crash(upstream.entry.id, DOWN_S)

    def ask_crashing(self, tasks: int) -> Caller:
        """Send a job whose tasks crash upstreams."""
        caller = self.ask("z1", 0.4, tasks)
        self.crashing.add(caller.request.id)
        return caller

    def ask_healthy(self, seconds: float) -> list[Caller]:
        """Send jobs that crash nothing for a while."""
        callers = []
        for _ in range(round(seconds / JOB_INTERVAL_S)):
            callers.append(self.ask(self.rng.choice(("z1", "z2", "z3")), 0.1, 2))
            self.run(JOB_INTERVAL_S)
        return callers


def lost(callers: list[Caller]) -> int:
    """Return the number of callers without a result after all retries."""
    return sum(
        not any(
            attempt.reply and attempt.reply.status == 200 for attempt in caller.attempts
        )
        for caller in callers
    )


@pytest.mark.parametrize("seed", range(1, 6))
def test_few_upstreams_crash_under_a_task(monkeypatch, seed: int):
    # Guards against a job that takes down one upstream after the other.
    world = CrashingWorld(monkeypatch, seed)
    world.ask_crashing(1)
    callers = world.ask_healthy(12.0)
    world.run(4.0)
    assert max(world.crashes.values()) <= MAX_CRASHES
    assert lost(callers) <= MAX_LOST_FRACTION * len(callers)
    assert world.counters.two_at_once == world.counters.over_capacity == 0


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_job_of_crashing_tasks_crashes_upstreams_once(monkeypatch, seed: int):
    # Guards against restarting all tasks of such a job before it is known that their
    # upstreams have crashed.
    world = CrashingWorld(monkeypatch, seed)
    tasks = 4
    world.ask_crashing(tasks)
    callers = world.ask_healthy(12.0)
    world.run(4.0)
    assert max(world.crashes.values()) <= tasks
    assert lost(callers) <= MAX_LOST_FRACTION * len(callers)
    assert world.counters.two_at_once == world.counters.over_capacity == 0
