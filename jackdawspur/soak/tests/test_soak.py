"""A short soak: one seed on real processes, and the plan of seeds."""

from pathlib import Path

from jackdawspur.soak import plan_faults, run_seed

SHORT_S = 4.0


def test_a_seed_always_gives_the_same_plan():
    assert plan_faults(7, 30.0, 24) == plan_faults(7, 30.0, 24)
    assert plan_faults(7, 30.0, 24) != plan_faults(8, 30.0, 24)
    at_s = [fault.at_s for fault in plan_faults(7, 30.0, 24)]
    assert at_s == sorted(at_s)
    assert at_s[-1] < 30.0


def test_nothing_wrong_under_the_faults_of_a_seed(tmp_path: Path):
    # A host is killed, another stands still, the store forgets its history, and a
    # worker answers nobody, all within four seconds. Callers may be refused or wait in
    # vain; no task runs twice at a time and no answer is false.
    result = run_seed(1, SHORT_S, tmp_path)
    assert result.findings.complete > 0
    assert result.findings.wrong == []
