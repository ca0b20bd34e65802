"""Starts whose replies are overdue are resolved in time."""

from types import SimpleNamespace

from jackdawspur.leases import Run, RunId, RunPhase
from jackdawspur.runs._starts import Starts, _OpenStart

# With these, `a + b - b < a` in floating point.
STARTED_AT, OVERDUE_S = 1003.5780285524962, 0.03264508145224454


def test_a_start_is_resolved_exactly_when_it_is_overdue():
    # Guards against endless passes caused by a rounded difference of times.
    resolved = []
    starts = Starts(SimpleNamespace(), SimpleNamespace(overdue_s=OVERDUE_S))
    starts._mark_unsure = lambda upstream, run, now: resolved.append(run)
    run = Run(RunId("t", 1), None, RunPhase.STARTING, STARTED_AT)
    upstream = SimpleNamespace(runs={run.id: run})
    starts._open_starts.append(_OpenStart(STARTED_AT, upstream, run))
    starts.resolve_overdue(starts.overdue_at)
    assert resolved == [run]
