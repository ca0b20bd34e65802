"""Starts whose replies are overdue are settled when that is due."""

from types import SimpleNamespace

from jackdawspur.leases import Run, RunId, RunPhase
from jackdawspur.runs._starts import Starts, _OpenStart

# With these, `a + b - b < a` in floating point.
STARTED_AT, OVERDUE_S = 1003.5780285524962, 0.03264508145224454


def test_a_start_is_settled_at_the_very_moment_that_was_named():
    # Guards against passes without end by a rounded difference of times.
    settled = []
    starts = Starts(SimpleNamespace(), SimpleNamespace(overdue_s=OVERDUE_S))
    starts._mark_unsure = lambda held, run, now: settled.append(run)
    run = Run(RunId("t", 1), None, RunPhase.STARTING, STARTED_AT)
    held = SimpleNamespace(runs={run.id: run})
    starts._open_starts.append(_OpenStart(STARTED_AT, held, run))
    starts.settle_overdue(starts.overdue_at)
    assert settled == [run]
